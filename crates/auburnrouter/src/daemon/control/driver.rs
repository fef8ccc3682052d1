//! The control loop: passes events to [`Control`] and executes its actions.
//!
//! Invariant: actions are executed in order. Calls to peers and to the store run in
//! tasks of their own and report to the loop's inbox, so that a slow peer or store
//! can't delay a heartbeat.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwapOption;
use futures_lite::future;
use intent::instance;
use steer::process::control::{self, Control, message, store};
use steer::process::{config, member};
use wire::peer;

use super::active::ActiveConfig;
use super::{Context, dump, store_calls, view_builder};
use crate::daemon::workers::Executor;

/// Mean interval between reads of this domain's targets from the platform's list, for
/// each hundred entry instances. Scaling it with the number of instances keeps the
/// read rate of the store about constant.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between attempts to resolve the seeds that haven't answered.
const SEED_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Input of the control loop.
pub enum Input {
    /// A peer's message.
    Message(message::Message),
    /// A call to the store ended.
    Stored(store::CallId, store::Reply),
    /// The platform's list of targets; `None` if the store didn't answer.
    Listed(Option<Vec<instance::Instance>>),
    /// Identities of the instances that answer at the seeds' addresses.
    Seeds(Vec<member::Hint>),
    /// This process is shutting down.
    Leave,
    /// Send the final messages to the peers and end.
    Stop(async_channel::Sender<()>),
    /// Dump the state of the process.
    Dump(async_channel::Sender<dump::Dump>),
}

/// State of the control loop.
pub struct Driver {
    context: Arc<Context>,
    control: Control,
    view: view_builder::ViewBuilder,
    inputs: async_channel::Sender<Input>,
    executor: Executor,
    seeds: Vec<member::Hint>,
    hints: Vec<member::Hint>,
    /// Closed once a newer process runs under this instance's name.
    superseded: async_channel::Sender<()>,
}

impl Driver {
    /// Creates a control loop that knows no peers.
    pub fn new(
        context: Arc<Context>,
        active: Arc<ArcSwapOption<ActiveConfig>>,
        inputs: async_channel::Sender<Input>,
        executor: Executor,
        superseded: async_channel::Sender<()>,
    ) -> Self {
        let outputs = view_builder::Outputs {
            engine: Arc::clone(&context.engine),
            snapshot: Arc::clone(&context.snapshot),
            active,
        };
        let settings = control::Settings {
            identity: context.identity(),
            incarnation: context.incarnation,
            generation: wall_clock(),
            seeds: Vec::new(),
            guards: control::Safeguards::default(),
        };
        Self {
            control: Control::new(context.engine.now(), settings, fastrand::Rng::new()),
            view: view_builder::ViewBuilder::new(outputs),
            context,
            inputs,
            executor,
            seeds: Vec::new(),
            hints: Vec::new(),
            superseded,
        }
    }

    /// Runs until [`Input::Stop`].
    pub async fn run(mut self, inbox: async_channel::Receiver<Input>) {
        self.executor.spawn(self.poll_targets()).detach();
        self.executor.spawn(self.resolve_seeds()).detach();
        loop {
            let input = async { inbox.recv().await.ok() };
            let pause = async {
                smol::Timer::after(control::TICK_INTERVAL_MAX).await;
                None
            };
            match future::or(input, pause).await {
                Some(Input::Stop(done)) => {
                    self.handle(control::Event::Stop);
                    self.context.peers.flush().await;
                    let _ = done.try_send(());
                    return;
                }
                Some(input) => self.handle_input(input),
                None => {}
            }
            self.handle(control::Event::Tick);
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Message(message) => self.handle(control::Event::Received(message)),
            Input::Stored(id, reply) => self.handle_store_reply(id, reply),
            Input::Listed(list) => self.handle_list(list),
            Input::Seeds(seeds) => {
                self.seeds = seeds;
                self.handle(control::Event::Hints(self.all_hints()));
            }
            Input::Leave => {
                self.context.engine.leave();
                self.handle(control::Event::Leave);
            }
            Input::Dump(reply) => {
                let _ = reply.try_send(dump::Dump::new(&self.context, &self.control));
            }
            Input::Stop(_) => {}
        }
    }

    fn handle(&mut self, event: control::Event) {
        let mut actions = Vec::new();
        let now = self.context.engine.now();
        self.control.handle(now, event, &mut actions);
        for action in actions {
            self.act(action);
        }
        // After the actions, so that changes after a freeze are published already.
        self.context.last_run.record(now);
    }

    fn act(&mut self, action: control::Action) {
        match action {
            control::Action::Send { to, message } => self.context.peers.tell(to, &message),
            control::Action::Store { id, call } => self.call(id, call),
            control::Action::Install { head, bodies } => self.install(&head, &bodies),
            control::Action::Publish(snapshot) => self.publish(&snapshot),
            control::Action::Notice(notice) => {
                dump::log_notice(&notice);
                if notice == control::Notice::Standing(control::MemberStatus::Superseded) {
                    self.superseded.close();
                }
            }
        }
    }

    fn call(&self, id: store::CallId, call: store::Call) {
        let context = Arc::clone(&self.context);
        let inputs = self.inputs.clone();
        self.context.metrics.store_calls.inc();
        let work = async move {
            let reply = store_calls::run(&*context.store, &call).await;
            if reply == store::Reply::Unavailable {
                context.metrics.store_failures.inc();
            }
            let _ = inputs.try_send(Input::Stored(id, reply));
        };
        self.executor.spawn(work).detach();
    }

    fn handle_store_reply(&mut self, id: store::CallId, reply: store::Reply) {
        let reply = match reply {
            store::Reply::Listed(hints) => {
                self.hints = hints;
                store::Reply::Listed(self.all_hints())
            }
            other => other,
        };
        self.context
            .metrics
            .store_up
            .set(i64::from(reply != store::Reply::Unavailable));
        self.handle(control::Event::StoreReply { id, reply });
    }

    fn handle_list(&mut self, list: Option<Vec<instance::Instance>>) {
        // Without an answer from the store the last list stays in use.
        if let Some(list) = list {
            self.view.set_instances(list);
        }
    }

    fn all_hints(&self) -> Vec<member::Hint> {
        self.seeds.iter().chain(&self.hints).cloned().collect()
    }

    fn install(&mut self, head: &config::Head, bodies: &[config::Body]) {
        let version = head.version;
        match ActiveConfig::verify(head, bodies, &self.context.settings.domain) {
            Ok(active) => {
                let slots = self.view.install(active, &self.context.settings.name);
                self.handle(control::Event::Installed { version, slots });
            }
            Err(error) => {
                log::error!("event=configuration-rejected version={version} error=\"{error}\"");
                self.handle(control::Event::Rejected(version));
            }
        }
    }

    fn publish(&mut self, snapshot: &control::Snapshot) {
        let metrics = &self.context.metrics;
        metrics
            .version
            .set(i64::try_from(snapshot.version.0).unwrap_or(i64::MAX));
        metrics
            .members
            .set(i64::try_from(snapshot.members.len()).unwrap_or(i64::MAX));
        metrics.ready.set(i64::from(snapshot.ready));
        let counts = self.context.peers.counts();
        metrics
            .peer_bytes
            .set(counts.bytes().try_into().unwrap_or(i64::MAX));
        metrics
            .peer_messages
            .set(counts.messages().try_into().unwrap_or(i64::MAX));
        self.context
            .engine
            .set_slot_held(snapshot.share.divisor.is_some());
        self.view.set_members(self.control.record(), snapshot);
    }

    /// Polls this domain's targets. The interval grows with the number of instances
    /// and has jitter, so that instances don't read at the same time.
    fn poll_targets(&self) -> impl Future<Output = ()> + use<> {
        let context = Arc::clone(&self.context);
        let inputs = self.inputs.clone();
        async move {
            let targets = wire::instance::Filter::Targets(context.settings.domain.to_string());
            loop {
                context.metrics.store_calls.inc();
                let list = context.store.instances(&targets).await.ok();
                if list.is_none() {
                    context.metrics.store_failures.inc();
                }
                let list = list.map(|l| {
                    l.instances
                        .into_iter()
                        .map(view_builder::convert_instance)
                        .collect()
                });
                if inputs.send(Input::Listed(list)).await.is_err() {
                    return;
                }
                let fleet = context.snapshot.load().view.members.len();
                let hundreds = u32::try_from(fleet / 100).unwrap_or(u32::MAX);
                let mean = LIST_INTERVAL * hundreds.max(1);
                smol::Timer::after(mean.mul_f64(0.5 + fastrand::f64())).await;
            }
        }
    }

    /// Resolves the identities of the seeds until all have answered.
    fn resolve_seeds(&self) -> impl Future<Output = ()> + use<> {
        let context = Arc::clone(&self.context);
        let inputs = self.inputs.clone();
        async move {
            let mut found: Vec<member::Hint> = Vec::new();
            let mut left = context.settings.seeds.clone();
            while !left.is_empty() && !inputs.is_closed() {
                let mut silent = Vec::new();
                for addr in left {
                    match context.peers.who(addr).await {
                        Some(who) => found.push(hint(who)),
                        None => silent.push(addr),
                    }
                }
                left = silent;
                if inputs.send(Input::Seeds(found.clone())).await.is_err() {
                    return;
                }
                smol::Timer::after(SEED_RETRY_INTERVAL).await;
            }
        }
    }
}

fn hint(who: peer::PeerInfo) -> member::Hint {
    member::Hint {
        name: who.name.into(),
        domain: who.domain.into(),
        peer: who.peer,
    }
}

fn wall_clock() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

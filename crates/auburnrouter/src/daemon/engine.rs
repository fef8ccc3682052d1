//! Drives the dispatcher: passes events to it and executes its actions.
//!
//! Invariant: each request's mailbox gets exactly one final answer, unless the
//! receiver was dropped. Cancelling an attempt drops its task and with it the
//! connection.

mod claim;
mod inner;
mod operation;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use arc_swap::{ArcSwap, ArcSwapOption};
use steer::clock::Time;
use steer::process::{dispatch, share, traffic};
use steer::request::{arrival, outcome, record};
use steer::version::view;
use wire::peer;

use self::inner::Inner;
use self::operation::{Kind, Operation};
use super::inbound::Inbound;
use super::outbound::Outbound;
use super::peers::Peers;
use super::workers::Executor;

/// Timeout of a health probe of a target.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Timeout of a request for a loan of a peer's share of a cap.
const LOAN_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a call that reports a suspect request to a peer.
const SUSPECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Parameters of a request besides its content.
#[derive(Clone, Debug)]
pub struct RequestOptions {
    /// Time left until the caller's deadline, if it set one.
    pub deadline: Option<Duration>,
    /// Sender of the request: a caller or a peer.
    pub origin: arrival::Origin,
    /// Region of the peer that forwarded the request.
    pub via: Option<Arc<str>>,
}

/// Executor and connections that operations use.
pub struct Resources {
    /// Executor of operations.
    pub executor: Executor,
    /// Connections to targets.
    pub outbound: Outbound,
    /// Connections to peers.
    pub peers: Arc<Peers>,
    /// Client of the platform's store.
    pub store: Arc<dyn store::Store>,
}

/// Request engine of one process.
pub struct Engine {
    start: Instant,
    incarnation: view::Incarnation,
    resources: Resources,
    this: Weak<Self>,
    prefix: ArcSwapOption<String>,
    peer_addrs: ArcSwap<Vec<SocketAddr>>,
    identity: dispatch::Identity,
    region: ArcSwapOption<Arc<str>>,
    /// Set when a request arrives; cleared by [`Engine::arrival`].
    arrival_signal: Signal,
    inner: Mutex<Inner>,
}

/// A flag that can be awaited, as a channel of capacity 1.
struct Signal {
    sender: async_channel::Sender<()>,
    receiver: async_channel::Receiver<()>,
}

impl Default for Signal {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender, receiver }
    }
}

/// Reports a disconnected caller when dropped before the request's final answer.
struct DisconnectGuard {
    engine: Arc<Engine>,
    id: arrival::RequestId,
    is_settled: bool,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if !self.is_settled {
            self.engine.disconnect(self.id);
        }
    }
}

impl Engine {
    /// Creates an engine with no requests.
    #[must_use]
    pub fn new(
        decisions: traffic::Traffic,
        identity: dispatch::Identity,
        incarnation: view::Incarnation,
        resources: Resources,
    ) -> Arc<Self> {
        Arc::new_cyclic(|this| Self {
            start: Instant::now(),
            incarnation,
            resources,
            this: Weak::clone(this),
            prefix: ArcSwapOption::empty(),
            peer_addrs: ArcSwap::default(),
            identity,
            region: ArcSwapOption::empty(),
            arrival_signal: Signal::default(),
            inner: Mutex::new(Inner::new(decisions)),
        })
    }

    /// Serves one request until its final answer. Dropping the future reports to the
    /// dispatcher that the caller has disconnected.
    pub async fn serve(
        self: &Arc<Self>,
        request: Inbound,
        options: RequestOptions,
    ) -> peer::FinalResult {
        let (mailbox, settled) = async_channel::bounded(1);
        let id = self.arrive(request, options, mailbox);
        let mut waiting = DisconnectGuard {
            engine: Arc::clone(self),
            id,
            is_settled: false,
        };
        let answer = settled.recv().await;
        waiting.is_settled = true;
        answer.unwrap_or_else(|_| {
            let reason = outcome::Reason::Leaving;
            Err(outcome::Refusal::unknown(reason, None))
        })
    }

    /// Answers a peer's question about a key as its witness; `None` if the process
    /// ends first.
    pub async fn witness(&self, question: record::Question) -> Option<record::Reply> {
        let (mailbox, reply) = async_channel::bounded(1);
        self.start_question(question, mailbox);
        reply.recv().await.ok()
    }

    /// Sets whether this process holds the slot that entitles it to its share of caps.
    pub fn set_slot_held(&self, is_held: bool) {
        self.handle(&mut self.lock(), traffic::Event::SlotHeld(is_held));
    }

    /// Lends a peer part of this process's share of a cap; returns the amount lent,
    /// or 0.
    pub async fn lend(&self, route: share::Route, amount: u64) -> u64 {
        let (mailbox, reply) = async_channel::bounded(1);
        self.start_loan(route, amount, mailbox);
        reply.recv().await.unwrap_or(0)
    }

    /// Handles a peer's report of a request under which targets broke.
    pub fn handle_suspect(&self, fingerprint: arrival::Fingerprint, strikes: u8) {
        let event = traffic::Event::Suspected {
            fingerprint,
            strikes,
        };
        self.handle(&mut self.lock(), event);
    }

    /// Installs a new view.
    pub fn install(&self, view: Arc<view::View>) {
        let others = view.members.values();
        let others = others.filter(|m| m.incarnation != self.incarnation);
        let others = others.map(|m| m.peer).collect();
        self.peer_addrs.store(Arc::new(others));
        let local_domain = view.domain(&self.identity.domain);
        let is_local = |key: &view::Target| Some(view.target_domain(*key)) == local_domain;
        let targets = view.targets.keys().filter(is_local);
        let targets = targets.map(|key| view.targets[key].addr).collect();
        self.resources.outbound.set_targets(targets);
        let region = local_domain.map(|domain| {
            let region = view.domains[domain].region;
            Arc::new(Arc::clone(&view.regions[region].name))
        });
        self.region.store(region);
        self.handle(&mut self.lock(), traffic::Event::View(view));
    }

    /// Runs the timers of the dispatcher and maintains the target connections.
    pub fn tick(&self) {
        self.resources.outbound.maintain();
        self.handle(&mut self.lock(), traffic::Event::Tick);
    }

    /// Waits until a request has arrived since the last call.
    pub async fn arrival(&self) {
        // Can't fail: the engine owns the sender.
        let _ = self.arrival_signal.receiver.recv().await;
    }

    /// Stops running requests with new keys.
    pub fn leave(&self) {
        self.handle(&mut self.lock(), traffic::Event::Leave);
    }

    /// Returns true if nothing is in flight, including for disconnected callers.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        let inner = self.lock();
        inner.decisions.is_drained() && inner.waiting() == 0
    }

    /// Dump of the dispatcher's state, as lines of text for operators.
    #[must_use]
    pub fn dump(&self) -> Vec<String> {
        let now = self.now();
        let mut inner = self.lock();
        let counts = inner.decisions.gate_state().counts();
        let dispatch = inner.decisions.dispatch_state().dump(now).to_string();
        let mut lines: Vec<String> = dispatch.lines().map(str::to_owned).collect();
        lines.push(format!("{counts:?}"));
        for (route, limit, used) in inner.decisions.share_rows(now) {
            lines.push(format!("{route}: {used} of {limit} used this second"));
        }
        lines
    }

    /// Number of requests whose caller waits for the final answer.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.lock().waiting()
    }

    /// Prefix of keys issued now; `None` while none can be issued.
    #[must_use]
    pub fn prefix(&self) -> Option<Arc<String>> {
        self.prefix.load_full()
    }

    /// Time since the engine was created, which is the dispatcher's clock.
    #[must_use]
    pub fn now(&self) -> Time {
        let micros = self.start.elapsed().as_micros();
        Time::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    fn arrive(
        &self,
        request: Inbound,
        options: RequestOptions,
        mailbox: async_channel::Sender<peer::FinalResult>,
    ) -> arrival::RequestId {
        let fingerprint = request.fingerprint();
        let mut inner = self.lock();
        let id = inner.next_request();
        let arrival = arrival::Arrival {
            id,
            service: Arc::clone(&request.service),
            caller: Arc::clone(&request.caller),
            key: request.key.clone(),
            fingerprint,
            deadline: options.deadline,
            bytes: request.bytes(),
            origin: options.origin,
            caller_region: request.caller_region.clone(),
            peer_region: options.via,
        };
        inner.admit(id, request, mailbox);
        // A full channel means that the flag is set already.
        let _ = self.arrival_signal.sender.try_send(());
        self.handle(&mut inner, traffic::Event::Arrive(arrival));
        id
    }

    fn start_loan(&self, route: share::Route, amount: u64, mailbox: async_channel::Sender<u64>) {
        let mut inner = self.lock();
        let ask = inner.add_loan(mailbox);
        self.handle(
            &mut inner,
            traffic::Event::LoanRequested { ask, route, amount },
        );
    }

    fn start_question(
        &self,
        question: record::Question,
        mailbox: async_channel::Sender<record::Reply>,
    ) {
        let mut inner = self.lock();
        let ask = inner.add_question(mailbox);
        self.handle(&mut inner, traffic::Event::PeerAsked { ask, question });
    }

    fn disconnect(&self, id: arrival::RequestId) {
        let mut inner = self.lock();
        if inner.abandon(id) {
            self.handle(&mut inner, traffic::Event::Disconnected(id));
        }
    }

    fn handle(&self, inner: &mut Inner, event: traffic::Event) {
        let mut actions = Vec::new();
        inner.decisions.handle(self.now(), event, &mut actions);
        for action in actions {
            self.act(inner, action);
        }
    }

    fn act(&self, inner: &mut Inner, action: traffic::Action) {
        match action {
            traffic::Action::Send {
                id,
                attempt,
                destination,
                budget,
            } => self.send(inner, id, attempt, destination, budget),
            traffic::Action::Cancel { attempt, .. } => self.cancel(inner, attempt),
            traffic::Action::Reply { id, answer } => inner.settle(id, Ok(answer)),
            traffic::Action::Refuse { id, refusal } => inner.settle(id, Err(refusal)),
            traffic::Action::Forward { id, peer, budget } => {
                let Some(request) = inner.request(id) else {
                    return;
                };
                let addr = peer.addr;
                self.spawn(Kind::Forward { id, addr, request }, budget);
            }
            traffic::Action::Ask {
                ask,
                peer,
                question,
                budget,
            } => {
                let addr = peer.addr;
                self.spawn(
                    Kind::Ask {
                        ask,
                        addr,
                        question,
                    },
                    budget,
                );
            }
            traffic::Action::Respond { ask, reply } => inner.answer_question(ask, reply),
            traffic::Action::Store {
                id,
                key,
                call,
                budget,
            } => self.spawn(Kind::Store { id, key, call }, budget),
            traffic::Action::Probe { target, addr } => {
                self.spawn(Kind::Probe { target, addr }, PROBE_TIMEOUT);
            }
            traffic::Action::Borrow {
                peer,
                route,
                amount,
                asked_at: asked,
            } => {
                let kind = Kind::Borrow {
                    addr: peer,
                    route,
                    amount,
                    asked,
                };
                self.spawn(kind, LOAN_TIMEOUT);
            }
            traffic::Action::Lend { ask, amount } => inner.answer_loan(ask, amount),
            traffic::Action::Suspect {
                fingerprint,
                strikes,
            } => self.spawn(
                Kind::Suspect {
                    fingerprint,
                    strikes,
                },
                SUSPECT_TIMEOUT,
            ),
            traffic::Action::Issue(prefix) => {
                self.prefix.store(prefix.map(|p| Arc::new(p.to_string())));
            }
        }
    }

    /// Starts an operation that is never cancelled.
    fn spawn(&self, kind: Kind, budget: Duration) {
        if let Some(engine) = self.this.upgrade() {
            let operation = Operation {
                engine,
                kind,
                budget,
            };
            self.resources.executor.spawn(operation.run()).detach();
        }
    }

    fn send(
        &self,
        inner: &mut Inner,
        id: arrival::RequestId,
        attempt: arrival::AttemptId,
        destination: dispatch::Destination,
        budget: Duration,
    ) {
        let (Some(request), Some(engine)) = (inner.request(id), self.this.upgrade()) else {
            return;
        };
        let name: Arc<str> = format!("{}-{}", self.incarnation, attempt.0).into();
        let operation = Operation {
            engine,
            kind: Kind::Attempt {
                id,
                attempt,
                name: Arc::clone(&name),
                destination: destination.clone(),
                request,
            },
            budget,
        };
        let task = self.resources.executor.spawn(operation.run());
        inner.add_attempt(attempt, name, destination, task);
    }

    fn cancel(&self, inner: &mut Inner, attempt: arrival::AttemptId) {
        let Some(active) = inner.remove_attempt(attempt) else {
            return;
        };
        let dispatch::Destination::Target { addr, .. } = active.destination else {
            return;
        };
        let name = Arc::clone(&active.name);
        self.spawn(Kind::Cancel { addr, name }, Duration::ZERO);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! Drives the traffic decisions: carries events in and actions out.
//!
//! Invariant: each request's mailbox gets exactly one settled answer, unless
//! its holder is gone; a cancelled attempt's task is dropped, and with it its
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

/// Time for a target to answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for a peer to lend a part of a cap.
const LOAN_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for a peer to take the word on a request that breaks targets.
const SUSPECT_TIMEOUT: Duration = Duration::from_millis(500);

/// What the drivers give the decisions about a request.
#[derive(Clone, Debug)]
pub struct Terms {
    /// Time the caller allows, if it said.
    pub deadline: Option<Duration>,
    /// Where the request came from.
    pub origin: arrival::Origin,
    /// Name of the region of the peer that passed it on.
    pub via: Option<Arc<str>>,
}

/// What errands are run with.
pub struct Resources {
    /// Where errands run.
    pub executor: Executor,
    /// Connections to targets.
    pub outbound: Outbound,
    /// Connections to peers.
    pub peers: Arc<Peers>,
    /// The platform's store.
    pub store: Arc<dyn store::Store>,
}

/// The engine of one process.
pub struct Engine {
    start: Instant,
    incarnation: view::Incarnation,
    resources: Resources,
    this: Weak<Self>,
    prefix: ArcSwapOption<String>,
    peer_addrs: ArcSwap<Vec<SocketAddr>>,
    identity: dispatch::Identity,
    region: ArcSwapOption<Arc<str>>,
    /// Holds a word while something has arrived since it was last taken.
    arrival_signal: Signal,
    inner: Mutex<Inner>,
}

/// A channel with room for one word.
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

/// Tells the decisions that whoever waited for a request has left, unless its
/// answer came first.
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
    /// An engine with nothing in flight.
    #[must_use]
    pub fn new(
        decide: traffic::Traffic,
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
            inner: Mutex::new(Inner::new(decide)),
        })
    }

    /// Serves one request to its settled answer. Dropping the future tells the
    /// decisions that nobody waits any more.
    pub async fn serve(self: &Arc<Self>, request: Inbound, terms: Terms) -> peer::FinalResult {
        let (mailbox, settled) = async_channel::bounded(1);
        let id = self.arrive(request, terms, mailbox);
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

    /// Answers a peer's question to this process as a witness; `None` if the
    /// process ends first.
    pub async fn witness(&self, question: record::Question) -> Option<record::Reply> {
        let (mailbox, reply) = async_channel::bounded(1);
        self.ask_witness(question, mailbox);
        reply.recv().await.ok()
    }

    /// Says whether this process holds its part of every cap.
    pub fn set_slot_held(&self, is_held: bool) {
        self.handle(&mut self.lock(), traffic::Event::SlotHeld(is_held));
    }

    /// Lends a peer a part of a cap; zero is "nothing".
    pub async fn lend(&self, route: share::Route, amount: u64) -> u64 {
        let (mailbox, reply) = async_channel::bounded(1);
        self.request_loan(route, amount, mailbox);
        reply.recv().await.unwrap_or(0)
    }

    /// Takes a peer's word on a request that breaks targets.
    pub fn report_suspect(&self, fingerprint: arrival::Fingerprint, strikes: u8) {
        let event = traffic::Event::Suspected {
            fingerprint,
            strikes,
        };
        self.handle(&mut self.lock(), event);
    }

    /// Puts a new view in force.
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

    /// Lets time pass for the decisions and the connections.
    pub fn tick(&self) {
        self.resources.outbound.upkeep();
        self.handle(&mut self.lock(), traffic::Event::Tick);
    }

    /// Waits until a request arrives.
    pub async fn arrival(&self) {
        // The sending end lives as long as the engine, so it can't fail.
        let _ = self.arrival_signal.receiver.recv().await;
    }

    /// Runs no new keys from now on.
    pub fn leave(&self) {
        self.handle(&mut self.lock(), traffic::Event::Leave);
    }

    /// Whether nothing is in flight, also for callers that have left.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        let inner = self.lock();
        inner.decide.is_drained() && inner.waiting() == 0
    }

    /// The state of the traffic decisions, as lines for people.
    #[must_use]
    pub fn dump(&self) -> Vec<String> {
        let now = self.now();
        let mut inner = self.lock();
        let counts = inner.decide.gate_state().counts();
        let dispatch = inner.decide.dispatch_state().dump(now).to_string();
        let mut lines: Vec<String> = dispatch.lines().map(str::to_owned).collect();
        lines.push(format!("{counts:?}"));
        for (route, limit, used) in inner.decide.share_rows(now) {
            lines.push(format!("{route}: {used} of {limit} used this second"));
        }
        lines
    }

    /// Requests that have no settled answer yet.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.lock().waiting()
    }

    /// What a key issued now starts with; `None` while none can be issued.
    #[must_use]
    pub fn prefix(&self) -> Option<Arc<String>> {
        self.prefix.load_full()
    }

    /// Time since the process's start, as decisions see it.
    #[must_use]
    pub fn now(&self) -> Time {
        let micros = self.start.elapsed().as_micros();
        Time::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    fn arrive(
        &self,
        request: Inbound,
        terms: Terms,
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
            deadline: terms.deadline,
            bytes: request.bytes(),
            origin: terms.origin,
            caller_region: request.caller_region.clone(),
            peer_region: terms.via,
        };
        inner.admit(id, request, mailbox);
        // A word that is there already says the same.
        let _ = self.arrival_signal.sender.try_send(());
        self.handle(&mut inner, traffic::Event::Arrive(arrival));
        id
    }

    fn request_loan(&self, route: share::Route, amount: u64, mailbox: async_channel::Sender<u64>) {
        let mut inner = self.lock();
        let ask = inner.add_loan(mailbox);
        self.handle(
            &mut inner,
            traffic::Event::LoanRequested { ask, route, amount },
        );
    }

    fn ask_witness(
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
        inner.decide.handle(self.now(), event, &mut actions);
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

    /// Starts an operation that nothing cancels.
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

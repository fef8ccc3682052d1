//! Drives the traffic decisions: carries events in and actions out.
//!
//! Invariant: each request's mailbox gets exactly one settled answer, unless
//! its holder is gone; a cancelled attempt's task is dropped, and with it its
//! connection.

mod claim;
mod errand;
mod inner;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use arc_swap::{ArcSwap, ArcSwapOption};
use steer::clock::Time;
use steer::process::{dispatch, share, traffic};
use steer::request::{arrival, outcome, record};
use steer::version::view;
use wire::peer;

use self::errand::{Errand, Kind};
use self::inner::Inner;
use super::inbound::Inbound;
use super::outbound::Outbound;
use super::peers::Peers;
use super::workers::Executor;

/// Time for a target to answer a probe.
const PROBE_TIME: Duration = Duration::from_millis(250);

/// Time for a peer to lend a part of a cap.
const LOAN_TIME: Duration = Duration::from_millis(500);

/// Time for a peer to take the word on a request that breaks targets.
const SUSPECT_TIME: Duration = Duration::from_millis(500);

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
pub struct Means {
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
    means: Means,
    this: Weak<Self>,
    prefix: ArcSwapOption<String>,
    others: ArcSwap<Vec<SocketAddr>>,
    home: dispatch::Identity,
    region: ArcSwapOption<Arc<str>>,
    /// Holds a word while something has arrived since it was last taken.
    arrived: Word,
    inner: Mutex<Inner>,
}

/// A channel with room for one word.
struct Word {
    sender: async_channel::Sender<()>,
    receiver: async_channel::Receiver<()>,
}

impl Default for Word {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender, receiver }
    }
}

/// Tells the decisions that whoever waited for a request has left, unless its
/// answer came first.
struct Waiting {
    engine: Arc<Engine>,
    id: arrival::RequestId,
    settled: bool,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if !self.settled {
            self.engine.gone(self.id);
        }
    }
}

impl Engine {
    /// An engine with nothing in flight.
    #[must_use]
    pub fn new(
        decide: traffic::Traffic,
        home: dispatch::Identity,
        incarnation: view::Incarnation,
        means: Means,
    ) -> Arc<Self> {
        Arc::new_cyclic(|this| Self {
            start: Instant::now(),
            incarnation,
            means,
            this: Weak::clone(this),
            prefix: ArcSwapOption::empty(),
            others: ArcSwap::default(),
            home,
            region: ArcSwapOption::empty(),
            arrived: Word::default(),
            inner: Mutex::new(Inner::new(decide)),
        })
    }

    /// Serves one request to its settled answer. Dropping the future tells the
    /// decisions that nobody waits any more.
    pub async fn serve(self: &Arc<Self>, request: Inbound, terms: Terms) -> peer::Settled {
        let (mailbox, settled) = async_channel::bounded(1);
        let id = self.arrive(request, terms, mailbox);
        let mut waiting = Waiting {
            engine: Arc::clone(self),
            id,
            settled: false,
        };
        let answer = settled.recv().await;
        waiting.settled = true;
        answer.unwrap_or_else(|_| {
            let reason = outcome::Reason::Leaving;
            Err(outcome::Refusal::unknown(reason, None))
        })
    }

    /// Answers a peer's question to this process as a witness; `None` if the
    /// process ends first.
    pub async fn witness(&self, question: record::Question) -> Option<record::Reply> {
        let (mailbox, told) = async_channel::bounded(1);
        self.asked(question, mailbox);
        told.recv().await.ok()
    }

    /// Says whether this process holds its part of every cap.
    pub fn hold(&self, held: bool) {
        self.handle(&mut self.lock(), traffic::Event::SlotHeld(held));
    }

    /// Lends a peer a part of a cap; zero is "nothing".
    pub async fn lend(&self, route: share::Route, amount: u64) -> u64 {
        let (mailbox, told) = async_channel::bounded(1);
        self.wanted(route, amount, mailbox);
        told.recv().await.unwrap_or(0)
    }

    /// Takes a peer's word on a request that breaks targets.
    pub fn suspected(&self, fingerprint: arrival::Fingerprint, strikes: u8) {
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
        self.others.store(Arc::new(others));
        let home = view.domain(&self.home.domain);
        let near = |key: &view::Target| Some(view.target_domain(*key)) == home;
        let targets = view.targets.keys().filter(near);
        let targets = targets.map(|key| view.targets[key].addr).collect();
        self.means.outbound.renew(targets);
        let region = home.map(|domain| {
            let region = view.domains[domain].region;
            Arc::new(Arc::clone(&view.regions[region].name))
        });
        self.region.store(region);
        self.handle(&mut self.lock(), traffic::Event::View(view));
    }

    /// Lets time pass for the decisions and the connections.
    pub fn tick(&self) {
        self.means.outbound.upkeep();
        self.handle(&mut self.lock(), traffic::Event::Tick);
    }

    /// Waits until a request arrives.
    pub async fn arrival(&self) {
        // The sending end lives as long as the engine, so it can't fail.
        let _ = self.arrived.receiver.recv().await;
    }

    /// Runs no new keys from now on.
    pub fn leave(&self) {
        self.handle(&mut self.lock(), traffic::Event::Leave);
    }

    /// Whether nothing is in flight, also for callers that have left.
    #[must_use]
    pub fn drained(&self) -> bool {
        let inner = self.lock();
        inner.decide.is_drained() && inner.waiting() == 0
    }

    /// The state of the traffic decisions, as lines for people.
    #[must_use]
    pub fn dump(&self) -> Vec<String> {
        let now = self.now();
        let mut inner = self.lock();
        let gate = inner.decide.gate_state().counts();
        let dispatch = inner.decide.dispatch_state().dump(now).to_string();
        let mut lines: Vec<String> = dispatch.lines().map(str::to_owned).collect();
        lines.push(format!("{gate:?}"));
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
        mailbox: async_channel::Sender<peer::Settled>,
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
            caller_region: request.home.clone(),
            peer_region: terms.via,
        };
        inner.admit(id, request, mailbox);
        // A word that is there already says the same.
        let _ = self.arrived.sender.try_send(());
        self.handle(&mut inner, traffic::Event::Arrive(arrival));
        id
    }

    fn wanted(&self, route: share::Route, amount: u64, mailbox: async_channel::Sender<u64>) {
        let mut inner = self.lock();
        let ask = inner.expect_loan(mailbox);
        self.handle(
            &mut inner,
            traffic::Event::LoanRequested { ask, route, amount },
        );
    }

    fn asked(&self, question: record::Question, mailbox: async_channel::Sender<record::Reply>) {
        let mut inner = self.lock();
        let ask = inner.expect(mailbox);
        self.handle(&mut inner, traffic::Event::PeerAsked { ask, question });
    }

    fn gone(&self, id: arrival::RequestId) {
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
                self.go(Kind::Forward { id, addr, request }, budget);
            }
            traffic::Action::Ask {
                ask,
                peer,
                question,
                budget,
            } => {
                let addr = peer.addr;
                self.go(
                    Kind::Ask {
                        ask,
                        addr,
                        question,
                    },
                    budget,
                );
            }
            traffic::Action::Respond { ask, reply: word } => inner.tell(ask, word),
            traffic::Action::Store {
                id,
                key,
                call,
                budget,
            } => self.go(Kind::Store { id, key, call }, budget),
            traffic::Action::Probe { target, addr } => {
                self.go(Kind::Probe { target, addr }, PROBE_TIME);
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
                self.go(kind, LOAN_TIME);
            }
            traffic::Action::Lend { ask, amount } => inner.lend(ask, amount),
            traffic::Action::Suspect {
                fingerprint,
                strikes,
            } => self.go(
                Kind::Suspect {
                    fingerprint,
                    strikes,
                },
                SUSPECT_TIME,
            ),
            traffic::Action::Issue(prefix) => {
                self.prefix.store(prefix.map(|p| Arc::new(p.to_string())));
            }
        }
    }

    /// Starts an errand that nothing cancels.
    fn go(&self, kind: Kind, budget: Duration) {
        if let Some(engine) = self.this.upgrade() {
            let errand = Errand {
                engine,
                kind,
                budget,
            };
            self.means.executor.spawn(errand.run()).detach();
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
        let errand = Errand {
            engine,
            kind: Kind::Attempt {
                id,
                attempt,
                name: Arc::clone(&name),
                place: destination.clone(),
                request,
            },
            budget,
        };
        let task = self.means.executor.spawn(errand.run());
        inner.fly(attempt, name, destination, task);
    }

    fn cancel(&self, inner: &mut Inner, attempt: arrival::AttemptId) {
        let Some(flight) = inner.land(attempt) else {
            return;
        };
        let dispatch::Destination::Target { addr, .. } = flight.place else {
            return;
        };
        let name = Arc::clone(&flight.name);
        self.go(Kind::Cancel { addr, name }, Duration::ZERO);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! Drives the traffic decisions: carries events in and actions out.
//!
//! Invariant: each request's mailbox gets exactly one settled answer, unless
//! its holder is gone; a cancelled attempt's task is dropped, and with it its
//! connection.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Instant;

use steer::clock::Time;
use steer::process::dispatch;
use steer::request::{arrival, outcome};
use steer::version::view;
use wire::peer;

use super::inbound::Inbound;
use super::outbound::{self, Outbound};
use super::peers::Peers;
use super::workers::Executor;

/// What the drivers give the decisions about a request.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Time the caller allows, if it said.
    pub deadline: Option<std::time::Duration>,
    /// Where the request came from.
    pub origin: arrival::Origin,
}

struct Pending {
    id: arrival::RequestId,
    request: Arc<Inbound>,
    mailbox: async_channel::Sender<peer::Settled>,
}

struct Flight {
    id: arrival::AttemptId,
    name: Arc<str>,
    place: dispatch::Place,
    _task: smol::Task<()>,
}

struct Inner {
    decide: dispatch::Dispatch,
    requests: Vec<Pending>,
    flights: Vec<Flight>,
    next: u64,
}

/// The engine of one process.
pub struct Engine {
    start: Instant,
    incarnation: view::Incarnation,
    executor: Executor,
    outbound: Outbound,
    peers: Arc<Peers>,
    this: Weak<Engine>,
    inner: Mutex<Inner>,
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
        decide: dispatch::Dispatch,
        incarnation: view::Incarnation,
        executor: Executor,
        outbound: Outbound,
        peers: Arc<Peers>,
    ) -> Arc<Self> {
        Arc::new_cyclic(|this| Self {
            start: Instant::now(),
            incarnation,
            executor,
            outbound,
            peers,
            this: Weak::clone(this),
            inner: Mutex::new(Inner {
                decide,
                requests: Vec::new(),
                flights: Vec::new(),
                next: 0,
            }),
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

    /// Puts a new view in force.
    pub fn install(&self, view: Arc<view::View>) {
        self.handle(&mut self.lock(), dispatch::Event::View(view));
    }

    /// Lets time pass for the decisions.
    pub fn tick(&self) {
        self.handle(&mut self.lock(), dispatch::Event::Tick);
    }

    /// Requests that have no settled answer yet.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.lock().requests.len()
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
        let mut inner = self.lock();
        inner.next += 1;
        let id = arrival::RequestId(inner.next);
        let arrival = arrival::Arrival {
            id,
            service: Arc::clone(&request.service),
            caller: Arc::clone(&request.caller),
            key: request.key.clone(),
            fingerprint: request.fingerprint(),
            deadline: terms.deadline,
            bytes: request.bytes(),
            origin: terms.origin,
        };
        inner.requests.push(Pending {
            id,
            request: Arc::new(request),
            mailbox,
        });
        self.handle(&mut inner, dispatch::Event::Arrive(arrival));
        id
    }

    fn gone(&self, id: arrival::RequestId) {
        let mut inner = self.lock();
        if inner.take_request(id).is_some() {
            self.handle(&mut inner, dispatch::Event::Gone(id));
        }
    }

    fn handle(&self, inner: &mut Inner, event: dispatch::Event) {
        let mut actions = Vec::new();
        inner.decide.handle(self.now(), event, &mut actions);
        for action in actions {
            self.act(inner, action);
        }
    }

    fn act(&self, inner: &mut Inner, action: dispatch::Action) {
        match action {
            dispatch::Action::Send {
                id,
                attempt,
                place,
                budget,
            } => self.send(inner, id, attempt, place, budget),
            dispatch::Action::Cancel { attempt, .. } => self.cancel(inner, attempt),
            dispatch::Action::Reply { id, answer } => inner.settle(id, Ok(answer)),
            dispatch::Action::Refuse { id, refusal } => inner.settle(id, Err(refusal)),
        }
    }

    fn send(
        &self,
        inner: &mut Inner,
        id: arrival::RequestId,
        attempt: arrival::AttemptId,
        place: dispatch::Place,
        budget: std::time::Duration,
    ) {
        let (Some(request), Some(engine)) = (inner.request(id), self.this.upgrade()) else {
            return;
        };
        let name: Arc<str> = format!("{}-{}", self.incarnation, attempt.0).into();
        let flight = Flying {
            engine,
            id,
            attempt,
            name: Arc::clone(&name),
            place: place.clone(),
            budget,
        };
        let task = self.executor.spawn(flight.run(request));
        inner.flights.push(Flight {
            id: attempt,
            name,
            place,
            _task: task,
        });
    }

    fn cancel(&self, inner: &mut Inner, attempt: arrival::AttemptId) {
        let Some(flight) = inner.take_flight(attempt) else {
            return;
        };
        let (dispatch::Place::Target { addr, .. }, Some(engine)) =
            (flight.place.clone(), self.this.upgrade())
        else {
            return;
        };
        let name = Arc::clone(&flight.name);
        let tell = async move { engine.outbound.cancel(addr, &name).await };
        self.executor.spawn(tell).detach();
    }

    fn ended(&self, flight: &Flying, ended: outbound::Ended) {
        let mut inner = self.lock();
        let Some(over) = inner.take_flight(flight.attempt) else {
            return;
        };
        if let Some(report) = ended.report {
            let target = Arc::clone(flight.place.name());
            self.handle(&mut inner, dispatch::Event::Report { target, report });
        }
        let event = dispatch::Event::Ended {
            id: flight.id,
            attempt: flight.attempt,
            ending: ended.ending,
        };
        self.handle(&mut inner, event);
        drop(inner);
        // The flight holds the very task that runs this; it must not be
        // dropped, and so cancelled, before its work is done.
        drop(over);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An attempt on its way.
struct Flying {
    engine: Arc<Engine>,
    id: arrival::RequestId,
    attempt: arrival::AttemptId,
    name: Arc<str>,
    place: dispatch::Place,
    budget: std::time::Duration,
}

impl Flying {
    async fn run(self, request: Arc<Inbound>) {
        let ended = self.carry(&request).await;
        self.engine.ended(&self, ended);
    }

    async fn carry(&self, request: &Inbound) -> outbound::Ended {
        match &self.place {
            dispatch::Place::Target { addr, .. } => {
                let attempt = outbound::Attempt {
                    name: &self.name,
                    addr: *addr,
                    request,
                    budget: self.budget,
                };
                self.engine.outbound.send(attempt).await
            }
            dispatch::Place::Member { peer, .. } => {
                let ending = self.engine.peers.forward(*peer, request, self.budget).await;
                ending.into()
            }
        }
    }
}

impl Inner {
    fn request(&self, id: arrival::RequestId) -> Option<Arc<Inbound>> {
        let at = self.requests.binary_search_by_key(&id, |p| p.id).ok()?;
        Some(Arc::clone(&self.requests[at].request))
    }

    fn take_request(&mut self, id: arrival::RequestId) -> Option<Pending> {
        let at = self.requests.binary_search_by_key(&id, |p| p.id).ok()?;
        Some(self.requests.remove(at))
    }

    fn take_flight(&mut self, id: arrival::AttemptId) -> Option<Flight> {
        let at = self.flights.binary_search_by_key(&id, |f| f.id).ok()?;
        Some(self.flights.remove(at))
    }

    fn settle(&mut self, id: arrival::RequestId, settled: peer::Settled) {
        if let Some(pending) = self.take_request(id) {
            // Nobody may be waiting any more; then nobody is to be told.
            let _ = pending.mailbox.try_send(settled);
        }
    }
}

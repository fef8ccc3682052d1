//! Sends admitted requests to places and settles what becomes of them.
//!
//! Invariant: every request that arrives gets exactly one [`Action::Reply`] or
//! [`Action::Refuse`], unless its caller left; and a request of a service that
//! is not idempotent is never sent again once it may have run.

use core::time::Duration;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::clock::Time;
use crate::request::answer::Answer;
use crate::request::arrival::{Arrival, AttemptId, Origin, RequestId};
use crate::request::outcome::{Outcome, Reason, Refusal};
use crate::version::view::{Domain, Incarnation, Member, Service, State, Target, View};

/// Where an attempt is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    /// A target of this instance's failure domain.
    Target {
        /// Its name.
        name: Arc<str>,
        /// Where it listens.
        addr: SocketAddr,
    },
    /// An entry instance of another failure domain.
    Member {
        /// Its name.
        name: Arc<str>,
        /// Which process.
        incarnation: Incarnation,
        /// Where it listens for peers.
        peer: SocketAddr,
    },
}

impl Place {
    /// Name of the target or entry instance.
    #[must_use]
    pub const fn name(&self) -> &Arc<str> {
        match self {
            Self::Target { name, .. } | Self::Member { name, .. } => name,
        }
    }
}

/// What a target says of itself, in an answer's headers or to a probe. It may
/// lag or mislead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Requests it says it is running.
    pub load: u32,
    /// Whether it says it takes new work.
    pub state: State,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The whole answer came.
    Answered(Arc<Answer>),
    /// The place refused it: certainly not run there.
    Refused {
        /// When the place wants to be asked again.
        after: Option<Duration>,
        /// Whether the place said that it is leaving.
        leaving: bool,
    },
    /// A peer gave up on it and says what is certain.
    PeerRefused(Refusal),
    /// No connection could be opened: certainly not run there.
    Unreachable,
    /// The connection broke after some byte of the request may have left.
    Broken,
    /// The answer was cut short or broke the protocol: the request ran.
    BadAnswer,
    /// Nothing came before the attempt's budget ran out; it was cancelled.
    TimedOut,
}

/// What happens to the dispatcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request that may run has arrived.
    Arrive(Arrival),
    /// An attempt ended.
    Ended {
        /// The request it was for.
        id: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        ending: Ending,
    },
    /// A target reported its load.
    Report {
        /// Name of the target.
        target: Arc<str>,
        /// What it says.
        report: Report,
    },
    /// The caller left without waiting for its answer.
    Gone(RequestId),
    /// A new view is in force.
    View(Arc<View>),
    /// Time passed; due at least every [`TICK`].
    Tick,
}

/// Longest time between two [`Event::Tick`]s.
pub const TICK: Duration = Duration::from_millis(10);

/// What the dispatcher wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to a place; report back by [`Event::Ended`].
    Send {
        /// The request.
        id: RequestId,
        /// Name of this try.
        attempt: AttemptId,
        /// Where to.
        place: Place,
        /// Time after which the driver gives the attempt up.
        budget: Duration,
    },
    /// Stop an attempt; no [`Event::Ended`] is due for it, and its connection
    /// must not be used again.
    Cancel {
        /// The request.
        id: RequestId,
        /// The try to stop.
        attempt: AttemptId,
    },
    /// Give the caller a target's answer.
    Reply {
        /// The request.
        id: RequestId,
        /// The whole answer.
        answer: Arc<Answer>,
    },
    /// Give the caller a final refusal.
    Refuse {
        /// The request.
        id: RequestId,
        /// What to say.
        refusal: Refusal,
    },
}

/// Where this instance stands.
#[derive(Clone, Debug)]
pub struct Home {
    /// Its configured name.
    pub name: Arc<str>,
    /// Name of its failure domain.
    pub domain: Arc<str>,
}

struct Running {
    arrival: Arrival,
    attempt: AttemptId,
    place: Place,
    until: Time,
    tried: Vec<Arc<str>>,
}

/// The dispatcher's state.
pub struct Dispatch {
    home: Home,
    view: Arc<View>,
    running: Vec<Running>,
    attempts: u64,
    rng: fastrand::Rng,
}

/// When a caller is told to come back where nothing better is known.
const COME_BACK: Duration = Duration::from_secs(1);

impl Dispatch {
    /// A dispatcher with nothing in flight and an empty view.
    #[must_use]
    pub fn new(home: Home, rng: fastrand::Rng) -> Self {
        Self {
            home,
            view: Arc::default(),
            running: Vec::new(),
            attempts: 0,
            rng,
        }
    }

    /// Takes one event and appends what is to be done to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Arrive(arrival) => self.arrive(now, arrival, out),
            Event::Ended {
                id,
                attempt,
                ending,
            } => self.ended(now, id, attempt, ending, out),
            Event::Gone(id) => self.gone(id, out),
            Event::View(view) => self.view = view,
            Event::Report { .. } | Event::Tick => {}
        }
    }

    /// Number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    fn arrive(&mut self, now: Time, arrival: Arrival, out: &mut Vec<Action>) {
        let id = arrival.id;
        if self.view.version.0 == 0 {
            let refusal = Refusal::not_run(Reason::NotReady, Some(COME_BACK));
            return out.push(Action::Refuse { id, refusal });
        }
        let Some(service) = self.view.service(&arrival.service) else {
            let refusal = Refusal::not_run(Reason::UnknownService, None);
            return out.push(Action::Refuse { id, refusal });
        };
        let allowed = arrival
            .deadline
            .unwrap_or(self.view.services[service].deadline);
        self.send(now, arrival, now + allowed, Vec::new(), out);
    }

    fn send(
        &mut self,
        now: Time,
        arrival: Arrival,
        until: Time,
        mut tried: Vec<Arc<str>>,
        out: &mut Vec<Action>,
    ) {
        let id = arrival.id;
        let place = self
            .view
            .service(&arrival.service)
            .and_then(|service| self.place(service, arrival.origin, &tried));
        let Some(place) = place else {
            let refusal = Refusal::not_run(Reason::NoTarget, Some(COME_BACK));
            return out.push(Action::Refuse { id, refusal });
        };
        self.attempts += 1;
        let attempt = AttemptId(self.attempts);
        tried.push(Arc::clone(place.name()));
        out.push(Action::Send {
            id,
            attempt,
            place: place.clone(),
            budget: until.since(now),
        });
        let at = self.running.partition_point(|r| r.arrival.id < id);
        let running = Running {
            arrival,
            attempt,
            place,
            until,
            tried,
        };
        self.running.insert(at, running);
    }

    fn place(&mut self, service: Service, origin: Origin, tried: &[Arc<str>]) -> Option<Place> {
        let home = self.view.domain(&self.home.domain);
        if let Some(target) = self.local(service, home, tried) {
            let data = &self.view.targets[target];
            return Some(Place::Target {
                name: Arc::clone(&data.name),
                addr: data.addr,
            });
        }
        if origin == Origin::Peer {
            return None;
        }
        let member = self.remote(service, home, tried)?;
        let data = &self.view.members[member];
        Some(Place::Member {
            name: Arc::clone(&data.name),
            incarnation: data.incarnation,
            peer: data.peer,
        })
    }

    fn local(
        &mut self,
        service: Service,
        home: Option<Domain>,
        tried: &[Arc<str>],
    ) -> Option<Target> {
        let offset = self
            .rng
            .usize(..)
            .wrapping_rem(self.view.targets.len().max(1));
        let fit = self.view.targets.iter().filter(|(key, data)| {
            data.service == service
                && data.state == State::Live
                && home == Some(self.view.target_domain(*key))
                && !tried.contains(&data.name)
        });
        let count = self.view.targets.len();
        fit.min_by_key(|(key, data)| {
            let order = (entity::EntityRef::index(*key) + offset) % count;
            (self.load(&data.name), order)
        })
        .map(|(key, _)| key)
    }

    fn remote(&self, service: Service, home: Option<Domain>, tried: &[Arc<str>]) -> Option<Member> {
        let serves = |domain: Domain| {
            let sites = &self.view.services[service].sites;
            sites.iter().any(|&s| self.view.sites[s].domain == domain)
        };
        let mut fit = self.view.members.iter().filter(|(_, data)| {
            Some(data.domain) != home
                && data.state == State::Live
                && serves(data.domain)
                && !tried.contains(&data.name)
        });
        fit.next().map(|(key, _)| key)
    }

    fn load(&self, name: &Arc<str>) -> usize {
        let here = |r: &&Running| r.place.name() == name;
        self.running.iter().filter(here).count()
    }

    fn ended(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: AttemptId,
        ending: Ending,
        out: &mut Vec<Action>,
    ) {
        let Ok(at) = self.running.binary_search_by_key(&id, |r| r.arrival.id) else {
            return;
        };
        if self.running[at].attempt != attempt {
            return;
        }
        let done = self.running.remove(at);
        let reason = match ending {
            Ending::Answered(answer) => return out.push(Action::Reply { id, answer }),
            Ending::PeerRefused(refusal) if refusal.outcome != Outcome::NotRun => {
                return out.push(Action::Refuse { id, refusal });
            }
            Ending::PeerRefused(_) | Ending::Refused { .. } | Ending::Unreachable => {
                return self.send(now, done.arrival, done.until, done.tried, out);
            }
            Ending::Broken => Reason::Lost,
            Ending::BadAnswer => Reason::BadAnswer,
            Ending::TimedOut => Reason::Deadline,
        };
        let refusal = Refusal::unknown(reason, Some(COME_BACK));
        out.push(Action::Refuse { id, refusal });
    }

    fn gone(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Ok(at) = self.running.binary_search_by_key(&id, |r| r.arrival.id) else {
            return;
        };
        let attempt = self.running.remove(at).attempt;
        out.push(Action::Cancel { id, attempt });
    }
}

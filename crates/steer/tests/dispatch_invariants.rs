//! Property test: invariants of the dispatcher under random sequences of events.

#[path = "dispatch_scenarios/world.rs"]
mod world;

use core::time::Duration;
use std::sync::Arc;

use proptest::prelude::*;
use steer::clock::Time;
use steer::process::dispatch::tuning::Tuning;
use steer::process::dispatch::{
    self, Action, AttemptOutcome, Destination, Dispatch, Event, Report,
};
use steer::request::answer::Answer;
use steer::request::arrival::{Arrival, AttemptId, Fingerprint, Origin, RequestId};
use steer::request::outcome::{Outcome, Reason, Refusal};
use steer::version::view::State;

const SERVICES: [&str; 3] = ["archive", "book", "look"];

const VIEWS: [&[&str]; 6] = [
    &[
        "look-1",
        "look-2",
        "book-1",
        "book-2",
        "archive-1",
        "e2:near",
    ],
    &[
        "look-1",
        "look-2:leaving",
        "book-1",
        "archive-1",
        "e2:near",
        "e3:far",
    ],
    &["look-2", "look-3", "book-2", "book-3"],
    &["e2:near"],
    &["slots=1", "look-1", "book-1", "archive-1"],
    &[],
];

/// One step of a random history.
#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive {
        service: usize,
        fingerprint: u128,
        within: u64,
        peer: bool,
    },
    End {
        nth: usize,
        how: usize,
    },
    Disconnect {
        nth: u64,
    },
    View(usize),
    Report {
        target: usize,
        load: u32,
        leaving: bool,
    },
    Suspected {
        fingerprint: u128,
        strikes: u8,
    },
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..3usize, 0..20u128, 1..400u64, any::<bool>()).prop_map(
            |(service, fingerprint, within, peer)| Step::Arrive { service, fingerprint, within, peer }
        ),
        6 => (0..50usize, 0..9usize).prop_map(|(nth, how)| Step::End { nth, how }),
        1 => (0..200u64).prop_map(|nth| Step::Disconnect { nth }),
        1 => (0..VIEWS.len()).prop_map(Step::View),
        1 => (1..4usize, 0..100u32, any::<bool>()).prop_map(|(target, load, leaving)| {
            Step::Report { target, load, leaving }
        }),
        1 => (0..20u128, 0..3u8).prop_map(|(fingerprint, strikes)| Step::Suspected { fingerprint, strikes }),
        3 => (0..60u64).prop_map(Step::Wait),
    ]
}

/// State of a request as observed by the test.
#[derive(Clone, Debug, Default)]
struct Observed {
    service: usize,
    /// Number of final answers and refusals.
    finals: usize,
    /// Whether its caller disconnected.
    is_gone: bool,
    /// Whether an attempt may have run.
    is_uncertain: bool,
    /// Whether it came from a peer.
    is_from_peer: bool,
}

struct History {
    dispatch: Dispatch,
    now: Time,
    version: u64,
    requests: Vec<Observed>,
    attempts: Vec<(RequestId, AttemptId, Arc<str>)>,
}

impl History {
    fn new(seed: u64) -> Self {
        let identity = dispatch::Identity {
            name: Arc::from("e1"),
            domain: Arc::from("a1"),
        };
        let mut tuning = Tuning::default();
        tuning.limits.in_flight = 12;
        tuning.limits.queue = 16;
        Self {
            dispatch: Dispatch::with_tuning(identity, tuning, fastrand::Rng::with_seed(seed)),
            now: Time::ZERO,
            version: 0,
            requests: Vec::new(),
            attempts: Vec::new(),
        }
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.dispatch.handle(self.now, event, &mut actions);
        for action in actions {
            self.check(action);
        }
    }

    fn observed(&mut self, id: RequestId) -> &mut Observed {
        &mut self.requests[usize::try_from(id.0).expect("few requests")]
    }

    fn check(&mut self, action: Action) {
        match action {
            Action::Send {
                id,
                attempt,
                destination,
                budget,
            } => {
                assert!(budget > Duration::ZERO, "{id} is sent past its deadline");
                let request = self.observed(id).clone();
                assert_eq!(request.finals, 0, "{id} is sent after its answer");
                assert!(
                    !request.is_gone,
                    "{id} is sent though its caller disconnected"
                );
                let is_idempotent = SERVICES[request.service] != "book";
                assert!(is_idempotent || !request.is_uncertain, "{id} may run twice");
                let is_forwarded = matches!(destination, Destination::Member { .. });
                assert!(
                    !(is_forwarded && request.is_from_peer),
                    "{id} is forwarded a second time"
                );
                assert!(
                    self.attempts.iter().all(|o| o.0 != id),
                    "{id} is sent twice at once"
                );
                self.attempts
                    .push((id, attempt, Arc::clone(destination.name())));
            }
            Action::Cancel { id, .. } => self.attempts.retain(|o| o.0 != id),
            Action::Reply { id, .. } => self.observed(id).finals += 1,
            Action::Refuse { id, refusal } => {
                let is_running = self.attempts.iter().any(|o| o.0 == id);
                assert!(!is_running, "{id} is refused while it runs");
                let request = self.observed(id);
                request.finals += 1;
                let is_not_run = refusal.outcome == Outcome::NotRun;
                assert!(
                    !(is_not_run && request.is_uncertain),
                    "{id} may have run: {refusal}"
                );
            }
            Action::Probe { .. }
            | Action::Suspect { .. }
            | Action::Borrow { .. }
            | Action::Lend { .. } => {}
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrive {
                service,
                fingerprint,
                within,
                peer,
            } => {
                let id = RequestId(self.requests.len() as u64);
                self.requests.push(Observed {
                    service,
                    is_from_peer: peer,
                    ..Observed::default()
                });
                self.handle(Event::Arrive(Arrival {
                    id,
                    service: Arc::from(SERVICES[service]),
                    caller: Arc::from(format!("caller-{}", id.0 % 3)),
                    key: None,
                    fingerprint: Fingerprint(fingerprint),
                    deadline: Some(Duration::from_millis(within)),
                    bytes: 1,
                    origin: if peer { Origin::Peer } else { Origin::Caller },
                    caller_region: None,
                    peer_region: None,
                }));
            }
            Step::End { nth, how } if !self.attempts.is_empty() => {
                let (id, attempt, _) = self.attempts.remove(nth % self.attempts.len());
                let outcome = attempt_outcome(how);
                let is_uncertain = matches!(
                    &outcome,
                    AttemptOutcome::Broken | AttemptOutcome::BadAnswer | AttemptOutcome::TimedOut
                ) || matches!(&outcome, AttemptOutcome::PeerRefused(r) if r.outcome != Outcome::NotRun);
                self.observed(id).is_uncertain |= is_uncertain;
                self.handle(Event::Ended {
                    id,
                    attempt,
                    outcome,
                });
            }
            Step::End { .. } => {}
            Step::Disconnect { nth } => {
                let id = RequestId(nth);
                if nth < self.requests.len() as u64 && self.observed(id).finals == 0 {
                    self.observed(id).is_gone = true;
                    self.handle(Event::Disconnected(id));
                }
            }
            Step::View(which) => {
                self.version += 1;
                let view = world::view(self.version, VIEWS[which]);
                self.handle(Event::View(Arc::new(view)));
            }
            Step::Report {
                target,
                load,
                leaving,
            } => {
                let target = Arc::from(format!("look-{target}"));
                let state = if leaving { State::Leaving } else { State::Live };
                let report = Report { load, state };
                self.handle(Event::Report { target, report });
            }
            Step::Suspected {
                fingerprint: value,
                strikes,
            } => {
                let fingerprint = Fingerprint(value);
                self.handle(Event::Suspected {
                    fingerprint,
                    strikes,
                });
            }
            Step::Wait(millis) => {
                self.now = self.now + Duration::from_millis(millis);
                self.handle(Event::Tick);
            }
        }
    }

    /// Ends all attempts by time-outs, and passes the deadlines of all requests
    /// that wait.
    fn drain(&mut self) {
        for _ in 0..1000 {
            if let Some((id, attempt, _)) = self.attempts.pop() {
                let outcome = AttemptOutcome::TimedOut;
                self.observed(id).is_uncertain = true;
                self.handle(Event::Ended {
                    id,
                    attempt,
                    outcome,
                });
            }
            self.now = self.now + dispatch::TICK;
            self.handle(Event::Tick);
        }
        assert_eq!(self.dispatch.in_flight(), 0);
        assert_eq!(self.dispatch.waiting(), 0);
        for (id, request) in self.requests.iter().enumerate() {
            let finals = usize::from(!request.is_gone);
            assert_eq!(request.finals, finals, "answers of request {id}");
        }
    }
}

fn attempt_outcome(how: usize) -> AttemptOutcome {
    let refused = |outcome| {
        AttemptOutcome::PeerRefused(Refusal {
            reason: Reason::Overloaded,
            outcome,
            retry_after: Some(Duration::from_millis(20)),
        })
    };
    match how {
        0 => AttemptOutcome::Refused {
            after: Some(Duration::from_millis(5)),
            leaving: false,
        },
        1 => AttemptOutcome::Refused {
            after: None,
            leaving: true,
        },
        2 => refused(Outcome::NotRun),
        3 => refused(Outcome::Unknown),
        4 => AttemptOutcome::Unreachable,
        5 => AttemptOutcome::Broken,
        6 => AttemptOutcome::BadAnswer,
        7 => AttemptOutcome::TimedOut,
        _ => AttemptOutcome::Answered(Arc::new(Answer {
            status: 200,
            headers: Vec::new(),
            body: Arc::from([]),
        })),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// Guards against lost or double answers, "not run" for a request that may
    /// have run, and a second run of one that is not idempotent, while targets
    /// refuse, hang, break and leave, peers refuse, views change and callers
    /// disconnect.
    #[test]
    fn every_history_holds(seed in 0..1000u64, steps in prop::collection::vec(step(), 1..120)) {
        let mut history = History::new(seed);
        history.step(Step::View(0));
        for step in steps {
            history.step(step);
        }
        history.drain();
    }
}

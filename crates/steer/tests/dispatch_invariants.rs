//! What must hold whatever happens, in whatever order.

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

/// One step of a history.
#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive {
        service: usize,
        print: u128,
        within: u64,
        peer: bool,
    },
    End {
        nth: usize,
        how: usize,
    },
    Gone {
        nth: u64,
    },
    View(usize),
    Report {
        target: usize,
        load: u32,
        leaving: bool,
    },
    Suspected {
        print: u128,
        strikes: u8,
    },
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..3usize, 0..20u128, 1..400u64, any::<bool>()).prop_map(
            |(service, print, within, peer)| Step::Arrive { service, print, within, peer }
        ),
        6 => (0..50usize, 0..9usize).prop_map(|(nth, how)| Step::End { nth, how }),
        1 => (0..200u64).prop_map(|nth| Step::Gone { nth }),
        1 => (0..VIEWS.len()).prop_map(Step::View),
        1 => (1..4usize, 0..100u32, any::<bool>()).prop_map(|(target, load, leaving)| {
            Step::Report { target, load, leaving }
        }),
        1 => (0..20u128, 0..3u8).prop_map(|(print, strikes)| Step::Suspected { print, strikes }),
        3 => (0..60u64).prop_map(Step::Pass),
    ]
}

/// What became of a request.
#[derive(Clone, Debug, Default)]
struct Fate {
    service: usize,
    finals: usize,
    gone: bool,
    doubt: bool,
    peer: bool,
}

struct History {
    dispatch: Dispatch,
    now: Time,
    version: u64,
    fates: Vec<Fate>,
    out: Vec<(RequestId, AttemptId, Arc<str>)>,
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
            fates: Vec::new(),
            out: Vec::new(),
        }
    }

    fn take(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.dispatch.handle(self.now, event, &mut actions);
        for action in actions {
            self.act(action);
        }
    }

    fn fate(&mut self, id: RequestId) -> &mut Fate {
        &mut self.fates[usize::try_from(id.0).expect("few requests")]
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send {
                id,
                attempt,
                destination,
                budget,
            } => {
                assert!(budget > Duration::ZERO, "{id} is sent past its deadline");
                let fate = self.fate(id).clone();
                assert_eq!(fate.finals, 0, "{id} is sent after its answer");
                assert!(!fate.gone, "{id} is sent for nobody");
                let harmless = SERVICES[fate.service] != "book";
                assert!(harmless || !fate.doubt, "{id} may run twice");
                let on = matches!(destination, Destination::Member { .. });
                assert!(!(on && fate.peer), "{id} is passed on again");
                assert!(
                    self.out.iter().all(|o| o.0 != id),
                    "{id} is sent twice at once"
                );
                self.out.push((id, attempt, Arc::clone(destination.name())));
            }
            Action::Cancel { id, .. } => self.out.retain(|o| o.0 != id),
            Action::Reply { id, .. } => self.fate(id).finals += 1,
            Action::Refuse { id, refusal } => {
                let running = self.out.iter().any(|o| o.0 == id);
                assert!(!running, "{id} is refused while it runs");
                let fate = self.fate(id);
                fate.finals += 1;
                let promise = refusal.outcome == Outcome::NotRun;
                assert!(!(promise && fate.doubt), "{id} may have run: {refusal}");
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
                print,
                within,
                peer,
            } => {
                let id = RequestId(self.fates.len() as u64);
                self.fates.push(Fate {
                    service,
                    peer,
                    ..Fate::default()
                });
                self.take(Event::Arrive(Arrival {
                    id,
                    service: Arc::from(SERVICES[service]),
                    caller: Arc::from(format!("caller-{}", id.0 % 3)),
                    key: None,
                    fingerprint: Fingerprint(print),
                    deadline: Some(Duration::from_millis(within)),
                    bytes: 1,
                    origin: if peer { Origin::Peer } else { Origin::Caller },
                    home: None,
                    via: None,
                }));
            }
            Step::End { nth, how } if !self.out.is_empty() => {
                let (id, attempt, _) = self.out.remove(nth % self.out.len());
                let outcome = attempt_outcome(how);
                let doubt = matches!(
                    &outcome,
                    AttemptOutcome::Broken | AttemptOutcome::BadAnswer | AttemptOutcome::TimedOut
                ) || matches!(&outcome, AttemptOutcome::PeerRefused(r) if r.outcome != Outcome::NotRun);
                self.fate(id).doubt |= doubt;
                self.take(Event::Ended {
                    id,
                    attempt,
                    outcome,
                });
            }
            Step::End { .. } => {}
            Step::Gone { nth } => {
                let id = RequestId(nth);
                if nth < self.fates.len() as u64 && self.fate(id).finals == 0 {
                    self.fate(id).gone = true;
                    self.take(Event::Disconnected(id));
                }
            }
            Step::View(which) => {
                self.version += 1;
                let view = world::view(self.version, VIEWS[which]);
                self.take(Event::View(Arc::new(view)));
            }
            Step::Report {
                target,
                load,
                leaving,
            } => {
                let target = Arc::from(format!("look-{target}"));
                let state = if leaving { State::Leaving } else { State::Live };
                let report = Report { load, state };
                self.take(Event::Report { target, report });
            }
            Step::Suspected { print, strikes } => {
                let fingerprint = Fingerprint(print);
                self.take(Event::Suspected {
                    fingerprint,
                    strikes,
                });
            }
            Step::Pass(millis) => {
                self.now = self.now + Duration::from_millis(millis);
                self.take(Event::Tick);
            }
        }
    }

    /// Ends all that runs, and lets the deadlines of all that waits pass.
    fn drain(&mut self) {
        for _ in 0..1000 {
            if let Some((id, attempt, _)) = self.out.pop() {
                let outcome = AttemptOutcome::TimedOut;
                self.fate(id).doubt = true;
                self.take(Event::Ended {
                    id,
                    attempt,
                    outcome,
                });
            }
            self.now = self.now + dispatch::TICK;
            self.take(Event::Tick);
        }
        assert_eq!(self.dispatch.in_flight(), 0);
        assert_eq!(self.dispatch.waiting(), 0);
        for (id, fate) in self.fates.iter().enumerate() {
            let wanted = usize::from(!fate.gone);
            assert_eq!(fate.finals, wanted, "answers of request {id}");
        }
    }
}

fn attempt_outcome(how: usize) -> AttemptOutcome {
    let refused = |outcome| {
        AttemptOutcome::PeerRefused(Refusal {
            reason: Reason::Overloaded,
            outcome,
            after: Some(Duration::from_millis(20)),
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

    /// Callers see one final answer each, never "not run" for what may have
    /// run, and no second run of what must not repeat; while targets refuse,
    /// hang, break and leave, peers refuse, views change and callers go.
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

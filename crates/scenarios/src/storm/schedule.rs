//! What goes wrong and when, drawn from the seed before anything starts.
//!
//! Invariants: the same seed gives the same schedule; nothing is broken twice
//! at a time; at most two entry instances and four targets are out at a time;
//! whatever is broken is mended before the end.

use std::fmt;
use std::time::Duration;

use fastrand::Rng;

use super::setup::{ENTRIES, TARGETS};

/// Something that goes wrong, or is mended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Event {
    /// A process is killed.
    Kill(&'static str),
    /// A process is stopped in its tracks.
    Freeze(&'static str),
    /// It goes on.
    Thaw(&'static str),
    /// An entry instance is told to stop; by the platform's list first, or not.
    Term(&'static str, bool),
    /// Such a process is waited for.
    Reap(&'static str),
    /// A replacement is started.
    Start(&'static str),
    /// A stand-in gets a fault.
    Fault(&'static str, String),
    /// Two operators change the configuration at once, at these instances.
    Apply([usize; 2], [u64; 2]),
    /// A caller sends what crashes targets.
    Poison(usize),
    /// Targets that crashed are replaced.
    Revive,
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Kill(name) => write!(f, "kill {name}"),
            Self::Freeze(name) => write!(f, "freeze {name}"),
            Self::Thaw(name) => write!(f, "thaw {name}"),
            Self::Term(name, listed) => write!(f, "stop {name}, listed as leaving: {listed}"),
            Self::Reap(name) => write!(f, "wait for {name}"),
            Self::Start(name) => write!(f, "start {name}"),
            Self::Fault(name, fault) => write!(f, "fault {name} {fault}"),
            Self::Apply(at, ms) => write!(f, "apply deadlines {ms:?} at entries {at:?}"),
            Self::Poison(number) => write!(f, "poison {number}"),
            Self::Revive => write!(f, "replace crashed targets"),
        }
    }
}

/// An event and its time from the start, in milliseconds.
pub(super) type Timed = (u64, Event);

/// Until then only the first poison goes wrong.
const CALM_MS: u64 = 3000;

/// Time before the end in which nothing new goes wrong.
const TAIL_MS: u64 = 2500;

/// How an entry instance goes.
#[derive(Clone, Copy, Debug)]
enum Way {
    Kill,
    Freeze,
    Term,
}

struct Draw {
    rng: Rng,
    end: u64,
    busy: Vec<(&'static str, u64)>,
    bag: Vec<Way>,
    events: Vec<Timed>,
}

/// The schedule of a storm of this length.
pub(super) fn draw(seed: u64, span: Duration) -> Vec<Timed> {
    let end = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    let mut draw = Draw {
        rng: Rng::with_seed(seed),
        end: end.saturating_sub(TAIL_MS),
        busy: Vec::new(),
        bag: Vec::new(),
        events: vec![(700, Event::Poison(0))],
    };
    let mut at = CALM_MS;
    draw.events.push((CALM_MS, Event::Revive));
    while at < draw.end {
        draw.one(at);
        at += draw.rng.u64(100..450);
    }
    for at in (CALM_MS..end).step_by(1500) {
        draw.events.push((at, Event::Revive));
    }
    draw.events.push((end, Event::Revive));
    draw.events.sort_by_key(|(at, _)| *at);
    draw.events
}

impl Draw {
    fn one(&mut self, at: u64) {
        match self.rng.u8(..100) {
            0..30 => self.entry(at),
            30..75 => self.target(at),
            75..87 => self.store(at),
            87..96 => self.apply(at),
            _ => {
                let number = self.events.len();
                self.events.push((at, Event::Poison(number)));
            }
        }
    }

    /// Someone of these who is well, if not too many are out.
    fn pick(&mut self, at: u64, names: &[&'static str], most: usize) -> Option<&'static str> {
        self.busy.retain(|(_, until)| *until > at);
        let out = |name: &&&str| self.busy.iter().any(|(busy, _)| busy == *name);
        let well: Vec<&'static str> = names.iter().filter(|n| !out(n)).copied().collect();
        if names.len() - well.len() >= most {
            return None;
        }
        self.rng.choice(well)
    }

    /// Out from `at` for a time drawn from these bounds; gives its end.
    fn out(&mut self, at: u64, name: &'static str, least: u64, most: u64) -> u64 {
        let until = (at + self.rng.u64(least..most)).min(self.end + TAIL_MS / 2);
        self.busy.push((name, until + 200));
        until
    }

    /// Each way once, in an order drawn anew each time: a short storm has all.
    fn way(&mut self) -> Way {
        if self.bag.is_empty() {
            self.bag.extend([Way::Kill, Way::Freeze, Way::Term]);
            self.rng.shuffle(&mut self.bag);
        }
        self.bag.pop().unwrap_or(Way::Kill)
    }

    fn entry(&mut self, at: u64) {
        let names = ENTRIES.map(|(name, _)| name);
        let Some(name) = self.pick(at, &names, 2) else {
            return;
        };
        match self.way() {
            Way::Kill => {
                let until = self.out(at, name, 300, 2000);
                self.events.push((at, Event::Kill(name)));
                self.events.push((until, Event::Start(name)));
            }
            Way::Freeze => {
                let until = self.out(at, name, 2500, 6000);
                self.events.push((at, Event::Freeze(name)));
                self.events.push((until, Event::Thaw(name)));
            }
            Way::Term => {
                let until = self.out(at, name, 2500, 3500);
                let listed = self.rng.bool();
                self.events.push((at, Event::Term(name, listed)));
                self.events.push((until, Event::Reap(name)));
                self.events.push((until + 1, Event::Start(name)));
            }
        }
    }

    fn target(&mut self, at: u64) {
        let names = TARGETS.map(|(name, ..)| name);
        let Some(name) = self.pick(at, &names, 4) else {
            return;
        };
        match self.rng.u8(..8) {
            0 | 1 => {
                let until = self.out(at, name, 200, 2000);
                self.events.push((at, Event::Kill(name)));
                self.events.push((until, Event::Start(name)));
            }
            2 => {
                let until = self.out(at, name, 2500, 5000);
                self.events.push((at, Event::Freeze(name)));
                self.events.push((until, Event::Thaw(name)));
            }
            3 => {
                let until = self.out(at, name, 1000, 2000);
                let refuse = self.rng.bool();
                let fault = format!(r#"{{"kind":"drain","refuse":{refuse}}}"#);
                self.events.push((at, Event::Fault(name, fault)));
                self.events.push((until, Event::Kill(name)));
                self.events.push((until + 1, Event::Start(name)));
            }
            _ => {
                let until = self.out(at, name, 400, 2500);
                let fault = self.rng.choice(TARGET_FAULTS).unwrap_or(HEAL);
                self.events.push((at, Event::Fault(name, fault.to_owned())));
                self.events
                    .push((until, Event::Fault(name, HEAL.to_owned())));
            }
        }
    }

    fn store(&mut self, at: u64) {
        const NAME: &str = crate::world::STORE;
        if self.pick(at, &[NAME], 1).is_none() {
            return;
        }
        let until = self.out(at, NAME, 500, 4000);
        let fault = self.rng.choice(STORE_FAULTS).unwrap_or(HEAL);
        self.events.push((at, Event::Fault(NAME, fault.to_owned())));
        self.events
            .push((until, Event::Fault(NAME, HEAL.to_owned())));
    }

    fn apply(&mut self, at: u64) {
        let entries = [0; 2].map(|_| self.rng.usize(..ENTRIES.len()));
        let deadlines = [0; 2].map(|_| self.rng.u64(1200..2000));
        self.events.push((at, Event::Apply(entries, deadlines)));
    }
}

const HEAL: &str = r#"{"kind":"none"}"#;

const TARGET_FAULTS: [&str; 8] = [
    r#"{"kind":"half-answer"}"#,
    r#"{"kind":"late","ms":3000}"#,
    r#"{"kind":"twice"}"#,
    r#"{"kind":"shed"}"#,
    r#"{"kind":"cut"}"#,
    r#"{"kind":"hang"}"#,
    r#"{"kind":"garbled"}"#,
    r#"{"kind":"slow","ms":300}"#,
];

const STORE_FAULTS: [&str; 6] = [
    r#"{"kind":"outage"}"#,
    r#"{"kind":"keys-outage"}"#,
    r#"{"kind":"refuse"}"#,
    r#"{"kind":"hang"}"#,
    r#"{"kind":"slow","ms":400}"#,
    r#"{"kind":"lost-answer"}"#,
];

//! Interpreter of the scripts: feeds events to a dispatcher, prints its actions.
//!
//! | line | meaning |
//! |---|---|
//! | `at 20ms` / `+5ms` | time passes, with a tick each 10 ms |
//! | `view 2 look-1 look-2:leaving e2:near` | a view comes into force |
//! | `arrive 1..9 look caller=c print=7 within=50ms from=peer` | requests with fingerprint 7 arrive |
//! | `answer 1 [status=500]` | a complete answer to request 1 is received |
//! | `refuse 1 [after=5ms] [leaving]` | the target or peer refuses the request |
//! | `unreachable`, `break`, `garble`, `time-out` `1` | other outcomes of an attempt |
//! | `peer-refuse 1 overloaded [unknown]` | a peer sends a final refusal |
//! | `report look-1 99 [leaving]` | a target reports its load and state |
//! | `probed look-1 [dead]` | a probe ends |
//! | `suspected 7 2` | a peer reports 2 strikes against fingerprint 7 |
//! | `gone 1` | the caller disconnects |
//! | `quiet` / `loud` | stop or start printing actions |
//! | `dump` | print the state |
//! | `mark` | reset the counts |
//! | `check look-1 <= 3` | attempts sent to an endpoint since the mark |
//! | `check refused-poison >= 1` | refusals by reason since the mark |
//! | `check replies = 9`, `check sends <= 12`, `check probes <= 1` | likewise |

use core::fmt::Write;
use core::time::Duration;
use std::sync::Arc;

use steer::clock::Time;
use steer::process::dispatch::tuning::Tuning;
use steer::process::dispatch::{
    self, Action, AttemptOutcome, Destination, Dispatch, Event, Report,
};
use steer::request::answer::Answer;
use steer::request::arrival::{Arrival, AttemptId, Fingerprint, Origin, RequestId};
use steer::request::outcome::{Outcome, Reason, Refusal};
use steer::version::view::State;

use super::world;

const REASONS: [Reason; 6] = [
    Reason::Overloaded,
    Reason::NoTarget,
    Reason::Deadline,
    Reason::Leaving,
    Reason::Poison,
    Reason::Lost,
];

struct Script {
    dispatch: Dispatch,
    now: Time,
    is_loud: bool,
    attempts: Vec<(RequestId, AttemptId, Arc<str>)>,
    counts: Vec<(String, usize)>,
    out: String,
}

/// Runs a case; its arguments are `off=SAFEGUARD,...`, `seed=N`, `queue=N`
/// and `in-flight=N`.
pub fn run(case: &mut datadriven::TestCase) -> String {
    let mut tuning = Tuning::default();
    let off = case.words("off");
    for name in &off {
        let safeguard = name.parse().expect("a safeguard's name");
        tuning.safeguards = tuning.safeguards.without(safeguard);
    }
    if let Some(queue) = number(case, "queue") {
        tuning.limits.queue = queue;
    }
    if let Some(flight) = number(case, "in-flight") {
        tuning.limits.in_flight = flight;
    }
    let seed = number(case, "seed").unwrap_or(1);
    let identity = dispatch::Identity {
        name: Arc::from("e1"),
        domain: Arc::from("a1"),
    };
    let rng = fastrand::Rng::with_seed(seed as u64);
    let mut script = Script {
        dispatch: Dispatch::with_tuning(identity, tuning, rng),
        now: Time::ZERO,
        is_loud: true,
        attempts: Vec::new(),
        counts: Vec::new(),
        out: String::new(),
    };
    for line in case.input.lines().map(str::trim).filter(|l| !l.is_empty()) {
        script.line(line);
    }
    // Recording outputs must not hide that a check fails, nor that the checks
    // hold without the safeguard.
    let is_broken = script.out.contains("BROKEN");
    assert_eq!(is_broken, !off.is_empty(), "off {off:?}:\n{}", script.out);
    script.out
}

trait Args {
    fn words(&mut self, name: &str) -> Vec<String>;
}

impl Args for datadriven::TestCase {
    fn words(&mut self, name: &str) -> Vec<String> {
        self.args.remove(name).unwrap_or_default()
    }
}

fn number(case: &mut datadriven::TestCase, name: &str) -> Option<usize> {
    let word = case.words(name).pop()?;
    Some(word.parse().expect("a number"))
}

impl Script {
    fn line(&mut self, line: &str) {
        if let Some(span) = line.strip_prefix('+') {
            return self.pass_time(self.now + span_of(span));
        }
        let words: Vec<&str> = line.split_whitespace().collect();
        match words[0] {
            "at" => self.pass_time(Time::ZERO + span_of(words[1])),
            "view" => self.view(&words[1..]),
            "arrive" => self.arrive(&words[1..]),
            "report" | "probed" => self.report(&words),
            "suspected" => {
                let fingerprint = Fingerprint(words[1].parse().expect("a fingerprint"));
                let strikes = words[2].parse().expect("strikes");
                self.handle(Event::Suspected {
                    fingerprint,
                    strikes,
                });
            }
            "gone" => self.handle(Event::Disconnected(RequestId(
                words[1].parse().expect("a request"),
            ))),
            "dump" => {
                let dump = self.dispatch.dump(self.now);
                write!(self.out, "{dump}").expect("writing to a string succeeds");
            }
            "quiet" => self.is_loud = false,
            "loud" => self.is_loud = true,
            "mark" => self.counts.clear(),
            "check" => self.check(&words[1..]),
            _ => self.end_attempts(&words),
        }
    }

    fn pass_time(&mut self, until: Time) {
        while self.now + dispatch::TICK <= until {
            self.now = self.now + dispatch::TICK;
            self.handle(Event::Tick);
        }
        self.now = until;
    }

    fn view(&mut self, words: &[&str]) {
        let version = words[0].parse().expect("a version");
        let view = world::view(version, &words[1..]);
        self.handle(Event::View(Arc::new(view)));
    }

    fn arrive(&mut self, words: &[&str]) {
        let option = |name: &str| words.iter().find_map(|w| w.strip_prefix(name));
        for id in range(words[0]) {
            let fingerprint = option("print=").map_or(1_000_000 + u128::from(id), |p| {
                p.parse().expect("a fingerprint")
            });
            let is_from_peer = option("from=").is_some();
            self.handle(Event::Arrive(Arrival {
                id: RequestId(id),
                service: Arc::from(words[1]),
                caller: Arc::from(option("caller=").unwrap_or("caller")),
                key: None,
                fingerprint: Fingerprint(fingerprint),
                deadline: option("within=").map(span_of),
                bytes: 100,
                origin: if is_from_peer {
                    Origin::Peer
                } else {
                    Origin::Caller
                },
                caller_region: None,
                peer_region: None,
            }));
        }
    }

    fn report(&mut self, words: &[&str]) {
        let target = Arc::from(words[1]);
        let is_leaving = words.last() == Some(&"leaving");
        let report = Report {
            load: words.get(2).and_then(|w| w.parse().ok()).unwrap_or(0),
            state: if is_leaving {
                State::Leaving
            } else {
                State::Live
            },
        };
        let is_dead = words.last() == Some(&"dead");
        let event = match words[0] {
            "report" => Event::Report { target, report },
            _ => Event::Probed {
                target,
                report: (!is_dead).then_some(report),
            },
        };
        self.handle(event);
    }

    fn end_attempts(&mut self, words: &[&str]) {
        let option = |name: &str| words.iter().find_map(|w| w.strip_prefix(name));
        let has = |word: &str| words.contains(&word);
        let outcome = match words[0] {
            "answer" => AttemptOutcome::Answered(Arc::new(Answer {
                status: option("status=").map_or(200, |s| s.parse().expect("a status")),
                headers: Vec::new(),
                body: Arc::from([]),
            })),
            "refuse" => AttemptOutcome::Refused {
                after: option("after=").map(span_of),
                leaving: has("leaving"),
            },
            "peer-refuse" => AttemptOutcome::PeerRefused(Refusal {
                reason: reason(words[2]),
                outcome: if has("unknown") {
                    Outcome::Unknown
                } else {
                    Outcome::NotRun
                },
                retry_after: option("after=").map(span_of),
            }),
            "unreachable" => AttemptOutcome::Unreachable,
            "break" => AttemptOutcome::Broken,
            "garble" => AttemptOutcome::BadAnswer,
            "time-out" => AttemptOutcome::TimedOut,
            other => panic!("no line starts with {other:?}; see the table in script.rs"),
        };
        for id in self.select(words[1]) {
            let Some(at) = self.attempts.iter().position(|a| a.0 == id) else {
                continue;
            };
            let (id, attempt, _) = self.attempts.remove(at);
            self.handle(Event::Ended {
                id,
                attempt,
                outcome: outcome.clone(),
            });
        }
    }

    /// Returns the requests of a range, those in flight at an endpoint or at all
    /// (`all`), or those at the endpoint of a request (`beside-1`).
    fn select(&self, word: &str) -> Vec<RequestId> {
        if let Some(id) = word.strip_prefix("beside-") {
            let id = RequestId(id.parse().expect("a request"));
            let name = self.attempts.iter().find(|a| a.0 == id).map(|a| &*a.2);
            return name.map_or_else(Vec::new, |name| self.select(name));
        }
        if word.starts_with(|c: char| c.is_ascii_digit()) {
            return range(word).map(RequestId).collect();
        }
        let running = self
            .attempts
            .iter()
            .filter(|a| word == "all" || *a.2 == *word);
        running.map(|a| a.0).collect()
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.dispatch.handle(self.now, event, &mut actions);
        for action in actions {
            self.print(&action);
        }
    }

    fn print(&mut self, action: &Action) {
        let now = self.now;
        let line = match action {
            Action::Send {
                id,
                attempt,
                destination,
                budget,
            } => {
                let name = Arc::clone(destination.name());
                let kind = if matches!(destination, Destination::Member { .. }) {
                    "peer "
                } else {
                    ""
                };
                self.count("sends");
                self.count(&name);
                self.attempts.retain(|a| a.0 != *id);
                self.attempts.push((*id, *attempt, Arc::clone(&name)));
                format!("{id} to {kind}{name}, {}ms", budget.as_millis())
            }
            Action::Cancel { id, .. } => {
                self.attempts.retain(|a| a.0 != *id);
                format!("{id} cancelled")
            }
            Action::Reply { id, answer } => {
                self.count("replies");
                format!("{id} answered {}", answer.status)
            }
            Action::Refuse { id, refusal } => {
                self.count("refused");
                self.count(&format!("refused-{}", refusal.reason));
                format!("{id} refused: {refusal}")
            }
            Action::Probe { target, .. } => {
                self.count("probes");
                format!("probe {target}")
            }
            Action::Borrow { route, amount, .. } => format!("borrow {amount} of {route}"),
            Action::Lend { amount, .. } => format!("lend {amount}"),
            Action::Suspect {
                fingerprint,
                strikes,
            } => {
                format!(
                    "tell peers: fingerprint {}, strikes {strikes}",
                    fingerprint.0
                )
            }
        };
        if self.is_loud {
            writeln!(self.out, "{now} {line}").expect("writing to a string succeeds");
        }
    }

    fn count(&mut self, name: &str) {
        match self.counts.iter_mut().find(|c| c.0 == name) {
            Some(count) => count.1 += 1,
            None => self.counts.push((name.to_owned(), 1)),
        }
    }

    fn check(&mut self, words: &[&str]) {
        let bound: usize = words[2].parse().expect("a number");
        let found = self
            .counts
            .iter()
            .find(|c| c.0 == words[0])
            .map_or(0, |c| c.1);
        let holds = match words[1] {
            "<=" => found <= bound,
            ">=" => found >= bound,
            _ => found == bound,
        };
        let verdict = if holds { "holds" } else { "BROKEN" };
        let text = words.join(" ");
        writeln!(self.out, "{verdict}: {text} ({found})").expect("writing to a string succeeds");
    }
}

fn reason(word: &str) -> Reason {
    let found = REASONS.iter().find(|r| r.as_str() == word);
    *found.expect("a reason of the table in script.rs")
}

fn range(word: &str) -> core::ops::RangeInclusive<u64> {
    let (first, last) = word.split_once("..").unwrap_or((word, word));
    first.parse().expect("a request")..=last.parse().expect("a request")
}

fn span_of(word: &str) -> Duration {
    let (number, unit) = word.split_at(word.find(char::is_alphabetic).expect("a unit"));
    let number: u64 = number.parse().expect("a number");
    match unit {
        "us" => Duration::from_micros(number),
        "ms" => Duration::from_millis(number),
        "s" => Duration::from_secs(number),
        other => panic!("no unit {other:?}; use us, ms or s"),
    }
}

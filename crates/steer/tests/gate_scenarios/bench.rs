//! Feeds the events of a scenario to entry0's engine and prints its actions.

use core::fmt::Write;
use core::time::Duration;
use std::sync::Arc;

use steer::clock::Time;
use steer::process::dispatch::{Home, Place};
use steer::process::gate::Limits;
use steer::process::traffic::{Action, Event, Traffic};
use steer::request::arrival::{Arrival, AttemptId, Fingerprint, Origin, RequestId};
use steer::request::key::{Prefix, Stamp};
use steer::request::outcome::Refusal;
use steer::request::record::{AskId, Question, StoreCall};

use super::line::Line;
use super::scene;

struct Bench {
    now: Time,
    traffic: Traffic,
    keys: Vec<(String, Arc<str>)>,
}

/// Runs a scenario from a fresh start.
pub fn run(input: &str) -> String {
    let mut bench = Bench::new(Limits::default());
    let mut text = String::new();
    for line in input.lines() {
        writeln!(text, "{line}").expect("a string takes all");
        for said in bench.take(&Line::parse(line)) {
            writeln!(text, "    {said}").expect("a string takes all");
        }
    }
    text
}

impl Bench {
    fn new(limits: Limits) -> Self {
        let home = Home {
            name: "entry0".into(),
            domain: "domain0".into(),
        };
        let rng = fastrand::Rng::with_seed(1);
        Self {
            now: Time::ZERO,
            traffic: Traffic::new(home, scene::INCARNATIONS[0], limits, rng),
            keys: Vec::new(),
        }
    }

    fn feed(&mut self, event: Event) -> Vec<String> {
        let mut out = Vec::new();
        // Control is well here, and the caps are wide: neither bears on keys.
        self.traffic.handle(self.now, Event::Hold(true), &mut out);
        self.traffic.handle(self.now, event, &mut out);
        // Probes of targets and gossip about them are not what is tested here.
        out.retain(|a| {
            !matches!(
                a,
                Action::Probe { .. } | Action::Suspect { .. } | Action::Borrow { .. }
            )
        });
        out.iter().map(|action| self.show(action)).collect()
    }

    fn take(&mut self, line: &Line<'_>) -> Vec<String> {
        let id = || RequestId(line.number("id").expect("the line names a request"));
        let ask = || AskId(line.number("ask").expect("the line names a question"));
        match line.word {
            "start" => {
                *self = Self::new(limits(line));
                self.feed(Event::View(view(line)))
            }
            "view" => self.feed(Event::View(view(line))),
            "key" => vec![self.key(line)],
            "arrive" => {
                let arrival = self.arrival(line, id());
                self.feed(Event::Arrive(arrival))
            }
            "ended" => self.feed(Event::Ended {
                id: id(),
                attempt: AttemptId(line.number("attempt").expect("the line names an attempt")),
                ending: line.ending(),
            }),
            "forwarded" => self.feed(Event::Forwarded {
                id: id(),
                ending: line.ending(),
            }),
            "told" => self.feed(Event::Told {
                ask: ask(),
                word: line.told(),
            }),
            "asked" => self.feed(Event::Asked {
                ask: ask(),
                question: self.question(line),
            }),
            "stored" => self.feed(Event::Stored {
                id: id(),
                result: line.stored(),
            }),
            "gone" => self.feed(Event::Gone(id())),
            "leave" => self.feed(Event::Leave),
            "clock" | "sleep" => {
                let ms = line.number("ms").expect("the line gives a span");
                self.now = self.now + Duration::from_millis(ms);
                match line.word {
                    "clock" => self.feed(Event::Tick),
                    _ => Vec::new(),
                }
            }
            "state" => {
                let counts = self.traffic.gate_state().counts();
                let drained = self.traffic.drained();
                vec![format!("{counts}; drained: {drained}")]
            }
            other => panic!("no event is called {other}"),
        }
    }

    /// `key name=k` looks one up, `owner=` puts one together by hand, `text=`
    /// gives it as it stands.
    fn key(&mut self, line: &Line<'_>) -> String {
        let name = line.get("name").expect("the key has a name");
        let text = match (line.get("text"), line.get("owner")) {
            (Some(text), _) => text.to_owned(),
            (None, Some(owner)) => {
                let prefix = Prefix {
                    owner: stamp(owner, line.number("epoch")),
                    witness: line.get("witness").map(|w| stamp(w, line.number("told"))),
                };
                format!("{prefix}nonce-of-sixteen-{name}")
            }
            (None, None) => {
                let prefix = self.traffic.key_prefix(self.now);
                let prefix = prefix.expect("the process can serve");
                format!("{prefix}nonce-of-sixteen-{name}")
            }
        };
        self.keys.push((name.to_owned(), text.as_str().into()));
        text
    }

    fn text(&self, name: &str) -> Arc<str> {
        let found = self.keys.iter().rev().find(|(n, _)| n == name);
        Arc::clone(&found.expect("the key was made").1)
    }

    fn name(&self, text: &Arc<str>) -> &str {
        let found = self.keys.iter().rev().find(|(_, t)| t == text);
        &found.expect("the key was made").0
    }

    fn arrival(&self, line: &Line<'_>, id: RequestId) -> Arrival {
        Arrival {
            id,
            service: line.get("service").unwrap_or("lodgement").into(),
            caller: line.get("caller").unwrap_or("caller").into(),
            key: line.get("key").map(|name| self.text(name)),
            fingerprint: Fingerprint(u128::from(line.number("body").unwrap_or(0))),
            deadline: line.number("ms").map(Duration::from_millis),
            bytes: 100,
            home: None,
            via: None,
            origin: match line.get("from") {
                Some("forward") => Origin::Forward,
                Some("peer") => Origin::Peer,
                _ => Origin::Caller,
            },
        }
    }

    fn question(&self, line: &Line<'_>) -> Question {
        match (line.get("claim"), line.get("seal")) {
            (Some(name), _) => Question::Claim(self.text(name)),
            (_, Some(name)) => Question::Seal(self.text(name)),
            _ => Question::Epoch,
        }
    }

    fn show(&self, action: &Action) -> String {
        match action {
            Action::Send {
                id, attempt, place, ..
            } => {
                let kind = match place {
                    Place::Target { .. } => "target",
                    Place::Member { .. } => "peer",
                };
                format!("send {id} as {attempt} to {kind} {}", place.name())
            }
            Action::Cancel { id, attempt } => format!("cancel {id} {attempt}"),
            Action::Reply { id, answer } => {
                let body = String::from_utf8_lossy(&answer.body);
                format!("reply {id}: {} {body}", answer.status)
            }
            Action::Refuse { id, refusal } => {
                // How long is the dispatcher's choice, and jittered.
                let after = refusal.after.map_or("", |_| ", come back");
                let Refusal {
                    reason, outcome, ..
                } = refusal;
                format!(
                    "refuse {id}: {} {reason} ({outcome}){after}",
                    reason.status()
                )
            }
            Action::Forward { id, peer, .. } => format!("forward {id} to {}", peer.name),
            Action::Ask {
                ask,
                peer,
                question,
                ..
            } => {
                let what = match question {
                    Question::Claim(key) => format!("claim {}", self.name(key)),
                    Question::Seal(key) => format!("seal {}", self.name(key)),
                    Question::Epoch => "which epoch?".into(),
                };
                format!("ask{} to {}: {what}", ask.0, peer.name)
            }
            Action::Tell { ask, word } => format!("tell ask{}: {word}", ask.0),
            Action::Store { id, key, call, .. } => {
                let what = match call {
                    StoreCall::Create(attempt) => format!("create {attempt}"),
                    StoreCall::Read => "read".into(),
                };
                format!("store {id} {}: {what}", self.name(key))
            }
            Action::Probe { .. }
            | Action::Suspect { .. }
            | Action::Borrow { .. }
            | Action::Lend { .. } => unreachable!("not shown"),
            Action::Issue(Some(prefix)) => format!("issue {prefix}"),
            Action::Issue(None) => "issue nothing".into(),
        }
    }
}

fn stamp(process: &str, epoch: Option<u64>) -> Stamp {
    let index: usize = process.parse().expect("a process's number");
    Stamp {
        incarnation: scene::INCARNATIONS[index],
        epoch: epoch.unwrap_or(0),
    }
}

fn view(line: &Line<'_>) -> Arc<steer::version::view::View> {
    let listed = line.get("alive").expect("the line says who lives");
    let index = |text: &str| text.parse().expect("a process's number");
    let alive: Vec<usize> = listed.split(',').map(index).collect();
    scene::view(&alive, line.get("targets") != Some("none"))
}

fn limits(line: &Line<'_>) -> Limits {
    let usual = Limits::default();
    Limits {
        records: line.count("records", usual.records),
        held: line.count("held", usual.held),
        caller: line.count("caller", usual.caller),
        waiters: line.count("waiters", usual.waiters),
        answers: line.number("answers").unwrap_or(usual.answers),
        // Later probes would clutter the scenarios.
        probe: Duration::from_hours(24),
        ..usual
    }
}

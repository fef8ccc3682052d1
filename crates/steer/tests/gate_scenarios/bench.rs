//! Feeds the events of a scenario to entry0's engine and prints its actions.

use core::fmt::Write;
use core::time::Duration;
use std::sync::Arc;

use steer::clock;
use steer::process::{dispatch, gate, share, traffic};
use steer::request::{arrival, key, outcome, record};

use super::{line, scene};

struct Bench {
    now: clock::Time,
    traffic: traffic::Traffic,
    keys: Vec<(String, Arc<str>)>,
}

/// Runs a scenario from a fresh start.
pub fn run(input: &str) -> String {
    let mut bench = Bench::new(gate::Limits::default());
    let mut text = String::new();
    for line in input.lines() {
        writeln!(text, "{line}").expect("a string takes all");
        for said in bench.take(&line::Line::parse(line)) {
            writeln!(text, "    {said}").expect("a string takes all");
        }
    }
    text
}

impl Bench {
    fn new(limits: gate::Limits) -> Self {
        let home = dispatch::Identity {
            name: "entry0".into(),
            domain: "domain0".into(),
        };
        let rng = fastrand::Rng::with_seed(1);
        Self {
            now: clock::Time::ZERO,
            // The process has run for long enough to use its part of caps.
            traffic: traffic::Traffic::new(home, scene::INCARNATIONS[0], limits, rng).with_shares(
                share::Guards {
                    settle: false,
                    ..share::Guards::default()
                },
            ),
            keys: Vec::new(),
        }
    }

    fn feed(&mut self, event: traffic::Event) -> Vec<String> {
        let mut out = Vec::new();
        // Control is well here, and the caps are wide: neither bears on keys.
        self.traffic
            .handle(self.now, traffic::Event::SlotHeld(true), &mut out);
        self.traffic.handle(self.now, event, &mut out);
        // Probes of targets and gossip about them are not what is tested here.
        out.retain(|a| {
            !matches!(
                a,
                traffic::Action::Probe { .. }
                    | traffic::Action::Suspect { .. }
                    | traffic::Action::Borrow { .. }
            )
        });
        out.iter().map(|action| self.show(action)).collect()
    }

    fn take(&mut self, line: &line::Line<'_>) -> Vec<String> {
        let id = || arrival::RequestId(line.number("id").expect("the line names a request"));
        let ask = || record::QuestionId(line.number("ask").expect("the line names a question"));
        match line.word {
            "start" => {
                *self = Self::new(limits(line));
                self.feed(traffic::Event::View(view(line)))
            }
            "view" => self.feed(traffic::Event::View(view(line))),
            "key" => vec![self.key(line)],
            "arrive" => {
                let arrival = self.arrival(line, id());
                self.feed(traffic::Event::Arrive(arrival))
            }
            "ended" => self.feed(traffic::Event::Ended {
                id: id(),
                attempt: arrival::AttemptId(
                    line.number("attempt").expect("the line names an attempt"),
                ),
                outcome: line.ending(),
            }),
            "forwarded" => self.feed(traffic::Event::Forwarded {
                id: id(),
                outcome: line.ending(),
            }),
            "told" => self.feed(traffic::Event::AskEnded {
                ask: ask(),
                reply: line.told(),
            }),
            "asked" => self.feed(traffic::Event::PeerAsked {
                ask: ask(),
                question: self.question(line),
            }),
            "stored" => self.feed(traffic::Event::Stored {
                id: id(),
                result: line.stored(),
            }),
            "gone" => self.feed(traffic::Event::Disconnected(id())),
            "leave" => self.feed(traffic::Event::Leave),
            "clock" | "sleep" => {
                let ms = line.number("ms").expect("the line gives a span");
                self.now = self.now + Duration::from_millis(ms);
                match line.word {
                    "clock" => self.feed(traffic::Event::Tick),
                    _ => Vec::new(),
                }
            }
            "state" => {
                let counts = self.traffic.gate_state().counts();
                let drained = self.traffic.is_drained();
                vec![
                    format!("{counts}; drained: {drained}"),
                    self.traffic.gate_state().tally().to_string(),
                ]
            }
            other => panic!("no event is called {other}"),
        }
    }

    /// `key name=k` looks one up, `owner=` puts one together by hand, `text=`
    /// gives it as it stands.
    fn key(&mut self, line: &line::Line<'_>) -> String {
        let name = line.get("name").expect("the key has a name");
        let text = match (line.get("text"), line.get("owner")) {
            (Some(text), _) => text.to_owned(),
            (None, Some(owner)) => {
                let prefix = key::Prefix {
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

    fn arrival(&self, line: &line::Line<'_>, id: arrival::RequestId) -> arrival::Arrival {
        arrival::Arrival {
            id,
            service: line.get("service").unwrap_or("lodgement").into(),
            caller: line.get("caller").unwrap_or("caller").into(),
            key: line.get("key").map(|name| self.text(name)),
            fingerprint: arrival::Fingerprint(u128::from(line.number("body").unwrap_or(0))),
            deadline: line.number("ms").map(Duration::from_millis),
            bytes: 100,
            caller_region: None,
            peer_region: None,
            origin: match line.get("from") {
                Some("forward") => arrival::Origin::Forward,
                Some("peer") => arrival::Origin::Peer,
                _ => arrival::Origin::Caller,
            },
        }
    }

    fn question(&self, line: &line::Line<'_>) -> record::Question {
        match (line.get("claim"), line.get("seal")) {
            (Some(name), _) => record::Question::Claim(self.text(name)),
            (_, Some(name)) => record::Question::Seal(self.text(name)),
            _ => record::Question::Epoch,
        }
    }

    fn show(&self, action: &traffic::Action) -> String {
        match action {
            traffic::Action::Send {
                id,
                attempt,
                destination,
                ..
            } => {
                let kind = match destination {
                    dispatch::Destination::Target { .. } => "target",
                    dispatch::Destination::Member { .. } => "peer",
                };
                format!("send {id} as {attempt} to {kind} {}", destination.name())
            }
            traffic::Action::Cancel { id, attempt } => format!("cancel {id} {attempt}"),
            traffic::Action::Reply { id, answer } => {
                let body = String::from_utf8_lossy(&answer.body);
                format!("reply {id}: {} {body}", answer.status)
            }
            traffic::Action::Refuse { id, refusal } => {
                // How long is the dispatcher's choice, and jittered.
                let after = refusal.retry_after.map_or("", |_| ", come back");
                let outcome::Refusal {
                    reason, outcome, ..
                } = refusal;
                format!(
                    "refuse {id}: {} {reason} ({outcome}){after}",
                    reason.status()
                )
            }
            traffic::Action::Forward { id, peer, .. } => format!("forward {id} to {}", peer.name),
            traffic::Action::Ask {
                ask,
                peer,
                question,
                ..
            } => {
                let what = match question {
                    record::Question::Claim(key) => format!("claim {}", self.name(key)),
                    record::Question::Seal(key) => format!("seal {}", self.name(key)),
                    record::Question::Epoch => "which epoch?".into(),
                };
                format!("ask{} to {}: {what}", ask.0, peer.name)
            }
            traffic::Action::Respond { ask, reply: word } => format!("tell ask{}: {word}", ask.0),
            traffic::Action::Store { id, key, call, .. } => {
                let what = match call {
                    record::StoreCall::Create(attempt) => format!("create {attempt}"),
                    record::StoreCall::Read => "read".into(),
                };
                format!("store {id} {}: {what}", self.name(key))
            }
            traffic::Action::Probe { .. }
            | traffic::Action::Suspect { .. }
            | traffic::Action::Borrow { .. }
            | traffic::Action::Lend { .. } => unreachable!("not shown"),
            traffic::Action::Issue(Some(prefix)) => format!("issue {prefix}"),
            traffic::Action::Issue(None) => "issue nothing".into(),
        }
    }
}

fn stamp(process: &str, epoch: Option<u64>) -> key::Stamp {
    let index: usize = process.parse().expect("a process's number");
    key::Stamp {
        incarnation: scene::INCARNATIONS[index],
        epoch: epoch.unwrap_or(0),
    }
}

fn view(line: &line::Line<'_>) -> Arc<steer::version::view::View> {
    let listed = line.get("alive").expect("the line says who lives");
    let index = |text: &str| text.parse().expect("a process's number");
    let alive: Vec<usize> = listed.split(',').map(index).collect();
    scene::view(&alive, line.get("targets") != Some("none"))
}

fn limits(line: &line::Line<'_>) -> gate::Limits {
    let usual = gate::Limits::default();
    gate::Limits {
        records_max: line.count("records", usual.records_max),
        held_max: line.count("held", usual.held_max),
        caller_max: line.count("caller", usual.caller_max),
        waiters_max: line.count("waiters", usual.waiters_max),
        answer_bytes: line.number("answers").unwrap_or(usual.answer_bytes),
        // Later probes would clutter the scenarios.
        probe_interval: Duration::from_hours(24),
        ..usual
    }
}

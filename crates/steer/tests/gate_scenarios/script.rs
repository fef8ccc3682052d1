//! Feeds the events of a scenario to the engine of entry0 and prints its actions.

use core::fmt::Write;
use core::time::Duration;
use std::sync::Arc;

use steer::clock;
use steer::process::{dispatch, gate, share, traffic};
use steer::request::{arrival, key, outcome, record};

use super::{command, fixture};

struct Script {
    now: clock::Time,
    traffic: traffic::Traffic,
    keys: Vec<(String, Arc<str>)>,
}

/// Runs a scenario from the start of the process and returns its transcript.
pub fn run(input: &str) -> String {
    let mut script = Script::new(gate::Limits::default());
    let mut text = String::new();
    for line in input.lines() {
        writeln!(text, "{line}").expect("writing to a string does not fail");
        for action in script.execute(&command::Command::parse(line)) {
            writeln!(text, "    {action}").expect("writing to a string does not fail");
        }
    }
    text
}

impl Script {
    fn new(limits: gate::Limits) -> Self {
        let identity = dispatch::Identity {
            name: "entry0".into(),
            domain: "domain0".into(),
        };
        let rng = fastrand::Rng::with_seed(1);
        Self {
            now: clock::Time::ZERO,
            // The process has run for long enough to use its allotments of caps.
            traffic: traffic::Traffic::new(identity, fixture::ENTRY_INCARNATIONS[0], limits, rng)
                .with_shares(share::Guards {
                    settle: false,
                    ..share::Guards::default()
                }),
            keys: Vec::new(),
        }
    }

    fn feed(&mut self, event: traffic::Event) -> Vec<String> {
        let mut out = Vec::new();
        // The slot is held and the caps are high, so neither affects keys.
        self.traffic
            .handle(self.now, traffic::Event::SlotHeld(true), &mut out);
        self.traffic.handle(self.now, event, &mut out);
        // Probes of targets, suspicions and loans are not tested here.
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

    fn execute(&mut self, command: &command::Command<'_>) -> Vec<String> {
        let id = || arrival::RequestId(command.number("id").expect("the command names a request"));
        let ask =
            || record::QuestionId(command.number("ask").expect("the command names a question"));
        match command.verb {
            "start" => {
                *self = Self::new(limits(command));
                self.feed(traffic::Event::View(view(command)))
            }
            "view" => self.feed(traffic::Event::View(view(command))),
            "key" => vec![self.key(command)],
            "arrive" => {
                let arrival = self.arrival(command, id());
                self.feed(traffic::Event::Arrive(arrival))
            }
            "ended" => self.feed(traffic::Event::Ended {
                id: id(),
                attempt: arrival::AttemptId(
                    command
                        .number("attempt")
                        .expect("the command names an attempt"),
                ),
                outcome: command.hop_outcome(),
            }),
            "forwarded" => self.feed(traffic::Event::Forwarded {
                id: id(),
                outcome: command.hop_outcome(),
            }),
            "told" => self.feed(traffic::Event::AskEnded {
                ask: ask(),
                reply: command.reply(),
            }),
            "asked" => self.feed(traffic::Event::PeerAsked {
                ask: ask(),
                question: self.question(command),
            }),
            "stored" => self.feed(traffic::Event::Stored {
                id: id(),
                result: command.store_result(),
            }),
            "gone" => self.feed(traffic::Event::Disconnected(id())),
            "leave" => self.feed(traffic::Event::Leave),
            "clock" | "sleep" => {
                let ms = command.number("ms").expect("the command gives a duration");
                self.now = self.now + Duration::from_millis(ms);
                match command.verb {
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

    /// Makes a key: `key name=k` looks one up, with `owner=` it is assembled from
    /// the arguments, with `text=` it is taken literally.
    fn key(&mut self, command: &command::Command<'_>) -> String {
        let name = command.get("name").expect("the key has a name");
        let text = match (command.get("text"), command.get("owner")) {
            (Some(text), _) => text.to_owned(),
            (None, Some(owner)) => {
                let prefix = key::Prefix {
                    owner: stamp(owner, command.number("epoch")),
                    witness: command
                        .get("witness")
                        .map(|w| stamp(w, command.number("told"))),
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

    fn arrival(&self, command: &command::Command<'_>, id: arrival::RequestId) -> arrival::Arrival {
        arrival::Arrival {
            id,
            service: command.get("service").unwrap_or("lodgement").into(),
            caller: command.get("caller").unwrap_or("caller").into(),
            key: command.get("key").map(|name| self.text(name)),
            fingerprint: arrival::Fingerprint(u128::from(command.number("body").unwrap_or(0))),
            deadline: command.number("ms").map(Duration::from_millis),
            bytes: 100,
            caller_region: None,
            peer_region: None,
            origin: match command.get("from") {
                Some("forward") => arrival::Origin::Forward,
                Some("peer") => arrival::Origin::Peer,
                _ => arrival::Origin::Caller,
            },
        }
    }

    fn question(&self, command: &command::Command<'_>) -> record::Question {
        match (command.get("claim"), command.get("seal")) {
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
                // The time is chosen by the dispatcher and jittered.
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
            traffic::Action::Respond { ask, reply } => format!("tell ask{}: {reply}", ask.0),
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
        incarnation: fixture::ENTRY_INCARNATIONS[index],
        epoch: epoch.unwrap_or(0),
    }
}

fn view(command: &command::Command<'_>) -> Arc<steer::version::view::View> {
    let listed = command
        .get("alive")
        .expect("the command lists the live processes");
    let index = |text: &str| text.parse().expect("a process's number");
    let alive: Vec<usize> = listed.split(',').map(index).collect();
    fixture::view(&alive, command.get("targets") != Some("none"))
}

fn limits(command: &command::Command<'_>) -> gate::Limits {
    let defaults = gate::Limits::default();
    gate::Limits {
        records_max: command.count("records", defaults.records_max),
        held_max: command.count("held", defaults.held_max),
        caller_max: command.count("caller", defaults.caller_max),
        waiters_max: command.count("waiters", defaults.waiters_max),
        answer_bytes: command.number("answers").unwrap_or(defaults.answer_bytes),
        // Avoids further probes in the output.
        probe_interval: Duration::from_hours(24),
        ..defaults
    }
}

//! Carries out what a process decided, and hands it what comes back.

use std::sync::Arc;

use steer::process::{dispatch, traffic};
use steer::request::{answer, arrival, outcome, record};
use steer::version::view;

use super::message;
use crate::{scene, world};

/// The attempt that stands for a call to the store, which needs none.
const NO_ATTEMPT: arrival::AttemptId = arrival::AttemptId(0);

impl world::World {
    /// Carries out the oldest decision of a process.
    pub(super) fn perform(&mut self, index: usize) {
        let Some(action) = self.processes[index].outbox.pop_front() else {
            return;
        };
        self.acting = index;
        match action {
            traffic::Action::Send {
                id,
                attempt,
                destination,
                ..
            } => self.send(index, id, attempt, &destination),
            traffic::Action::Forward { id, peer, .. } => {
                let to = scene::process_at(peer.addr);
                self.hop(index, id, message::HopKind::Forward, to);
            }
            traffic::Action::Ask {
                ask,
                peer,
                question,
                ..
            } => {
                let to = scene::process_at(peer.addr);
                let sender = message::Sender::Ask {
                    process: index,
                    incarnation: self.processes[index].incarnation,
                    ask,
                };
                self.post(sender, message::Kind::Ask { to, question });
            }
            traffic::Action::Respond { ask, reply: word } => self.tell(index, ask, word),
            traffic::Action::Store { id, call, .. } => self.call(index, id, call),
            traffic::Action::Reply { id, answer } => self.reply(index, id, answer),
            traffic::Action::Refuse { id, refusal } => {
                let Some(request) = self.close(index, id) else {
                    return;
                };
                match request.from {
                    message::Sender::Caller(copy) => {
                        self.say(copy, world::Said::Refused(refusal.outcome));
                    }
                    sender => self.post(
                        sender,
                        message::Kind::Ended(dispatch::AttemptOutcome::PeerRefused(refusal)),
                    ),
                }
            }
            traffic::Action::Issue(prefix) => self.processes[index].issued = prefix,
            // Targets answer probes at once, and gossip about requests that
            // crash targets reaches all who are awake.
            traffic::Action::Probe { target, .. } => {
                let report = Some(dispatch::Report {
                    load: 0,
                    state: view::State::Live,
                });
                self.feed(index, traffic::Event::Probed { target, report });
            }
            // A target may have started an attempt by the time it hears of its
            // cancellation, so a cancellation never stops a run here. Loans
            // bear on how much is shifted, not on how often a key runs.
            traffic::Action::Cancel { .. }
            | traffic::Action::Borrow { .. }
            | traffic::Action::Lend { .. } => {}
            traffic::Action::Suspect {
                fingerprint,
                strikes,
            } => {
                let event = traffic::Event::Suspected {
                    fingerprint,
                    strikes,
                };
                let others = (0..self.processes.len()).filter(|&i| i != index);
                for other in others.filter(|&i| self.awake(i)).collect::<Vec<_>>() {
                    self.feed(other, event.clone());
                }
            }
        }
    }

    fn send(
        &mut self,
        index: usize,
        id: arrival::RequestId,
        attempt: arrival::AttemptId,
        destination: &dispatch::Destination,
    ) {
        match destination {
            dispatch::Destination::Member { peer, .. } => {
                let to = scene::process_at(*peer);
                self.hop(index, id, message::HopKind::Serve(attempt), to);
            }
            dispatch::Destination::Target { .. } => {
                let Some((payload, sender)) =
                    self.asker(index, id, message::HopKind::Serve(attempt))
                else {
                    return;
                };
                self.post(sender, message::Kind::Run(payload));
            }
        }
    }

    fn hop(&mut self, index: usize, id: arrival::RequestId, kind: message::HopKind, to: usize) {
        let Some((payload, sender)) = self.asker(index, id, kind) else {
            return;
        };
        self.post(sender, message::Kind::Hop { to, payload });
    }

    fn call(&mut self, index: usize, id: arrival::RequestId, call: record::StoreCall) {
        let Some((payload, sender)) = self.asker(index, id, message::HopKind::Serve(NO_ATTEMPT))
        else {
            return;
        };
        self.post(sender, message::Kind::Store(payload, call));
    }

    fn asker(
        &self,
        index: usize,
        id: arrival::RequestId,
        kind: message::HopKind,
    ) -> Option<(message::Payload, message::Sender)> {
        let process = &self.processes[index];
        let request = process.requests.iter().find(|r| r.id == id)?;
        let sender = message::Sender::Hop {
            process: index,
            incarnation: process.incarnation,
            id,
            kind,
        };
        Some((request.payload, sender))
    }

    fn tell(&mut self, index: usize, ask: record::QuestionId, word: record::Reply) {
        let asked = &mut self.processes[index].asked;
        let Some(at) = asked.iter().position(|(a, _)| *a == ask) else {
            return;
        };
        let (_, sender) = asked.remove(at);
        self.post(sender, message::Kind::Told(Some(word)));
    }

    fn reply(&mut self, index: usize, id: arrival::RequestId, answer: Arc<answer::Answer>) {
        let Some(request) = self.close(index, id) else {
            return;
        };
        match request.from {
            message::Sender::Caller(copy) => {
                self.say(copy, world::Said::Answer(payload_of(&answer)));
            }
            sender => self.post(
                sender,
                message::Kind::Ended(dispatch::AttemptOutcome::Answered(answer)),
            ),
        }
    }

    /// The request that an answer is for. It stays listed: the decisions may
    /// go on with it, and a second answer to it has to be seen.
    fn close(&self, index: usize, id: arrival::RequestId) -> Option<world::Request> {
        let found = self.processes[index].requests.iter().find(|r| r.id == id);
        found.map(|r| world::Request { ..*r })
    }

    fn say(&mut self, copy: usize, said: world::Said) {
        let sent = &mut self.sent[copy];
        let key = &mut self.keys[sent.plan.key];
        if said == world::Said::Refused(outcome::Outcome::NotRun) {
            key.not_run += 1;
        }
        let word = match said {
            world::Said::Answer(payload) => format!("the answer of {payload}"),
            world::Said::Refused(outcome) => format!("\"{outcome}\""),
        };
        sent.said.push(said);
        self.note(format!("  caller of copy{copy} gets {word}"));
    }

    pub(super) fn post(&mut self, sender: message::Sender, kind: message::Kind) {
        self.serial += 1;
        let message = message::Message {
            serial: self.serial,
            by: self.acting,
            sender,
            kind,
            held: false,
            detached: false,
        };
        self.net.push(message);
    }

    pub(super) fn note(&mut self, line: String) {
        self.trace.push(line);
    }

    /// Hands over a message that was taken off the network.
    pub(super) fn hand(&mut self, message: message::Message) {
        let message::Message {
            sender,
            kind,
            detached,
            ..
        } = message;
        match kind {
            message::Kind::Hop { to, payload } => self.hand_hop(sender, to, payload, detached),
            message::Kind::Run(payload) => {
                self.keys[payload.key].runs.push(payload.body);
                self.note(format!("  a target runs {payload}"));
                if !detached {
                    let ending = dispatch::AttemptOutcome::Answered(answer_of(payload));
                    self.post(sender, message::Kind::Ended(ending));
                }
            }
            message::Kind::Ask { to, question } => {
                let process = &mut self.processes[to];
                if process.traffic.is_none() {
                    return self.post(sender, message::Kind::Told(None));
                }
                process.next += 1;
                let ask = record::QuestionId(process.next);
                process.asked.push((ask, sender));
                self.feed(to, traffic::Event::PeerAsked { ask, question });
            }
            message::Kind::Store(payload, call) => {
                let result = self.in_store(payload, call);
                if !detached {
                    self.post(sender, message::Kind::Stored(result));
                }
            }
            message::Kind::Ended(ending) => self.hand_ending(sender, ending),
            message::Kind::Told(word) => {
                if let message::Sender::Ask {
                    process,
                    incarnation,
                    ask,
                } = sender
                    && self.processes[process].incarnation == incarnation
                {
                    self.feed(process, traffic::Event::AskEnded { ask, reply: word });
                }
            }
            message::Kind::Stored(result) => {
                if let message::Sender::Hop {
                    process,
                    incarnation,
                    id,
                    ..
                } = sender
                    && self.processes[process].incarnation == incarnation
                {
                    self.feed(process, traffic::Event::Stored { id, result });
                }
            }
        }
    }

    /// Whoever listens at the address takes the request, also if it is not the
    /// incarnation that was meant.
    fn hand_hop(
        &mut self,
        sender: message::Sender,
        to: usize,
        payload: message::Payload,
        detached: bool,
    ) {
        if self.processes[to].traffic.is_none() {
            if !detached {
                self.post(
                    sender,
                    message::Kind::Ended(dispatch::AttemptOutcome::Unreachable),
                );
            }
            return;
        }
        let origin = match sender {
            message::Sender::Hop {
                kind: message::HopKind::Serve(_),
                ..
            } => arrival::Origin::Peer,
            _ => arrival::Origin::Forward,
        };
        self.arrive(to, payload, sender, origin);
    }

    fn hand_ending(&mut self, sender: message::Sender, ending: dispatch::AttemptOutcome) {
        let message::Sender::Hop {
            process,
            incarnation,
            id,
            kind,
        } = sender
        else {
            return;
        };
        if self.processes[process].incarnation != incarnation {
            return;
        }
        let event = match kind {
            message::HopKind::Forward => traffic::Event::Forwarded {
                id,
                outcome: ending,
            },
            message::HopKind::Serve(attempt) => traffic::Event::Ended {
                id,
                attempt,
                outcome: ending,
            },
        };
        self.feed(process, event);
    }

    fn in_store(
        &mut self,
        payload: message::Payload,
        call: record::StoreCall,
    ) -> record::StoreResult {
        let Some(text) = self.key_text(payload.key) else {
            return record::StoreResult::Unreachable;
        };
        let found = self.store.iter().find(|(key, _)| *key == text);
        match (found, call) {
            (Some(&(_, attempt)), _) => record::StoreResult::Found(Some(attempt)),
            (None, record::StoreCall::Read) => record::StoreResult::Absent,
            (None, record::StoreCall::Create(attempt)) => {
                self.store.push((text, attempt));
                record::StoreResult::Created
            }
        }
    }
}

/// A target's answer says which request it is for.
fn answer_of(payload: message::Payload) -> Arc<answer::Answer> {
    Arc::new(answer::Answer {
        status: 200,
        headers: Vec::new(),
        body: format!("{} {}", payload.key, payload.body)
            .into_bytes()
            .into(),
    })
}

fn payload_of(answer: &answer::Answer) -> message::Payload {
    let text = String::from_utf8_lossy(&answer.body);
    let mut numbers = text.split(' ').map(str::parse::<u32>);
    let mut next = || numbers.next().and_then(Result::ok).unwrap_or(u32::MAX);
    message::Payload {
        key: next() as usize,
        body: next(),
    }
}

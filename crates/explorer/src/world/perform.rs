//! Carries out what a process decided, and hands it what comes back.

use std::sync::Arc;

use steer::process::dispatch::{Ending, Place, Report};
use steer::process::traffic::{Action, Event};
use steer::request::answer::Answer;
use steer::request::arrival::{AttemptId, Origin, RequestId};
use steer::request::outcome::Outcome;
use steer::request::record::{AskId, StoreCall, StoreResult, Word};
use steer::version::view::State;

use super::{HopKind, Kind, Message, Payload, Request, Said, Sender, World};
use crate::scene;

/// The attempt that stands for a call to the store, which needs none.
const NO_ATTEMPT: AttemptId = AttemptId(0);

impl World {
    /// Carries out the oldest decision of a process.
    pub(super) fn perform(&mut self, index: usize) {
        let Some(action) = self.processes[index].outbox.pop_front() else {
            return;
        };
        self.acting = index;
        match action {
            Action::Send {
                id, attempt, place, ..
            } => self.send(index, id, attempt, &place),
            Action::Forward { id, peer, .. } => {
                let to = scene::process_at(peer.addr);
                self.hop(index, id, HopKind::Forward, to);
            }
            Action::Ask {
                ask,
                peer,
                question,
                ..
            } => {
                let to = scene::process_at(peer.addr);
                let sender = Sender::Ask {
                    process: index,
                    incarnation: self.processes[index].incarnation,
                    ask,
                };
                self.post(sender, Kind::Ask { to, question });
            }
            Action::Tell { ask, word } => self.tell(index, ask, word),
            Action::Store { id, call, .. } => self.call(index, id, call),
            Action::Reply { id, answer } => self.reply(index, id, answer),
            Action::Refuse { id, refusal } => {
                let Some(request) = self.close(index, id) else {
                    return;
                };
                match request.from {
                    Sender::Caller(copy) => self.say(copy, Said::Refused(refusal.outcome)),
                    sender => self.post(sender, Kind::Ended(Ending::PeerRefused(refusal))),
                }
            }
            Action::Issue(prefix) => self.processes[index].issued = prefix,
            // Targets answer probes at once, and gossip about requests that
            // crash targets reaches all who are awake.
            Action::Probe { target, .. } => {
                let report = Some(Report {
                    load: 0,
                    state: State::Live,
                });
                self.feed(index, Event::Probed { target, report });
            }
            // A target may have started an attempt by the time it hears of its
            // cancellation, so a cancellation never stops a run here. Loans
            // bear on how much is shifted, not on how often a key runs.
            Action::Cancel { .. } | Action::Borrow { .. } | Action::Lend { .. } => {}
            Action::Suspect {
                fingerprint,
                strikes,
            } => {
                let event = Event::Suspected {
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

    fn send(&mut self, index: usize, id: RequestId, attempt: AttemptId, place: &Place) {
        match place {
            Place::Member { peer, .. } => {
                let to = scene::process_at(*peer);
                self.hop(index, id, HopKind::Serve(attempt), to);
            }
            Place::Target { .. } => {
                let Some((payload, sender)) = self.asker(index, id, HopKind::Serve(attempt)) else {
                    return;
                };
                self.post(sender, Kind::Run(payload));
            }
        }
    }

    fn hop(&mut self, index: usize, id: RequestId, kind: HopKind, to: usize) {
        let Some((payload, sender)) = self.asker(index, id, kind) else {
            return;
        };
        self.post(sender, Kind::Hop { to, payload });
    }

    fn call(&mut self, index: usize, id: RequestId, call: StoreCall) {
        let Some((payload, sender)) = self.asker(index, id, HopKind::Serve(NO_ATTEMPT)) else {
            return;
        };
        self.post(sender, Kind::Store(payload, call));
    }

    fn asker(&self, index: usize, id: RequestId, kind: HopKind) -> Option<(Payload, Sender)> {
        let process = &self.processes[index];
        let request = process.requests.iter().find(|r| r.id == id)?;
        let sender = Sender::Hop {
            process: index,
            incarnation: process.incarnation,
            id,
            kind,
        };
        Some((request.payload, sender))
    }

    fn tell(&mut self, index: usize, ask: AskId, word: Word) {
        let asked = &mut self.processes[index].asked;
        let Some(at) = asked.iter().position(|(a, _)| *a == ask) else {
            return;
        };
        let (_, sender) = asked.remove(at);
        self.post(sender, Kind::Told(Some(word)));
    }

    fn reply(&mut self, index: usize, id: RequestId, answer: Arc<Answer>) {
        let Some(request) = self.close(index, id) else {
            return;
        };
        match request.from {
            Sender::Caller(copy) => self.say(copy, Said::Answer(payload_of(&answer))),
            sender => self.post(sender, Kind::Ended(Ending::Answered(answer))),
        }
    }

    /// The request that an answer is for. It stays listed: the decisions may
    /// go on with it, and a second answer to it has to be seen.
    fn close(&self, index: usize, id: RequestId) -> Option<Request> {
        let found = self.processes[index].requests.iter().find(|r| r.id == id);
        found.map(|r| Request { ..*r })
    }

    fn say(&mut self, copy: usize, said: Said) {
        let sent = &mut self.sent[copy];
        let key = &mut self.keys[sent.plan.key];
        if said == Said::Refused(Outcome::NotRun) {
            key.not_run += 1;
        }
        let word = match said {
            Said::Answer(payload) => format!("the answer of {payload}"),
            Said::Refused(outcome) => format!("\"{outcome}\""),
        };
        sent.said.push(said);
        self.note(format!("  caller of copy{copy} gets {word}"));
    }

    pub(super) fn post(&mut self, sender: Sender, kind: Kind) {
        self.serial += 1;
        let message = Message {
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
    pub(super) fn hand(&mut self, message: Message) {
        let Message {
            sender,
            kind,
            detached,
            ..
        } = message;
        match kind {
            Kind::Hop { to, payload } => self.hand_hop(sender, to, payload, detached),
            Kind::Run(payload) => {
                self.keys[payload.key].runs.push(payload.body);
                self.note(format!("  a target runs {payload}"));
                if !detached {
                    let ending = Ending::Answered(answer_of(payload));
                    self.post(sender, Kind::Ended(ending));
                }
            }
            Kind::Ask { to, question } => {
                let process = &mut self.processes[to];
                if process.traffic.is_none() {
                    return self.post(sender, Kind::Told(None));
                }
                process.next += 1;
                let ask = AskId(process.next);
                process.asked.push((ask, sender));
                self.feed(to, Event::Asked { ask, question });
            }
            Kind::Store(payload, call) => {
                let result = self.in_store(payload, call);
                if !detached {
                    self.post(sender, Kind::Stored(result));
                }
            }
            Kind::Ended(ending) => self.hand_ending(sender, ending),
            Kind::Told(word) => {
                if let Sender::Ask {
                    process,
                    incarnation,
                    ask,
                } = sender
                    && self.processes[process].incarnation == incarnation
                {
                    self.feed(process, Event::Told { ask, word });
                }
            }
            Kind::Stored(result) => {
                if let Sender::Hop {
                    process,
                    incarnation,
                    id,
                    ..
                } = sender
                    && self.processes[process].incarnation == incarnation
                {
                    self.feed(process, Event::Stored { id, result });
                }
            }
        }
    }

    /// Whoever listens at the address takes the request, also if it is not the
    /// incarnation that was meant.
    fn hand_hop(&mut self, sender: Sender, to: usize, payload: Payload, detached: bool) {
        if self.processes[to].traffic.is_none() {
            if !detached {
                self.post(sender, Kind::Ended(Ending::Unreachable));
            }
            return;
        }
        let origin = match sender {
            Sender::Hop {
                kind: HopKind::Serve(_),
                ..
            } => Origin::Peer,
            _ => Origin::Forward,
        };
        self.arrive(to, payload, sender, origin);
    }

    fn hand_ending(&mut self, sender: Sender, ending: Ending) {
        let Sender::Hop {
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
            HopKind::Forward => Event::Forwarded { id, ending },
            HopKind::Serve(attempt) => Event::Ended {
                id,
                attempt,
                ending,
            },
        };
        self.feed(process, event);
    }

    fn in_store(&mut self, payload: Payload, call: StoreCall) -> StoreResult {
        let Some(text) = self.key_text(payload.key) else {
            return StoreResult::Away;
        };
        let found = self.store.iter().find(|(key, _)| *key == text);
        match (found, call) {
            (Some(&(_, attempt)), _) => StoreResult::Found(Some(attempt)),
            (None, StoreCall::Read) => StoreResult::Absent,
            (None, StoreCall::Create(attempt)) => {
                self.store.push((text, attempt));
                StoreResult::Created
            }
        }
    }
}

/// A target's answer says which request it is for.
fn answer_of(payload: Payload) -> Arc<Answer> {
    Arc::new(Answer {
        status: 200,
        headers: Vec::new(),
        body: format!("{} {}", payload.key, payload.body)
            .into_bytes()
            .into(),
    })
}

fn payload_of(answer: &Answer) -> Payload {
    let text = String::from_utf8_lossy(&answer.body);
    let mut numbers = text.split(' ').map(str::parse::<u32>);
    let mut next = || numbers.next().and_then(Result::ok).unwrap_or(u32::MAX);
    Payload {
        key: next() as usize,
        body: next(),
    }
}

//! The part of an instance that a caller reached with another's key.
//!
//! Invariant: it never runs the request. It passes the owner's answer on, or
//! the witness's word, or says "unknown".

use std::sync::Arc;

use super::{
    Action, COME_BACK, Ending, Gate, Held, Issued, Name, Question, Reason, Refusal, Stage, Word,
    refuse,
};
use crate::clock::Time;
use crate::request::arrival::{Arrival, Origin, RequestId};
use crate::version::view::Incarnation;

impl Gate {
    /// A request whose key names another process as its owner.
    pub(super) fn foreign(
        &mut self,
        now: Time,
        arrival: Arrival,
        key: Issued,
        out: &mut Vec<Action>,
    ) {
        // The owner was replaced and this process listens at its address. It
        // knows nothing of the key, so it must neither run it nor say anything
        // of it; the sender goes on to the witness.
        if arrival.origin == Origin::Forward {
            if self.safe.own_only {
                return refuse(arrival.id, self.elsewhere(Reason::OwnerGone), out);
            }
            return out.push(Action::Run(arrival));
        }
        let owner = key.prefix.owner.incarnation;
        self.forward(now, arrival, owner, Some(key), out);
    }

    /// Sends the request to `owner`. `key` is given if it may name a witness.
    pub(super) fn forward(
        &mut self,
        now: Time,
        arrival: Arrival,
        owner: Incarnation,
        key: Option<Issued>,
        out: &mut Vec<Action>,
    ) {
        let id = arrival.id;
        if let Some(reason) = self.crowded(&arrival.caller) {
            return refuse(id, self.elsewhere(reason), out);
        }
        let until = self.until(now, &arrival);
        let Some(peer) = self.peer(owner) else {
            let lost = Lost {
                id,
                caller: arrival.caller,
                until,
            };
            return self.owner_gone(now, lost, key.as_ref(), out);
        };
        out.push(Action::Forward {
            id,
            peer,
            budget: until.since(now),
        });
        self.held.insert(Held {
            id,
            caller: Arc::clone(&arrival.caller),
            name: nameless(),
            until,
            stage: Stage::Forwarding { key, arrival },
        });
    }

    /// The hop to the owner ended.
    pub(super) fn forwarded(
        &mut self,
        now: Time,
        id: RequestId,
        ending: Ending,
        out: &mut Vec<Action>,
    ) {
        let forwarding = |h: &Held| matches!(h.stage, Stage::Forwarding { .. });
        if !self.held.get(id).is_some_and(forwarding) {
            return;
        }
        let Some(held) = self.held.remove(id) else {
            return;
        };
        let Stage::Forwarding { key, arrival } = held.stage else {
            return;
        };
        match ending {
            Ending::Answered(answer) => out.push(Action::Reply { id, answer }),
            Ending::PeerRefused(refusal) if refusal.reason != Reason::OwnerGone => {
                refuse(id, refusal, out);
            }
            Ending::BadAnswer => refuse(id, self.elsewhere(Reason::BadAnswer), out),
            Ending::TimedOut => refuse(id, self.elsewhere(Reason::Deadline), out),
            _ if !self.safe.hop_final => out.push(Action::Run(arrival)),
            Ending::PeerRefused(_)
            | Ending::Refused { .. }
            | Ending::Unreachable
            | Ending::Broken => {
                let lost = Lost {
                    id,
                    caller: held.caller,
                    until: held.until,
                };
                self.owner_gone(now, lost, key.as_ref(), out);
            }
        }
    }

    /// The owner can't be reached: its witness may know what became of the key.
    fn owner_gone(&mut self, now: Time, lost: Lost, key: Option<&Issued>, out: &mut Vec<Action>) {
        let id = lost.id;
        let witness = key.and_then(|k| Some((k, k.prefix.witness?.incarnation)));
        let Some((key, witness)) = witness else {
            return refuse(id, self.elsewhere(Reason::OwnerGone), out);
        };
        let question = Question::Seal(key.text.clone());
        if witness == self.me {
            let word = self.registry.answer(self.limits.epoch_at(now), &question);
            return refuse(id, self.verdict(Some(word)), out);
        }
        let Some(peer) = self.peer(witness) else {
            return refuse(id, self.elsewhere(Reason::OwnerGone), out);
        };
        let ask = self.ask(peer, question, self.limits.ask, out);
        self.held.insert(Held {
            id,
            caller: lost.caller,
            name: nameless(),
            until: lost.until,
            stage: Stage::Sealing {
                ask,
                wait: now + self.limits.ask,
            },
        });
    }

    /// The witness's word on a seal; `None` if none came.
    pub(super) fn sealed(&mut self, id: RequestId, word: Option<Word>, out: &mut Vec<Action>) {
        if self.held.remove(id).is_some() {
            refuse(id, self.verdict(word), out);
        }
    }

    fn verdict(&self, word: Option<Word>) -> Refusal {
        match word {
            Some(Word::Sealed) => Refusal::not_run(Reason::OwnerGone, Some(COME_BACK)),
            Some(Word::Expired) => Refusal::unknown(Reason::KeyExpired, None),
            _ => self.elsewhere(Reason::OwnerGone),
        }
    }
}

/// A request whose owner can't be reached.
struct Lost {
    id: RequestId,
    caller: Arc<str>,
    until: Time,
}

/// Requests that this process only passes on have no record.
fn nameless() -> Name {
    Name {
        epoch: 0,
        key: "".into(),
    }
}

//! The part of an instance that a caller reached with another's key.
//!
//! Invariant: it never runs the request. It passes the owner's answer on, or
//! the witness's word, or says "unknown".

use std::sync::Arc;

use super::{book, held, message};
use crate::clock;
use crate::process::{dispatch, gate};
use crate::request::{arrival, key, outcome, record};
use crate::version::view;

impl gate::Gate {
    /// A request whose key names another process as its owner.
    pub(super) fn foreign(
        &mut self,
        now: clock::Time,
        arrival: arrival::Arrival,
        key: key::Issued,
        out: &mut Vec<message::Action>,
    ) {
        // The owner was replaced and this process listens at its address. It
        // knows nothing of the key, so it must neither run it nor say anything
        // of it; the sender goes on to the witness.
        if arrival.origin == arrival::Origin::Forward {
            if self.safe.own_only {
                return gate::refuse(arrival.id, self.elsewhere(outcome::Reason::OwnerGone), out);
            }
            return out.push(message::Action::Run(arrival));
        }
        let owner = key.prefix.owner.incarnation;
        self.forward(now, arrival, owner, Some(key), out);
    }

    /// Sends the request to `owner`. `key` is given if it may name a witness.
    pub(super) fn forward(
        &mut self,
        now: clock::Time,
        arrival: arrival::Arrival,
        owner: view::Incarnation,
        key: Option<key::Issued>,
        out: &mut Vec<message::Action>,
    ) {
        let id = arrival.id;
        if let Some(reason) = self.crowded(&arrival.caller) {
            return gate::refuse(id, self.elsewhere(reason), out);
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
        self.tally.forwards += 1;
        out.push(message::Action::Forward {
            id,
            peer,
            budget: until.since(now),
        });
        self.held.insert(held::Held {
            id,
            caller: Arc::clone(&arrival.caller),
            name: nameless(),
            until,
            stage: held::Stage::Forwarding { key, arrival },
        });
    }

    /// The hop to the owner ended.
    pub(super) fn forwarded(
        &mut self,
        now: clock::Time,
        id: arrival::RequestId,
        ending: dispatch::AttemptOutcome,
        out: &mut Vec<message::Action>,
    ) {
        let forwarding = |h: &held::Held| matches!(h.stage, held::Stage::Forwarding { .. });
        if !self.held.get(id).is_some_and(forwarding) {
            return;
        }
        let Some(held) = self.held.remove(id) else {
            return;
        };
        let held::Stage::Forwarding { key, arrival } = held.stage else {
            return;
        };
        match ending {
            dispatch::AttemptOutcome::Answered(answer) => {
                out.push(message::Action::Reply { id, answer });
            }
            dispatch::AttemptOutcome::PeerRefused(refusal)
                if refusal.reason != outcome::Reason::OwnerGone =>
            {
                gate::refuse(id, refusal, out);
            }
            dispatch::AttemptOutcome::BadAnswer => {
                gate::refuse(id, self.elsewhere(outcome::Reason::BadAnswer), out);
            }
            dispatch::AttemptOutcome::TimedOut => {
                gate::refuse(id, self.elsewhere(outcome::Reason::Deadline), out);
            }
            _ if !self.safe.hop_final => out.push(message::Action::Run(arrival)),
            dispatch::AttemptOutcome::PeerRefused(_)
            | dispatch::AttemptOutcome::Refused { .. }
            | dispatch::AttemptOutcome::Unreachable
            | dispatch::AttemptOutcome::Broken => {
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
    fn owner_gone(
        &mut self,
        now: clock::Time,
        lost: Lost,
        key: Option<&key::Issued>,
        out: &mut Vec<message::Action>,
    ) {
        let id = lost.id;
        let witness = key.and_then(|k| Some((k, k.prefix.witness?.incarnation)));
        let Some((key, witness)) = witness else {
            return gate::refuse(id, self.elsewhere(outcome::Reason::OwnerGone), out);
        };
        let question = record::Question::Seal(key.text.clone());
        if witness == self.me {
            let word = self.registry.answer(self.limits.epoch_at(now), &question);
            return gate::refuse(id, self.verdict(Some(word)), out);
        }
        let Some(peer) = self.peer(witness) else {
            return gate::refuse(id, self.elsewhere(outcome::Reason::OwnerGone), out);
        };
        self.tally.seals += 1;
        let ask = self.ask(peer, question, self.limits.ask_timeout, out);
        self.held.insert(held::Held {
            id,
            caller: lost.caller,
            name: nameless(),
            until: lost.until,
            stage: held::Stage::Sealing {
                ask,
                wait: now + self.limits.ask_timeout,
            },
        });
    }

    /// The witness's word on a seal; `None` if none came.
    pub(super) fn sealed(
        &mut self,
        id: arrival::RequestId,
        word: Option<record::Reply>,
        out: &mut Vec<message::Action>,
    ) {
        if self.held.remove(id).is_some() {
            gate::refuse(id, self.verdict(word), out);
        }
    }

    fn verdict(&self, word: Option<record::Reply>) -> outcome::Refusal {
        match word {
            Some(record::Reply::Sealed) => {
                outcome::Refusal::not_run(outcome::Reason::OwnerGone, Some(gate::COME_BACK))
            }
            Some(record::Reply::Expired) => {
                outcome::Refusal::unknown(outcome::Reason::KeyExpired, None)
            }
            _ => self.elsewhere(outcome::Reason::OwnerGone),
        }
    }
}

/// A request whose owner can't be reached.
struct Lost {
    id: arrival::RequestId,
    caller: Arc<str>,
    until: clock::Time,
}

/// Requests that this process only passes on have no record.
fn nameless() -> book::Name {
    book::Name {
        epoch: 0,
        key: "".into(),
    }
}

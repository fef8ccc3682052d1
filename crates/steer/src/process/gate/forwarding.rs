//! Handling of requests whose key belongs to another process.
//!
//! Invariant: this process never runs such a request. It passes on the owner's
//! answer or the witness's reply, or answers "unknown".

use std::sync::Arc;

use super::{held, message, record_table};
use crate::clock;
use crate::process::{dispatch, gate};
use crate::request::{arrival, key, outcome, record};
use crate::version::view;

impl gate::Gate {
    /// Handles a request whose key names another process as its owner.
    pub(super) fn arrive_foreign(
        &mut self,
        now: clock::Time,
        arrival: arrival::Arrival,
        key: key::Issued,
        out: &mut Vec<message::Action>,
    ) {
        // The owner was replaced and this process listens on its address. It has
        // no record of the key, so it must neither run it nor report an outcome;
        // the sender queries the witness next.
        if arrival.origin == arrival::Origin::Forward {
            if self.safeguards.own_only {
                return gate::refuse(
                    arrival.id,
                    self.unknown_refusal(outcome::Reason::OwnerGone),
                    out,
                );
            }
            return out.push(message::Action::Run(arrival));
        }
        let owner = key.prefix.owner.incarnation;
        self.forward(now, arrival, owner, Some(key), out);
    }

    /// Forwards the request to `owner`. `key` is `None` for a chosen key, which
    /// names no witness.
    pub(super) fn forward(
        &mut self,
        now: clock::Time,
        arrival: arrival::Arrival,
        owner: view::Incarnation,
        key: Option<key::Issued>,
        out: &mut Vec<message::Action>,
    ) {
        let id = arrival.id;
        if let Some(reason) = self.held_limit_reached(&arrival.caller) {
            return gate::refuse(id, self.unknown_refusal(reason), out);
        }
        let expires_at = self.expiry_of(now, &arrival);
        let Some(peer) = self.peer(owner) else {
            let orphan = Orphan {
                id,
                caller: arrival.caller,
                expires_at,
            };
            return self.owner_gone(now, orphan, key.as_ref(), out);
        };
        self.tally.forwards += 1;
        out.push(message::Action::Forward {
            id,
            peer,
            budget: expires_at.since(now),
        });
        self.held.insert(held::HeldRequest {
            id,
            caller: Arc::clone(&arrival.caller),
            record_id: no_record_id(),
            expires_at,
            stage: held::Stage::Forwarding { key, arrival },
        });
    }

    /// Handles the end of the hop to the owner.
    pub(super) fn forwarded(
        &mut self,
        now: clock::Time,
        id: arrival::RequestId,
        ending: dispatch::AttemptOutcome,
        out: &mut Vec<message::Action>,
    ) {
        let forwarding = |h: &held::HeldRequest| matches!(h.stage, held::Stage::Forwarding { .. });
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
                gate::refuse(id, self.unknown_refusal(outcome::Reason::BadAnswer), out);
            }
            dispatch::AttemptOutcome::TimedOut => {
                gate::refuse(id, self.unknown_refusal(outcome::Reason::Deadline), out);
            }
            _ if !self.safeguards.hop_final => out.push(message::Action::Run(arrival)),
            dispatch::AttemptOutcome::PeerRefused(_)
            | dispatch::AttemptOutcome::Refused { .. }
            | dispatch::AttemptOutcome::Unreachable
            | dispatch::AttemptOutcome::Broken => {
                let orphan = Orphan {
                    id,
                    caller: held.caller,
                    expires_at: held.expires_at,
                };
                self.owner_gone(now, orphan, key.as_ref(), out);
            }
        }
    }

    /// Asks the key's witness to seal the key, after the owner could not be
    /// reached.
    fn owner_gone(
        &mut self,
        now: clock::Time,
        orphan: Orphan,
        key: Option<&key::Issued>,
        out: &mut Vec<message::Action>,
    ) {
        let id = orphan.id;
        let witness = key.and_then(|k| Some((k, k.prefix.witness?.incarnation)));
        let Some((key, witness)) = witness else {
            return gate::refuse(id, self.unknown_refusal(outcome::Reason::OwnerGone), out);
        };
        let question = record::Question::Seal(key.text.clone());
        if witness == self.incarnation {
            let reply = self.registry.answer(self.limits.epoch_at(now), &question);
            return gate::refuse(id, self.seal_refusal(Some(reply)), out);
        }
        let Some(peer) = self.peer(witness) else {
            return gate::refuse(id, self.unknown_refusal(outcome::Reason::OwnerGone), out);
        };
        self.tally.seals += 1;
        let ask = self.ask(peer, question, self.limits.ask_timeout, out);
        self.held.insert(held::HeldRequest {
            id,
            caller: orphan.caller,
            record_id: no_record_id(),
            expires_at: orphan.expires_at,
            stage: held::Stage::Sealing {
                ask,
                wait_until: now + self.limits.ask_timeout,
            },
        });
    }

    /// Handles the witness's reply to a seal; `None` if none came in time.
    pub(super) fn seal_ended(
        &mut self,
        id: arrival::RequestId,
        reply: Option<record::Reply>,
        out: &mut Vec<message::Action>,
    ) {
        if self.held.remove(id).is_some() {
            gate::refuse(id, self.seal_refusal(reply), out);
        }
    }

    fn seal_refusal(&self, reply: Option<record::Reply>) -> outcome::Refusal {
        match reply {
            Some(record::Reply::Sealed) => outcome::Refusal::not_run(
                outcome::Reason::OwnerGone,
                Some(gate::DEFAULT_RETRY_AFTER),
            ),
            Some(record::Reply::Expired) => {
                outcome::Refusal::unknown(outcome::Reason::KeyExpired, None)
            }
            _ => self.unknown_refusal(outcome::Reason::OwnerGone),
        }
    }
}

/// A request whose owner cannot be reached.
struct Orphan {
    id: arrival::RequestId,
    caller: Arc<str>,
    expires_at: clock::Time,
}

/// Placeholder id for requests that this process only forwards: they have no
/// record.
fn no_record_id() -> record_table::RecordId {
    record_table::RecordId {
        epoch: 0,
        key: "".into(),
    }
}

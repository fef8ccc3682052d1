//! Keys that callers chose without a look-up: claimed in the platform's store.
//!
//! Invariant: the request runs only in the process whose attempt the store
//! holds, and only once that process has seen it there. A lost answer is
//! settled by reading the key back.

use std::sync::Arc;

use super::{book, held, message, owner};
use crate::clock;
use crate::process::gate;
use crate::request::{arrival, outcome, record};

/// Chosen keys show no age; their records stand behind all others.
pub const EPOCH: u64 = u64::MAX;

/// Calls to the store for one request. Three settle one lost answer: write,
/// read, write again.
const CALLS: u32 = 4;

impl gate::Gate {
    /// A request whose key its caller chose.
    pub(super) fn chosen(
        &mut self,
        now: clock::Time,
        arrival: arrival::Arrival,
        key: Arc<str>,
        out: &mut Vec<message::Action>,
    ) {
        let id = arrival.id;
        let name = book::Name { epoch: EPOCH, key };
        if self.book.get(&name).is_some() {
            return self.resend(now, &arrival, name, out);
        }
        if arrival.origin == arrival::Origin::Forward {
            // Whoever holds the key in the store won't run it any more.
            let refusal = outcome::Refusal {
                retry_after: None,
                ..self.elsewhere(outcome::Reason::Forgotten)
            };
            return gate::refuse(id, refusal, out);
        }
        if self.leaving {
            return gate::refuse(id, self.elsewhere(outcome::Reason::Leaving), out);
        }
        if let Some(reason) = self.no_room(&arrival.caller) {
            return gate::refuse(id, self.elsewhere(reason), out);
        }
        self.attempts += 1;
        let attempt = record::Claim {
            incarnation: self.me,
            number: self.attempts,
            fingerprint: arrival.fingerprint,
        };
        let born = self.limits.epoch_at(now);
        let record = Box::new(owner::Record::new(born, &arrival));
        self.book.insert(name.clone(), record);
        self.held.insert(held::Held {
            id,
            caller: Arc::clone(&arrival.caller),
            name,
            until: self.until(now, &arrival),
            stage: held::Stage::Storing {
                attempt,
                call: record::StoreCall::Create(attempt),
                tries: 0,
                arrival,
            },
        });
        self.call(id, record::StoreCall::Create(attempt), out);
    }

    /// A call to the store ended.
    pub(super) fn stored(
        &mut self,
        now: clock::Time,
        id: arrival::RequestId,
        result: record::StoreResult,
        out: &mut Vec<message::Action>,
    ) {
        let Some(held::Stage::Storing { attempt, call, .. }) = self.held.get(id).map(|h| &h.stage)
        else {
            return;
        };
        let (attempt, call) = (*attempt, *call);
        match (call, result) {
            (_, record::StoreResult::Created) => self.won(now, id, out),
            (_, record::StoreResult::Found(Some(other))) if other == attempt => {
                self.won(now, id, out);
            }
            (_, record::StoreResult::Found(Some(other))) => self.taken(now, id, other, out),
            (record::StoreCall::Read, record::StoreResult::Absent) => {
                self.call(id, record::StoreCall::Create(attempt), out);
            }
            // Whether the write took effect is read back; nothing is decided
            // from silence.
            (_, record::StoreResult::Unknown | record::StoreResult::Absent) => {
                self.call(id, record::StoreCall::Read, out);
            }
            (_, record::StoreResult::Unreachable | record::StoreResult::Found(None)) => {
                self.unsettled(id, out);
            }
        }
    }

    /// Makes the next call, unless the request has made its share of them.
    fn call(
        &mut self,
        id: arrival::RequestId,
        next: record::StoreCall,
        out: &mut Vec<message::Action>,
    ) {
        let Some(held::Stage::Storing { call, tries, .. }) = self.held.stage_mut(id) else {
            return;
        };
        if *tries >= CALLS {
            return self.unsettled(id, out);
        }
        *call = next;
        *tries += 1;
        let Some(held) = self.held.get(id) else {
            return;
        };
        self.tally.calls += 1;
        out.push(message::Action::Store {
            id,
            key: Arc::clone(&held.name.key),
            call: next,
            budget: self.limits.store_timeout,
        });
    }

    fn won(&mut self, now: clock::Time, id: arrival::RequestId, out: &mut Vec<message::Action>) {
        let Some(held) = self.held.remove(id) else {
            return;
        };
        let held::Stage::Storing { arrival, .. } = held.stage else {
            return;
        };
        if held.until <= now {
            let refusal =
                outcome::Refusal::not_run(outcome::Reason::Deadline, Some(gate::COME_BACK));
            return self.finish(&held.name, message::Verdict::Refused(refusal), out);
        }
        self.run_until(now, arrival, held.name, held.until, out);
    }

    /// Another attempt holds the key. Its process may have the answer.
    fn taken(
        &mut self,
        now: clock::Time,
        id: arrival::RequestId,
        other: record::Claim,
        out: &mut Vec<message::Action>,
    ) {
        let Some(held) = self.held.remove(id) else {
            return;
        };
        let held::Stage::Storing { arrival, .. } = held.stage else {
            return;
        };
        let left = self.drop_waiters(&held.name, out);
        if left {
            return;
        }
        if other.fingerprint != arrival.fingerprint {
            return gate::refuse(
                id,
                outcome::Refusal::unknown(outcome::Reason::KeyReused, None),
                out,
            );
        }
        self.forward(now, arrival, other.incarnation, None, out);
    }

    /// The store did not say who holds the key. The key stays open: a later
    /// copy asks the store again.
    pub(super) fn unsettled(&mut self, id: arrival::RequestId, out: &mut Vec<message::Action>) {
        let Some(held) = self.held.remove(id) else {
            return;
        };
        if !self.drop_waiters(&held.name, out) {
            gate::refuse(id, self.elsewhere(outcome::Reason::Store), out);
        }
    }

    /// Removes the record of a key that this process does not hold, and sends
    /// the copies that waited away. Returns whether the first copy's caller
    /// left.
    fn drop_waiters(&mut self, name: &book::Name, out: &mut Vec<message::Action>) -> bool {
        let Some(record) = self.book.remove(name) else {
            return false;
        };
        for id in record.waiters {
            self.held.remove(id);
            gate::refuse(
                id,
                outcome::Refusal::unknown(outcome::Reason::KeyBusy, Some(gate::COME_BACK)),
                out,
            );
        }
        record.left
    }
}

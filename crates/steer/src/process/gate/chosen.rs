//! Keys chosen by callers without a look-up, which are claimed in the platform's
//! store.
//!
//! Invariant: the request runs only in the process whose claim the store holds,
//! and only after that process has seen it there. If the store's answer to a
//! write is lost, the key is read back.

use std::sync::Arc;

use super::{held, message, owner, record_table};
use crate::clock;
use crate::process::gate;
use crate::request::{arrival, outcome, record};

/// Epoch in the record ids of chosen keys, which carry no age. It sorts their
/// records behind all others.
pub const UNDATED_EPOCH: u64 = u64::MAX;

/// Maximum number of store calls per request. Three recover from one lost answer:
/// write, read, write again.
const STORE_CALLS_MAX: u32 = 4;

impl gate::Gate {
    /// Handles a request whose key was chosen by its caller.
    pub(super) fn arrive_chosen(
        &mut self,
        now: clock::Time,
        arrival: arrival::Arrival,
        key: Arc<str>,
        out: &mut Vec<message::Action>,
    ) {
        let id = arrival.id;
        let record_id = record_table::RecordId {
            epoch: UNDATED_EPOCH,
            key,
        };
        if self.records.get(&record_id).is_some() {
            return self.resend(now, &arrival, record_id, out);
        }
        if arrival.origin == arrival::Origin::Forward {
            // The store holds a claim of this process, or of its predecessor at
            // this address. Without a record here the key will not run any more.
            let refusal = outcome::Refusal {
                retry_after: None,
                ..self.unknown_refusal(outcome::Reason::Forgotten)
            };
            return gate::refuse(id, refusal, out);
        }
        if self.leaving {
            return gate::refuse(id, self.unknown_refusal(outcome::Reason::Leaving), out);
        }
        if let Some(reason) = self.limit_reached(&arrival.caller) {
            return gate::refuse(id, self.unknown_refusal(reason), out);
        }
        self.attempts += 1;
        let attempt = record::Claim {
            incarnation: self.incarnation,
            number: self.attempts,
            fingerprint: arrival.fingerprint,
        };
        let created_epoch = self.limits.epoch_at(now);
        let record = Box::new(owner::Record::new(created_epoch, &arrival));
        self.records.insert(record_id.clone(), record);
        self.held.insert(held::HeldRequest {
            id,
            caller: Arc::clone(&arrival.caller),
            record_id,
            expires_at: self.expiry_of(now, &arrival),
            stage: held::Stage::Storing {
                attempt,
                call: record::StoreCall::Create(attempt),
                tries: 0,
                arrival,
            },
        });
        self.call(id, record::StoreCall::Create(attempt), out);
    }

    /// Handles the end of a call to the store.
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
            (_, record::StoreResult::Created) => self.claim_created(now, id, out),
            (_, record::StoreResult::Found(Some(other))) if other == attempt => {
                self.claim_created(now, id, out);
            }
            (_, record::StoreResult::Found(Some(other))) => self.claim_lost(now, id, other, out),
            (record::StoreCall::Read, record::StoreResult::Absent) => {
                self.call(id, record::StoreCall::Create(attempt), out);
            }
            // Reads back whether the write took effect: a missing answer decides
            // nothing.
            (_, record::StoreResult::Unknown | record::StoreResult::Absent) => {
                self.call(id, record::StoreCall::Read, out);
            }
            (_, record::StoreResult::Unreachable | record::StoreResult::Found(None)) => {
                self.claim_undecided(id, out);
            }
        }
    }

    /// Makes the next store call, unless the request has made
    /// [`STORE_CALLS_MAX`] of them.
    fn call(
        &mut self,
        id: arrival::RequestId,
        next: record::StoreCall,
        out: &mut Vec<message::Action>,
    ) {
        let Some(held::Stage::Storing { call, tries, .. }) = self.held.stage_mut(id) else {
            return;
        };
        if *tries >= STORE_CALLS_MAX {
            return self.claim_undecided(id, out);
        }
        *call = next;
        *tries += 1;
        let Some(held) = self.held.get(id) else {
            return;
        };
        self.tally.calls += 1;
        out.push(message::Action::Store {
            id,
            key: Arc::clone(&held.record_id.key),
            call: next,
            budget: self.limits.store_timeout,
        });
    }

    fn claim_created(
        &mut self,
        now: clock::Time,
        id: arrival::RequestId,
        out: &mut Vec<message::Action>,
    ) {
        let Some(held) = self.held.remove(id) else {
            return;
        };
        let held::Stage::Storing { arrival, .. } = held.stage else {
            return;
        };
        if held.expires_at <= now {
            let refusal = outcome::Refusal::not_run(
                outcome::Reason::Deadline,
                Some(gate::DEFAULT_RETRY_AFTER),
            );
            return self.finish_key(&held.record_id, message::Verdict::Refused(refusal), out);
        }
        self.run_until(now, arrival, held.record_id, held.expires_at, out);
    }

    /// Forwards the request to the process whose claim the store holds, since
    /// that process may have the answer.
    fn claim_lost(
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
        let is_detached = self.drop_waiters(&held.record_id, out);
        if is_detached {
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

    /// Refuses the request if the store did not report who holds the key. The key
    /// stays open: a later copy queries the store again.
    pub(super) fn claim_undecided(
        &mut self,
        id: arrival::RequestId,
        out: &mut Vec<message::Action>,
    ) {
        let Some(held) = self.held.remove(id) else {
            return;
        };
        if !self.drop_waiters(&held.record_id, out) {
            gate::refuse(id, self.unknown_refusal(outcome::Reason::Store), out);
        }
    }

    /// Removes the record of a key that this process does not hold, and refuses
    /// the copies that wait for its outcome. Returns whether the first copy's
    /// caller left.
    fn drop_waiters(
        &mut self,
        record_id: &record_table::RecordId,
        out: &mut Vec<message::Action>,
    ) -> bool {
        let Some(record) = self.records.remove(record_id) else {
            return false;
        };
        for id in record.waiters {
            self.held.remove(id);
            gate::refuse(
                id,
                outcome::Refusal::unknown(
                    outcome::Reason::KeyBusy,
                    Some(gate::DEFAULT_RETRY_AFTER),
                ),
                out,
            );
        }
        record.is_detached
    }
}

//! Handling of keys that this process owns: runs each at most once.
//!
//! Invariant: a record is inserted before any other action on a key, and its
//! progress only goes forward: claiming, running, done.

use std::sync::Arc;

use super::{chosen, held, message, record_table};
use crate::clock;
use crate::process::gate;
use crate::request::{arrival, key, outcome, record};

/// Progress of a key.
pub enum Progress {
    /// The key is being claimed or is running; the outcome is not known yet.
    Open,
    /// The outcome that every further copy is answered with.
    Done(message::Verdict),
}

/// Record of a key that this process may run.
pub struct Record {
    /// Fingerprint of the request that the key was first sent with.
    pub fingerprint: arrival::Fingerprint,
    /// Epoch in which the record was inserted.
    pub created_epoch: u64,
    /// First copy, which is the one that runs.
    pub first: arrival::RequestId,
    /// Set if the first copy's caller left or was already answered.
    pub is_detached: bool,
    /// Later copies that wait for the outcome.
    pub waiters: Vec<arrival::RequestId>,
    /// Progress of the key.
    pub progress: Progress,
}

impl Record {
    pub(super) fn new(created_epoch: u64, arrival: &arrival::Arrival) -> Self {
        Self {
            fingerprint: arrival.fingerprint,
            created_epoch,
            first: arrival.id,
            is_detached: false,
            waiters: Vec::new(),
            progress: Progress::Open,
        }
    }
}

impl gate::Gate {
    /// Handles a request whose key only this process may run.
    pub(super) fn arrive_owned(
        &mut self,
        now: clock::Time,
        mut arrival: arrival::Arrival,
        key: &key::Issued,
        out: &mut Vec<message::Action>,
    ) {
        let id = arrival.id;
        let record_id = record_table::RecordId {
            epoch: key.prefix.owner.epoch,
            key: key.text.clone(),
        };
        if self.records.get(&record_id).is_some() {
            return self.resend(now, &arrival, record_id, out);
        }
        if let Some(refusal) = self.admission_refusal(now, record_id.epoch, &arrival.caller) {
            return gate::refuse(id, refusal, out);
        }
        // No cap was applied to a forwarded request yet, so it counts as a
        // caller's own here.
        arrival.origin = arrival::Origin::Caller;
        let created_epoch = self.limits.epoch_at(now);
        let record = Box::new(Record::new(created_epoch, &arrival));
        self.records.insert(record_id.clone(), record);
        match key.prefix.witness {
            None => self.run(now, arrival, record_id, out),
            Some(witness) => self.claim(now, arrival, record_id, witness, out),
        }
    }

    /// Refusal of a key without a record, if it can't be run.
    ///
    /// Records outlive the age up to which keys are accepted. Between the two
    /// ages a missing record means that the key never ran, and it never will,
    /// since epochs only grow. The same holds once this process is leaving.
    fn admission_refusal(
        &self,
        now: clock::Time,
        issued: u64,
        caller: &str,
    ) -> Option<outcome::Refusal> {
        let Some(age) = self.limits.epoch_at(now).checked_sub(issued) else {
            // An epoch in the future was not issued by this process. The answer
            // must not be "not run": the key would be accepted once that epoch
            // has come.
            return Some(outcome::Refusal::unknown(
                outcome::Reason::KeyMalformed,
                None,
            ));
        };
        if age > self.limits.keep_epochs {
            return Some(outcome::Refusal::unknown(outcome::Reason::KeyExpired, None));
        }
        if age > self.limits.accept_epochs {
            return Some(outcome::Refusal::not_run(outcome::Reason::KeyExpired, None));
        }
        if self.leaving {
            return Some(outcome::Refusal::not_run(
                outcome::Reason::Leaving,
                Some(gate::DEFAULT_RETRY_AFTER),
            ));
        }
        // Without room for a record no outcome can be guaranteed.
        let reason = self.limit_reached(caller)?;
        Some(outcome::Refusal::unknown(
            reason,
            Some(gate::DEFAULT_RETRY_AFTER),
        ))
    }

    /// Reason for which no record can be inserted for this caller, if any.
    pub(super) fn limit_reached(&self, caller: &str) -> Option<outcome::Reason> {
        if self.records.is_full() {
            return Some(outcome::Reason::Overloaded);
        }
        self.held_limit_reached(caller)
    }

    /// Handles a further copy of a request that has a record.
    pub(super) fn resend(
        &mut self,
        now: clock::Time,
        arrival: &arrival::Arrival,
        record_id: record_table::RecordId,
        out: &mut Vec<message::Action>,
    ) {
        let id = arrival.id;
        let expires_at = self.expiry_of(now, arrival);
        let is_full = self.held_limit_reached(&arrival.caller).is_some();
        let Some(record) = self.records.get_mut(&record_id) else {
            return;
        };
        if record.fingerprint != arrival.fingerprint {
            return gate::refuse(
                id,
                outcome::Refusal::unknown(outcome::Reason::KeyReused, None),
                out,
            );
        }
        if let Progress::Done(verdict) = &record.progress {
            self.tally.replays += 1;
            return gate::answer(id, &replay_verdict(verdict), out);
        }
        if is_full || record.waiters.len() >= self.limits.waiters_max {
            let refusal = outcome::Refusal::unknown(
                outcome::Reason::KeyBusy,
                Some(gate::DEFAULT_RETRY_AFTER),
            );
            return gate::refuse(id, refusal, out);
        }
        self.tally.waits += 1;
        record.waiters.push(id);
        self.held.insert(held::HeldRequest {
            id,
            caller: Arc::clone(&arrival.caller),
            record_id,
            expires_at,
            stage: held::Stage::Waiting,
        });
    }

    fn claim(
        &mut self,
        now: clock::Time,
        arrival: arrival::Arrival,
        record_id: record_table::RecordId,
        witness: key::Stamp,
        out: &mut Vec<message::Action>,
    ) {
        let Some(peer) = self.peer(witness.incarnation) else {
            return self.finish_key(&record_id, message::Verdict::Refused(no_witness()), out);
        };
        let question = record::Question::Claim(record_id.key.clone());
        self.tally.claims += 1;
        let ask = self.ask(peer, question, self.limits.ask_timeout, out);
        if !self.safeguards.wait_word {
            return self.run(now, arrival, record_id, out);
        }
        self.held.insert(held::HeldRequest {
            id: arrival.id,
            caller: Arc::clone(&arrival.caller),
            record_id,
            expires_at: self.expiry_of(now, &arrival),
            stage: held::Stage::Claiming {
                ask,
                witness: witness.incarnation,
                wait_until: now + self.limits.ask_timeout,
                arrival,
            },
        });
    }

    /// Handles the witness's reply to a claim; `None` if none came in time.
    pub(super) fn claim_ended(
        &mut self,
        now: clock::Time,
        id: arrival::RequestId,
        reply: Option<record::Reply>,
        out: &mut Vec<message::Action>,
    ) {
        let reason = match reply {
            Some(record::Reply::Claimed) => return self.claim_granted(now, id, out),
            Some(record::Reply::Sealed) => outcome::Reason::KeySealed,
            Some(record::Reply::Expired) => outcome::Reason::KeyExpired,
            // A full witness stays full for minutes. New keys have to name
            // another witness or none, or they would all be refused as well.
            Some(record::Reply::Full | record::Reply::Foreign | record::Reply::Epoch(_)) | None => {
                return self.abandon_claim(now, id, out);
            }
        };
        if let Some(held) = self.held.remove(id) {
            let refusal = outcome::Refusal::not_run(reason, Some(gate::DEFAULT_RETRY_AFTER));
            self.finish_key(&held.record_id, message::Verdict::Refused(refusal), out);
        }
    }

    fn claim_granted(
        &mut self,
        now: clock::Time,
        id: arrival::RequestId,
        out: &mut Vec<message::Action>,
    ) {
        let Some(held) = self.held.remove(id) else {
            return;
        };
        let held::Stage::Claiming { arrival, .. } = held.stage else {
            return;
        };
        if held.expires_at <= now && self.safeguards.stay_given_up {
            let refusal = outcome::Refusal::not_run(
                outcome::Reason::Deadline,
                Some(gate::DEFAULT_RETRY_AFTER),
            );
            return self.finish_key(&held.record_id, message::Verdict::Refused(refusal), out);
        }
        self.run_until(now, arrival, held.record_id, held.expires_at, out);
    }

    /// Stops waiting for the witness. The record is set to "not run" before the
    /// caller is answered, so a late reply finds nothing to start.
    pub(super) fn abandon_claim(
        &mut self,
        now: clock::Time,
        id: arrival::RequestId,
        out: &mut Vec<message::Action>,
    ) {
        if !self.safeguards.stay_given_up {
            return self.answer_unclaimed(id, out);
        }
        let Some(held) = self.held.remove(id) else {
            return;
        };
        let held::Stage::Claiming { witness, .. } = held.stage else {
            return;
        };
        self.tally.unclaimed += 1;
        // A passed deadline of the caller is no evidence against the witness.
        let refusal = if held.expires_at <= now {
            outcome::Refusal::not_run(outcome::Reason::Deadline, Some(gate::DEFAULT_RETRY_AFTER))
        } else {
            self.issuer.suspect(now, &self.limits, witness);
            no_witness()
        };
        self.finish_key(&held.record_id, message::Verdict::Refused(refusal), out);
    }

    /// Answers the caller but leaves the claim open. Only with the safeguard
    /// [`Safeguards::stay_given_up`](super::Safeguards) off.
    fn answer_unclaimed(&mut self, id: arrival::RequestId, out: &mut Vec<message::Action>) {
        let Some(held) = self.held.get(id) else {
            return;
        };
        let record_id = held.record_id.clone();
        if let Some(record) = self.records.get_mut(&record_id)
            && !record.is_detached
        {
            record.is_detached = true;
            gate::refuse(id, no_witness(), out);
        }
    }

    pub(super) fn run(
        &mut self,
        now: clock::Time,
        arrival: arrival::Arrival,
        record_id: record_table::RecordId,
        out: &mut Vec<message::Action>,
    ) {
        let expires_at = self.expiry_of(now, &arrival);
        self.run_until(now, arrival, record_id, expires_at, out);
    }

    pub(super) fn run_until(
        &mut self,
        now: clock::Time,
        mut arrival: arrival::Arrival,
        record_id: record_table::RecordId,
        expires_at: clock::Time,
        out: &mut Vec<message::Action>,
    ) {
        self.tally.runs += 1;
        arrival.deadline = Some(expires_at.since(now));
        self.held.insert(held::HeldRequest {
            id: arrival.id,
            caller: Arc::clone(&arrival.caller),
            record_id,
            expires_at,
            stage: held::Stage::Running,
        });
        out.push(message::Action::Run(arrival));
    }

    /// Handles the outcome of a request that the dispatcher has run.
    pub(super) fn completed(
        &mut self,
        id: arrival::RequestId,
        verdict: message::Verdict,
        out: &mut Vec<message::Action>,
    ) {
        let Some(held) = self.held.remove(id) else {
            return;
        };
        self.finish_key(&held.record_id, verdict, out);
    }

    /// Ends a key: records the verdict, then answers all copies that wait for it.
    pub(super) fn finish_key(
        &mut self,
        record_id: &record_table::RecordId,
        verdict: message::Verdict,
        out: &mut Vec<message::Action>,
    ) {
        let is_open = self.stays_open(record_id, &verdict);
        let verdict = if is_open && self.safeguards.not_run_final {
            with_unknown_outcome(verdict)
        } else {
            verdict
        };
        let Some(record) = self.records.get_mut(record_id) else {
            return;
        };
        let first = (!record.is_detached).then_some(record.first);
        let waiters = core::mem::take(&mut record.waiters);
        record.progress = Progress::Done(verdict.clone());
        for id in first.into_iter().chain(waiters) {
            self.held.remove(id);
            gate::answer(id, &verdict, out);
        }
        self.tally.open += u64::from(is_open);
        if is_open {
            self.records.remove(record_id);
        } else if let message::Verdict::Answered(answer) = verdict {
            self.retain_answer(record_id, answer.bytes());
        }
    }

    /// Returns whether a key that did not run stays open, so that a later copy
    /// may run.
    ///
    /// A closed key occupies a record until records of its age are removed. Under
    /// overload far more requests are refused than run; their records would fill
    /// the table and block every new key for minutes after the overload has
    /// ended. So once the table is more than half full such a key stays open, its
    /// record is removed, and its callers are answered "unknown", which
    /// guarantees only that it does not run twice. A chosen key stays claimed in
    /// the store and could not run again, so its record is kept.
    fn stays_open(&self, record_id: &record_table::RecordId, verdict: &message::Verdict) -> bool {
        let message::Verdict::Refused(refusal) = verdict else {
            return false;
        };
        let is_crowded = self.records.is_crowded() && record_id.epoch != chosen::UNDATED_EPOCH;
        refusal.outcome == outcome::Outcome::NotRun
            && (is_crowded || !self.safeguards.not_run_final)
    }

    fn retain_answer(&mut self, record_id: &record_table::RecordId, bytes: u64) {
        for evicted in self.answers.insert(record_id.clone(), bytes) {
            self.tally.dropped += 1;
            if let Some(record) = self.records.get_mut(&evicted) {
                let refusal = outcome::Refusal::unknown(outcome::Reason::Forgotten, None);
                record.progress = Progress::Done(message::Verdict::Refused(refusal));
            }
        }
    }
}

/// Verdict for a resend of a finished key. A key that did not run is reported as
/// sealed: the reason of its first refusal is outdated and would only invite
/// another resend.
fn replay_verdict(verdict: &message::Verdict) -> message::Verdict {
    match verdict {
        message::Verdict::Refused(refusal) if refusal.outcome == outcome::Outcome::NotRun => {
            message::Verdict::Refused(outcome::Refusal::not_run(outcome::Reason::KeySealed, None))
        }
        other => other.clone(),
    }
}

/// Changes the outcome of a refusal to "unknown"; its reason stays.
fn with_unknown_outcome(verdict: message::Verdict) -> message::Verdict {
    match verdict {
        message::Verdict::Refused(refusal) => message::Verdict::Refused(outcome::Refusal {
            outcome: outcome::Outcome::Unknown,
            ..refusal
        }),
        answered @ message::Verdict::Answered(_) => answered,
    }
}

const fn no_witness() -> outcome::Refusal {
    outcome::Refusal::not_run(outcome::Reason::Witness, Some(gate::DEFAULT_RETRY_AFTER))
}

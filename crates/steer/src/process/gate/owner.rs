//! The owner's part: runs its own keys, each at most once.
//!
//! Invariant: a record is made before anything else happens to a key, and its
//! progress only ever goes forward: claiming, running, done.

use std::sync::Arc;

use super::{book, chosen, held, message};
use crate::clock;
use crate::process::gate;
use crate::request::{arrival, key, outcome, record};

/// How far a key has come.
pub enum Progress {
    /// Its request has not been sent, or is being sent.
    Open,
    /// What every further copy is told.
    Done(message::Verdict),
}

/// What a process knows of a key that it may run.
pub struct Record {
    /// The request that the key stands for.
    pub fingerprint: arrival::Fingerprint,
    /// Epoch in which the record was made.
    pub born: u64,
    /// The first copy, which is the one that runs.
    pub first: arrival::RequestId,
    /// Whether the first copy's caller left, or has its answer already.
    pub left: bool,
    /// Later copies that wait for the outcome.
    pub waiters: Vec<arrival::RequestId>,
    /// How far it has come.
    pub progress: Progress,
}

impl Record {
    pub(super) fn new(born: u64, arrival: &arrival::Arrival) -> Self {
        Self {
            fingerprint: arrival.fingerprint,
            born,
            first: arrival.id,
            left: false,
            waiters: Vec::new(),
            progress: Progress::Open,
        }
    }
}

impl gate::Gate {
    /// A request whose key only this process may run.
    pub(super) fn own(
        &mut self,
        now: clock::Time,
        mut arrival: arrival::Arrival,
        key: &key::Issued,
        out: &mut Vec<message::Action>,
    ) {
        let id = arrival.id;
        let name = book::Name {
            epoch: key.prefix.owner.epoch,
            key: key.text.clone(),
        };
        if self.book.get(&name).is_some() {
            return self.resend(now, &arrival, name, out);
        }
        if let Some(refusal) = self.turned_away(now, name.epoch, &arrival.caller) {
            return gate::refuse(id, refusal, out);
        }
        // A forwarded request has met no cap yet: it counts as a caller's here.
        arrival.origin = arrival::Origin::Caller;
        let born = self.limits.epoch_at(now);
        let record = Box::new(Record::new(born, &arrival));
        self.book.insert(name.clone(), record);
        match key.prefix.witness {
            None => self.run(now, arrival, name, out),
            Some(witness) => self.claim(now, arrival, name, witness, out),
        }
    }

    /// Why a key without a record can't be run, if it can't.
    ///
    /// Records outlive the age up to which keys are accepted. Between the two
    /// ages no record means that the key never ran, and it never will: epochs
    /// only grow. The same holds once this process is leaving.
    fn turned_away(&self, now: clock::Time, issued: u64, caller: &str) -> Option<outcome::Refusal> {
        let Some(age) = self.limits.epoch_at(now).checked_sub(issued) else {
            // Not issued yet, so not by this process. It must not be called
            // "not run", as it would be accepted once its epoch has come.
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
                Some(gate::COME_BACK),
            ));
        }
        // Without room for a record nothing can be promised about the key.
        let reason = self.no_room(caller)?;
        Some(outcome::Refusal::unknown(reason, Some(gate::COME_BACK)))
    }

    /// Why a key can't be given a record, if it can't.
    pub(super) fn no_room(&self, caller: &str) -> Option<outcome::Reason> {
        if self.book.is_full() {
            return Some(outcome::Reason::Overloaded);
        }
        self.crowded(caller)
    }

    /// A further copy of a request that has a record.
    pub(super) fn resend(
        &mut self,
        now: clock::Time,
        arrival: &arrival::Arrival,
        name: book::Name,
        out: &mut Vec<message::Action>,
    ) {
        let id = arrival.id;
        let until = self.until(now, arrival);
        let crowd = self.crowded(&arrival.caller).is_some();
        let Some(record) = self.book.get_mut(&name) else {
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
            return gate::answer(id, &again(verdict), out);
        }
        if crowd || record.waiters.len() >= self.limits.waiters_max {
            let refusal =
                outcome::Refusal::unknown(outcome::Reason::KeyBusy, Some(gate::COME_BACK));
            return gate::refuse(id, refusal, out);
        }
        self.tally.waits += 1;
        record.waiters.push(id);
        self.held.insert(held::Held {
            id,
            caller: Arc::clone(&arrival.caller),
            name,
            until,
            stage: held::Stage::Waiting,
        });
    }

    fn claim(
        &mut self,
        now: clock::Time,
        arrival: arrival::Arrival,
        name: book::Name,
        witness: key::Stamp,
        out: &mut Vec<message::Action>,
    ) {
        let Some(peer) = self.peer(witness.incarnation) else {
            return self.finish(&name, message::Verdict::Refused(no_witness()), out);
        };
        let question = record::Question::Claim(name.key.clone());
        self.tally.claims += 1;
        let ask = self.ask(peer, question, self.limits.ask_timeout, out);
        if !self.safe.wait_word {
            return self.run(now, arrival, name, out);
        }
        self.held.insert(held::Held {
            id: arrival.id,
            caller: Arc::clone(&arrival.caller),
            name,
            until: self.until(now, &arrival),
            stage: held::Stage::Claiming {
                ask,
                witness: witness.incarnation,
                wait: now + self.limits.ask_timeout,
                arrival,
            },
        });
    }

    /// The witness's word on a claim; `None` if none came.
    pub(super) fn claimed(
        &mut self,
        now: clock::Time,
        id: arrival::RequestId,
        word: Option<record::Reply>,
        out: &mut Vec<message::Action>,
    ) {
        let reason = match word {
            Some(record::Reply::Claimed) => return self.granted(now, id, out),
            Some(record::Reply::Sealed) => outcome::Reason::KeySealed,
            Some(record::Reply::Expired) => outcome::Reason::KeyExpired,
            // A full witness stays full for minutes. New keys have to name
            // another one, or none, or they would all be refused as well.
            Some(record::Reply::Full | record::Reply::Foreign | record::Reply::Epoch(_)) | None => {
                return self.give_up(now, id, out);
            }
        };
        if let Some(held) = self.held.remove(id) {
            let refusal = outcome::Refusal::not_run(reason, Some(gate::COME_BACK));
            self.finish(&held.name, message::Verdict::Refused(refusal), out);
        }
    }

    fn granted(
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
        if held.until <= now && self.safe.stay_given_up {
            let refusal =
                outcome::Refusal::not_run(outcome::Reason::Deadline, Some(gate::COME_BACK));
            return self.finish(&held.name, message::Verdict::Refused(refusal), out);
        }
        self.run_until(now, arrival, held.name, held.until, out);
    }

    /// Stops waiting for the witness. The record turns to "not run" before the
    /// caller hears of it, so a word that comes later finds nothing to start.
    pub(super) fn give_up(
        &mut self,
        now: clock::Time,
        id: arrival::RequestId,
        out: &mut Vec<message::Action>,
    ) {
        if !self.safe.stay_given_up {
            return self.give_up_halfway(id, out);
        }
        let Some(held) = self.held.remove(id) else {
            return;
        };
        let held::Stage::Claiming { witness, .. } = held.stage else {
            return;
        };
        self.tally.unclaimed += 1;
        // A caller in a hurry says nothing about the witness.
        let refusal = if held.until <= now {
            outcome::Refusal::not_run(outcome::Reason::Deadline, Some(gate::COME_BACK))
        } else {
            self.issue.suspect(now, &self.limits, witness);
            no_witness()
        };
        self.finish(&held.name, message::Verdict::Refused(refusal), out);
    }

    /// [`Safeguards::stay_given_up`](super::Safeguards) off: the caller is
    /// answered, the claim stays open.
    fn give_up_halfway(&mut self, id: arrival::RequestId, out: &mut Vec<message::Action>) {
        let Some(held) = self.held.get(id) else {
            return;
        };
        let name = held.name.clone();
        if let Some(record) = self.book.get_mut(&name)
            && !record.left
        {
            record.left = true;
            gate::refuse(id, no_witness(), out);
        }
    }

    pub(super) fn run(
        &mut self,
        now: clock::Time,
        arrival: arrival::Arrival,
        name: book::Name,
        out: &mut Vec<message::Action>,
    ) {
        let until = self.until(now, &arrival);
        self.run_until(now, arrival, name, until, out);
    }

    pub(super) fn run_until(
        &mut self,
        now: clock::Time,
        mut arrival: arrival::Arrival,
        name: book::Name,
        until: clock::Time,
        out: &mut Vec<message::Action>,
    ) {
        self.tally.runs += 1;
        arrival.deadline = Some(until.since(now));
        self.held.insert(held::Held {
            id: arrival.id,
            caller: Arc::clone(&arrival.caller),
            name,
            until,
            stage: held::Stage::Running,
        });
        out.push(message::Action::Run(arrival));
    }

    /// The dispatcher is done with a request.
    pub(super) fn completed(
        &mut self,
        id: arrival::RequestId,
        verdict: message::Verdict,
        out: &mut Vec<message::Action>,
    ) {
        let Some(held) = self.held.remove(id) else {
            return;
        };
        self.finish(&held.name, verdict, out);
    }

    /// Ends a key: records the verdict, then tells all who wait for it.
    pub(super) fn finish(
        &mut self,
        name: &book::Name,
        verdict: message::Verdict,
        out: &mut Vec<message::Action>,
    ) {
        let open = self.stays_open(name, &verdict);
        let verdict = if open && self.safe.not_run_final {
            doubtful(verdict)
        } else {
            verdict
        };
        let Some(record) = self.book.get_mut(name) else {
            return;
        };
        let first = (!record.left).then_some(record.first);
        let waiters = core::mem::take(&mut record.waiters);
        record.progress = Progress::Done(verdict.clone());
        for id in first.into_iter().chain(waiters) {
            self.held.remove(id);
            gate::answer(id, &verdict, out);
        }
        self.tally.open += u64::from(open);
        if open {
            self.book.remove(name);
        } else if let message::Verdict::Answered(answer) = verdict {
            self.keep(name, answer.bytes());
        }
    }

    /// Whether a key that did not run stays open, so that a later copy may run.
    ///
    /// Closing a key takes its record for as long as records are kept. Under
    /// overload far more requests are refused than run; their records would
    /// fill the table and keep every new key out for minutes after the overload
    /// is over. So beyond half of the room such a key stays open, its record
    /// goes, and its callers are told "unknown", which promises only that it
    /// won't run twice. A chosen key stays claimed in the store and could not
    /// run again, so its record stays.
    fn stays_open(&self, name: &book::Name, verdict: &message::Verdict) -> bool {
        let message::Verdict::Refused(refusal) = verdict else {
            return false;
        };
        let crowded = self.book.is_crowded() && name.epoch != chosen::EPOCH;
        refusal.outcome == outcome::Outcome::NotRun && (crowded || !self.safe.not_run_final)
    }

    fn keep(&mut self, name: &book::Name, bytes: u64) {
        for dropped in self.kept.keep(name.clone(), bytes) {
            self.tally.dropped += 1;
            if let Some(record) = self.book.get_mut(&dropped) {
                let refusal = outcome::Refusal::unknown(outcome::Reason::Forgotten, None);
                record.progress = Progress::Done(message::Verdict::Refused(refusal));
            }
        }
    }
}

/// What a resend is told after the fact. A key that did not run is sealed; its
/// first refusal's reason has passed and would only invite another resend.
fn again(verdict: &message::Verdict) -> message::Verdict {
    match verdict {
        message::Verdict::Refused(refusal) if refusal.outcome == outcome::Outcome::NotRun => {
            message::Verdict::Refused(outcome::Refusal::not_run(outcome::Reason::KeySealed, None))
        }
        other => other.clone(),
    }
}

/// The same refusal without its promise.
fn doubtful(verdict: message::Verdict) -> message::Verdict {
    match verdict {
        message::Verdict::Refused(refusal) => message::Verdict::Refused(outcome::Refusal {
            outcome: outcome::Outcome::Unknown,
            ..refusal
        }),
        answered @ message::Verdict::Answered(_) => answered,
    }
}

const fn no_witness() -> outcome::Refusal {
    outcome::Refusal::not_run(outcome::Reason::Witness, Some(gate::COME_BACK))
}

//! The owner's part: runs its own keys, each at most once.
//!
//! Invariant: a record is made before anything else happens to a key, and its
//! progress only ever goes forward: claiming, running, done.

use std::sync::Arc;

use super::{
    Action, COME_BACK, Gate, Held, Name, Outcome, Question, Reason, Refusal, Stage, Verdict, Word,
    answer, chosen, refuse,
};
use crate::clock::Time;
use crate::request::arrival::{Arrival, Fingerprint, Origin, RequestId};
use crate::request::key::{Issued, Stamp};

/// How far a key has come.
pub enum Progress {
    /// Its request has not been sent, or is being sent.
    Open,
    /// What every further copy is told.
    Done(Verdict),
}

/// What a process knows of a key that it may run.
pub struct Record {
    /// The request that the key stands for.
    pub fingerprint: Fingerprint,
    /// Epoch in which the record was made.
    pub born: u64,
    /// The first copy, which is the one that runs.
    pub first: RequestId,
    /// Whether the first copy's caller left, or has its answer already.
    pub left: bool,
    /// Later copies that wait for the outcome.
    pub waiters: Vec<RequestId>,
    /// How far it has come.
    pub progress: Progress,
}

impl Record {
    pub(super) fn new(born: u64, arrival: &Arrival) -> Self {
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

impl Gate {
    /// A request whose key only this process may run.
    pub(super) fn own(
        &mut self,
        now: Time,
        mut arrival: Arrival,
        key: &Issued,
        out: &mut Vec<Action>,
    ) {
        let id = arrival.id;
        let name = Name {
            epoch: key.prefix.owner.epoch,
            key: key.text.clone(),
        };
        if self.book.get(&name).is_some() {
            return self.resend(now, &arrival, name, out);
        }
        if let Some(refusal) = self.turned_away(now, name.epoch, &arrival.caller) {
            return refuse(id, refusal, out);
        }
        // A forwarded request has met no cap yet: it counts as a caller's here.
        arrival.origin = Origin::Caller;
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
    fn turned_away(&self, now: Time, issued: u64, caller: &str) -> Option<Refusal> {
        let Some(age) = self.limits.epoch_at(now).checked_sub(issued) else {
            // Not issued yet, so not by this process. It must not be called
            // "not run", as it would be accepted once its epoch has come.
            return Some(Refusal::unknown(Reason::KeyMalformed, None));
        };
        if age > self.limits.keep {
            return Some(Refusal::unknown(Reason::KeyExpired, None));
        }
        if age > self.limits.accept {
            return Some(Refusal::not_run(Reason::KeyExpired, None));
        }
        if self.leaving {
            return Some(Refusal::not_run(Reason::Leaving, Some(COME_BACK)));
        }
        // Without room for a record nothing can be promised about the key.
        let reason = self.no_room(caller)?;
        Some(Refusal::unknown(reason, Some(COME_BACK)))
    }

    /// Why a key can't be given a record, if it can't.
    pub(super) fn no_room(&self, caller: &str) -> Option<Reason> {
        if self.book.is_full() {
            return Some(Reason::Overloaded);
        }
        self.crowded(caller)
    }

    /// A further copy of a request that has a record.
    pub(super) fn resend(
        &mut self,
        now: Time,
        arrival: &Arrival,
        name: Name,
        out: &mut Vec<Action>,
    ) {
        let id = arrival.id;
        let until = self.until(now, arrival);
        let crowd = self.crowded(&arrival.caller).is_some();
        let Some(record) = self.book.get_mut(&name) else {
            return;
        };
        if record.fingerprint != arrival.fingerprint {
            return refuse(id, Refusal::unknown(Reason::KeyReused, None), out);
        }
        if let Progress::Done(verdict) = &record.progress {
            return answer(id, &again(verdict), out);
        }
        if crowd || record.waiters.len() >= self.limits.waiters {
            let refusal = Refusal::unknown(Reason::KeyBusy, Some(COME_BACK));
            return refuse(id, refusal, out);
        }
        record.waiters.push(id);
        self.held.insert(Held {
            id,
            caller: Arc::clone(&arrival.caller),
            name,
            until,
            stage: Stage::Waiting,
        });
    }

    fn claim(
        &mut self,
        now: Time,
        arrival: Arrival,
        name: Name,
        witness: Stamp,
        out: &mut Vec<Action>,
    ) {
        let Some(peer) = self.peer(witness.incarnation) else {
            return self.finish(&name, Verdict::Refused(no_witness()), out);
        };
        let question = Question::Claim(name.key.clone());
        let ask = self.ask(peer, question, self.limits.ask, out);
        if !self.safe.wait_word {
            return self.run(now, arrival, name, out);
        }
        self.held.insert(Held {
            id: arrival.id,
            caller: Arc::clone(&arrival.caller),
            name,
            until: self.until(now, &arrival),
            stage: Stage::Claiming {
                ask,
                witness: witness.incarnation,
                wait: now + self.limits.ask,
                arrival,
            },
        });
    }

    /// The witness's word on a claim; `None` if none came.
    pub(super) fn claimed(
        &mut self,
        now: Time,
        id: RequestId,
        word: Option<Word>,
        out: &mut Vec<Action>,
    ) {
        let reason = match word {
            Some(Word::Claimed) => return self.granted(now, id, out),
            Some(Word::Sealed) => Reason::KeySealed,
            Some(Word::Expired) => Reason::KeyExpired,
            // A full witness stays full for minutes. New keys have to name
            // another one, or none, or they would all be refused as well.
            Some(Word::Full | Word::Foreign | Word::Epoch(_)) | None => {
                return self.give_up(now, id, out);
            }
        };
        if let Some(held) = self.held.remove(id) {
            let refusal = Refusal::not_run(reason, Some(COME_BACK));
            self.finish(&held.name, Verdict::Refused(refusal), out);
        }
    }

    fn granted(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(held) = self.held.remove(id) else {
            return;
        };
        let Stage::Claiming { arrival, .. } = held.stage else {
            return;
        };
        if held.until <= now && self.safe.stay_given_up {
            let refusal = Refusal::not_run(Reason::Deadline, Some(COME_BACK));
            return self.finish(&held.name, Verdict::Refused(refusal), out);
        }
        self.run_until(now, arrival, held.name, held.until, out);
    }

    /// Stops waiting for the witness. The record turns to "not run" before the
    /// caller hears of it, so a word that comes later finds nothing to start.
    pub(super) fn give_up(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        if !self.safe.stay_given_up {
            return self.give_up_halfway(id, out);
        }
        let Some(held) = self.held.remove(id) else {
            return;
        };
        let Stage::Claiming { witness, .. } = held.stage else {
            return;
        };
        // A caller in a hurry says nothing about the witness.
        let refusal = if held.until <= now {
            Refusal::not_run(Reason::Deadline, Some(COME_BACK))
        } else {
            self.issue.suspect(now, &self.limits, witness);
            no_witness()
        };
        self.finish(&held.name, Verdict::Refused(refusal), out);
    }

    /// [`Safeguards::stay_given_up`](super::Safeguards) off: the caller is
    /// answered, the claim stays open.
    fn give_up_halfway(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(held) = self.held.get(id) else {
            return;
        };
        let name = held.name.clone();
        if let Some(record) = self.book.get_mut(&name)
            && !record.left
        {
            record.left = true;
            refuse(id, no_witness(), out);
        }
    }

    pub(super) fn run(&mut self, now: Time, arrival: Arrival, name: Name, out: &mut Vec<Action>) {
        let until = self.until(now, &arrival);
        self.run_until(now, arrival, name, until, out);
    }

    pub(super) fn run_until(
        &mut self,
        now: Time,
        mut arrival: Arrival,
        name: Name,
        until: Time,
        out: &mut Vec<Action>,
    ) {
        arrival.deadline = Some(until.since(now));
        self.held.insert(Held {
            id: arrival.id,
            caller: Arc::clone(&arrival.caller),
            name,
            until,
            stage: Stage::Running,
        });
        out.push(Action::Run(arrival));
    }

    /// The dispatcher is done with a request.
    pub(super) fn settled(&mut self, id: RequestId, verdict: Verdict, out: &mut Vec<Action>) {
        let Some(held) = self.held.remove(id) else {
            return;
        };
        self.finish(&held.name, verdict, out);
    }

    /// Ends a key: records the verdict, then tells all who wait for it.
    pub(super) fn finish(&mut self, name: &Name, verdict: Verdict, out: &mut Vec<Action>) {
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
            answer(id, &verdict, out);
        }
        if open {
            self.book.remove(name);
        } else if let Verdict::Answered(answer) = verdict {
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
    fn stays_open(&self, name: &Name, verdict: &Verdict) -> bool {
        let Verdict::Refused(refusal) = verdict else {
            return false;
        };
        let crowded = self.book.is_crowded() && name.epoch != chosen::EPOCH;
        refusal.outcome == Outcome::NotRun && (crowded || !self.safe.not_run_final)
    }

    fn keep(&mut self, name: &Name, bytes: u64) {
        for dropped in self.kept.keep(name.clone(), bytes) {
            if let Some(record) = self.book.get_mut(&dropped) {
                let refusal = Refusal::unknown(Reason::Forgotten, None);
                record.progress = Progress::Done(Verdict::Refused(refusal));
            }
        }
    }
}

/// What a resend is told after the fact. A key that did not run is sealed; its
/// first refusal's reason has passed and would only invite another resend.
fn again(verdict: &Verdict) -> Verdict {
    match verdict {
        Verdict::Refused(refusal) if refusal.outcome == Outcome::NotRun => {
            Verdict::Refused(Refusal::not_run(Reason::KeySealed, None))
        }
        other => other.clone(),
    }
}

/// The same refusal without its promise.
fn doubtful(verdict: Verdict) -> Verdict {
    match verdict {
        Verdict::Refused(refusal) => Verdict::Refused(Refusal {
            outcome: Outcome::Unknown,
            ..refusal
        }),
        answered @ Verdict::Answered(_) => answered,
    }
}

const fn no_witness() -> Refusal {
    Refusal::not_run(Reason::Witness, Some(COME_BACK))
}

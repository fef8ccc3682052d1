//! Records claims and seals as a witness for keys of other processes.
//!
//! Invariant: a key is either claimed or sealed, and never changes from one to
//! the other, not even after its record was removed: a key older than the records
//! can be neither claimed nor sealed.

use std::sync::Arc;

use super::{limits, record_table, safeguards};
use crate::request::{key, record};
use crate::version::view;

#[derive(Clone, Copy, PartialEq, Eq)]
enum KeyState {
    Claimed,
    Sealed,
}

impl From<KeyState> for record::Reply {
    fn from(state: KeyState) -> Self {
        match state {
            KeyState::Claimed => Self::Claimed,
            KeyState::Sealed => Self::Sealed,
        }
    }
}

/// Claims and seals that this process has granted.
pub struct Registry {
    incarnation: view::Incarnation,
    accept_epochs: u64,
    keep_epochs: u64,
    safeguards: safeguards::Safeguards,
    states: record_table::RecordTable<KeyState>,
}

impl Registry {
    /// Creates a registry without records.
    pub const fn new(
        incarnation: view::Incarnation,
        limits: &limits::Limits,
        safeguards: safeguards::Safeguards,
    ) -> Self {
        Self {
            incarnation,
            accept_epochs: limits.accept_epochs,
            keep_epochs: limits.keep_epochs,
            safeguards,
            states: record_table::RecordTable::new(limits.records_max),
        }
    }

    /// Number of records.
    pub const fn len(&self) -> usize {
        self.states.len()
    }

    /// Answers a question in this process's epoch `epoch`.
    pub fn answer(&mut self, epoch: u64, question: &record::Question) -> record::Reply {
        match question {
            record::Question::Epoch => record::Reply::Epoch(epoch),
            record::Question::Claim(text) => self.answer_for_key(epoch, text, Self::claim),
            record::Question::Seal(text) => self.answer_for_key(epoch, text, Self::seal),
        }
    }

    /// Removes the records that are too old to be asked about.
    pub fn forget(&mut self, epoch: u64) {
        let oldest = epoch.saturating_sub(self.keep_epochs);
        self.states.forget_before(oldest, |_| true);
    }

    /// Answers from the key's record. Without one `decide` answers, given the
    /// key's age in epochs.
    fn answer_for_key(
        &mut self,
        epoch: u64,
        text: &Arc<str>,
        decide: fn(&mut Self, u64, record_table::RecordId) -> record::Reply,
    ) -> record::Reply {
        let Ok(key::Key::Issued(key::Issued { prefix, .. })) = key::Key::try_from(text) else {
            return record::Reply::Foreign;
        };
        let Some(stamp) = prefix.witness.filter(|s| s.incarnation == self.incarnation) else {
            return record::Reply::Foreign;
        };
        // An epoch in the future was not reported by this process. If it were
        // sealed now and claimed once it has come, the key would be answered
        // "not run" and run later.
        let Some(age) = epoch.checked_sub(stamp.epoch) else {
            return record::Reply::Expired;
        };
        let record_id = record_table::RecordId {
            epoch: stamp.epoch,
            key: Arc::clone(text),
        };
        match self.states.get(&record_id) {
            Some(&state) => state.into(),
            None => decide(self, age, record_id),
        }
    }

    /// Claims expire before records do. Otherwise a seal could be removed while
    /// the owner's claim is still in transit; the claim would be granted, and a
    /// request whose caller was answered "not run" would run.
    fn claim(&mut self, age: u64, record_id: record_table::RecordId) -> record::Reply {
        if self.safeguards.claim_window && age > self.accept_epochs {
            return record::Reply::Expired;
        }
        self.grant(record_id, KeyState::Claimed)
    }

    /// Beyond the age of records a claim may have been removed, so the answer is
    /// `Expired`. Between the ages of claims and of records a missing record means
    /// that there was no claim and will be none, so the seal need not be recorded.
    fn seal(&mut self, age: u64, record_id: record_table::RecordId) -> record::Reply {
        if self.safeguards.seal_window && age > self.keep_epochs {
            return record::Reply::Expired;
        }
        if self.safeguards.claim_window && age > self.accept_epochs {
            return record::Reply::Sealed;
        }
        self.grant(record_id, KeyState::Sealed)
    }

    fn grant(&mut self, record_id: record_table::RecordId, state: KeyState) -> record::Reply {
        if self.states.is_full() {
            return record::Reply::Full;
        }
        self.states.insert(record_id, state);
        state.into()
    }
}

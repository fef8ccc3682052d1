//! The witness's part: records claims and seals for other processes' keys.
//!
//! Invariant: a key is claimed or sealed, never first one and then the other,
//! also after its record is forgotten. That holds because a key that is older
//! than the records is neither claimed nor sealed any more.

use std::sync::Arc;

use super::{book, limits, safeguards};
use crate::request::{key, record};
use crate::version::view;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Mark {
    Claimed,
    Sealed,
}

impl From<Mark> for record::Reply {
    fn from(mark: Mark) -> Self {
        match mark {
            Mark::Claimed => Self::Claimed,
            Mark::Sealed => Self::Sealed,
        }
    }
}

/// What this process has vouched for.
pub struct Registry {
    me: view::Incarnation,
    accept: u64,
    keep: u64,
    safe: safeguards::Safeguards,
    marks: book::Book<Mark>,
}

impl Registry {
    /// A registry without records.
    pub const fn new(
        me: view::Incarnation,
        limits: &limits::Limits,
        safe: safeguards::Safeguards,
    ) -> Self {
        Self {
            me,
            accept: limits.accept_epochs,
            keep: limits.keep_epochs,
            safe,
            marks: book::Book::new(limits.records_max),
        }
    }

    /// Number of records.
    pub const fn len(&self) -> usize {
        self.marks.len()
    }

    /// Answers a question at this process's epoch `epoch`.
    pub fn answer(&mut self, epoch: u64, question: &record::Question) -> record::Reply {
        match question {
            record::Question::Epoch => record::Reply::Epoch(epoch),
            record::Question::Claim(text) => self.about(epoch, text, Self::claim),
            record::Question::Seal(text) => self.about(epoch, text, Self::seal),
        }
    }

    /// Drops records too old to be asked about.
    pub fn forget(&mut self, epoch: u64) {
        let oldest = epoch.saturating_sub(self.keep);
        self.marks.forget_before(oldest, |_| true);
    }

    /// Looks the key up; a key without a record goes to `decide` with its age.
    fn about(
        &mut self,
        epoch: u64,
        text: &Arc<str>,
        decide: fn(&mut Self, u64, book::Name) -> record::Reply,
    ) -> record::Reply {
        let Ok(key::Key::Issued(key::Issued { prefix, .. })) = key::Key::try_from(text) else {
            return record::Reply::Foreign;
        };
        let Some(stamp) = prefix.witness.filter(|s| s.incarnation == self.me) else {
            return record::Reply::Foreign;
        };
        // An epoch that has not come yet was not told by this process. To
        // refuse it now and take it once it has come would be to say "not run"
        // and run it later.
        let Some(age) = epoch.checked_sub(stamp.epoch) else {
            return record::Reply::Expired;
        };
        let name = book::Name {
            epoch: stamp.epoch,
            key: Arc::clone(text),
        };
        match self.marks.get(&name) {
            Some(&mark) => mark.into(),
            None => decide(self, age, name),
        }
    }

    /// Claims end before records do. If they ended together or later, a seal
    /// could be forgotten while the owner's claim is still on its way; the
    /// claim would be granted, and a request that its caller was told had not
    /// run would run.
    fn claim(&mut self, age: u64, name: book::Name) -> record::Reply {
        if self.safe.claim_window && age > self.accept {
            return record::Reply::Expired;
        }
        self.mark(name, Mark::Claimed)
    }

    /// Beyond the records' age a claim may have been forgotten, so there is no
    /// word to give. Between the claims' age and the records' age no record
    /// means that there never was nor will be a claim: nothing need be kept.
    fn seal(&mut self, age: u64, name: book::Name) -> record::Reply {
        if self.safe.seal_window && age > self.keep {
            return record::Reply::Expired;
        }
        if self.safe.claim_window && age > self.accept {
            return record::Reply::Sealed;
        }
        self.mark(name, Mark::Sealed)
    }

    fn mark(&mut self, name: book::Name, mark: Mark) -> record::Reply {
        if self.marks.is_full() {
            return record::Reply::Full;
        }
        self.marks.insert(name, mark);
        mark.into()
    }
}

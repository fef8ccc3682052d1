//! State machine of an operator's change, which a client of the store drives.
//!
//! Invariant: a version is decided by one compare-and-swap of the head against
//! the revision that the change is based on. The verdict is
//! [`Verdict::InForce`] or [`Verdict::NotAccepted`] only if no later event can
//! make it false; everything else is [`Verdict::Unknown`].
//!
//! If the answer to the write is lost, the write may have taken effect, may
//! have failed, or may still take effect while it is delayed in the network.
//! Reading the head shows the first case by the change's id. Otherwise the
//! unchanged head is written once more against the same revision. If that fence
//! takes effect, the lost write can't any more, as its revision is gone.

use std::sync::Arc;

use super::store::StoredHead;
use crate::process::config::{Body, Change, File, Hash, Head, RECENT};
use crate::version::view::Version;

/// State of the store and the instances that a change is based on.
#[derive(Clone, Debug)]
pub struct Base {
    /// The head as read from the store; `None` if there is none yet.
    pub stored: Option<StoredHead>,
    /// Highest version in force at any instance asked. A store below it has
    /// lost data.
    pub force: Version,
}

/// Condition for a write of the head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// No condition; used only by tests without the comparison.
    Any,
    /// There is no head.
    Absent,
    /// The head has this revision.
    Revision(u64),
}

/// Next step for the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Write a body under its hash, unconditionally.
    PutBody(Body),
    /// Write the head if the condition holds.
    PutHead {
        /// The document to write.
        head: Arc<Head>,
        /// Condition for the write.
        expect: Expect,
    },
    /// Read the head.
    ReadHead,
    /// The change is decided.
    Done(Verdict),
}

/// Outcome of a step.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The write took effect.
    Written,
    /// The condition of the write didn't hold; the head that is there.
    Conflict(Option<StoredHead>),
    /// The head as read.
    Read(Option<StoredHead>),
    /// No answer: a write may have taken effect, or may still do so.
    Lost,
}

/// Verdict on a change.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Verdict {
    /// The change was accepted as this version.
    #[error("accepted as {0}")]
    InForce(Version),
    /// The change was not accepted, and will not be.
    #[error("not accepted, nothing has changed; apply it again once the store answers")]
    NotAccepted,
    /// Another operator's change was accepted first; the version in the store.
    #[error(
        "not accepted: another change came first, {0} is in force; look at the difference and apply again"
    )]
    Conflict(Version),
    /// The store's version is below one that an instance has in force.
    #[error(
        "not accepted: the store is at {stored}, but {force} is in force; restore the store's data, or apply with --from-instances"
    )]
    StoreBehind {
        /// Version in the store.
        stored: Version,
        /// Highest version in force at an instance.
        force: Version,
    },
    /// It can't be told yet whether the change was accepted.
    #[error(
        "unknown whether {version} was accepted; ask with `status --change {id}` once the store answers"
    )]
    Unknown {
        /// Version that the change would have.
        version: Version,
        /// Id of the change.
        id: Arc<str>,
    },
}

/// Switches that disable safeguards in tests; all are on in production.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// The head is written only over the revision that the change is based on.
    pub compare: bool,
    /// The head is read after a lost answer.
    pub readback: bool,
    /// A write that may be delayed is fenced off.
    pub fence: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self {
            compare: true,
            readback: true,
            fence: true,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Bodies,
    Head,
    ReadBack { tries: u32 },
    Fence { tries: u32 },
    Done,
}

/// Number of attempts to resolve a lost answer before the verdict is left
/// unknown.
const RESOLVE_TRIES_MAX: u32 = 5;

/// A change in progress.
#[derive(Clone, Debug)]
pub struct Apply {
    id: Arc<str>,
    base: Base,
    head: Arc<Head>,
    bodies: Vec<Body>,
    stage: Stage,
    guards: Guards,
}

impl Apply {
    /// A change with a new id that results in `files`, of which `bodies` are
    /// not in the store yet.
    #[must_use]
    pub fn new(id: Arc<str>, base: Base, files: Vec<File>, bodies: Vec<Body>) -> Self {
        let old = base.stored.as_ref().map(|s| &s.head);
        let version = Version(old.map_or(Version(0), |h| h.version).0 + 1);
        let mut recent = vec![Change {
            version,
            id: Arc::clone(&id),
        }];
        recent.extend(old.iter().flat_map(|h| &h.recent).cloned());
        recent.truncate(RECENT);
        let head = Head {
            version,
            recent,
            files,
        };
        Self {
            id,
            base,
            head: Arc::new(head),
            bodies,
            stage: Stage::Bodies,
            guards: Guards::default(),
        }
    }

    /// The change with some safeguards disabled, for tests.
    #[must_use]
    pub const fn with_guards(mut self, guards: Guards) -> Self {
        self.guards = guards;
        self
    }

    /// Hashes of bodies that the files refer to and that neither the base nor
    /// the change contains; empty if the change is complete.
    #[must_use]
    pub fn missing_bodies(&self) -> Vec<Hash> {
        let old = self.base.stored.as_ref().map(|s| &s.head.files);
        let old = old.map_or(&[][..], Vec::as_slice);
        let is_known = |hash: Hash| {
            old.iter().any(|f| f.hash == hash) || self.bodies.iter().any(|b| b.hash == hash)
        };
        let hashes = self.head.files.iter().map(|f| f.hash);
        hashes.filter(|&h| !is_known(h)).collect()
    }

    /// Returns the first step.
    pub fn start(&mut self) -> Step {
        let stored = self.base.stored.as_ref();
        let stored = stored.map_or(Version(0), |s| s.head.version);
        let force = self.base.force;
        if stored < force {
            return self.finish(Verdict::StoreBehind { stored, force });
        }
        self.next_body()
    }

    /// Takes the outcome of the last step and returns the next one.
    pub fn next(&mut self, outcome: Outcome) -> Step {
        match self.stage {
            Stage::Bodies => self.handle_body_write(&outcome),
            Stage::Head => self.handle_head_write(&outcome),
            Stage::ReadBack { tries } | Stage::Fence { tries } => self.resolve(tries, outcome),
            Stage::Done => self.finish_unknown(),
        }
    }

    fn handle_body_write(&mut self, outcome: &Outcome) -> Step {
        if matches!(outcome, Outcome::Written) {
            self.next_body()
        } else {
            self.finish(Verdict::NotAccepted)
        }
    }

    fn handle_head_write(&mut self, outcome: &Outcome) -> Step {
        match outcome {
            Outcome::Written => self.finish(Verdict::InForce(self.head.version)),
            Outcome::Conflict(stored) => self.handle_conflict(stored.as_ref()),
            Outcome::Read(_) | Outcome::Lost if self.guards.readback => self.read_back(0),
            Outcome::Read(_) | Outcome::Lost => self.finish(Verdict::NotAccepted),
        }
    }

    /// Resolves a lost answer, by the head that was read or the outcome of the
    /// fence.
    fn resolve(&mut self, tries: u32, outcome: Outcome) -> Step {
        match outcome {
            // The fence took effect, so the lost write can't any more.
            Outcome::Written => self.finish(Verdict::NotAccepted),
            Outcome::Read(stored) | Outcome::Conflict(stored) => self.judge_head(stored),
            Outcome::Lost => self.read_back(tries + 1),
        }
    }

    fn next_body(&mut self) -> Step {
        if let Some(body) = self.bodies.pop() {
            return Step::PutBody(body);
        }
        self.stage = Stage::Head;
        Step::PutHead {
            head: Arc::clone(&self.head),
            expect: self.write_condition(),
        }
    }

    fn write_condition(&self) -> Expect {
        let revision = self.base.stored.as_ref().map(|s| s.revision);
        if self.guards.compare {
            revision.map_or(Expect::Absent, Expect::Revision)
        } else {
            Expect::Any
        }
    }

    /// Handles a failed condition. The conflict may be with this very write, if
    /// the client's library sent it twice.
    fn handle_conflict(&mut self, stored: Option<&StoredHead>) -> Step {
        let version = stored.map_or(Version(0), |s| s.head.version);
        match self.is_accepted(stored) {
            Some(true) => self.finish(Verdict::InForce(self.head.version)),
            Some(false) => self.finish(Verdict::Conflict(version)),
            None => self.finish_unknown(),
        }
    }

    fn is_accepted(&self, stored: Option<&StoredHead>) -> Option<bool> {
        let Some(stored) = stored else {
            return Some(false);
        };
        stored.head.accepted(self.head.version, &self.id)
    }

    fn read_back(&mut self, tries: u32) -> Step {
        if tries >= RESOLVE_TRIES_MAX {
            return self.finish_unknown();
        }
        self.stage = Stage::ReadBack { tries };
        Step::ReadHead
    }

    /// Judges by the present head.
    fn judge_head(&mut self, stored: Option<StoredHead>) -> Step {
        let has_changed =
            stored.as_ref().map(|s| s.revision) != self.base.stored.as_ref().map(|s| s.revision);
        let accepted = self.is_accepted(stored.as_ref());
        match (accepted, has_changed, stored) {
            (Some(true), ..) => self.finish(Verdict::InForce(self.head.version)),
            (Some(false), true, Some(stored)) => {
                let is_older = stored.head.version < self.head.version;
                self.finish(if is_older {
                    Verdict::NotAccepted
                } else {
                    Verdict::Conflict(stored.head.version)
                })
            }
            (Some(false), false, _) if !self.guards.fence => self.finish(Verdict::NotAccepted),
            (Some(false), false, Some(stored)) => self.write_fence(&stored),
            // Without a head there is nothing to fence with, and the write may
            // still take effect.
            (Some(false) | None, ..) => self.finish_unknown(),
        }
    }

    fn write_fence(&mut self, stored: &StoredHead) -> Step {
        let tries = match self.stage {
            Stage::ReadBack { tries } | Stage::Fence { tries } => tries,
            Stage::Bodies | Stage::Head | Stage::Done => 0,
        };
        self.stage = Stage::Fence { tries };
        Step::PutHead {
            head: Arc::clone(&stored.head),
            expect: Expect::Revision(stored.revision),
        }
    }

    fn finish_unknown(&mut self) -> Step {
        let verdict = Verdict::Unknown {
            version: self.head.version,
            id: Arc::clone(&self.id),
        };
        self.finish(verdict)
    }

    fn finish(&mut self, verdict: Verdict) -> Step {
        self.stage = Stage::Done;
        Step::Done(verdict)
    }
}

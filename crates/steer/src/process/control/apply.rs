//! An operator's change, as steps of a client of the store.
//!
//! Invariant: a version is decided by one compare-and-swap of the head, against
//! the revision that the change was made from. The verdict is only
//! [`Verdict::InForce`] or [`Verdict::NotAccepted`] if no later event can make
//! it untrue; whatever else may be is [`Verdict::Unknown`].
//!
//! When the answer of the write is lost, the write may have taken effect, or
//! not, or may still do so while it lingers in the network. Reading the head
//! tells the first case by the change's id. In the others the head is written
//! once more as it stands, against the same revision: if that fence takes
//! effect the lost write can't any more, since its revision is gone.

use std::sync::Arc;

use super::store::StoredHead;
use crate::process::config::{Body, Change, File, Hash, Head, RECENT};
use crate::version::view::Version;

/// What a change starts from.
#[derive(Clone, Debug)]
pub struct Base {
    /// The head as read from the store; `None` if there is none yet.
    pub stored: Option<StoredHead>,
    /// Highest version in force at any instance asked. A store below it has
    /// lost data.
    pub force: Version,
}

/// What has to be there for a head to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// Anything. Only the ablation of the comparison writes so.
    Any,
    /// No head.
    Absent,
    /// The head at this revision.
    Revision(u64),
}

/// A step for the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Write a body under its hash, whatever is there.
    PutBody(Body),
    /// Write the head if what is expected is there.
    PutHead {
        /// The new document.
        head: Arc<Head>,
        /// The condition.
        expect: Expect,
    },
    /// Read the head.
    ReadHead,
    /// Nothing more to do.
    Done(Verdict),
}

/// How a step went.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The write took effect.
    Written,
    /// The head was at another revision; what is there.
    Conflict(Option<StoredHead>),
    /// The head as read.
    Read(Option<StoredHead>),
    /// No answer: a write may have taken effect, or still may.
    Lost,
}

/// What became of the change.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Verdict {
    /// It was accepted, as this version.
    #[error("accepted as {0}")]
    InForce(Version),
    /// It was not accepted, and won't be.
    #[error("not accepted, nothing has changed; apply it again once the store answers")]
    NotAccepted,
    /// Another operator's change came first.
    #[error(
        "not accepted: another change came first, {0} is in force; look at the difference and apply again"
    )]
    Conflict(Version),
    /// The store has an older version than instances have in force.
    #[error(
        "not accepted: the store is at {stored}, but {force} is in force; restore the store's data, or apply with --from-instances"
    )]
    StoreBehind {
        /// The store's version.
        stored: Version,
        /// Version in force at an instance.
        force: Version,
    },
    /// Nobody can tell yet.
    #[error(
        "unknown whether {version} was accepted; ask with `status --change {id}` once the store answers"
    )]
    Unknown {
        /// Version that the change would have.
        version: Version,
        /// The change's id.
        id: Arc<str>,
    },
}

/// Switches for tests, all on in a live client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// The head is written only over the revision that the change was made of.
    pub compare: bool,
    /// A lost answer is read back.
    pub readback: bool,
    /// A write that may linger is fenced off.
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

/// Reads and fences tried before the verdict is left open.
const RESOLVE_TRIES_MAX: u32 = 5;

/// A change under way.
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
    /// A change with a new id to these files, of which `bodies` are new.
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

    /// The same with safeguards off, for tests.
    #[must_use]
    pub const fn guarded(mut self, guards: Guards) -> Self {
        self.guards = guards;
        self
    }

    /// Hashes of bodies that files name and that neither the base has nor the
    /// change brings; empty in a change that is whole.
    #[must_use]
    pub fn lacking(&self) -> Vec<Hash> {
        let old = self.base.stored.as_ref().map(|s| &s.head.files);
        let old = old.map_or(&[][..], Vec::as_slice);
        let known = |hash: Hash| {
            old.iter().any(|f| f.hash == hash) || self.bodies.iter().any(|b| b.hash == hash)
        };
        let hashes = self.head.files.iter().map(|f| f.hash);
        hashes.filter(|&h| !known(h)).collect()
    }

    /// The first step.
    pub fn start(&mut self) -> Step {
        let stored = self.base.stored.as_ref();
        let stored = stored.map_or(Version(0), |s| s.head.version);
        let force = self.base.force;
        if stored < force {
            return self.done(Verdict::StoreBehind { stored, force });
        }
        self.next_body()
    }

    /// Takes the outcome of the last step and gives the next.
    pub fn next(&mut self, outcome: Outcome) -> Step {
        match self.stage {
            Stage::Bodies => self.body_put(&outcome),
            Stage::Head => self.head_put(&outcome),
            Stage::ReadBack { tries } | Stage::Fence { tries } => self.settle(tries, outcome),
            Stage::Done => self.unknown(),
        }
    }

    fn body_put(&mut self, outcome: &Outcome) -> Step {
        if matches!(outcome, Outcome::Written) {
            self.next_body()
        } else {
            self.done(Verdict::NotAccepted)
        }
    }

    fn head_put(&mut self, outcome: &Outcome) -> Step {
        match outcome {
            Outcome::Written => self.done(Verdict::InForce(self.head.version)),
            Outcome::Conflict(stored) => self.conflict(stored.as_ref()),
            Outcome::Read(_) | Outcome::Lost if self.guards.readback => self.read_back(0),
            Outcome::Read(_) | Outcome::Lost => self.done(Verdict::NotAccepted),
        }
    }

    /// After a lost answer: what was read, or what the fence met.
    fn settle(&mut self, tries: u32, outcome: Outcome) -> Step {
        match outcome {
            // The fence has taken effect: the lost write can't any more.
            Outcome::Written => self.done(Verdict::NotAccepted),
            Outcome::Read(stored) | Outcome::Conflict(stored) => self.judge(stored),
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
            expect: self.expect(),
        }
    }

    fn expect(&self) -> Expect {
        let revision = self.base.stored.as_ref().map(|s| s.revision);
        if self.guards.compare {
            revision.map_or(Expect::Absent, Expect::Revision)
        } else {
            Expect::Any
        }
    }

    /// A conflict may be with this very write, if the client's library sent it
    /// twice.
    fn conflict(&mut self, stored: Option<&StoredHead>) -> Step {
        let version = stored.map_or(Version(0), |s| s.head.version);
        match self.accepted(stored) {
            Some(true) => self.done(Verdict::InForce(self.head.version)),
            Some(false) => self.done(Verdict::Conflict(version)),
            None => self.unknown(),
        }
    }

    fn accepted(&self, stored: Option<&StoredHead>) -> Option<bool> {
        let Some(stored) = stored else {
            return Some(false);
        };
        stored.head.accepted(self.head.version, &self.id)
    }

    fn read_back(&mut self, tries: u32) -> Step {
        if tries >= RESOLVE_TRIES_MAX {
            return self.unknown();
        }
        self.stage = Stage::ReadBack { tries };
        Step::ReadHead
    }

    /// Judges by the head that is there now.
    fn judge(&mut self, stored: Option<StoredHead>) -> Step {
        let moved =
            stored.as_ref().map(|s| s.revision) != self.base.stored.as_ref().map(|s| s.revision);
        let accepted = self.accepted(stored.as_ref());
        match (accepted, moved, stored) {
            (Some(true), ..) => self.done(Verdict::InForce(self.head.version)),
            (Some(false), true, Some(stored)) => {
                let same = stored.head.version < self.head.version;
                self.done(if same {
                    Verdict::NotAccepted
                } else {
                    Verdict::Conflict(stored.head.version)
                })
            }
            (Some(false), false, _) if !self.guards.fence => self.done(Verdict::NotAccepted),
            (Some(false), false, Some(stored)) => self.write_fence(&stored),
            // No head yet and none to write again: the write may still land.
            (Some(false) | None, ..) => self.unknown(),
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

    fn unknown(&mut self) -> Step {
        let verdict = Verdict::Unknown {
            version: self.head.version,
            id: Arc::clone(&self.id),
        };
        self.done(verdict)
    }

    fn done(&mut self, verdict: Verdict) -> Step {
        self.stage = Stage::Done;
        Step::Done(verdict)
    }
}

//! Faults of a target, switched on at run time.

use serde::{Deserialize, Serialize};
use wire::instance::State;

/// What goes wrong. Faults of different kinds hold together; one of the same
/// kind replaces the one before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Fault {
    /// Heals all faults but a drain.
    None,
    /// Leaves: says so from now on, and refuses new requests if told to.
    Drain {
        /// Whether new requests are refused rather than run.
        #[serde(default)]
        refuse: bool,
    },
    /// Refuses each request as if all slots were full.
    Shed,
    /// Takes this much longer for each request.
    Slow {
        /// Milliseconds.
        ms: u64,
    },
    /// Runs requests, but answers this late, deadline and cancellation or not.
    Late {
        /// Milliseconds.
        ms: u64,
    },
    /// Runs requests and never answers.
    Hang,
    /// Runs requests and cuts the connection unanswered.
    Cut,
    /// Runs requests and cuts the connection in the middle of the answer.
    HalfAnswer,
    /// Runs requests and answers bytes that are not HTTP.
    Garbled,
    /// Runs requests and sends each answer twice on the connection.
    Twice,
    /// Says something untrue of itself.
    Lie {
        /// The load it claims.
        load: u32,
        /// The state it claims.
        state: State,
    },
    /// Answers health probes with what was true this long ago.
    Lag {
        /// Milliseconds.
        ms: u64,
    },
}

impl Fault {
    fn same_kind(&self, other: &Self) -> bool {
        core::mem::discriminant(self) == core::mem::discriminant(other)
    }
}

/// The faults that hold now.
#[derive(Clone, Debug, Default)]
pub(super) struct Faults(Vec<Fault>);

impl Faults {
    pub(super) fn switch(&mut self, fault: Fault) {
        if fault == Fault::None {
            self.0.retain(|f| matches!(f, Fault::Drain { .. }));
            return;
        }
        self.0.retain(|f| !f.same_kind(&fault));
        self.0.push(fault);
    }

    pub(super) fn has(&self, fault: &Fault) -> bool {
        self.0.contains(fault)
    }

    pub(super) fn find<T>(&self, pick: impl Fn(&Fault) -> Option<T>) -> Option<T> {
        self.0.iter().find_map(pick)
    }

    /// Milliseconds that a fault adds.
    pub(super) fn slow(&self) -> u64 {
        let ms = self.find(|f| match f {
            Fault::Slow { ms } => Some(*ms),
            _ => None,
        });
        ms.unwrap_or(0)
    }

    pub(super) fn late(&self) -> Option<u64> {
        self.find(|f| match f {
            Fault::Late { ms } => Some(*ms),
            _ => None,
        })
    }

    pub(super) fn lag(&self) -> u64 {
        let ms = self.find(|f| match f {
            Fault::Lag { ms } => Some(*ms),
            _ => None,
        });
        ms.unwrap_or(0)
    }

    /// Whether it leaves, and if so whether it refuses.
    pub(super) fn drain(&self) -> Option<bool> {
        self.find(|f| match f {
            Fault::Drain { refuse } => Some(*refuse),
            _ => None,
        })
    }
}

//! What a gate holds, as short readable text.

use core::fmt;

use crate::version::view::Incarnation;

/// Requests held, by how far they have come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stages {
    /// Wait for their witness's word.
    pub claiming: usize,
    /// Wait for the store.
    pub storing: usize,
    /// Are with the dispatcher.
    pub running: usize,
    /// Wait for the outcome of an earlier copy.
    pub waiting: usize,
    /// Were sent to their key's owner.
    pub forwarding: usize,
    /// Wait for the witness of an owner that can't be reached.
    pub sealing: usize,
}

/// What a gate holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Counts {
    /// Requests held.
    pub stages: Stages,
    /// Records of keys that this process may run.
    pub records: usize,
    /// Records of other processes' keys.
    pub witnessed: usize,
    /// Bytes of answers kept for resends.
    pub kept: u64,
    /// The process that new keys name as their witness.
    pub witness: Option<Incarnation>,
    /// Whether new keys are refused.
    pub leaving: bool,
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Stages {
            claiming,
            storing,
            running,
            waiting,
            forwarding,
            sealing,
        } = self.stages;
        write!(
            f,
            "claiming {claiming}, storing {storing}, running {running}, waiting {waiting}, \
             forwarding {forwarding}, sealing {sealing}; records {}, witnessed {}, kept {} bytes; ",
            self.records, self.witnessed, self.kept
        )?;
        match self.witness {
            Some(witness) => write!(f, "witness {witness}")?,
            None => f.write_str("no witness")?,
        }
        f.write_str(if self.leaving { "; leaving" } else { "" })
    }
}

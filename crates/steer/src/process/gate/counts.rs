//! What a gate holds, as short readable text.

use core::fmt;

use crate::version::view;

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

/// What a gate has done since its process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests handed to the dispatcher, each under a key of its own.
    pub runs: u64,
    /// Copies answered from a record.
    pub replays: u64,
    /// Copies that waited for an earlier one.
    pub waits: u64,
    /// Claims asked of witnesses.
    pub claims: u64,
    /// Claims given up, for the witness's silence or the caller's deadline.
    pub unclaimed: u64,
    /// Requests sent to their key's owner.
    pub forwards: u64,
    /// Seals asked of witnesses.
    pub seals: u64,
    /// Questions answered as a witness, those for the epoch included.
    pub words: u64,
    /// Calls to the platform's store.
    pub calls: u64,
    /// Answers that had to go before their records did.
    pub dropped: u64,
    /// Keys left open for want of room, although their requests did not run.
    pub open: u64,
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            runs,
            replays,
            waits,
            claims,
            unclaimed,
            forwards,
            seals,
            words,
            calls,
            dropped,
            open,
        } = self;
        write!(
            f,
            "runs {runs}, replays {replays}, waits {waits}, claims {claims}, \
             unclaimed {unclaimed}, forwards {forwards}, seals {seals}, words {words}, \
             store calls {calls}, answers dropped {dropped}, keys left open {open}"
        )
    }
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
    pub witness: Option<view::Incarnation>,
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

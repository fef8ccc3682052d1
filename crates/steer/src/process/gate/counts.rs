//! Counters of a gate, with a one-line text form.

use core::fmt;

use crate::version::view;

/// Number of requests held, by stage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stages {
    /// Waiting for their witness to record a claim.
    pub claiming: usize,
    /// Waiting for the store.
    pub storing: usize,
    /// Handed to the dispatcher.
    pub running: usize,
    /// Waiting for the outcome of an earlier copy.
    pub waiting: usize,
    /// Forwarded to their key's owner.
    pub forwarding: usize,
    /// Waiting for the witness of an unreachable owner.
    pub sealing: usize,
}

/// Counters since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests handed to the dispatcher, each under a key of its own.
    pub runs: u64,
    /// Copies answered from a record.
    pub replays: u64,
    /// Copies that waited for the outcome of an earlier copy.
    pub waits: u64,
    /// Claims requested from witnesses.
    pub claims: u64,
    /// Claims abandoned because the witness did not record them in time or the
    /// caller's deadline passed.
    pub unclaimed: u64,
    /// Requests forwarded to their key's owner.
    pub forwards: u64,
    /// Seals requested from witnesses.
    pub seals: u64,
    /// Questions answered as a witness, including probes of the epoch.
    pub words: u64,
    /// Calls to the platform's store.
    pub calls: u64,
    /// Answers evicted before their records expired.
    pub dropped: u64,
    /// Keys whose requests did not run and that stayed open because the record
    /// table was more than half full.
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

/// Present state of a gate in numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Counts {
    /// Requests held.
    pub stages: Stages,
    /// Records of keys that this process may run.
    pub records: usize,
    /// Records of other processes' keys.
    pub witnessed: usize,
    /// Bytes of answers retained for resends.
    pub kept: u64,
    /// Process that new keys name as their witness.
    pub witness: Option<view::Incarnation>,
    /// Set once the process is about to stop and refuses new keys.
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

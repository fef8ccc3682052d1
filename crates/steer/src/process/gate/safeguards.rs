//! Switches that turn off single safeguards, to show that each is needed.
//!
//! Invariant: production only uses [`Safeguards::ALL`]. The explorer turns one off
//! at a time and must then find a key that ran twice, or ran although a caller was
//! answered "not run".

/// Which safeguards of the gate are on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each switch is independent of the others"
)]
pub struct Safeguards {
    /// The owner runs a key only after the witness has recorded its claim. Off: a
    /// resend after the owner's death seals a key that is running.
    pub wait_word: bool,
    /// An owner that stopped waiting for its witness never runs the key. Off: a
    /// late reply of the witness starts a request that was answered "not run".
    pub stay_given_up: bool,
    /// The witness seals no keys older than its records. Off: it reports a key
    /// as not run although its claim was granted and the record removed.
    pub seal_window: bool,
    /// The witness refuses claims of old keys. Off: a key that was sealed, and
    /// whose record was removed, is claimed by a delayed owner after all.
    pub claim_window: bool,
    /// The owner's records outlive the age up to which it accepts keys. Off: the
    /// record of a key that ran is removed, and a resend runs as a first copy.
    pub keep_window: bool,
    /// "Not run" ends a key. Off: a copy of the request that was in transit when
    /// the caller was answered "not run" runs later.
    pub not_run_final: bool,
    /// A process runs only keys of its own incarnation. Off: the replacement of a
    /// dead owner, reached at the same address, runs that owner's keys again.
    pub own_only: bool,
    /// A process that can't reach the record of a key answers "unknown". Off: it
    /// answers "not run" for a key that ran in another process.
    pub unknown_away: bool,
    /// A request whose hop to the owner broke is not run anywhere else. Off: the
    /// process that forwarded it runs it, although the owner may have done so.
    pub hop_final: bool,
}

impl Safeguards {
    /// All safeguards on, as in production.
    pub const ALL: Self = Self {
        wait_word: true,
        stay_given_up: true,
        seal_window: true,
        claim_window: true,
        keep_window: true,
        not_run_final: true,
        own_only: true,
        unknown_away: true,
        hop_final: true,
    };
}

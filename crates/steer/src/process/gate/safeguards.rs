//! Switches that take single safeguards out, to show that each is needed.
//!
//! Invariant: the product only ever uses [`Safeguards::ALL`]. The explorer turns
//! one off at a time and must then find a key that ran twice, or ran although
//! somebody was told "not run".

/// Which safeguards of the gate are on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each switch is independent of the others; that is what they are for"
)]
pub struct Safeguards {
    /// The owner sends only once the witness has recorded the key. Off: a
    /// resend after the owner's death seals a key that is running.
    pub wait_word: bool,
    /// An owner that gave up waiting for its witness never sends. Off: the
    /// witness's late word starts a request that was answered "not run".
    pub stay_given_up: bool,
    /// The witness doesn't vouch for keys older than its records. Off: it says
    /// "not run" of a key whose claim it has forgotten.
    pub seal_window: bool,
    /// The witness refuses claims of old keys. Off: it forgets that it sealed a
    /// key, and a delayed owner claims the key after all.
    pub claim_window: bool,
    /// The owner's records outlive the age up to which it accepts keys. Off: it
    /// forgets that a key ran, takes a resend for a first copy and runs it.
    pub keep_window: bool,
    /// "Not run" ends a key. Off: a copy of the request that was under way when
    /// the caller was told "not run" runs later.
    pub not_run_final: bool,
    /// A process runs only keys of its own incarnation. Off: the replacement of
    /// a dead owner, reached at the same address, runs its keys again.
    pub own_only: bool,
    /// Who can't reach the record of a key says "unknown". Off: it says "not
    /// run" of a key that ran elsewhere.
    pub unknown_away: bool,
    /// A hop to the owner that broke is never taken again elsewhere. Off: the
    /// near side runs what the owner may have run.
    pub hop_final: bool,
}

impl Safeguards {
    /// All of them, as in the product.
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

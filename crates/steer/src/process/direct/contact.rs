//! Contact of this instance with the platform's store and with other instances.
//!
//! Invariant: updates from another instance never take this one back to an earlier
//! revision; a target whose entry may only have expired while the store was unreachable
//! is kept for a bounded time.

mod apply;

use core::time::Duration;

use crate::clock::Time;

/// Contact of this instance with the platform's store, direct or through other
/// instances.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StoreLink {
    /// Revision up to which everything is known.
    revision: u64,
    /// Time at which this process first learned what the store holds.
    known_at: Option<Time>,
    /// Time of the store's last answer.
    answered_at: Option<Time>,
    /// Time at which the store last answered again after a gap.
    back_at: Option<Time>,
    /// Start of the time in which the store has answered without a gap, as far as is
    /// known.
    since: Option<Time>,
}

/// Contact of an instance with the platform's store, as it reports it to others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreContact {
    /// Time since the store's last answer, if there was one.
    pub age: Option<Duration>,
    /// Time for which the store has answered without a gap in which entries may have
    /// expired.
    pub span: Option<Duration>,
}

impl StoreContact {
    /// The store has just answered, with no knowledge of the time before.
    pub const NOW: Self = Self {
        age: Some(Duration::ZERO),
        span: None,
    };
}

/// Time without an answer after which the store counts as unreachable. A watch without
/// changes is answered more often.
const STORE_TIMEOUT: Duration = Duration::from_secs(4);

/// Gap between two answers after which entries may have expired in between.
pub(super) const ENTRY_EXPIRY_GAP: Duration = Duration::from_millis(2600);

/// Time in which entries that expired while the store was unreachable are renewed; the
/// platform documents about two seconds. Entries still missing then are gone.
const ENTRY_RENEWAL_GRACE: Duration = Duration::from_millis(2200);

/// Shortest pause between an answer of the store and the next read. Changes come in
/// bursts, each call is paid for, and changes that are due within seconds can wait this
/// long.
const READ_PAUSE_MIN: Duration = Duration::from_millis(300);

/// Pause for each instance that reads the store, since their calls add up.
const READ_PAUSE_PER_READER: Duration = Duration::from_millis(25);

/// Longest such pause, as changes must be in force within seconds.
const READ_PAUSE_MAX: Duration = Duration::from_millis(800);

/// Objects newly held by targets that one heartbeat reports.
const HEARTBEAT_NEW_OBJECTS_MAX: usize = 32;

/// Objects that it reports in turn if there are no new ones; covers everything that a
/// small region's targets hold within a few seconds.
const HEARTBEAT_KNOWN_OBJECTS_MAX: usize = 12;

/// Time for which heartbeats report a change of a request under suspicion.
const SUSPECT_REPORT_SPAN: Duration = Duration::from_secs(5);

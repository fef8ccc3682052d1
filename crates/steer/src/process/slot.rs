//! Static slot of a process, which gives it a share of each cap.
//!
//! Caps are kept without coordination: each configured entry instance has one
//! slot, and may use `cap / slots`. Invariant: the shares in use never add up
//! to more than the larger of the caps that are in force anywhere.
//!
//! Cases that would break it, and the rule for each:
//! - A replacement starts while its frozen or dying predecessor still uses the
//!   share. A process therefore uses its share only while a peer or the store
//!   has answered a question that it sent less than [`CONFIRMATION_TTL`] ago. A
//!   peer that knows a newer process of the name reports that instead. A new
//!   process waits [`QUARANTINE_TIME`] from its first confirmation: its records
//!   then have reached every peer that could confirm the predecessor, and the
//!   predecessor's last confirmation has expired. Counted from the start of the
//!   process the time would not suffice, since a domain that is cut off receives
//!   no records. The wait is skipped if the predecessor released the share.
//! - Shares that the predecessor transferred are still in use. No transfer may
//!   therefore last longer than [`TRANSFER_MAX`], which is less than the
//!   quarantine, and a new process waits that long also after a release.
//! - Two versions are in force at different instances. After a change a process
//!   therefore uses the smallest share of all versions of the last
//!   [`TRANSITION_TIME`], and a slot that is new to the configuration has no
//!   share for that time.

use core::fmt;
use core::time::Duration;

use crate::clock::Time;
use crate::process::member::Stamp;

/// Maximum time for which a share is used without a new confirmation.
pub const CONFIRMATION_TTL: Duration = Duration::from_secs(5);

/// Time within which the records of a new process reach all peers that receive
/// messages of it or of its predecessor.
pub const PROPAGATION_TIME: Duration = Duration::from_secs(10);

/// Maximum time for which a share may be transferred to another process.
pub const TRANSFER_MAX: Duration = Duration::from_secs(10);

/// Time that a new process waits before it uses its slot: [`CONFIRMATION_TTL`]
/// and [`PROPAGATION_TIME`], together more than [`TRANSFER_MAX`], and a third on
/// top for clocks that drift apart.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(20);

/// Time for which the share of the previous version still counts:
/// [`CONFIRMATION_TTL`], the 7 s within which a version is in force everywhere,
/// and a margin.
pub const TRANSITION_TIME: Duration = Duration::from_secs(15);

/// Share of every cap that this process may use, apart from transfers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// The share is the cap divided by this; `None` for no share.
    pub divisor: Option<u32>,
    /// Time of the last change of the divisor.
    pub since: Time,
}

impl Share {
    /// Returns the share of a cap, rounded down.
    #[must_use]
    pub fn of(&self, cap: u64) -> u64 {
        self.divisor
            .map_or(0, |divisor| cap / u64::from(divisor.max(1)))
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.divisor {
            Some(divisor) => write!(f, "1/{divisor}"),
            None => f.write_str("nothing"),
        }
    }
}

/// Share that a version of the configuration gives this name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Grant {
    divisor: Option<u32>,
    /// Time at which the grant expires; `None` for the version in force.
    until: Option<Time>,
}

/// Switches of the safeguards, all enabled in a live process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each switch is turned off alone"
)]
pub struct Guards {
    /// A new process waits for [`QUARANTINE_TIME`].
    pub quarantine: bool,
    /// The successor of a process that released its share waits for transfers of
    /// that process to end.
    pub transfer: bool,
    /// A share is used only with a recent confirmation.
    pub confirm: bool,
    /// The smallest share counts while versions change.
    pub transition: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self {
            quarantine: true,
            transfer: true,
            confirm: true,
            transition: true,
        }
    }
}

/// Claim of a process to the slot of its name.
#[derive(Clone, Debug)]
pub struct Slot {
    /// Time of the first confirmation under the current stamp.
    first_confirmed: Option<Time>,
    /// Time at which the predecessor's release was received.
    released: Option<Time>,
    predecessor: Option<Stamp>,
    last_confirmed: Option<Time>,
    behind_since: Option<Time>,
    grants: Vec<Grant>,
    share: Share,
    guards: Guards,
}

impl Slot {
    /// Creates the slot of a process that starts at `now`.
    #[must_use]
    pub const fn new(now: Time, guards: Guards) -> Self {
        Self {
            first_confirmed: None,
            released: None,
            predecessor: None,
            last_confirmed: None,
            behind_since: None,
            grants: Vec::new(),
            share: Share {
                divisor: None,
                since: now,
            },
            guards,
        }
    }

    /// Records that a process of this name has an older stamp. A release by a
    /// process before that one no longer counts: the later one may have held
    /// the slot since.
    pub fn note_predecessor(&mut self, stamp: Stamp) {
        if self.predecessor < Some(stamp) {
            self.predecessor = Some(stamp);
            self.released = None;
        }
    }

    /// Records that the predecessor with this stamp released its share for good.
    pub fn note_release(&mut self, now: Time, stamp: Stamp) {
        if self.predecessor < Some(stamp) {
            self.released = None;
        }
        if self.predecessor <= Some(stamp) {
            self.predecessor = Some(stamp);
            self.released.get_or_insert(now);
        }
    }

    /// Records a confirmation: a peer or the store answered a question that was
    /// sent at `asked_at`, and knows no newer process of this name.
    pub fn confirm(&mut self, asked_at: Time) {
        self.last_confirmed = self.last_confirmed.max(Some(asked_at));
        self.first_confirmed.get_or_insert(asked_at);
    }

    /// Sets whether a version newer than the one in force is known to exist.
    pub fn set_behind(&mut self, now: Time, is_behind: bool) {
        if !is_behind {
            self.behind_since = None;
        } else if self.behind_since.is_none() {
            self.behind_since = Some(now);
        }
    }

    /// Records that a version came into force. `divisor` is its number of slots,
    /// or `None` if it has none for this name.
    pub fn configure(&mut self, now: Time, divisor: Option<u32>) {
        if !self.guards.transition {
            self.grants.clear();
        }
        if let Some(last) = self.grants.last_mut() {
            if last.divisor == divisor {
                return;
            }
            last.until = Some(now + TRANSITION_TIME);
        }
        self.grants.push(Grant {
            divisor,
            until: None,
        });
    }

    /// Restarts the quarantine: the process raised its stamp, and its records
    /// have to reach all peers again.
    pub const fn reset_quarantine(&mut self) {
        self.first_confirmed = None;
    }

    /// Returns whether this process holds the slot, so that a graceful stop
    /// releases it.
    #[must_use]
    pub fn is_held(&self, now: Time) -> bool {
        let has_passed = |start: Time| now.since(start) >= QUARANTINE_TIME;
        let has_waited = self.first_confirmed.is_some_and(has_passed);
        let is_free = self
            .released
            .is_some_and(|received| now.since(received) >= TRANSFER_MAX || !self.guards.transfer);
        has_waited || is_free || !self.guards.quarantine
    }

    /// Returns the share at `now`. `is_certain` is false while the process does
    /// not know whether its own state is up to date, such as after a freeze.
    pub fn share(&mut self, now: Time, is_certain: bool) -> Share {
        self.grants.retain(|g| g.until.is_none_or(|u| now < u));
        let divisor = if is_certain && self.is_held(now) && self.is_current(now) {
            self.smallest_share()
        } else {
            None
        };
        if divisor != self.share.divisor {
            self.share = Share {
                divisor,
                since: now,
            };
        }
        self.share
    }

    fn is_current(&self, now: Time) -> bool {
        if !self.guards.confirm {
            return true;
        }
        let is_fresh = |t: Time| now.since(t) < CONFIRMATION_TTL;
        self.last_confirmed.is_some_and(is_fresh) && self.behind_since.is_none_or(is_fresh)
    }

    fn smallest_share(&self) -> Option<u32> {
        let mut divisor = Some(1);
        for grant in &self.grants {
            divisor = match (divisor, grant.divisor) {
                (Some(a), Some(b)) => Some(a.max(b)),
                _ => None,
            };
        }
        self.grants.last().and(divisor)
    }
}

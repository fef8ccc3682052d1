//! Whether this process may use its name's static share of a cap.
//!
//! Caps are kept without coordination: each configured entry instance has one
//! slot, and may use `cap / slots`. Invariant: the shares in use never add up
//! to more than the larger of the caps that are in force anywhere.
//!
//! What breaks that, and what keeps it:
//! - A replacement starts while its frozen or dying predecessor still uses the
//!   share. So the holder has to be confirmed: it uses its share only if a peer
//!   or the store answered a question that it sent less than [`CONFIRMATION_TTL`] ago, and a
//!   peer that knows a newer process of the name doesn't answer but says so. A
//!   newcomer waits [`QUARANTINE_TIME`] from its first confirmation, in which its word
//!   reaches every peer that could confirm the old one and the last confirmation
//!   of that one runs out. (From its start would not do: in a domain that is cut
//!   off nobody hears it.) It needn't
//!   wait if its predecessor said that it gave up the share.
//! - Shares that the predecessor passed on are still in use. So no transfer may
//!   last longer than [`TRANSFER_MAX`], which is below the quarantine, and which
//!   a newcomer waits out also after its predecessor gave up the share.
//! - Two versions are in force at different places. So after a change a process
//!   uses the smallest share of all versions of the last [`TRANSITION_TIME`], and a
//!   slot new to the configuration starts from nothing for that time.

use core::fmt;
use core::time::Duration;

use crate::clock::Time;
use crate::process::member::Stamp;

/// Longest time that a share is used without a new confirmation.
pub const CONFIRMATION_TTL: Duration = Duration::from_secs(5);

/// Time within which a newcomer's word has reached all peers that hear either
/// it or its predecessor.
pub const PROPAGATION_TIME: Duration = Duration::from_secs(10);

/// Longest time for which a share may be passed on to another process.
pub const TRANSFER_MAX: Duration = Duration::from_secs(10);

/// Time that a newcomer waits before it uses its slot: [`CONFIRMATION_TTL`] and
/// [`PROPAGATION_TIME`], which is more than [`TRANSFER_MAX`], and a third on top for
/// clocks that run apart.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(20);

/// Time for which the share of the version before still counts: [`CONFIRMATION_TTL`], and
/// the 7 s within which a version is in force everywhere, and a margin.
pub const TRANSITION_TIME: Duration = Duration::from_secs(15);

/// The part of every cap that this process may use, apart from transfers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// One part of this many; `None` is nothing.
    pub divisor: Option<u32>,
    /// When the share became what it is.
    pub since: Time,
}

impl Share {
    /// What the share is of a cap, rounded down.
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

/// What a version gives this name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Grant {
    divisor: Option<u32>,
    /// End of the time in which the grant counts; `None` for the one in force.
    until: Option<Time>,
}

/// Switches of the safeguards, all on in a live process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each switch is turned off alone"
)]
pub struct Guards {
    /// Newcomers wait.
    pub quarantine: bool,
    /// The successor of a process that gave up its share waits for what that one
    /// had passed on.
    pub transfer: bool,
    /// Holders have to be confirmed.
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

/// One process's claim to its name's slot.
#[derive(Clone, Debug)]
pub struct Slot {
    /// First confirmation under the present stamp.
    start: Option<Time>,
    /// When the release by the predecessor was heard of.
    free: Option<Time>,
    predecessor: Option<Stamp>,
    confirmed: Option<Time>,
    behind: Option<Time>,
    grants: Vec<Grant>,
    share: Share,
    guards: Guards,
}

impl Slot {
    /// The slot of a process that starts at `now`.
    #[must_use]
    pub const fn new(now: Time, guards: Guards) -> Self {
        Self {
            start: None,
            free: None,
            predecessor: None,
            confirmed: None,
            behind: None,
            grants: Vec::new(),
            share: Share {
                divisor: None,
                since: now,
            },
            guards,
        }
    }

    /// A process of this name and of an older stamp is known. A release of one
    /// before it no longer counts: the later one may have held the slot since.
    pub fn note_predecessor(&mut self, stamp: Stamp) {
        if self.predecessor < Some(stamp) {
            self.predecessor = Some(stamp);
            self.free = None;
        }
    }

    /// The predecessor of this stamp gave up its share for good.
    pub fn note_release(&mut self, now: Time, stamp: Stamp) {
        if self.predecessor < Some(stamp) {
            self.free = None;
        }
        if self.predecessor <= Some(stamp) {
            self.predecessor = Some(stamp);
            self.free.get_or_insert(now);
        }
    }

    /// Somebody answered a question that was sent at `asked`, and knows of no
    /// newer process of this name.
    pub fn confirm(&mut self, asked: Time) {
        self.confirmed = self.confirmed.max(Some(asked));
        self.start.get_or_insert(asked);
    }

    /// Whether a version above the one in force was heard of.
    pub fn set_behind(&mut self, now: Time, behind: bool) {
        if !behind {
            self.behind = None;
        } else if self.behind.is_none() {
            self.behind = Some(now);
        }
    }

    /// A version came in force that has this many slots, or none for this name.
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

    /// The process raised its stamp: its word begins to spread anew.
    pub const fn reset_quarantine(&mut self) {
        self.start = None;
    }

    /// Whether this process holds the slot, so that a graceful stop gives it up.
    #[must_use]
    pub fn is_held(&self, now: Time) -> bool {
        let since = |start: Time| now.since(start) >= QUARANTINE_TIME;
        let waited = self.start.is_some_and(since);
        let free = self
            .free
            .is_some_and(|heard| now.since(heard) >= TRANSFER_MAX || !self.guards.transfer);
        waited || free || !self.guards.quarantine
    }

    /// The share at `now`. `sure` is off while the process is in doubt whether
    /// what it knows is of today.
    pub fn share(&mut self, now: Time, sure: bool) -> Share {
        self.grants.retain(|g| g.until.is_none_or(|u| now < u));
        let divisor = if sure && self.is_held(now) && self.is_current(now) {
            self.smallest()
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
        let fresh = |t: Time| now.since(t) < CONFIRMATION_TTL;
        self.confirmed.is_some_and(fresh) && self.behind.is_none_or(fresh)
    }

    fn smallest(&self) -> Option<u32> {
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

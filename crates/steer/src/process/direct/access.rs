//! Authorization of requests by their key.
//!
//! Keys are revoked while instances are partitioned, rejected by the store or
//! restarting, and callers go on using them. Each instance therefore tracks the latest
//! moment up to which it knows everything that the store held, also when it reads
//! through other instances. It serves requests with keys only while that moment is less
//! than the operator's bound ago.
//!
//! Invariant: the tracked moment is never later than the store's own answer; an unknown
//! delay counts in full. It is checked when a request arrives and again when it is
//! sent.

mod staleness;

use core::time::Duration;
use std::sync::Arc;

use crate::clock::Time;
use crate::version::teams::{KeyDigest, Team};

/// Bounds on staleness for requests with keys. `None` means unbounded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Bounds {
    /// Time within which a new version of the configuration must be in force.
    pub config: Option<Duration>,
    /// Time within which a revoked key must be refused by every instance.
    pub revocation: Option<Duration>,
}

/// Key as sent by a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credential {
    /// No key.
    Missing,
    /// Not a valid key, or more than one.
    Malformed,
    /// One well-formed key.
    Key(KeyDigest),
}

/// Team that a request was authorized for, and the key that proved it.
#[derive(Clone, Debug, PartialEq)]
pub struct Authorized {
    /// Team that the key belongs to.
    pub team: Arc<Team>,
    /// Digest of the key.
    pub key: KeyDigest,
}

/// Result of checking a request's key.
#[derive(Clone, Debug, PartialEq)]
pub enum Access {
    /// The request needs no key.
    Open,
    /// The request is a team's.
    Granted(Authorized),
    /// The key is missing, malformed or belongs to no team.
    Denied,
    /// Undecided: this instance may have missed a change of keys.
    KeysStale,
}

/// Subtracted from the bound on staleness, since clocks run at different rates.
const CLOCK_MARGIN: Duration = Duration::from_millis(250);

/// Fraction of the revocation bound above which callers are sent to other instances, so
/// that most have moved before requests must be rejected.
const SHED_CALLERS_RATIO: f64 = 0.6;

/// Time for which a failed read from the store makes this instance count as cut off.
const STORE_FAILURE_WINDOW: Duration = Duration::from_secs(4);

/// Staleness up to which an unknown key is denied, if the operator sets no bound.
const UNKNOWN_KEY_STALENESS_MAX: Duration = Duration::from_secs(4);

/// Moment up to which the store's content is known.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Confirmed {
    /// Everything that the store held at this time is known.
    pub(super) at: Option<Time>,
    /// Whether there is a later configuration that can't be parsed.
    is_config_unreadable: bool,
}

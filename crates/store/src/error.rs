//! Errors of store calls, and whether the call may have taken effect.
//!
//! Invariant: an error that leaves the effect of a write open is never classified
//! as without effect.

use std::time::Duration;

use wire::kv;

/// Possible effect of a failed write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The write was not applied and will not be.
    None,
    /// The write may have been applied, or may be applied later.
    Unknown,
}

/// Reasons why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The condition of a write did not hold.
    #[error("the key changed since it was read; the write was not applied")]
    Conflict {
        /// Current entry; `None` if the key does not exist.
        current: Option<kv::Entry>,
    },
    /// The lease expired or never existed.
    #[error("the lease expired or does not exist; a new one is needed")]
    LeaseLapsed,
    /// The value exceeds the store's size limit.
    #[error("the value has {bytes} bytes, more than the store takes")]
    TooLarge {
        /// Size of the value in bytes.
        bytes: usize,
    },
    /// The key has characters that a URL path of the store can't carry.
    #[error("key `{key}` is invalid; allowed are A-Z a-z 0-9 . _ - / without `./`")]
    BadKey {
        /// Rejected key.
        key: String,
    },
    /// The limit of concurrent calls is reached.
    #[error("too many concurrent calls to the store")]
    Busy,
    /// All addresses failed recently and are backing off.
    #[error("all addresses of the store failed recently; next attempt in {} ms", .after.as_millis())]
    BackingOff {
        /// Time until one of the addresses may be tried again.
        after: Duration,
    },
    /// No connection could be opened.
    #[error("no connection to the store; check its addresses in the settings and the network")]
    Unreachable,
    /// The call was not completed in time; it may have been sent.
    #[error("no response from the store within the timeout; a write may have been applied")]
    TimedOut,
    /// The connection broke after the call may have been sent.
    #[error("the connection to the store broke; a write may have been applied")]
    Lost,
    /// The response does not conform to the store's protocol.
    #[error("unexpected response from the store, status {status}; a write may have been applied")]
    BadAnswer {
        /// HTTP status of the response.
        status: u16,
    },
}

/// Kinds of errors, used as labels of counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// [`Error::Conflict`]
    Conflict,
    /// [`Error::LeaseLapsed`]
    LeaseLapsed,
    /// [`Error::TooLarge`]
    TooLarge,
    /// [`Error::BadKey`]
    BadKey,
    /// [`Error::Busy`]
    Busy,
    /// [`Error::BackingOff`]
    BackingOff,
    /// [`Error::Unreachable`]
    Unreachable,
    /// [`Error::TimedOut`]
    TimedOut,
    /// [`Error::Lost`]
    Lost,
    /// [`Error::BadAnswer`]
    BadAnswer,
}

impl Kind {
    /// All kinds, in the order of their discriminants.
    pub const ALL: [Self; 10] = [
        Self::Conflict,
        Self::LeaseLapsed,
        Self::TooLarge,
        Self::BadKey,
        Self::Busy,
        Self::BackingOff,
        Self::Unreachable,
        Self::TimedOut,
        Self::Lost,
        Self::BadAnswer,
    ];

    /// Returns the label that counters use.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Conflict => "conflict",
            Self::LeaseLapsed => "lease-lapsed",
            Self::TooLarge => "too-large",
            Self::BadKey => "bad-key",
            Self::Busy => "busy",
            Self::BackingOff => "resting",
            Self::Unreachable => "unreachable",
            Self::TimedOut => "timed-out",
            Self::Lost => "lost",
            Self::BadAnswer => "bad-answer",
        }
    }
}

impl Error {
    /// Returns whether a write that failed with this error may have been applied.
    #[must_use]
    pub const fn effect(&self) -> Effect {
        match self {
            Self::Conflict { .. }
            | Self::LeaseLapsed
            | Self::TooLarge { .. }
            | Self::BadKey { .. }
            | Self::Busy
            | Self::BackingOff { .. }
            | Self::Unreachable => Effect::None,
            Self::TimedOut | Self::Lost | Self::BadAnswer { .. } => Effect::Unknown,
        }
    }

    /// Returns whether the store failed or could not be reached, rather than rejected
    /// the call.
    #[must_use]
    pub const fn is_outage(&self) -> bool {
        matches!(
            self,
            Self::BackingOff { .. }
                | Self::Unreachable
                | Self::TimedOut
                | Self::Lost
                | Self::BadAnswer { .. }
        )
    }

    /// Returns the kind of this error.
    #[must_use]
    pub const fn kind(&self) -> Kind {
        match self {
            Self::Conflict { .. } => Kind::Conflict,
            Self::LeaseLapsed => Kind::LeaseLapsed,
            Self::TooLarge { .. } => Kind::TooLarge,
            Self::BadKey { .. } => Kind::BadKey,
            Self::Busy => Kind::Busy,
            Self::BackingOff { .. } => Kind::BackingOff,
            Self::Unreachable => Kind::Unreachable,
            Self::TimedOut => Kind::TimedOut,
            Self::Lost => Kind::Lost,
            Self::BadAnswer { .. } => Kind::BadAnswer,
        }
    }
}

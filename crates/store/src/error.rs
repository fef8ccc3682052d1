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
    #[error("the key changed meanwhile; read it again and decide anew")]
    Conflict {
        /// Current entry; `None` if the key does not exist.
        current: Option<kv::Entry>,
    },
    /// The lease expired or never existed.
    #[error("the lease lapsed; give up what was held under it and ask for a new one")]
    LeaseLapsed,
    /// The value exceeds the store's size limit.
    #[error("the value has {bytes} bytes, more than the store takes; split it")]
    TooLarge {
        /// Size of the value in bytes.
        bytes: usize,
    },
    /// The key has characters that a URL path of the store can't carry.
    #[error("key `{key}` has characters besides A-Z a-z 0-9 . _ - /; encode it")]
    BadKey {
        /// Rejected key.
        key: String,
    },
    /// The limit of concurrent calls is reached.
    #[error("too many calls of the store are under way; make fewer at a time")]
    Busy,
    /// All addresses failed recently and are backing off.
    #[error("the store failed lately; ask again in {} ms", .after.as_millis())]
    BackingOff {
        /// Time until one of the addresses may be tried again.
        after: Duration,
    },
    /// No connection could be opened.
    #[error("no connection to the store; check its addresses in the settings and the network")]
    Unreachable,
    /// The call was not completed in time; it may have been sent.
    #[error("no answer from the store in time; if it was a write, read the key to learn its fate")]
    TimedOut,
    /// The connection broke after the call may have been sent.
    #[error("the store's answer was lost; if it was a write, read the key to learn its fate")]
    Lost,
    /// The response does not conform to the store's protocol.
    #[error("the store answered {status}; look at the store, and read the key again")]
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

//! How a call of the store fails, and whether it may have taken effect.

use std::time::Duration;

use wire::kv;

/// Whether a failed write may have been made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Certainly not, and it won't be.
    None,
    /// It may have been, or may yet be.
    Unknown,
}

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The condition of a write did not hold.
    #[error("the key changed meanwhile; read it again and decide anew")]
    Conflict {
        /// What is there now; `None` if the key does not exist.
        current: Option<kv::Entry>,
    },
    /// The lease lapsed, or never was.
    #[error("the lease lapsed; give up what was held under it and ask for a new one")]
    LeaseLapsed,
    /// The value is too large.
    #[error("the value has {bytes} bytes, more than the store takes; split it")]
    TooLarge {
        /// Its size in bytes.
        bytes: usize,
    },
    /// The key has characters that the store's addresses can't carry.
    #[error("key `{key}` has characters besides A-Z a-z 0-9 . _ - /; encode it")]
    BadKey {
        /// The key.
        key: String,
    },
    /// Too many calls are under way.
    #[error("too many calls of the store are under way; make fewer at a time")]
    Busy,
    /// All addresses failed lately and are given a rest.
    #[error("the store failed lately; ask again in {} ms", .after.as_millis())]
    BackingOff {
        /// Time until one of them is tried again.
        after: Duration,
    },
    /// No connection could be opened.
    #[error("no connection to the store; check its addresses in the settings and the network")]
    Unreachable,
    /// The call was sent and no whole answer came in time.
    #[error("no answer from the store in time; if it was a write, read the key to learn its fate")]
    TimedOut,
    /// The call was sent and the connection broke.
    #[error("the store's answer was lost; if it was a write, read the key to learn its fate")]
    Lost,
    /// The store answered something that its protocol does not have.
    #[error("the store answered {status}; look at the store, and read the key again")]
    BadAnswer {
        /// HTTP status of the answer.
        status: u16,
    },
}

/// Kinds of errors, for counters.
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
    /// All kinds, in order.
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

    /// The word that counters use.
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
    /// Whether the call, if it was a write, may have been made.
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

    /// Whether the store itself failed, rather than refused.
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

    /// Its kind.
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

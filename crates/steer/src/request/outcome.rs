//! What a caller is told about its request.
//!
//! Invariant: [`Outcome::NotRun`] is a promise. Whatever yields it has made
//! sure that no target ran the request and that none will.

use core::fmt;
use core::time::Duration;

/// Whether the request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// A target ran it; the answer is the target's.
    Ran,
    /// Certainly not run, and it won't be: asking again is safe.
    NotRun,
    /// It may have run. It will never be run a second time under this key.
    Unknown,
}

impl Outcome {
    /// The word that callers see.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Why a caller gets no target's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The request itself is wrong: syntax, headers.
    BadRequest,
    /// The request's body is longer than allowed.
    TooLarge,
    /// No such service in the configuration in force.
    UnknownService,
    /// A service that must not repeat wants an idempotency key.
    KeyMissing,
    /// The key is malformed.
    KeyMalformed,
    /// The key is older than the time for which records are kept.
    KeyExpired,
    /// The key was used before with another request.
    KeyReused,
    /// A request of this key is running; ask again for its answer.
    KeyBusy,
    /// The key was given up before anything was sent; it never runs.
    KeySealed,
    /// The key's request ran, but its answer is no longer kept.
    Forgotten,
    /// The instance that alone may run the key is gone or out of reach.
    OwnerGone,
    /// The key's witness did not give its word.
    Witness,
    /// The instance has no configuration yet.
    NotReady,
    /// The instance is shutting down.
    Leaving,
    /// The queue of the request's class is full.
    Overloaded,
    /// This caller has as much in flight as one caller may.
    CallerLimit,
    /// It can't be answered before its deadline.
    Deadline,
    /// No target or peer that may take it is reachable.
    NoTarget,
    /// Sending it elsewhere would pass an operator's cap or a link's limit.
    Cap,
    /// The platform's store, which had to record the key, can't be reached.
    Store,
    /// The connection to the target or peer broke after the request was sent.
    Lost,
    /// The target's answer was cut short or broke the protocol.
    BadAnswer,
    /// Targets crashed on this request; it won't be tried again.
    Poison,
}

impl Reason {
    /// All reasons.
    pub const ALL: [Self; 23] = [
        Self::BadRequest,
        Self::TooLarge,
        Self::UnknownService,
        Self::KeyMissing,
        Self::KeyMalformed,
        Self::KeyExpired,
        Self::KeyReused,
        Self::KeyBusy,
        Self::KeySealed,
        Self::Forgotten,
        Self::OwnerGone,
        Self::Witness,
        Self::NotReady,
        Self::Leaving,
        Self::Overloaded,
        Self::CallerLimit,
        Self::Deadline,
        Self::NoTarget,
        Self::Cap,
        Self::Store,
        Self::Lost,
        Self::BadAnswer,
        Self::Poison,
    ];

    /// The word that callers and counters see.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::TooLarge => "too-large",
            Self::UnknownService => "unknown-service",
            Self::KeyMissing => "key-missing",
            Self::KeyMalformed => "key-malformed",
            Self::KeyExpired => "key-expired",
            Self::KeyReused => "key-reused",
            Self::KeyBusy => "key-busy",
            Self::KeySealed => "key-sealed",
            Self::Forgotten => "forgotten",
            Self::OwnerGone => "owner-gone",
            Self::Witness => "witness",
            Self::NotReady => "not-ready",
            Self::Leaving => "leaving",
            Self::Overloaded => "overloaded",
            Self::CallerLimit => "caller-limit",
            Self::Deadline => "deadline",
            Self::NoTarget => "no-target",
            Self::Cap => "cap",
            Self::Store => "store",
            Self::Lost => "lost",
            Self::BadAnswer => "bad-answer",
            Self::Poison => "poison",
        }
    }

    /// The HTTP status that callers see.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::KeyMissing | Self::KeyMalformed => 400,
            Self::UnknownService => 404,
            Self::TooLarge => 413,
            Self::KeyBusy | Self::KeySealed => 409,
            Self::KeyExpired | Self::Forgotten => 410,
            Self::KeyReused => 422,
            Self::CallerLimit => 429,
            Self::Poison => 500,
            Self::Lost | Self::BadAnswer => 502,
            Self::NotReady
            | Self::Leaving
            | Self::Overloaded
            | Self::NoTarget
            | Self::Cap
            | Self::OwnerGone
            | Self::Witness
            | Self::Store => 503,
            Self::Deadline => 504,
        }
    }

    /// What the caller can do about it.
    #[must_use]
    pub const fn remedy(self) -> &'static str {
        match self {
            Self::TooLarge => "send less at a time, or have `body_bytes` raised",
            Self::BadRequest => "correct the request before sending it again",
            Self::UnknownService => "name a service that the configuration has",
            Self::KeyMissing => "send an Idempotency-Key made from a look-up's answer",
            Self::KeyMalformed => "form the Idempotency-Key as a look-up's answer says",
            Self::KeyExpired => "find out what became of the request; a new key runs it anew",
            Self::KeyReused => "use a new Idempotency-Key for a new request",
            Self::KeyBusy => "ask again with the same key for the answer",
            Self::KeySealed => "send the request under a new key; this one never runs",
            Self::Forgotten => "find out what became of the request; do not send it again",
            Self::OwnerGone => "ask again with the same key; a new key may repeat the request",
            Self::Witness => "look up again and send the request under a new key",
            Self::NotReady => "ask another entry instance, or this one later",
            Self::Leaving => "look up another entry instance",
            Self::Overloaded | Self::NoTarget | Self::Cap => {
                "come back after the time given; if not run, a keyed request wants a new key"
            }
            Self::CallerLimit => "wait for requests in flight to finish",
            Self::Deadline => "come back after the time given, or allow more time",
            Self::Store => "use a key made from a look-up's answer, or come back later",
            Self::Lost | Self::BadAnswer => {
                "ask again with the same key; without a key, only if a repeat is harmless"
            }
            Self::Poison => "do not send this request again",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A final answer that is not a target's. It is sent at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether the request ran; never [`Outcome::Ran`], except for a request
    /// known to have crashed its target.
    pub outcome: Outcome,
    /// When to come back; `None` where asking again can't help.
    pub after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request that was certainly not run.
    #[must_use]
    pub const fn not_run(reason: Reason, after: Option<Duration>) -> Self {
        Self {
            reason,
            outcome: Outcome::NotRun,
            after,
        }
    }

    /// A refusal of a request that may have run.
    #[must_use]
    pub const fn unknown(reason: Reason, after: Option<Duration>) -> Self {
        Self {
            reason,
            outcome: Outcome::Unknown,
            after,
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.reason, self.outcome)?;
        match self.after {
            Some(after) => write!(f, ", come back after {} ms", after.as_millis()),
            None => Ok(()),
        }
    }
}

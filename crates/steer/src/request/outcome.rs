//! Outcome of a request, and refusals in place of a target's answer.
//!
//! Invariant: [`Outcome::NotRun`] is a guarantee. It is only reported once it is
//! certain that no target has run the request and that none will.

use core::fmt;
use core::time::Duration;

/// Whether the request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// A target ran it and answered.
    Ran,
    /// Not run, and it never will be: sending the request again is safe.
    NotRun,
    /// May have run. It is never run a second time under the same key.
    Unknown,
}

impl Outcome {
    /// Returns the name sent to callers.
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

/// Reason why a request gets no answer from a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The request is malformed, in its syntax or its headers.
    BadRequest,
    /// The request's body exceeds its maximum length.
    TooLarge,
    /// The configuration in force has no such service.
    UnknownService,
    /// The service is not idempotent and requires an idempotency key.
    KeyMissing,
    /// The key is malformed.
    KeyMalformed,
    /// The key is older than the retention period of records.
    KeyExpired,
    /// The key was used before with another request.
    KeyReused,
    /// A request with this key is in progress; a retry gets its answer.
    KeyBusy,
    /// The key's request was sealed or refused before it ran, and never runs.
    KeySealed,
    /// The key's request ran, but its answer is no longer kept.
    Forgotten,
    /// The only instance that may run the key is gone or unreachable.
    OwnerGone,
    /// The key's witness did not record the claim.
    Witness,
    /// The instance has no configuration yet.
    NotReady,
    /// The instance is shutting down.
    Leaving,
    /// No room for the request at this instance, its targets or its peers.
    Overloaded,
    /// The caller has reached its limit of requests in flight.
    CallerLimit,
    /// The request is not expected to be answered before its deadline.
    Deadline,
    /// No target or peer that may serve the request is reachable.
    NoTarget,
    /// Sending the request to another region would exceed an operator's cap or a
    /// link's limit.
    Cap,
    /// The platform's store, which has to record the key, can't be reached or holds a
    /// malformed claim.
    Store,
    /// The connection to the target or peer broke after the request was sent.
    Lost,
    /// The target's answer was cut short or broke the protocol.
    BadAnswer,
    /// Targets crashed while they ran this request; it is not retried.
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

    /// Returns the name sent to callers and used as a label of metrics.
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

    /// Returns the HTTP status sent to callers.
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

    /// Returns advice to the caller on how to proceed.
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

/// Refusal sent to the caller in place of a target's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: Reason,
    /// Whether the request may have run: [`Outcome::NotRun`] or [`Outcome::Unknown`].
    pub outcome: Outcome,
    /// Time after which to retry; `None` if a retry can't help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates the refusal of a request that has not run and never will.
    #[must_use]
    pub const fn not_run(reason: Reason, retry_after: Option<Duration>) -> Self {
        Self {
            reason,
            outcome: Outcome::NotRun,
            retry_after,
        }
    }

    /// Creates the refusal of a request that may have run.
    #[must_use]
    pub const fn unknown(reason: Reason, retry_after: Option<Duration>) -> Self {
        Self {
            reason,
            outcome: Outcome::Unknown,
            retry_after,
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.reason, self.outcome)?;
        match self.retry_after {
            Some(after) => write!(f, ", come back after {} ms", after.as_millis()),
            None => Ok(()),
        }
    }
}

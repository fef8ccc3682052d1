//! Messages by which an instance has a request sent by another one.
//!
//! Invariant: fields and variants are encoded by position. Their order and types are
//! part of the protocol.

use serde::{Deserialize, Serialize};
use steer::process::direct::AttemptOutcome;

/// HTTP header; its value may be any bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Field name.
    pub name: String,
    /// Field value.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

/// A request that its sender has decided to send to a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Name of the instance that decided.
    pub sender: String,
    /// Name of the target.
    pub target: String,
    /// Incarnation of the target.
    pub incarnation: u64,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers for the target.
    pub headers: Vec<Header>,
    /// Complete body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Milliseconds left of the request's time.
    pub left_ms: u32,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
}

/// What became of a relayed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Nothing was sent: the instance relays nothing now.
    Refused(Refusal),
    /// Nothing was sent: the instance must not send to this target now; the reason, as in
    /// the log.
    Withheld(String),
    /// The attempt has ended.
    Ended(Ended),
}

/// Why an instance relays nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// It is cut off from all targets too.
    CutOff,
    /// It is stopping.
    Stopping,
    /// Bodies take all memory that there is for them.
    Memory,
    /// It can't read the request.
    Malformed,
}

impl Refusal {
    /// Name in log lines.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::CutOff => "cut-off",
            Self::Stopping => "stopping",
            Self::Memory => "memory",
            Self::Malformed => "malformed",
        }
    }
}

/// An attempt of a relay that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// How it ended.
    pub outcome: Outcome,
    /// The complete answer, if there was one.
    pub answer: Option<Answer>,
}

/// Complete answer of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Vec<Header>,
    /// Complete body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// Twin of the [`AttemptOutcome`]s that an attempt at a target has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// See [`AttemptOutcome::Answered`].
    Answered,
    /// See [`AttemptOutcome::Failed`].
    Failed,
    /// See [`AttemptOutcome::NotRun`].
    NotRun,
    /// See [`AttemptOutcome::WrongTarget`].
    WrongTarget,
    /// See [`AttemptOutcome::Unreachable`].
    Unreachable,
    /// See [`AttemptOutcome::NotSent`].
    NotSent,
    /// See [`AttemptOutcome::RelayWithheld`].
    Withheld,
    /// See [`AttemptOutcome::ConnectionLost`].
    ConnectionLost,
    /// See [`AttemptOutcome::InvalidResponse`].
    InvalidResponse,
    /// See [`AttemptOutcome::TimedOut`].
    TimedOut,
    /// See [`AttemptOutcome::NoMemory`].
    NoMemory,
}

impl From<AttemptOutcome> for Outcome {
    fn from(outcome: AttemptOutcome) -> Self {
        match outcome {
            AttemptOutcome::Answered => Self::Answered,
            AttemptOutcome::Failed => Self::Failed,
            AttemptOutcome::NotRun => Self::NotRun,
            AttemptOutcome::WrongTarget => Self::WrongTarget,
            AttemptOutcome::Unreachable => Self::Unreachable,
            AttemptOutcome::NotSent => Self::NotSent,
            AttemptOutcome::Withdrawn
            | AttemptOutcome::RelayRefused
            | AttemptOutcome::RelayWithheld => Self::Withheld,
            AttemptOutcome::InvalidResponse => Self::InvalidResponse,
            AttemptOutcome::TimedOut => Self::TimedOut,
            AttemptOutcome::NoMemory => Self::NoMemory,
            AttemptOutcome::ConnectionLost
            | AttemptOutcome::GivenUp
            | AttemptOutcome::RelayLost => Self::ConnectionLost,
        }
    }
}

impl From<Outcome> for AttemptOutcome {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Answered => Self::Answered,
            Outcome::Failed => Self::Failed,
            Outcome::NotRun => Self::NotRun,
            Outcome::WrongTarget => Self::WrongTarget,
            Outcome::Unreachable => Self::Unreachable,
            Outcome::NotSent => Self::NotSent,
            Outcome::Withheld => Self::RelayWithheld,
            Outcome::ConnectionLost => Self::ConnectionLost,
            Outcome::InvalidResponse => Self::InvalidResponse,
            Outcome::TimedOut => Self::TimedOut,
            Outcome::NoMemory => Self::NoMemory,
        }
    }
}

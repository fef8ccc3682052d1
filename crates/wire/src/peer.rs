//! What entry instances say to each other, by `tarpc`.

use core::time::Duration;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use steer::request::{answer, outcome};
use thiserror::Error;

/// A header line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Field name.
    pub name: String,
    /// Field value.
    pub value: String,
}

/// A request passed on to an entry instance of another failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// Name of the service.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path and query at the target, from the slash on.
    pub path: String,
    /// End-to-end headers.
    pub headers: Vec<Header>,
    /// The whole body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Who asks.
    pub caller: String,
    /// Idempotency key, if any.
    pub key: Option<String>,
    /// Milliseconds left to answer.
    pub deadline_ms: u64,
    /// Whether the receiver is asked as the key's owner, and not just to run
    /// what the sender has already guarded.
    pub owned: bool,
    /// Region of the caller, if known.
    pub home: Option<String>,
    /// Region of the sender.
    pub via: Option<String>,
}

/// How many targets broke under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The request's fingerprint.
    pub fingerprint: u128,
    /// Targets that broke; zero clears it.
    pub strikes: u8,
}

/// What became of a request passed on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Forwarded {
    /// A target's whole answer.
    Answer {
        /// HTTP status.
        status: u16,
        /// End-to-end headers.
        headers: Vec<Header>,
        /// The whole body.
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
    /// A final refusal.
    Refusal {
        /// The reason's word.
        reason: String,
        /// The outcome's word.
        outcome: String,
        /// Milliseconds until asking again makes sense.
        after_ms: Option<u64>,
    },
}

/// A peer said something that this version doesn't know.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum Error {
    /// The reason's word is not known.
    #[error("unknown reason {0:?} from a peer; run the same version everywhere")]
    Reason(String),
    /// The outcome's word is not known.
    #[error("unknown outcome {0:?} from a peer; run the same version everywhere")]
    Outcome(String),
}

/// A final answer or refusal, as decisions know it.
pub type FinalResult = Result<Arc<answer::Answer>, outcome::Refusal>;

impl From<&FinalResult> for Forwarded {
    fn from(settled: &FinalResult) -> Self {
        match settled {
            Ok(answer) => Self::Answer {
                status: answer.status,
                headers: answer.headers.iter().map(Header::from).collect(),
                body: answer.body.to_vec(),
            },
            Err(refusal) => Self::Refusal {
                reason: refusal.reason.as_str().to_owned(),
                outcome: refusal.outcome.as_str().to_owned(),
                after_ms: refusal.retry_after.map(millis),
            },
        }
    }
}

impl TryFrom<Forwarded> for FinalResult {
    type Error = Error;

    fn try_from(forwarded: Forwarded) -> Result<Self, Error> {
        match forwarded {
            Forwarded::Answer {
                status,
                headers,
                body,
            } => Ok(Ok(Arc::new(answer::Answer {
                status,
                headers: headers.into_iter().map(answer::Header::from).collect(),
                body: body.into(),
            }))),
            Forwarded::Refusal {
                reason,
                outcome,
                after_ms,
            } => Ok(Err(outcome::Refusal {
                reason: parse_reason(reason)?,
                outcome: parse_outcome(outcome)?,
                retry_after: after_ms.map(Duration::from_millis),
            })),
        }
    }
}

impl From<&answer::Header> for Header {
    fn from(header: &answer::Header) -> Self {
        Self {
            name: header.name.as_ref().to_owned(),
            value: header.value.as_ref().to_owned(),
        }
    }
}

impl From<Header> for answer::Header {
    fn from(header: Header) -> Self {
        Self {
            name: header.name.into(),
            value: header.value.into(),
        }
    }
}

fn parse_reason(word: String) -> Result<outcome::Reason, Error> {
    let found = outcome::Reason::ALL
        .into_iter()
        .find(|r| r.as_str() == word);
    found.ok_or(Error::Reason(word))
}

fn parse_outcome(word: String) -> Result<outcome::Outcome, Error> {
    use outcome::Outcome::{NotRun, Ran, Unknown};
    let found = [Ran, NotRun, Unknown]
        .into_iter()
        .find(|o| o.as_str() == word);
    found.ok_or(Error::Outcome(word))
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Who listens at an address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerInfo {
    /// Name of its entry instance.
    pub name: String,
    /// Name of its failure domain.
    pub domain: String,
    /// Where its peers reach it.
    pub peer: std::net::SocketAddr,
    /// Version in force at it; 0 if none.
    pub version: u64,
}

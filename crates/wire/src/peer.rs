//! Arguments and results of the calls between entry instances, which `tarpc` carries.
//!
//! Invariant: fields and variants are encoded by position. Their order and types are
//! part of the protocol.

use core::time::Duration;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use steer::request::{answer, outcome};
use thiserror::Error;

/// An HTTP header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Field name.
    pub name: String,
    /// Field value.
    pub value: String,
}

/// A request forwarded to an entry instance of another failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// Name of the service.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path and query at the target, with the leading slash.
    pub path: String,
    /// End-to-end headers.
    pub headers: Vec<Header>,
    /// Complete body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Name or address of the caller.
    pub caller: String,
    /// Idempotency key, if any.
    pub key: Option<String>,
    /// Milliseconds left until the deadline.
    pub deadline_ms: u64,
    /// Whether the receiver is to act as the owner of the key, and not only to run a
    /// request that the sender has already protected from running twice.
    pub owned: bool,
    /// Region of the caller, if known.
    #[serde(rename = "home")]
    pub caller_region: Option<String>,
    /// Region of the sender.
    #[serde(rename = "via")]
    pub sender_region: Option<String>,
}

/// Number of targets that broke off while they ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Fingerprint of the request.
    pub fingerprint: u128,
    /// Targets that broke off; zero clears the suspicion.
    pub strikes: u8,
}

/// Result of a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Forwarded {
    /// Complete answer of a target.
    Answer {
        /// HTTP status.
        status: u16,
        /// End-to-end headers.
        headers: Vec<Header>,
        /// Complete body.
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
    /// A final refusal.
    Refusal {
        /// Reason, as in [`outcome::Reason::as_str`].
        reason: String,
        /// Outcome, as in [`outcome::Outcome::as_str`].
        outcome: String,
        /// Milliseconds until the request should be retried.
        after_ms: Option<u64>,
    },
}

/// Errors in reading a peer's result, such as one of a later release.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum Error {
    /// The reason is unknown.
    #[error("unknown reason {0:?} from a peer; run the same version everywhere")]
    Reason(String),
    /// The outcome is unknown.
    #[error("unknown outcome {0:?} from a peer; run the same version everywhere")]
    Outcome(String),
}

/// Final answer or refusal of a request, in the types of `steer`.
pub type FinalResult = Result<Arc<answer::Answer>, outcome::Refusal>;

impl From<&FinalResult> for Forwarded {
    fn from(result: &FinalResult) -> Self {
        match result {
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

fn parse_reason(text: String) -> Result<outcome::Reason, Error> {
    let found = outcome::Reason::ALL
        .into_iter()
        .find(|r| r.as_str() == text);
    found.ok_or(Error::Reason(text))
}

fn parse_outcome(text: String) -> Result<outcome::Outcome, Error> {
    use outcome::Outcome::{NotRun, Ran, Unknown};
    let found = [Ran, NotRun, Unknown]
        .into_iter()
        .find(|o| o.as_str() == text);
    found.ok_or(Error::Outcome(text))
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Identity of the entry instance at an address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerInfo {
    /// Name of the entry instance.
    pub name: String,
    /// Name of its failure domain.
    pub domain: String,
    /// Address for peers.
    pub peer: std::net::SocketAddr,
    /// Version of the configuration in force; 0 if none.
    pub version: u64,
}

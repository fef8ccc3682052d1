//! Reports between instances of requests that crash targets, and permits to run those that may.
//!
//! Invariant: times are rounded up to whole seconds, so that passing a report on doesn't
//! shorten its life to nothing; the receiver bounds them.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use steer::process::direct::permit;
use steer::request::arrival;
use steer::request::poison::Report;

use super::Fingerprint;

/// Fingerprint, round, strikes and the seconds for which it is kept. Twin of [`Report`].
type Encoded = (Fingerprint, u16, u8, u16);

fn encode(report: &Report) -> Encoded {
    let left = report.left.as_secs() + u64::from(report.left.subsec_nanos() > 0);
    (
        report.fingerprint.0.to_le_bytes(),
        report.round,
        report.strikes,
        u16::try_from(left).unwrap_or(u16::MAX),
    )
}

fn decode((fingerprint, round, strikes, left): Encoded) -> Report {
    Report {
        fingerprint: arrival::Fingerprint(u128::from_le_bytes(fingerprint)),
        round,
        strikes,
        left: Duration::from_secs(u64::from(left)),
    }
}

/// What an instance holds against requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspects {
    name: String,
    reports: Vec<Encoded>,
}

impl Suspects {
    /// Message of the instance with this name.
    #[must_use]
    pub fn new(name: &str, reports: &[Report]) -> Self {
        Self {
            name: name.to_owned(),
            reports: reports.iter().map(encode).collect(),
        }
    }

    /// Name of the sender, and its reports.
    #[must_use]
    pub fn decode(self) -> (Arc<str>, Vec<Report>) {
        let reports = self.reports.into_iter().map(decode);
        (Arc::from(self.name), reports.collect())
    }
}

/// Requests a permit to run a suspect, or releases one. Twin of [`permit::PermitRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    name: String,
    incarnation: u64,
    report: Encoded,
    is_release: bool,
}

impl From<permit::PermitRequest> for PermitRequest {
    fn from(ask: permit::PermitRequest) -> Self {
        Self {
            name: ask.name.as_ref().to_owned(),
            incarnation: ask.incarnation,
            report: encode(&ask.report),
            is_release: ask.is_release,
        }
    }
}

impl From<PermitRequest> for permit::PermitRequest {
    fn from(ask: PermitRequest) -> Self {
        Self {
            name: Arc::from(ask.name),
            incarnation: ask.incarnation,
            report: decode(ask.report),
            is_release: ask.is_release,
        }
    }
}

/// Reply of an issuer of permits. Twin of [`permit::PermitReply`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitReply {
    name: String,
    incarnation: u64,
    report: Encoded,
    is_granted: bool,
}

impl From<permit::PermitReply> for PermitReply {
    fn from(answer: permit::PermitReply) -> Self {
        Self {
            name: answer.name.as_ref().to_owned(),
            incarnation: answer.incarnation,
            report: encode(&answer.report),
            is_granted: answer.is_granted,
        }
    }
}

impl From<PermitReply> for permit::PermitReply {
    fn from(answer: PermitReply) -> Self {
        Self {
            name: Arc::from(answer.name),
            incarnation: answer.incarnation,
            report: decode(answer.report),
            is_granted: answer.is_granted,
        }
    }
}

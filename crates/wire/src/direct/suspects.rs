//! Reports between instances of requests that crash targets, and turns of those that may.
//!
//! Invariant: times are rounded up to whole seconds, so that passing a report on doesn't
//! shorten its life to nothing; the receiver bounds them.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use steer::process::direct::turn;
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

/// Asks for a turn of a suspect, or ends one. Twin of [`turn::TurnAsk`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnAsk {
    name: String,
    incarnation: u64,
    report: Encoded,
    is_over: bool,
}

impl From<turn::TurnAsk> for TurnAsk {
    fn from(ask: turn::TurnAsk) -> Self {
        Self {
            name: ask.name.as_ref().to_owned(),
            incarnation: ask.incarnation,
            report: encode(&ask.report),
            is_over: ask.is_over,
        }
    }
}

impl From<TurnAsk> for turn::TurnAsk {
    fn from(ask: TurnAsk) -> Self {
        Self {
            name: Arc::from(ask.name),
            incarnation: ask.incarnation,
            report: decode(ask.report),
            is_over: ask.is_over,
        }
    }
}

/// Answer of the instance that gives turns. Twin of [`turn::TurnAnswer`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnAnswer {
    name: String,
    incarnation: u64,
    report: Encoded,
    is_given: bool,
}

impl From<turn::TurnAnswer> for TurnAnswer {
    fn from(answer: turn::TurnAnswer) -> Self {
        Self {
            name: answer.name.as_ref().to_owned(),
            incarnation: answer.incarnation,
            report: encode(&answer.report),
            is_given: answer.is_given,
        }
    }
}

impl From<TurnAnswer> for turn::TurnAnswer {
    fn from(answer: TurnAnswer) -> Self {
        Self {
            name: Arc::from(answer.name),
            incarnation: answer.incarnation,
            report: decode(answer.report),
            is_given: answer.is_given,
        }
    }
}

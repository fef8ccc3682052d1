//! Reports between instances of requests that crash targets.
//!
//! Invariant: times are rounded up to whole seconds, so that passing a report on doesn't
//! shorten its life to nothing; the receiver bounds them.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use steer::request::arrival;
use steer::request::poison::Report;

use super::Fingerprint;

/// What an instance holds against requests. Twins of [`Report`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspects {
    name: String,
    /// Fingerprint, round, strikes and the seconds for which it is kept.
    reports: Vec<(Fingerprint, u16, u8, u16)>,
}

impl Suspects {
    /// Message of the instance with this name.
    #[must_use]
    pub fn new(name: &str, reports: &[Report]) -> Self {
        let encode = |report: &Report| {
            let left = report.left.as_secs() + u64::from(report.left.subsec_nanos() > 0);
            (
                report.fingerprint.0.to_le_bytes(),
                report.round,
                report.strikes,
                u16::try_from(left).unwrap_or(u16::MAX),
            )
        };
        Self {
            name: name.to_owned(),
            reports: reports.iter().map(encode).collect(),
        }
    }

    /// Name of the sender, and its reports.
    #[must_use]
    pub fn decode(self) -> (Arc<str>, Vec<Report>) {
        let decode = |(fingerprint, round, strikes, left)| Report {
            fingerprint: arrival::Fingerprint(u128::from_le_bytes(fingerprint)),
            round,
            strikes,
            left: Duration::from_secs(u64::from(left)),
        };
        let reports = self.reports.into_iter().map(decode);
        (Arc::from(self.name), reports.collect())
    }
}

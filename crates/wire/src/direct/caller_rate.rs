//! Rate of callers' requests, sent to instances of the same region.
//!
//! Invariant: fields are encoded by position. Their order and types are part of the
//! protocol.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use steer::process::direct::referral::demand;

/// Encoded steps of one request a second.
const STEPS: f64 = 1000.0;

/// Twin of [`demand::CallerRate`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerRate {
    name: String,
    incarnation: u64,
    seq: u64,
    /// Thousandths of a request a second.
    rate_milli: u32,
}

/// Encodes a number, saturating.
fn steps(number: f64) -> u32 {
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "saturates"
    )]
    let steps = (number * STEPS) as u32;
    steps
}

impl From<demand::CallerRate> for CallerRate {
    fn from(rate: demand::CallerRate) -> Self {
        Self {
            name: rate.name.as_ref().to_owned(),
            incarnation: rate.incarnation,
            seq: rate.seq,
            rate_milli: steps(rate.rate),
        }
    }
}

impl From<CallerRate> for demand::CallerRate {
    fn from(rate: CallerRate) -> Self {
        Self {
            name: Arc::from(rate.name),
            incarnation: rate.incarnation,
            seq: rate.seq,
            rate: f64::from(rate.rate_milli) / STEPS,
        }
    }
}

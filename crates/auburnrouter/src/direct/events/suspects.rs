//! Log events of requests that are suspected of crashing targets.

use serde::Serialize;
use steer::process::direct::suspect::{Change, STRIKES_MAX};
use steer::request::arrival::Fingerprint;

use super::write;
use crate::direct::Shared;

/// Fields of event `suspect`.
#[derive(Serialize)]
struct SuspectFields<'a> {
    /// Fingerprint that repeats of the request share.
    fingerprint: String,
    before: u8,
    strikes: u8,
    why: &'a str,
    /// Target or instance that the change came from; null if it was neither.
    source: Option<&'a str>,
}

/// Logs changes of the strikes against requests, and counts requests that are no longer
/// refused.
pub fn suspects_changed(shared: &Shared, changes: &[Change]) {
    for change in changes {
        if change.before >= STRIKES_MAX && change.strikes < STRIKES_MAX {
            shared.metrics.verdicts_withdrawn.inc();
        }
        let fields = SuspectFields {
            fingerprint: change.fingerprint.to_string(),
            before: change.before,
            strikes: change.strikes,
            why: change.cause.name(),
            source: change.cause.source().map(|s| &**s),
        };
        write(shared, "suspect", fields);
    }
}

/// Fields of event `suspect-trial`.
#[derive(Serialize)]
struct TrialFields {
    fingerprint: String,
    /// Number of the trial, from 1.
    trial: u8,
}

/// Logs that a request that is always refused is tried once more.
pub fn trial_begun(shared: &Shared, fingerprint: Fingerprint, trial: u8) {
    let fields = TrialFields {
        fingerprint: fingerprint.to_string(),
        trial,
    };
    write(shared, "suspect-trial", fields);
}

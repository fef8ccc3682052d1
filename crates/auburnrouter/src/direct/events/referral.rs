//! Log event of the instances that callers are told.

use serde::Serialize;
use steer::process::direct::referral::Status;

use super::write;
use crate::direct::Shared;

/// Fields of event `referral`.
#[derive(Serialize)]
struct ReferralFields<'a> {
    region: &'a str,
    /// Number of instances that are named.
    named: usize,
    /// Number of instances that could be.
    of: usize,
    /// Requests a second of the region's callers; null if unknown.
    demand: Option<f64>,
    /// Requests a second that the named instances sustain without the failure domain with
    /// the most of their capacity; null while sizes don't decide.
    capacity: Option<f64>,
}

/// Logs a change of the instances that callers of this region are told.
pub fn referral_changed(shared: &Shared, status: &Status) {
    let fields = ReferralFields {
        region: &shared.settings.region,
        named: status.named.len(),
        of: status.of,
        demand: status.demand,
        capacity: status.capacity,
    };
    write(shared, "referral", fields);
}

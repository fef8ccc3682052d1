//! Log events of what other regions report.

use serde::Serialize;
use steer::process::direct::regions::RegionChange;

use super::write;
use crate::direct::Shared;

#[derive(Serialize)]
struct RegionFields<'a> {
    region: &'a str,
    service: &'a str,
    state: &'a str,
    /// Requests over slots, as last reported.
    utilization: f64,
}

/// Logs that a region has become full for a service, has room again, or has begun or
/// ceased to report.
pub fn region_changed(shared: &Shared, change: &RegionChange) {
    let fields = RegionFields {
        region: &change.region,
        service: &change.service,
        state: change.state.name(),
        utilization: (change.utilization * 100.0).round() / 100.0,
    };
    write(shared, "region-load", fields);
}

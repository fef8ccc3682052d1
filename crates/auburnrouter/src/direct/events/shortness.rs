//! Log event of services that become short of slots.

use serde::Serialize;
use steer::process::direct::shortness::ShortnessChange;

use super::write;
use crate::direct::Shared;

/// Fields of event `shortness`.
#[derive(Serialize)]
struct ShortnessFields<'a> {
    service: &'a str,
    /// `short` or `room`.
    state: &'a str,
    /// Requests at the region's targets over their slots, as last estimated.
    utilization: f64,
}

/// Logs that services have become short in this region, or are short no more.
pub fn shortness_changed(shared: &Shared, changes: &[ShortnessChange]) {
    for change in changes {
        let fields = ShortnessFields {
            service: &change.service,
            state: if change.is_short { "short" } else { "room" },
            utilization: change.utilization,
        };
        write(shared, "shortness", fields);
    }
}

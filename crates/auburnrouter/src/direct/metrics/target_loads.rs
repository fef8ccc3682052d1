//! Counters of reports of requests at targets.

use prometheus::{IntCounter, Registry};

use super::{Error, counter};

/// Datagrams on requests at targets.
pub struct LoadCounters {
    /// Sent to other instances.
    pub sent: IntCounter,
    /// Received from other instances and used.
    pub received: IntCounter,
}

impl LoadCounters {
    /// Registers the counters at zero.
    pub(super) fn new(registry: &Registry) -> Result<Self, Error> {
        Ok(Self {
            sent: counter(
                registry,
                "auburnrouter_target_loads_sent_total",
                "Datagrams to other instances on requests at targets",
            )?,
            received: counter(
                registry,
                "auburnrouter_target_loads_received_total",
                "Datagrams of other instances on requests at targets that were used",
            )?,
        })
    }
}

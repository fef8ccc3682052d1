//! Reports of instances on the load of their region, for instances of other regions.
//!
//! Invariant: a report fits a datagram, however many services are short.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use steer::process::direct::regions;

use super::ShortHash;

/// Largest number of services in one report: each takes up to 19 bytes.
pub const SERVICES_MAX: usize = 48;

/// Twin of [`regions::RegionReport`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionLoads {
    name: String,
    incarnation: u64,
    seq: u64,
    region: String,
    /// Service hash, requests at targets, requests that wait at the sender, and slots.
    loads: Vec<(ShortHash, u32, u32, u32)>,
}

impl From<regions::RegionReport> for RegionLoads {
    fn from(report: regions::RegionReport) -> Self {
        let encode = |load: regions::ServiceLoad| {
            let hash = load.service_hash.to_le_bytes();
            (hash, load.at_targets, load.waiting, load.slots)
        };
        let loads = report.loads.into_iter().take(SERVICES_MAX);
        Self {
            name: report.name.as_ref().to_owned(),
            incarnation: report.incarnation,
            seq: report.seq,
            region: report.region.as_ref().to_owned(),
            loads: loads.map(encode).collect(),
        }
    }
}

impl From<RegionLoads> for regions::RegionReport {
    fn from(message: RegionLoads) -> Self {
        let decode =
            |(hash, at_targets, waiting, slots): (ShortHash, u32, u32, u32)| regions::ServiceLoad {
                service_hash: u32::from_le_bytes(hash),
                at_targets,
                waiting,
                slots,
            };
        Self {
            name: Arc::from(message.name),
            incarnation: message.incarnation,
            seq: message.seq,
            region: Arc::from(message.region),
            loads: message.loads.into_iter().map(decode).collect(),
        }
    }
}

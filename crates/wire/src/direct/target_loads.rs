//! Report of an instance's requests at targets, and of those that wait at it.
//!
//! Invariants: fields are encoded by position, and their order and types are part of the
//! protocol; an encoded report fits a datagram.

use std::sync::Arc;

use bincode::Options;
use serde::{Deserialize, Serialize};
use steer::process::direct::loads;

use super::{DATAGRAM_MAX, ShortHash, codec};

/// Bytes of one target in an encoded report.
const TARGET_BYTES: usize = 5;

/// Bytes reserved for the variant of [`super::Message`].
const VARIANT_BYTES: usize = 1;

/// Twin of [`loads::LoadReport`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoads {
    name: String,
    incarnation: u64,
    seq: u64,
    /// Target hash and requests in flight.
    targets: Vec<(ShortHash, u8)>,
    /// Service hash, priority of the team and of the route, and waiting requests.
    waiting: Vec<(ShortHash, u32, u32, u32)>,
}

impl From<loads::LoadReport> for TargetLoads {
    fn from(report: loads::LoadReport) -> Self {
        let target = |(hash, count): (u32, u8)| (hash.to_le_bytes(), count);
        let waiting = |w: loads::Waiting| {
            (
                w.service_hash.to_le_bytes(),
                w.priority.0,
                w.priority.1,
                w.count,
            )
        };
        let targets = report.targets.into_iter().take(loads::TARGETS_MAX);
        let waits = report.waiting.into_iter().take(loads::WAITING_MAX);
        let mut loads = Self {
            name: report.name.as_ref().to_owned(),
            incarnation: report.incarnation,
            seq: report.seq,
            targets: targets.map(target).collect(),
            waiting: waits.map(waiting).collect(),
        };
        // Long names and many waiting requests take the room of the last targets, which
        // have the fewest requests.
        let size = codec().serialized_size(&loads).unwrap_or_default();
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        let excess = (size + VARIANT_BYTES).saturating_sub(DATAGRAM_MAX);
        let kept = loads
            .targets
            .len()
            .saturating_sub(excess.div_ceil(TARGET_BYTES));
        loads.targets.truncate(kept);
        loads
    }
}

impl From<TargetLoads> for loads::LoadReport {
    fn from(loads: TargetLoads) -> Self {
        let target = |(hash, count): (ShortHash, u8)| (u32::from_le_bytes(hash), count);
        let waiting = |(hash, team, route, count): (ShortHash, u32, u32, u32)| loads::Waiting {
            service_hash: u32::from_le_bytes(hash),
            priority: (team, route),
            count,
        };
        Self {
            name: Arc::from(loads.name),
            incarnation: loads.incarnation,
            seq: loads.seq,
            targets: loads.targets.into_iter().map(target).collect(),
            waiting: loads.waiting.into_iter().map(waiting).collect(),
        }
    }
}

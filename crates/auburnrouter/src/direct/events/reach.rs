//! Log events of an instance that is cut off from all targets, and of requests that are
//! sent for such instances.

use serde::Serialize;
use steer::process::direct::AttemptOutcome;
use steer::process::direct::reach::ReachChange;

use super::{millis, write};
use crate::direct::Shared;

/// Fields of event `reach`.
#[derive(Serialize)]
struct ReachFields<'a> {
    /// `cut-off` or `direct`.
    state: &'a str,
    /// Connections that the deciding round of probes tried to open.
    probed: usize,
    /// Those that opened.
    reached: usize,
    /// Targets at which requests had failed before.
    failed: Vec<&'a str>,
    /// Time for which it was cut off, at the end.
    #[serde(skip_serializing_if = "Option::is_none")]
    lasted_ms: Option<u64>,
}

/// Logs that this instance is cut off from all targets, or no longer.
pub fn reach_changed(shared: &Shared, change: &ReachChange) {
    let fields = ReachFields {
        state: if change.is_cut { "cut-off" } else { "direct" },
        probed: change.probed,
        reached: change.reached,
        failed: change.failed.iter().map(|id| &**id).collect(),
        lasted_ms: change.span.map(millis),
    };
    write(shared, "reach", fields);
}

/// A request that was sent for another instance.
pub struct Relayed<'a> {
    /// The request's id.
    pub request: &'a str,
    /// Name of the instance that it was sent for.
    pub sender: &'a str,
    /// Id of the target.
    pub target: &'a str,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Duration of the attempt in milliseconds.
    pub took_ms: u64,
}

/// Fields of event `relayed`.
#[derive(Serialize)]
struct RelayedFields<'a> {
    request: &'a str,
    /// Instance that it was sent for.
    relayed_for: &'a str,
    target: &'a str,
    ending: &'a str,
    took_ms: u64,
}

/// Logs a request that was sent for another instance, and counts it in the metrics.
pub fn relayed(shared: &Shared, relayed: &Relayed<'_>) {
    let ending = relayed.outcome.name();
    let labels = ["relay", ending];
    shared.metrics.relayed.with_label_values(&labels).inc();
    let fields = RelayedFields {
        request: relayed.request,
        relayed_for: relayed.sender,
        target: relayed.target,
        ending,
        took_ms: relayed.took_ms,
    };
    write(shared, "relayed", fields);
}

//! Log events of callers' connections.

use serde::Serialize;

use super::{millis, write};
use crate::direct::connection::Caller;
use crate::direct::{Shared, memory};

/// Fields of event `evicted`.
#[derive(Serialize)]
struct EvictedFields {
    caller: std::net::IpAddr,
    /// Number of the connection in this process.
    connection: u64,
    /// Bytes of the answers that it didn't take.
    bytes: usize,
    /// Time for which it has taken nothing.
    stalled_ms: u64,
}

/// Logs that a caller's connection is closed, as it takes nothing of its answers while
/// memory is short.
pub fn caller_evicted(shared: &Shared, caller: Caller, stall: &memory::Stall) {
    shared.metrics.evicted_callers.inc();
    let fields = EvictedFields {
        caller: caller.ip,
        connection: caller.connection_id,
        bytes: stall.bytes(),
        stalled_ms: millis(stall.elapsed()),
    };
    write(shared, "evicted", fields);
}

//! The control thread's side of the daemon.

use std::sync::Arc;

use arc_swap::ArcSwap;
use serde::Serialize;
use settings::Settings;
use steer::version::view;

use super::Addresses;
use super::engine::Engine;
use super::metrics::Metrics;
use super::peers::Peers;
use super::snapshot::Snapshot;
use super::workers::Executor;

/// What the control thread works with.
pub struct Parts {
    /// The settings.
    pub settings: Settings,
    /// Where the daemon listens.
    pub addresses: Addresses,
    /// Which process this is.
    pub incarnation: view::Incarnation,
    /// Where views are installed.
    pub engine: Arc<Engine>,
    /// Calls to peers.
    pub peers: Arc<Peers>,
    /// Where snapshots are published.
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    /// Gauges of the control state.
    pub metrics: Arc<Metrics>,
}

/// The state of a process, for reading.
#[derive(Debug, Serialize)]
pub struct Dump {
    name: Arc<str>,
    incarnation: String,
    version: u64,
    in_flight: usize,
}

/// A way to ask the control thread.
#[derive(Clone)]
pub struct Handle {
    parts: Arc<Parts>,
}

impl Handle {
    /// Starts the control loop.
    pub fn start(parts: Parts, _executor: &Executor) -> Self {
        Self {
            parts: Arc::new(parts),
        }
    }

    /// Says that this process is shutting down.
    pub fn leave(&self) {}

    /// Ends the control loop.
    pub fn stop(&self) {}

    /// The state of the process.
    pub async fn dump(&self) -> Dump {
        Dump {
            name: Arc::clone(&self.parts.settings.name),
            incarnation: self.parts.incarnation.to_string(),
            version: self.parts.snapshot.load().view.version.0,
            in_flight: self.parts.engine.in_flight(),
        }
    }
}

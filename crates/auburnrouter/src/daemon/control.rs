//! The control thread: membership, configuration and the platform's instance list.
//!
//! Invariant: one task on one thread accesses the control state; traffic threads
//! read published snapshots only.

pub mod active;
mod apply;
mod driver;
mod dump;
mod keys;
mod status;
mod store_calls;
mod view_builder;

use std::sync::Arc;

use arc_swap::{ArcSwap, ArcSwapOption};
use settings::Settings;
use steer::process::control::message;
use steer::process::member;
use steer::version::view;

use self::active::ActiveConfig;
pub use self::apply::{Answer, Change, File, Result};
pub use self::dump::Dump;
pub use self::status::{Entry as StatusEntry, Status};
use super::Addresses;
use super::engine::Engine;
use super::metrics::Metrics;
use super::peers::Peers;
use super::snapshot::{LastRun, Snapshot};
use super::workers::Executor;

/// Settings, clients and outputs of the control thread.
pub struct Context {
    /// Settings of the instance.
    pub settings: Settings,
    /// Addresses on which the daemon listens.
    pub addresses: Addresses,
    /// Incarnation of this process.
    pub incarnation: view::Incarnation,
    /// Engine in which views are installed.
    pub engine: Arc<Engine>,
    /// Client of peers.
    pub peers: Arc<Peers>,
    /// Snapshot published to the traffic threads.
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    /// Time at which the control loop last ran.
    pub last_run: Arc<LastRun>,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    /// Client of the platform's store.
    pub store: Arc<dyn store::Store>,
}

impl Context {
    /// Name, domain and addresses of this instance.
    #[must_use]
    pub fn identity(&self) -> member::Identity {
        member::Identity {
            name: Arc::clone(&self.settings.name),
            domain: Arc::clone(&self.settings.domain),
            addr: self.addresses.callers,
            peer: self.addresses.peers,
        }
    }
}

/// Handle for calls to the control thread.
#[derive(Clone)]
pub struct Handle {
    context: Arc<Context>,
    inputs: async_channel::Sender<driver::Input>,
    active: Arc<ArcSwapOption<ActiveConfig>>,
    changing: Arc<smol::lock::Mutex<()>>,
    executor: Executor,
    /// Closed once a newer process runs under this instance's name.
    replaced: async_channel::Receiver<()>,
}

impl Handle {
    /// Starts the control loop.
    pub fn start(context: Context, executor: &Executor) -> Self {
        let context = Arc::new(context);
        let (inputs, inbox) = async_channel::unbounded();
        let (superseded, replaced) = async_channel::bounded(1);
        let active = Arc::new(ArcSwapOption::empty());
        let driver = driver::Driver::new(
            Arc::clone(&context),
            Arc::clone(&active),
            inputs.clone(),
            Arc::clone(executor),
            superseded,
        );
        executor.spawn(driver.run(inbox)).detach();
        Self {
            context,
            inputs,
            active,
            changing: Arc::default(),
            executor: Arc::clone(executor),
            replaced,
        }
    }

    /// Announces that this process is shutting down.
    pub fn leave(&self) {
        self.input(driver::Input::Leave);
    }

    /// Sends the final messages to the peers and ends the control loop; blocks until
    /// it has ended.
    pub fn stop(&self) {
        let (done, ended) = async_channel::bounded(1);
        self.input(driver::Input::Stop(done));
        // An error also means that the loop has ended.
        let _ = ended.recv_blocking();
    }

    /// Passes a peer's message to the control loop.
    pub fn receive(&self, message: message::Message) {
        self.input(driver::Input::Message(message));
    }

    /// Bytes and messages sent to peers so far; framing is not counted.
    #[must_use]
    pub fn peer_traffic(&self) -> (u64, u64) {
        let counts = self.context.peers.counts();
        (counts.bytes(), counts.messages())
    }

    /// Waits until a newer process runs under this instance's name.
    pub async fn replaced(&self) {
        // Nothing is ever sent; the channel is closed instead.
        let _ = self.replaced.recv().await;
    }

    /// Name, domain and addresses of this instance.
    #[must_use]
    pub fn identity(&self) -> member::Identity {
        self.context.identity()
    }

    /// Configuration in force, if any.
    #[must_use]
    pub fn active_config(&self) -> Option<Arc<ActiveConfig>> {
        self.active.load_full()
    }

    /// Configuration version in force; 0 before the first.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.active.load().as_ref().map_or(0, |f| f.version.0)
    }

    /// Applies an operator's change; changes are serialized.
    pub async fn change(&self, change: Change) -> Answer {
        let _one = self.changing.lock().await;
        apply::change(&*self.context.store, self.active_config(), change).await
    }

    /// Dumps the state of the process; `None` if the control loop has ended.
    pub async fn dump(&self) -> Option<Dump> {
        let (reply, answer) = async_channel::bounded(1);
        self.input(driver::Input::Dump(reply));
        answer.recv().await.ok()
    }

    fn input(&self, input: driver::Input) {
        // Fails only after the loop has ended; the input is dropped then.
        let _ = self.inputs.try_send(input);
    }
}

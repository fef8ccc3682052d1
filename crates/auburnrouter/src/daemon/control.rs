//! The control thread: membership, configuration, the platform's list.
//!
//! Invariant: control state is touched by one task on one thread; traffic
//! threads see it through published snapshots only.

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

/// What the control thread works with.
pub struct Context {
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
    /// When the control loop last ran.
    pub last_run: Arc<LastRun>,
    /// Gauges of the control state.
    pub metrics: Arc<Metrics>,
    /// The platform's store.
    pub store: Arc<dyn store::Store>,
}

impl Context {
    /// What this process is.
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

/// A way to ask the control thread.
#[derive(Clone)]
pub struct Handle {
    context: Arc<Context>,
    inputs: async_channel::Sender<driver::Input>,
    active: Arc<ArcSwapOption<ActiveConfig>>,
    changing: Arc<smol::lock::Mutex<()>>,
    executor: Executor,
    /// Closed once a newer process has taken the name over.
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

    /// Says that this process is shutting down.
    pub fn leave(&self) {
        self.input(driver::Input::Leave);
    }

    /// Says the last word to the peers and ends the control loop; returns once
    /// it has ended.
    pub fn stop(&self) {
        let (done, ended) = async_channel::bounded(1);
        self.input(driver::Input::Stop(done));
        // An error says the same: the loop has ended.
        let _ = ended.recv_blocking();
    }

    /// Takes a peer's message.
    pub fn receive(&self, message: message::Message) {
        self.input(driver::Input::Message(message));
    }

    /// Bytes and messages sent to peers so far, without framing.
    #[must_use]
    pub fn peer_traffic(&self) -> (u64, u64) {
        let counts = self.context.peers.counts();
        (counts.bytes(), counts.messages())
    }

    /// Waits until a newer process has taken the name over.
    pub async fn replaced(&self) {
        // Nothing is ever sent: the end of the channel is the word.
        let _ = self.replaced.recv().await;
    }

    /// What this process is.
    #[must_use]
    pub fn identity(&self) -> member::Identity {
        self.context.identity()
    }

    /// The configuration in force, if there is one.
    #[must_use]
    pub fn active_config(&self) -> Option<Arc<ActiveConfig>> {
        self.active.load_full()
    }

    /// Version in force; 0 if there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.active.load().as_ref().map_or(0, |f| f.version.0)
    }

    /// Makes an operator's change, one at a time.
    pub async fn change(&self, change: Change) -> Answer {
        let _one = self.changing.lock().await;
        apply::change(&*self.context.store, self.active_config(), change).await
    }

    /// The state of the process; `None` if the control loop has ended.
    pub async fn dump(&self) -> Option<Dump> {
        let (reply, told) = async_channel::bounded(1);
        self.input(driver::Input::Dump(reply));
        told.recv().await.ok()
    }

    fn input(&self, input: driver::Input) {
        // It fails only once the loop has ended, when nothing is to be told.
        let _ = self.inputs.try_send(input);
    }
}

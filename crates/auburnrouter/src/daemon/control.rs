//! The control thread: membership, configuration, the platform's list.
//!
//! Invariant: control state is touched by one task on one thread; traffic
//! threads see it through published snapshots only.

mod world;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use futures_lite::future;
use intent::instance;
use serde::Serialize;
use settings::Settings;
use steer::version::view;

use super::Addresses;
use super::engine::Engine;
use super::metrics::Metrics;
use super::peers::Peers;
use super::snapshot::Snapshot;
use super::workers::Executor;

/// Where the base file stands in the store.
const BASE: &str = "auburnrouter/config/base";

/// Time between rounds.
const ROUND: Duration = Duration::from_millis(200);

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
    /// The platform's store.
    pub store: Arc<dyn store::Store>,
}

/// The state of a process, for reading.
#[derive(Debug, Serialize)]
pub struct Dump {
    name: Arc<str>,
    incarnation: String,
    version: u64,
    in_flight: usize,
    members: Vec<Arc<str>>,
    targets: Vec<Arc<str>>,
}

/// A way to ask the control thread.
#[derive(Clone)]
pub struct Handle {
    parts: Arc<Parts>,
    orders: async_channel::Sender<Order>,
}

enum Order {
    Met(SocketAddr),
    Leave,
    Stop,
}

impl Handle {
    /// Starts the control loop.
    pub fn start(parts: Parts, executor: &Executor) -> Self {
        let parts = Arc::new(parts);
        let (orders, inbox) = async_channel::unbounded();
        let world = world::World::new(Arc::clone(&parts.engine), Arc::clone(&parts.snapshot));
        let state = Control {
            parts: Arc::clone(&parts),
            world,
            revision: 0,
            known: parts.settings.seeds.clone(),
            state: view::State::Live,
        };
        executor.spawn(state.run(inbox)).detach();
        Self { parts, orders }
    }

    /// Says that this process is shutting down.
    pub fn leave(&self) {
        let _ = self.orders.try_send(Order::Leave);
    }

    /// Ends the control loop.
    pub fn stop(&self) {
        let _ = self.orders.try_send(Order::Stop);
    }

    /// What this process tells of itself.
    pub fn myself(&self) -> super::peers::Myself {
        let parts = Arc::clone(&self.parts);
        let orders = self.orders.clone();
        Arc::new(move |met| {
            let _ = orders.try_send(Order::Met(met));
            let state = if parts.snapshot.load().leaving {
                view::State::Leaving
            } else {
                view::State::Live
            };
            super::peers::spoken(&parts.member(state))
        })
    }

    /// The state of the process.
    pub fn dump(&self) -> Dump {
        let snapshot = self.parts.snapshot.load();
        let view = &snapshot.view;
        Dump {
            name: Arc::clone(&self.parts.settings.name),
            incarnation: self.parts.incarnation.to_string(),
            version: view.version.0,
            in_flight: self.parts.engine.in_flight(),
            members: view.members.values().map(|m| Arc::clone(&m.name)).collect(),
            targets: view.targets.values().map(|t| Arc::clone(&t.name)).collect(),
        }
    }
}

struct Control {
    parts: Arc<Parts>,
    world: world::World,
    revision: u64,
    known: Vec<SocketAddr>,
    state: view::State,
}

impl Control {
    async fn run(mut self, inbox: async_channel::Receiver<Order>) {
        loop {
            self.round().await;
            let order = async { inbox.recv().await.ok() };
            let pause = async {
                smol::Timer::after(ROUND).await;
                None
            };
            match future::or(order, pause).await {
                Some(Order::Stop) => return,
                Some(Order::Leave) => {
                    self.state = view::State::Leaving;
                    self.world.leave();
                    self.parts.engine.leave();
                }
                Some(Order::Met(addr)) => self.learn(addr),
                None => {}
            }
        }
    }

    async fn round(&mut self) {
        self.read_list().await;
        self.read_config().await;
        self.meet().await;
    }

    async fn read_list(&mut self) {
        let Ok(list) = self.parts.store.instances().await else {
            return;
        };
        for instance in &list.instances {
            if let wire::instance::Role::Entry { peer } = instance.role {
                self.learn(peer);
            }
        }
        let listed = list.instances.into_iter().map(world::listed);
        self.world.list(listed.collect());
    }

    fn learn(&mut self, peer: SocketAddr) {
        if peer != self.parts.addresses.peers && !self.known.contains(&peer) {
            self.known.push(peer);
        }
    }

    async fn read_config(&mut self) {
        let Ok(Some(entry)) = self.parts.store.get(BASE).await else {
            return;
        };
        if entry.revision <= self.revision {
            return;
        }
        if let Ok(plan) = intent::plan::Plan::parse(BASE, &entry.value) {
            self.revision = entry.revision;
            let version = view::Version(entry.revision);
            self.world.install(version, Arc::new(plan));
            log::info!("event=configuration version={version}");
        }
    }

    async fn meet(&mut self) {
        let mut members = vec![self.myself()];
        for addr in self.known.clone() {
            let Some(met) = self.parts.peers.meet(addr, self.myself()).await else {
                continue;
            };
            for member in met {
                self.learn(member.peer);
                if !members.iter().any(|m| m.incarnation == member.incarnation) {
                    members.push(member);
                }
            }
        }
        members.retain(|m| m.incarnation == self.parts.incarnation || m.state == view::State::Live);
        self.world.members(members);
    }

    fn myself(&self) -> instance::Member {
        self.parts.member(self.state)
    }
}

impl Parts {
    fn member(&self, state: view::State) -> instance::Member {
        instance::Member {
            name: Arc::clone(&self.settings.name),
            incarnation: self.incarnation,
            domain: Arc::clone(&self.settings.domain),
            addr: self.addresses.callers,
            peer: self.addresses.peers,
            state,
        }
    }
}

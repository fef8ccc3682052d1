//! The platform's key-value service and list of instances.
//!
//! Besides the protocol of the `wire` crate there are, uncounted:
//! `GET /stats` ([`Stats`]), `POST /fault` ([`fault::Fault`]) and
//! `PUT /instances` (`wire::instance::Instances`).

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::Sender;
use serde::{Deserialize, Serialize};
use wire::instance;

use crate::server::{Delay, Server};
use crate::table::Table;

mod calls;
pub mod fault;

/// How a store is started.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Where it listens; port 0 takes any free one.
    pub listen: SocketAddr,
    /// How far the list of instances lags.
    pub lag: Duration,
}

/// Calls counted since the start, a waiting watch as one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// All calls.
    pub calls: u64,
    /// `GET` of a key, a prefix or the list of instances.
    pub reads: u64,
    /// Waiting watches.
    pub watches: u64,
    /// Writes and deletes.
    pub writes: u64,
    /// Grants and renewals of leases.
    pub leases: u64,
}

struct Waiter {
    key: String,
    wake: Sender<()>,
}

struct Listed {
    from: Instant,
    list: instance::Instances,
}

#[derive(Default)]
struct State {
    table: Table,
    stats: Stats,
    fault: fault::Fault,
    waiters: Vec<Waiter>,
    listed: Vec<Listed>,
}

struct Shared {
    lag: Duration,
    state: Mutex<State>,
}

/// A running store.
pub struct Store {
    server: Server,
    shared: Arc<Shared>,
}

impl Store {
    /// Starts a store.
    ///
    /// # Errors
    /// The address can't be listened on.
    pub fn start(config: Config) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            lag: config.lag,
            state: Mutex::default(),
        });
        let handler = calls::handler(Arc::clone(&shared));
        let server = Server::start(config.listen, Delay(Duration::ZERO), handler)?;
        Ok(Self { server, shared })
    }

    /// Where it listens.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Switches a fault on; [`fault::Fault::None`] heals.
    pub fn fault(&self, fault: fault::Fault) {
        self.shared.lock().fault = fault;
    }

    /// Replaces the list of instances.
    pub fn list(&self, list: instance::Instances) {
        self.shared.list(list);
    }

    /// Calls counted so far.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.shared.lock().stats
    }

    /// Stops listening at once.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn list(&self, list: instance::Instances) {
        let from = Instant::now();
        self.lock().listed.push(Listed { from, list });
    }

    /// The newest list that is old enough to be seen.
    fn listed(&self, now: Instant) -> instance::Instances {
        let mut state = self.lock();
        let seen = |listed: &Listed| listed.from + self.lag <= now;
        let count = state.listed.partition_point(seen);
        if count == 0 {
            return instance::Instances::default();
        }
        state.listed.drain(..count - 1);
        state.listed[0].list.clone()
    }
}

impl State {
    fn wake(&mut self, key: &str) {
        if self.fault != fault::Fault::MissedEvents {
            self.waiters.retain(|waiter| waiter.key != key);
        }
    }
}

//! A target: runs requests of one service in a few slots.
//!
//! Besides the protocol of the `wire` crate there are `GET /executed`
//! ([`ledger::Executed`], `?key=` for one key) and `POST /fault`
//! ([`fault::Fault`]). A request's body is echoed in an [`Echo`]; `?bytes=N`
//! pads the answer.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use serde::{Deserialize, Serialize};
use smol::lock::Semaphore;
use wire::instance;

use crate::server::{Delay, Server};

mod calls;
pub mod fault;
pub mod ledger;
mod work;

/// How a target is started.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where it listens; port 0 takes any free one.
    pub listen: SocketAddr,
    /// Name, unique among instances.
    pub name: String,
    /// Name of the service it runs.
    pub service: String,
    /// Name of its site.
    pub site: String,
    /// Name of its failure domain.
    pub domain: String,
    /// Requests it runs at a time.
    pub slots: u32,
    /// Requests that may wait for a slot.
    pub queue: u32,
    /// Time a request takes.
    pub work: Duration,
    /// Time to open a connection.
    pub connect: Duration,
    /// Time to answer a health probe.
    pub probe: Duration,
    /// Time from the start for which it is cold.
    pub cold: Duration,
    /// Time a request takes longer while cold.
    pub cold_work: Duration,
    /// File to which each run is added before its first effect, a line of
    /// JSON each; it outlives the process.
    pub ledger: Option<PathBuf>,
    /// A request whose body contains this crashes the target.
    pub crash: Option<String>,
    /// Time it is away after a crash, if embedded; a process just ends.
    pub away: Duration,
    /// Whether a crash ends the whole process.
    pub process: bool,
}

impl Config {
    /// A target as the brief describes them, on any free port of loopback.
    #[must_use]
    pub fn new(name: &str, service: &str, site: &str, domain: &str) -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            name: name.to_owned(),
            service: service.to_owned(),
            site: site.to_owned(),
            domain: domain.to_owned(),
            slots: 3,
            queue: 3,
            work: Duration::from_millis(2),
            connect: Duration::from_millis(1),
            probe: Duration::ZERO,
            cold: Duration::ZERO,
            cold_work: Duration::ZERO,
            ledger: None,
            crash: None,
            away: Duration::from_secs(1),
            process: false,
        }
    }
}

/// The body of a target's answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Name of the target.
    pub target: String,
    /// The attempt it ran.
    pub attempt: Option<String>,
    /// HTTP method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// The body it got.
    pub body: String,
    /// Filler as asked for by `?bytes=N`.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub pad: String,
}

/// An attempt that can be cancelled: dropping `stop` stops it.
struct Attempt {
    name: String,
    stop: Sender<()>,
}

struct Shared {
    config: Config,
    started: Instant,
    slots: Semaphore,
    running: AtomicU32,
    waiting: AtomicU32,
    faults: Mutex<fault::Faults>,
    executed: Mutex<ledger::Executed>,
    attempts: Mutex<Vec<Attempt>>,
    loads: Mutex<Vec<(Instant, u32)>>,
    crash: Sender<()>,
    alive: Mutex<(Sender<()>, Receiver<()>)>,
}

/// A running target.
pub struct Target {
    addr: SocketAddr,
    shared: Arc<Shared>,
    stop: Sender<()>,
    keeper: smol::Task<()>,
}

impl Target {
    /// Starts a target.
    ///
    /// # Errors
    /// The address can't be listened on.
    pub fn start(config: Config) -> io::Result<Self> {
        let (crash, crashed) = async_channel::unbounded();
        let (stop, stopped) = async_channel::bounded(1);
        let delay = Delay(config.connect);
        let shared = Arc::new(Shared {
            started: Instant::now(),
            slots: Semaphore::new(config.slots as usize),
            running: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            faults: Mutex::default(),
            executed: Mutex::default(),
            attempts: Mutex::default(),
            loads: Mutex::default(),
            crash,
            alive: Mutex::new(async_channel::bounded(1)),
            config,
        });
        let handler = calls::handler(Arc::clone(&shared));
        let server = Server::start(shared.config.listen, delay, handler)?;
        let addr = server.addr();
        let keeper = smol::spawn(keep(server, Arc::clone(&shared), crashed, stopped));
        Ok(Self {
            addr,
            shared,
            stop,
            keeper,
        })
    }

    /// Where it listens.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Its line in the platform's list of instances.
    #[must_use]
    pub fn instance(&self) -> instance::Instance {
        let config = &self.shared.config;
        let drains = lock(&self.shared.faults).drain().is_some();
        instance::Instance {
            name: config.name.clone(),
            domain: config.domain.clone(),
            state: if drains {
                instance::State::Leaving
            } else {
                instance::State::Live
            },
            role: instance::Role::Target {
                addr: self.addr,
                service: config.service.clone(),
                site: config.site.clone(),
                slots: config.slots,
            },
        }
    }

    /// Switches a fault on; [`fault::Fault::None`] heals.
    pub fn fault(&self, fault: fault::Fault) {
        lock(&self.shared.faults).switch(fault);
    }

    /// What it ran so far.
    #[must_use]
    pub fn executed(&self) -> ledger::Executed {
        lock(&self.shared.executed).clone()
    }

    /// Requests running now.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.shared.running.load(Ordering::Relaxed)
    }

    /// Stops listening at once.
    pub async fn stop(self) {
        drop(self.stop);
        self.keeper.await;
    }
}

/// Restarts the server after a crash, until told to stop.
async fn keep(
    mut server: Server,
    shared: Arc<Shared>,
    crashed: Receiver<()>,
    stopped: Receiver<()>,
) {
    use smol::future::FutureExt;
    let addr = server.addr();
    loop {
        let crash = async { crashed.recv().await.is_ok() };
        let stop = async {
            let _ = stopped.recv().await;
            false
        };
        let restart = crash.or(stop).await;
        server.stop().await;
        if !restart {
            return;
        }
        smol::Timer::after(shared.config.away).await;
        // Another process may have taken the port meanwhile: stay away then.
        let handler = calls::handler(Arc::clone(&shared));
        match Server::start(addr, Delay(shared.config.connect), handler) {
            Ok(next) => server = next,
            Err(error) => return log::error!("target stays away: {error}"),
        }
    }
}

impl Shared {
    fn load(&self) -> u32 {
        self.running.load(Ordering::Relaxed) + self.waiting.load(Ordering::Relaxed)
    }

    /// Takes down all requests in flight and the listener.
    fn crash(&self) {
        // Dropping the old channel ends whoever waits in `crashed`.
        *lock(&self.alive) = async_channel::bounded(1);
        let _ = self.crash.try_send(());
    }

    /// Ends at the next crash.
    async fn crashed(&self) {
        let alive = lock(&self.alive).1.clone();
        let _ = alive.recv().await;
    }

    fn is_cold(&self) -> bool {
        self.started.elapsed() < self.config.cold
    }

    /// Load and state as the target tells them.
    fn claim(&self) -> (u32, instance::State) {
        let faults = lock(&self.faults);
        let lie = faults.find(|f| match f {
            fault::Fault::Lie { load, state } => Some((*load, *state)),
            _ => None,
        });
        let state = match faults.drain() {
            Some(_) => instance::State::Leaving,
            None => instance::State::Live,
        };
        lie.unwrap_or_else(|| (self.load(), state))
    }

    /// Notes the load, for probes that lag.
    fn note(&self) {
        let now = Instant::now();
        let mut loads = lock(&self.loads);
        loads.push((now, self.load()));
        let old = loads.partition_point(|(at, _)| now.duration_since(*at) > LOADS_KEPT);
        loads.drain(..old);
    }

    /// The load that was true `ago`.
    fn load_before(&self, ago: Duration) -> u32 {
        let Some(then) = Instant::now().checked_sub(ago) else {
            return 0;
        };
        let loads = lock(&self.loads);
        let after = loads.partition_point(|(at, _)| *at <= then);
        after.checked_sub(1).map_or(0, |i| loads[i].1)
    }
}

/// Time for which past loads are kept.
const LOADS_KEPT: Duration = Duration::from_secs(30);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

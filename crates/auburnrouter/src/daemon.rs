//! The entry instance: listeners, traffic threads, one control thread.
//!
//! Life cycle, by type: [`Bound`] has its sockets and secret, [`Running`]
//! serves, and [`Running::stop`] consumes it, so that nothing can be asked of
//! a daemon that has stopped.
//!
//! Invariant: whatever is started here has ended when [`Running::stop`]
//! returns, and no request in flight was cut by it, unless it outlived the
//! longest deadline.

mod accept;
mod callers;
mod control;
mod engine;
pub(crate) mod guarded;
mod inbound;
mod metrics;
mod operators;
mod outbound;
pub(crate) mod peers;
mod reply;
mod snapshot;
mod workers;

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

pub use self::control::{
    Answer as ChangeAnswer, Change, File, Result as ChangeResult, Status, StatusEntry,
};

use arc_swap::ArcSwap;
use futures_lite::future;
use serde::Serialize;
use settings::{Settings, limits, secret};
use smol::net;
use steer::process::dispatch::tuning;
use steer::process::{dispatch, gate, traffic};
use steer::version::view;
use thiserror::Error;
use trillium_http::Stopper;

/// Why a daemon can't start.
#[derive(Debug, Error)]
pub enum Error {
    /// The secret's file can't be read.
    #[error("can't read secret file {0}: {1}; create it, readable by its owner only")]
    SecretFile(String, io::Error),
    /// The secret is unfit.
    #[error("secret: {0}")]
    Secret(#[from] secret::Error),
    /// An address can't be listened on.
    #[error("can't listen on {0}: {1}; name a free address of this instance under `listen`")]
    Listen(SocketAddr, io::Error),
    /// A thread can't be started.
    #[error("can't start a thread: {0}; raise the limit on threads")]
    Thread(io::Error),
    /// Metrics can't be set up.
    #[error(transparent)]
    Metrics(#[from] metrics::Error),
}

/// Longest time a stop waits for requests in flight beyond their deadlines.
const STOP_GRACE: Duration = Duration::from_secs(5);

/// Time between looks at what a stop waits for.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Time for which a leaving instance still serves, so that callers who hold an
/// old look-up's answer aren't refused. Longer than an answer's lifetime.
const LEAVE_DURATION: Duration = Duration::from_millis(2500);

/// Where a daemon listens.
#[derive(Clone, Debug, Serialize)]
pub struct Addresses {
    /// The entry instance's name.
    pub name: Arc<str>,
    /// Callers' listener.
    pub callers: SocketAddr,
    /// Peers' listener.
    pub peers: SocketAddr,
    /// Operators' listener.
    pub operators: SocketAddr,
}

/// A daemon whose sockets are open and whose secret is read.
pub struct Bound {
    settings: Settings,
    secret: secret::Secret,
    callers: net::TcpListener,
    peers: net::TcpListener,
    operators: net::TcpListener,
    addresses: Addresses,
}

/// A daemon that serves.
pub struct Running {
    addresses: Addresses,
    deadline_max: Duration,
    engine: Arc<engine::Engine>,
    control: control::Handle,
    snapshot: Arc<ArcSwap<snapshot::Snapshot>>,
    open_connections: Arc<AtomicUsize>,
    accept_stopper: Stopper,
    service_stopper: Stopper,
    traffic: workers::Workers,
    control_workers: workers::Workers,
}

impl Bound {
    /// Reads the secret and opens the sockets. `file` is the settings file,
    /// whose mode is checked if the secret stands in it.
    ///
    /// # Errors
    /// If the secret or an address can't be had.
    pub fn new(settings: Settings, file: Option<&Path>) -> Result<Self, Error> {
        let secret = read_secret(&settings.secret, file)?;
        let callers = listen(settings.listen.callers)?;
        let peers = listen(settings.listen.peers)?;
        let operators = listen(settings.listen.operators)?;
        let addresses = Addresses {
            name: Arc::clone(&settings.name),
            callers: local(&callers, settings.listen.callers)?,
            peers: local(&peers, settings.listen.peers)?,
            operators: local(&operators, settings.listen.operators)?,
        };
        Ok(Self {
            settings,
            secret,
            callers,
            peers,
            operators,
            addresses,
        })
    }

    /// Starts to serve.
    ///
    /// # Errors
    /// If threads or metrics can't be set up.
    pub fn start(self) -> Result<Running, Error> {
        let limits = self.settings.limits;
        let traffic = workers::Workers::start(limits.threads()).map_err(Error::Thread)?;
        let control_workers = workers::Workers::start(1).map_err(Error::Thread)?;
        let core = self.core(&traffic, &control_workers)?;
        let accept_stopper = Stopper::new();
        let service_stopper = Stopper::new();
        let open_connections = core.serve_callers(self.callers, &limits, &traffic, &accept_stopper);
        let service = peers::Service {
            secret: self.secret.clone(),
            engine: Arc::clone(&core.engine),
            control: core.control.clone(),
            traffic_executor: Arc::clone(traffic.executor()),
            control_executor: Arc::clone(control_workers.executor()),
        };
        let serve_peers = peers::serve(self.peers, service, service_stopper.clone());
        control_workers.executor().spawn(serve_peers).detach();
        core.serve_operators(
            self.operators,
            self.secret,
            &limits,
            &control_workers,
            &service_stopper,
        );
        let ticks = tick(Arc::clone(&core.engine), service_stopper.clone());
        traffic.executor().spawn(ticks).detach();
        log::info!(
            "event=started name={} callers={}",
            self.addresses.name,
            self.addresses.callers
        );
        Ok(Running {
            addresses: self.addresses,
            deadline_max: limits.request_time(),
            engine: core.engine,
            control: core.control,
            snapshot: core.snapshot,
            open_connections,
            accept_stopper,
            service_stopper,
            traffic,
            control_workers,
        })
    }

    fn core(
        &self,
        traffic: &workers::Workers,
        control_workers: &workers::Workers,
    ) -> Result<Core, Error> {
        let settings = &self.settings;
        let metrics = Arc::new(metrics::Metrics::new()?);
        let snapshot = Arc::new(ArcSwap::from_pointee(snapshot::Snapshot::default()));
        let last_run = Arc::new(snapshot::LastRun::default());
        let incarnation = view::Incarnation(fastrand::u64(1..));
        let executor = Arc::clone(traffic.executor());
        let store = store::http::Config::new(settings.store.clone());
        let store = store::http::Client::new(store, Arc::clone(&executor), fastrand::Rng::new());
        let store: Arc<dyn store::Store> = Arc::new(store);
        let identity = dispatch::Identity {
            name: Arc::clone(&settings.name),
            domain: Arc::clone(&settings.domain),
        };
        let limits = gate::Limits::default();
        let tuning = tuning(&settings.limits);
        let rng = fastrand::Rng::new();
        let decisions =
            traffic::Traffic::with_tuning(identity.clone(), incarnation, limits, tuning, rng);
        let idle = settings.limits.target_connections();
        let resources = engine::Resources {
            executor: Arc::clone(&executor),
            outbound: outbound::Outbound::new(Arc::clone(&executor), idle),
            peers: self.peer_calls(executor, peers::Lane::Traffic),
            store: Arc::clone(&store),
        };
        let engine = engine::Engine::new(decisions, identity, incarnation, resources);
        let context = control::Context {
            settings: settings.clone(),
            addresses: self.addresses.clone(),
            incarnation,
            engine: Arc::clone(&engine),
            peers: self.peer_calls(Arc::clone(control_workers.executor()), peers::Lane::Control),
            snapshot: Arc::clone(&snapshot),
            last_run: Arc::clone(&last_run),
            metrics: Arc::clone(&metrics),
            store,
        };
        Ok(Core {
            engine,
            control: control::Handle::start(context, control_workers.executor()),
            snapshot,
            last_run,
            metrics,
        })
    }

    fn peer_calls(&self, executor: workers::Executor, lane: peers::Lane) -> Arc<peers::Peers> {
        Arc::new(peers::Peers::new(executor, self.secret.clone(), lane))
    }
}

/// What the listeners share.
struct Core {
    engine: Arc<engine::Engine>,
    control: control::Handle,
    snapshot: Arc<ArcSwap<snapshot::Snapshot>>,
    last_run: Arc<snapshot::LastRun>,
    metrics: Arc<metrics::Metrics>,
}

impl Core {
    /// Gives the count of callers' open connections.
    fn serve_callers(
        &self,
        socket: net::TcpListener,
        limits: &limits::Limits,
        traffic: &workers::Workers,
        accept_stopper: &Stopper,
    ) -> Arc<AtomicUsize> {
        let callers = Arc::new(callers::Callers {
            snapshot: Arc::clone(&self.snapshot),
            last_run: Arc::clone(&self.last_run),
            engine: Arc::clone(&self.engine),
            metrics: Arc::clone(&self.metrics),
            deadline_max: limits.request_time(),
        });
        let bounds = accept::Limits {
            bounds: bounds(limits),
            head_bytes: limits.head_bytes(),
            body_bytes: limits.body_bytes() as u64,
            connections: limits.connections(),
        };
        let executor = Arc::clone(traffic.executor());
        let listener = accept::Listener::new(bounds, executor, accept_stopper.clone());
        let open = listener.count();
        let answer = move |conn, peer| callers::Callers::handle(Arc::clone(&callers), conn, peer);
        let run = listener.run(socket, answer);
        traffic.executor().spawn(run).detach();
        open
    }

    fn serve_operators(
        &self,
        socket: net::TcpListener,
        secret: secret::Secret,
        limits: &limits::Limits,
        control_workers: &workers::Workers,
        service_stopper: &Stopper,
    ) {
        let operators = Arc::new(operators::Operators {
            secret,
            control: self.control.clone(),
            engine: Arc::clone(&self.engine),
            metrics: Arc::clone(&self.metrics),
        });
        let bounds = operators::limits(bounds(limits));
        let executor = Arc::clone(control_workers.executor());
        let listener = accept::Listener::new(bounds, executor, service_stopper.clone());
        let answer = move |conn, _| operators::Operators::handle(Arc::clone(&operators), conn);
        let run = listener.run(socket, answer);
        control_workers.executor().spawn(run).detach();
    }
}

/// The dispatcher bounds a caller by its share of the instance.
fn tuning(limits: &limits::Limits) -> tuning::Tuning {
    let all = limits.in_flight() + limits.queue();
    let caller = limits.caller_in_flight() * 100 / all.max(1);
    let bounds = tuning::Limits {
        in_flight: limits.in_flight(),
        queue: limits.queue(),
        caller_percent: caller.clamp(1, 100),
        wait_max: limits.wait(),
        ..tuning::Limits::default()
    };
    tuning::Tuning {
        limits: bounds,
        ..tuning::Tuning::default()
    }
}

fn bounds(limits: &limits::Limits) -> guarded::Bounds {
    guarded::Bounds {
        transfer_time: limits.request_time(),
        idle_time: limits.idle_time(),
        unanswered_max: limits.head_bytes() + 2 * limits.body_bytes(),
    }
}

impl Running {
    /// Where the daemon listens.
    #[must_use]
    pub const fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Whether look-ups are answered.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.snapshot.load().ready
    }

    /// Version in force; 0 if there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.control.version()
    }

    /// Entry instances believed alive, this one included.
    #[must_use]
    pub fn members(&self) -> usize {
        self.snapshot.load().view.members.len()
    }

    /// Bytes and messages of control sent to peers so far, without framing.
    #[must_use]
    pub fn peer_traffic(&self) -> (u64, u64) {
        self.control.peer_traffic()
    }

    /// Waits until a newer process has taken the name over: then this one is to
    /// finish what it has and stop.
    pub async fn replaced(&self) {
        self.control.replaced().await;
    }

    /// Shuts down gracefully: leaves the look-ups' answers, tells the peers,
    /// serves on for as long as callers may hold an old answer, finishes what
    /// is in flight, and joins every thread.
    pub fn stop(self) {
        log::info!("event=leaving name={}", self.addresses.name);
        self.control.leave();
        let stop_until = Instant::now() + LEAVE_DURATION + self.deadline_max + STOP_GRACE;
        let leave_until = Instant::now() + LEAVE_DURATION;
        while Instant::now() < leave_until {
            std::thread::sleep(STOP_POLL_INTERVAL);
        }
        self.accept_stopper.stop();
        while self.is_busy() && Instant::now() < stop_until {
            std::thread::sleep(STOP_POLL_INTERVAL);
        }
        let cut_requests = self.engine.in_flight();
        self.service_stopper.stop();
        self.control.stop();
        self.traffic.join();
        self.control_workers.join();
        log::info!(
            "event=stopped name={} cut={cut_requests}",
            self.addresses.name
        );
    }

    fn is_busy(&self) -> bool {
        !self.engine.is_drained() || self.open_connections.load(Ordering::Relaxed) > 0
    }
}

/// Time between ticks while nothing is in flight. Ticks that wake an idle
/// process a hundred times a second take a whole percent of a core.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(100);

async fn tick(engine: Arc<engine::Engine>, stopper: Stopper) {
    while !stopper.is_stopped() {
        if engine.is_drained() {
            let rest = async {
                smol::Timer::after(IDLE_TICK_INTERVAL).await;
            };
            future::or(engine.arrival(), rest).await;
        } else {
            smol::Timer::after(dispatch::TICK).await;
        }
        engine.tick();
    }
}

fn read_secret(source: &secret::Source, file: Option<&Path>) -> Result<secret::Secret, Error> {
    match source {
        secret::Source::Inline(secret) => {
            if let Some(file) = file {
                check_mode(file)?;
            }
            Ok(secret.clone())
        }
        secret::Source::File(path) => {
            check_mode(path)?;
            let text = fs::read_to_string(path).map_err(|e| unreadable(path, e))?;
            Ok(secret::Secret::new(&text)?)
        }
    }
}

fn check_mode(path: &Path) -> Result<(), Error> {
    let data = fs::metadata(path).map_err(|e| unreadable(path, e))?;
    match secret::mode_fault(data.permissions().mode()) {
        Some(fault) => Err(fault.into()),
        None => Ok(()),
    }
}

fn unreadable(path: &Path, error: io::Error) -> Error {
    Error::SecretFile(path.display().to_string(), error)
}

fn listen(addr: SocketAddr) -> Result<net::TcpListener, Error> {
    smol::block_on(net::TcpListener::bind(addr)).map_err(|e| Error::Listen(addr, e))
}

fn local(socket: &net::TcpListener, addr: SocketAddr) -> Result<SocketAddr, Error> {
    socket.local_addr().map_err(|e| Error::Listen(addr, e))
}

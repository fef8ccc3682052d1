//! The entry instance: three listeners, traffic threads and one control thread.
//!
//! The type encodes the state: [`Bound`] holds open sockets and the secret,
//! [`Running`] serves, and [`Running::stop`] consumes it, so that a stopped
//! daemon can't be called.
//!
//! Invariant: every thread and listener started here has ended when
//! [`Running::stop`] returns, and it interrupts a request in flight only if the
//! request outlives the longest deadline and the grace period after it.

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

/// An error that keeps a daemon from starting.
#[derive(Debug, Error)]
pub enum Error {
    /// The secret file can't be read.
    #[error("can't read secret file {0}: {1}; create it, readable by its owner only")]
    SecretFile(String, io::Error),
    /// The secret is invalid, or others may read its file.
    #[error("secret: {0}")]
    Secret(#[from] secret::Error),
    /// Binding a listener's address failed.
    #[error("can't listen on {0}: {1}; name a free address of this instance under `listen`")]
    Listen(SocketAddr, io::Error),
    /// The platform did not start a thread.
    #[error("can't start a thread: {0}; raise the limit on threads")]
    Thread(io::Error),
    /// The metrics can't be registered.
    #[error(transparent)]
    Metrics(#[from] metrics::Error),
}

/// Time that a stop waits for requests in flight beyond the longest deadline.
const STOP_GRACE: Duration = Duration::from_secs(5);

/// Interval at which a stop polls for requests and connections still open.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Time for which a leaving instance still accepts connections, so that callers
/// with an unexpired look-up answer aren't rejected. It exceeds the lifetime of
/// such an answer.
const LEAVE_DURATION: Duration = Duration::from_millis(2500);

/// Addresses on which a daemon listens.
#[derive(Clone, Debug, Serialize)]
pub struct Addresses {
    /// The entry instance's name.
    pub name: Arc<str>,
    /// Listener for callers' requests and look-ups.
    pub callers: SocketAddr,
    /// Listener for other entry instances.
    pub peers: SocketAddr,
    /// Listener for operators' calls.
    pub operators: SocketAddr,
}

/// A daemon with open sockets and a loaded secret that does not serve yet.
pub struct Bound {
    settings: Settings,
    secret: secret::Secret,
    callers: net::TcpListener,
    peers: net::TcpListener,
    operators: net::TcpListener,
    addresses: Addresses,
}

/// A serving daemon.
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
    /// Reads the secret and opens the sockets. `file` is the settings file; its
    /// mode is checked if it contains the secret.
    ///
    /// # Errors
    /// If the secret can't be read or is invalid, or if binding an address fails.
    pub fn new(settings: Settings, file: Option<&Path>) -> Result<Self, Error> {
        let secret = read_secret(&settings.secret, file)?;
        let callers = listen(settings.listen.callers)?;
        let peers = listen(settings.listen.peers)?;
        let operators = listen(settings.listen.operators)?;
        let addresses = Addresses {
            name: Arc::clone(&settings.name),
            callers: local_addr(&callers, settings.listen.callers)?,
            peers: local_addr(&peers, settings.listen.peers)?,
            operators: local_addr(&operators, settings.listen.operators)?,
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

    /// Starts the threads and all listeners.
    ///
    /// # Errors
    /// If a thread can't be started or the metrics can't be registered.
    pub fn start(self) -> Result<Running, Error> {
        let limits = self.settings.limits;
        let traffic = workers::Workers::start(limits.threads()).map_err(Error::Thread)?;
        let control_workers = workers::Workers::start(1).map_err(Error::Thread)?;
        let core = self.build_core(&traffic, &control_workers)?;
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

    fn build_core(
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
            peers: self.peer_calls(executor, peers::ConnectionKind::Traffic),
            store: Arc::clone(&store),
        };
        let engine = engine::Engine::new(decisions, identity, incarnation, resources);
        let context = control::Context {
            settings: settings.clone(),
            addresses: self.addresses.clone(),
            incarnation,
            engine: Arc::clone(&engine),
            peers: self.peer_calls(
                Arc::clone(control_workers.executor()),
                peers::ConnectionKind::Control,
            ),
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

    fn peer_calls(
        &self,
        executor: workers::Executor,
        kind: peers::ConnectionKind,
    ) -> Arc<peers::Peers> {
        Arc::new(peers::Peers::new(executor, self.secret.clone(), kind))
    }
}

/// State shared by the listeners.
struct Core {
    engine: Arc<engine::Engine>,
    control: control::Handle,
    snapshot: Arc<ArcSwap<snapshot::Snapshot>>,
    last_run: Arc<snapshot::LastRun>,
    metrics: Arc<metrics::Metrics>,
}

impl Core {
    /// Starts the callers' listener; returns the number of its open connections.
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

/// Converts the settings' limits. The dispatcher bounds each caller's requests by a
/// percentage of all requests in flight or queued, so the count is converted.
fn tuning(limits: &limits::Limits) -> tuning::Tuning {
    let all = limits.in_flight() + limits.queue();
    let caller = limits.caller_in_flight() * 100 / all.max(1);
    let bounds = tuning::Limits {
        in_flight: limits.in_flight(),
        queue: limits.queue(),
        caller_percent: caller.clamp(1, 100),
        wait_max: limits.wait_max(),
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
    /// Addresses on which the daemon listens.
    #[must_use]
    pub const fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Returns true if look-ups are answered.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.snapshot.load().ready
    }

    /// Configuration version in force; 0 before the first.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.control.version()
    }

    /// Number of entry instances in the view in force, this one included.
    #[must_use]
    pub fn members(&self) -> usize {
        self.snapshot.load().view.members.len()
    }

    /// Control bytes and messages sent to peers so far; framing is not counted.
    #[must_use]
    pub fn peer_traffic(&self) -> (u64, u64) {
        self.control.peer_traffic()
    }

    /// Waits until a newer process runs under this instance's name. This process
    /// must then finish its requests and stop.
    pub async fn replaced(&self) {
        self.control.replaced().await;
    }

    /// Shuts down gracefully: announces to the peers that the instance is leaving,
    /// which removes it from look-up answers, serves until earlier answers have
    /// expired, finishes the requests in flight, and joins every thread.
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

/// Interval between ticks while nothing is in flight. Waking an idle process a
/// hundred times a second takes a full percent of a core.
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

fn local_addr(socket: &net::TcpListener, addr: SocketAddr) -> Result<SocketAddr, Error> {
    socket.local_addr().map_err(|e| Error::Listen(addr, e))
}

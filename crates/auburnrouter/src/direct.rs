//! The entry instance on the users' platform: threads, listeners, signals.
//!
//! One thread runs control (the store, peers, the directory), one runs traffic.
//! Both share [`Shared`]; its lock is held for single decisions only.
//!
//! Invariant: every thread started here is joined before [`run`] returns.

mod attempt;
mod callers;
mod connection;
mod date;
mod dump;
mod events;
mod heartbeat;
mod listeners;
mod member;
mod metrics;
mod peer;
mod queries;
mod server;
mod shared;
mod socket;
mod source;

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use async_signal::{Signal, Signals};
use futures_lite::{StreamExt, future};
use listeners::Listeners;
use settings::direct::{Listen, Settings};
use shared::{Phase, Shared, lock};
use smol::net;
use steer::process::direct::TICK;
use thiserror::Error;

/// Why an instance doesn't start.
#[derive(Debug, Error)]
pub enum Failure {
    /// An address can't be listened on.
    #[error("can't listen on {0}: {1}; give this instance an address of its own")]
    Listen(std::net::SocketAddr, io::Error),
    /// The system refuses a thread or signals.
    #[error("the system refuses what the process needs: {0}")]
    System(#[from] io::Error),
    /// The metrics clash.
    #[error(transparent)]
    Metrics(#[from] metrics::Error),
}

/// Where tasks are spawned.
type Executor = Arc<smol::Executor<'static>>;

/// Runs an instance until SIGTERM or SIGINT.
///
/// # Errors
/// If it can't start.
pub fn run(settings: Settings, file: &Path) -> Result<(), Failure> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    let instance = Instance::bind(settings)?;
    let shared = Arc::clone(&instance.shared);
    instance.run(async move { until_stopped(&mut signals, &shared, file).await })
}

/// An instance that listens and doesn't answer yet.
pub struct Instance {
    shared: Arc<Shared>,
    listeners: Listeners,
    traffic: Executor,
    control: Executor,
    waits: async_channel::Receiver<()>,
}

impl Instance {
    /// Listens on the addresses of the settings.
    ///
    /// # Errors
    /// If it can't.
    pub fn bind(settings: Settings) -> Result<Self, Failure> {
        let listeners = Listeners::bind(&settings)?;
        let given = settings.clone();
        let settings = Settings {
            listen: listeners.addresses()?,
            ..settings
        };
        let traffic: Executor = Arc::new(smol::Executor::new());
        let control: Executor = Arc::new(smol::Executor::new());
        let (waiting, waits) = async_channel::bounded(1);
        let shared = Shared::new(settings, given, waiting, &traffic, &control)?;
        Ok(Self {
            shared: Arc::new(shared),
            listeners,
            traffic,
            control,
            waits,
        })
    }

    /// Where it listens.
    #[must_use]
    pub fn listen(&self) -> Listen {
        self.shared.settings.listen
    }

    /// Serves until `stop` ends, then shuts down gracefully. Control runs on
    /// the calling thread.
    ///
    /// # Errors
    /// If the system refuses a thread.
    pub fn run(self, stop: impl Future<Output = ()>) -> Result<(), Failure> {
        let Self {
            shared,
            listeners,
            traffic,
            control,
            waits,
        } = self;
        events::started(&shared);
        let membership = Arc::new(member::Membership::new(Arc::clone(&shared)));
        spawn_traffic(&shared, &traffic, waits, listeners.callers.clone());
        spawn_control(&shared, &control, &listeners, &membership);
        let (end, ended) = async_channel::bounded::<()>(1);
        let thread = thread::Builder::new()
            .name("traffic".into())
            .spawn(move || {
                // An error means that `end` was dropped: the end was asked for.
                let _ = smol::block_on(traffic.run(ended.recv()));
            })?;
        smol::block_on(control.run(async {
            stop.await;
            let told = Instant::now();
            *lock(&shared.phase) = Phase::Leaving;
            let last = server::shutdown_timeout(&shared.settings);
            shared.update(|now, direct| direct.stop(now + last));
            events::stopping(&shared);
            heartbeat::farewell(&shared, &listeners.heartbeats).await;
            // The store may be silent, and the grace time runs.
            let leave = async {
                membership.leave().await;
                future::pending::<()>().await;
            };
            future::or(server::drain(&shared, told), leave).await;
        }));
        drop(end);
        let joined = thread.join();
        events::stopped(&shared);
        if joined.is_err() {
            log::error!("{{\"event\":\"thread-panicked\",\"thread\":\"traffic\"}}");
        }
        Ok(())
    }
}

/// What runs beside control and must not wait for it.
fn spawn_traffic(
    shared: &Arc<Shared>,
    traffic: &Executor,
    waits: async_channel::Receiver<()>,
    socket: net::TcpListener,
) {
    traffic.spawn(tick(Arc::clone(shared), waits)).detach();
    traffic.spawn(upkeep(Arc::clone(shared))).detach();
    traffic
        .spawn(callers::serve(
            Arc::clone(shared),
            socket,
            Arc::clone(traffic),
        ))
        .detach();
}

/// The store, the other instances, and whoever asks about this one.
fn spawn_control(
    shared: &Arc<Shared>,
    control: &Executor,
    listeners: &Listeners,
    membership: &Arc<member::Membership>,
) {
    let sockets = [&listeners.ready, &listeners.directory, &listeners.operators];
    for socket in sockets {
        let serve = queries::serve(Arc::clone(shared), socket.clone(), Arc::clone(control));
        control.spawn(serve).detach();
    }
    let beats = &listeners.heartbeats;
    control
        .spawn(source::follow(Arc::clone(shared), Arc::clone(control)))
        .detach();
    control.spawn(Arc::clone(membership).keep()).detach();
    control
        .spawn(heartbeat::hear(Arc::clone(shared), beats.clone()))
        .detach();
    control
        .spawn(heartbeat::beat(Arc::clone(shared), beats.clone()))
        .detach();
    control
        .spawn(heartbeat::report(Arc::clone(shared), beats.clone()))
        .detach();
    control
        .spawn(peer::serve(
            Arc::clone(shared),
            listeners.peers.clone(),
            Arc::clone(control),
        ))
        .detach();
    control
        .spawn(source::catch_up(Arc::clone(shared), Arc::clone(control)))
        .detach();
}

async fn until_stopped(signals: &mut Signals, shared: &Shared, file: &Path) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => events::reloaded(shared, file),
            _ => return,
        }
    }
}

/// Steps while something waits: an estimate of load fades without an event.
async fn tick(shared: Arc<Shared>, waits: async_channel::Receiver<()>) {
    while waits.recv().await.is_ok() {
        smol::Timer::after(TICK).await;
        shared.decide(|_, _| ());
    }
}

/// Time between looks at idle connections.
const UPKEEP: Duration = Duration::from_millis(200);

async fn upkeep(shared: Arc<Shared>) {
    loop {
        smol::Timer::after(UPKEEP).await;
        shared.target_pool.upkeep();
        let dropped = shared.decide(|now, direct| direct.sweep(now));
        for id in dropped {
            events::target_gone(&shared, &id);
        }
    }
}

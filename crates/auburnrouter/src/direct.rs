//! An instance on the users' platform: its threads, listeners and signals.
//!
//! The control thread talks to the store and the other instances and answers
//! directory and operator requests; the traffic thread serves callers. Both use
//! [`Shared`], whose steering lock is held for one decision at a time.
//!
//! Invariant: the traffic thread is joined before [`run`] returns.

mod attempt;
mod caller_rate;
mod callers;
mod connection;
mod date;
mod dump;
mod events;
mod feedback;
mod heartbeat;
mod listeners;
mod member;
mod memory;
mod metrics;
mod peer;
mod probe;
mod queries;
mod regions;
mod relay;
mod server;
mod shared;
mod socket;
mod source;
mod target_loads;
mod verdict;

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
use steer::process::direct::STEP_INTERVAL_MAX;
use thiserror::Error;

/// An error that keeps an instance from starting.
#[derive(Debug, Error)]
pub enum Failure {
    /// A configured address cannot be bound.
    #[error("cannot listen on {0}: {1}; each instance needs addresses of its own")]
    Listen(std::net::SocketAddr, io::Error),
    /// A thread, signal handler or socket address is not available.
    #[error("operating system call failed: {0}")]
    System(#[from] io::Error),
    /// A metric cannot be registered.
    #[error(transparent)]
    Metrics(#[from] metrics::Error),
}

/// Row that an instance with these settings writes to the store, as text.
#[must_use]
pub fn row(settings: &Settings) -> String {
    serde_json::to_string(&shared::row(settings)).unwrap_or_default()
}

/// Executor of one thread's tasks.
type Executor = Arc<smol::Executor<'static>>;

/// Runs an instance until SIGTERM or SIGINT. SIGHUP reads the settings `file`
/// again and logs whether it has changed.
///
/// # Errors
/// If the instance cannot start.
pub fn run(settings: Settings, file: &Path) -> Result<(), Failure> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    let instance = Instance::bind(settings)?;
    let shared = Arc::clone(&instance.shared);
    instance.run(async move { until_stopped(&mut signals, &shared, file).await })
}

/// An instance whose sockets are bound but not yet served.
pub struct Instance {
    shared: Arc<Shared>,
    listeners: Listeners,
    traffic: Executor,
    control: Executor,
    ticks: async_channel::Receiver<()>,
}

impl Instance {
    /// Binds the addresses in the settings.
    ///
    /// # Errors
    /// If an address cannot be bound or a metric cannot be registered.
    pub fn bind(settings: Settings) -> Result<Self, Failure> {
        let listeners = Listeners::bind(&settings)?;
        let original = settings.clone();
        let settings = Settings {
            listen: listeners.addresses()?,
            ..settings
        };
        let traffic: Executor = Arc::new(smol::Executor::new());
        let control: Executor = Arc::new(smol::Executor::new());
        let (ticker, ticks) = async_channel::bounded(1);
        let shared = Shared::new(settings, original, ticker, &traffic, &control)?;
        Ok(Self {
            shared: Arc::new(shared),
            listeners,
            traffic,
            control,
            ticks,
        })
    }

    /// Addresses it is bound to, with the ports that the system chose.
    #[must_use]
    pub fn listen(&self) -> Listen {
        self.shared.settings.listen
    }

    /// Serves until `stop` completes, then shuts down gracefully. Control tasks
    /// run on the calling thread.
    ///
    /// # Errors
    /// If the traffic thread cannot be spawned.
    pub fn run(self, stop: impl Future<Output = ()>) -> Result<(), Failure> {
        let Self {
            shared,
            listeners,
            traffic,
            control,
            ticks,
        } = self;
        events::started(&shared);
        events::bounds_too_short(&shared);
        let membership = Arc::new(member::Membership::new(Arc::clone(&shared)));
        spawn_control(&shared, &control, &listeners, &membership);
        let Listeners {
            callers,
            heartbeats,
            ..
        } = listeners;
        spawn_traffic(&shared, &traffic, ticks, callers);
        let (end_tx, end_rx) = async_channel::bounded::<()>(1);
        let thread = thread::Builder::new()
            .name("traffic".into())
            .spawn(move || {
                // Always an error: nothing is sent, and dropping `end_tx` ends the thread.
                let _ = smol::block_on(traffic.run(end_rx.recv()));
            })?;
        smol::block_on(control.run(async {
            stop.await;
            let stopped = Instant::now();
            *lock(&shared.phase) = Phase::Leaving;
            let timeout = server::shutdown_timeout(&shared.settings);
            shared.update(|now, direct| direct.stop(now, now + timeout));
            events::stopping(&shared);
            // Beside the drain: the network or the store may block, and the grace period
            // has begun.
            let leave = async {
                heartbeat::send_final(&shared, &heartbeats).await;
                membership.deregister().await;
                future::pending::<()>().await;
            };
            future::or(leave, server::drain(&shared, stopped)).await;
        }));
        drop(end_tx);
        let joined = thread.join();
        events::stopped(&shared);
        if joined.is_err() {
            log::error!("{{\"event\":\"thread-panicked\",\"thread\":\"traffic\"}}");
        }
        Ok(())
    }
}

/// Spawns the tasks that serve callers, which must not wait for control tasks.
fn spawn_traffic(
    shared: &Arc<Shared>,
    traffic: &Executor,
    ticks: async_channel::Receiver<()>,
    socket: net::TcpListener,
) {
    traffic.spawn(tick(Arc::clone(shared), ticks)).detach();
    traffic.spawn(upkeep(Arc::clone(shared))).detach();
    traffic.spawn(probe::run(Arc::clone(shared))).detach();
    traffic
        .spawn(callers::serve(
            Arc::clone(shared),
            socket,
            Arc::clone(traffic),
        ))
        .detach();
}

/// Spawns the tasks that follow the store, exchange messages with other
/// instances, and answer readiness, directory and operator requests.
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
    let heartbeats = &listeners.heartbeats;
    control
        .spawn(source::follow(Arc::clone(shared), Arc::clone(control)))
        .detach();
    control.spawn(Arc::clone(membership).maintain()).detach();
    control
        .spawn(heartbeat::receive(Arc::clone(shared), heartbeats.clone()))
        .detach();
    control
        .spawn(heartbeat::broadcast(Arc::clone(shared), heartbeats.clone()))
        .detach();
    control
        .spawn(heartbeat::report_suspects(
            Arc::clone(shared),
            heartbeats.clone(),
        ))
        .detach();
    control
        .spawn(heartbeat::report_quotas(
            Arc::clone(shared),
            heartbeats.clone(),
        ))
        .detach();
    control
        .spawn(target_loads::report(Arc::clone(shared), heartbeats.clone()))
        .detach();
    control
        .spawn(regions::report(Arc::clone(shared), heartbeats.clone()))
        .detach();
    control
        .spawn(caller_rate::report(Arc::clone(shared), heartbeats.clone()))
        .detach();
    control
        .spawn(verdict::write_rows(Arc::clone(shared)))
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

/// Completes on SIGTERM or SIGINT; checks the settings file on each SIGHUP.
async fn until_stopped(signals: &mut Signals, shared: &Shared, file: &Path) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => events::reloaded(shared, file),
            _ => return,
        }
    }
}

/// Steps steering every [`STEP_INTERVAL_MAX`] while a request waits: load estimates
/// decay with time, so a target may become available without an event.
async fn tick(shared: Arc<Shared>, ticks: async_channel::Receiver<()>) {
    while ticks.recv().await.is_ok() {
        smol::Timer::after(STEP_INTERVAL_MAX).await;
        shared.decide(|_, _| ());
    }
}

/// Time between two runs of [`upkeep`].
const UPKEEP_INTERVAL: Duration = Duration::from_millis(200);

/// Closes idle connections to targets and drops expired members and targets from
/// steering; logs what other regions report if that has changed.
async fn upkeep(shared: Arc<Shared>) {
    loop {
        smol::Timer::after(UPKEEP_INTERVAL).await;
        shared.target_pool.maintain();
        let (removed, regions) =
            shared.decide(|now, direct| (direct.sweep(now), direct.take_region_changes(now)));
        for id in removed {
            events::target_gone(&shared, &id);
        }
        for change in regions {
            events::region_changed(&shared, &change);
        }
    }
}

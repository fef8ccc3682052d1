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
mod socket;
mod source;

use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use async_signal::{Signal, Signals};
use event_listener::Event;
use futures_lite::{StreamExt, future};
use listeners::Listeners;
use platform::store::Kind;
use settings::direct::{Listen, Settings};
use smol::net;
use steer::clock::Time;
use steer::process::direct::budget::Rule;
use steer::process::direct::members::Row;
use steer::process::direct::replica::Replica;
use steer::process::direct::{Ask, Bounds, Direct, Home, Order, TICK, Ticket, Why};
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

/// Time to open a connection to a target or to the store. A few times what it
/// takes across regions; where nothing answers it tells "not sent" soon enough
/// to try another.
const CONNECT: Duration = Duration::from_millis(300);

/// Connections that this process holds open to one address at most.
const CONNECTIONS: usize = 128;

/// A request that waits for its order.
struct Waiter {
    ticket: Ticket,
    order: async_channel::Sender<Order>,
}

/// State that both threads share.
pub(crate) struct Shared {
    /// The settings, with the addresses that are in fact listened on.
    settings: Settings,
    /// The settings as they were read.
    given: Settings,
    start: Instant,
    steering: Mutex<Steering>,
    /// What the store holds, for instances that don't read it.
    replica: Mutex<Replica>,
    /// Told with each answer of the store or of who reads it.
    told: Event,
    packed: peer::Packed,
    /// Whether the store has taken this instance's row away.
    unlisted: AtomicBool,
    /// Told when something begins to wait.
    waiting: async_channel::Sender<()>,
    /// Connections to targets.
    targets: Arc<pool::Pool>,
    phase: Mutex<Phase>,
    /// Closed when the process begins to close connections.
    closing: async_channel::Receiver<()>,
    close: async_channel::Sender<()>,
    /// The platform's store.
    store: platform::store::Store,
    /// Callers' open connections.
    count: server::Count,
    metrics: metrics::Metrics,
    /// Bytes of callers' bodies that are held.
    bodies: Arc<AtomicUsize>,
    quota: events::Quota,
}

/// Decisions and who waits for them.
struct Steering {
    direct: Direct,
    /// Sorted by ticket.
    waiters: Vec<Waiter>,
}

/// How far this process is on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// In service.
    Serving,
    /// Told to stop; answers say that their connection closes.
    Leaving,
    /// Idle connections are closed.
    Closing,
}

impl Shared {
    fn new(
        settings: Settings,
        given: Settings,
        waiting: async_channel::Sender<()>,
        traffic: &Executor,
        control: &Executor,
    ) -> Result<Self, Failure> {
        let limits = pool::Limits {
            bound: CONNECTIONS,
            warm: 0,
            connect: CONNECT,
        };
        let home = Home {
            name: Arc::clone(&settings.name),
            region: Arc::clone(&settings.region),
            life: fastrand::u64(1..),
            row: row(&settings),
        };
        let direct = Direct::new(home, bounds(&settings), settings.domains.clone());
        let store = pool::Pool::new(Arc::clone(control), limits);
        let (close, closing) = async_channel::bounded(1);
        Ok(Self {
            start: Instant::now(),
            steering: Mutex::new(Steering {
                direct,
                waiters: Vec::new(),
            }),
            replica: Mutex::default(),
            told: Event::new(),
            packed: peer::Packed::default(),
            unlisted: AtomicBool::new(false),
            waiting,
            targets: pool::Pool::new(Arc::clone(traffic), limits),
            phase: Mutex::new(Phase::Serving),
            closing,
            close,
            store: platform::store::Store::new(store, settings.store),
            count: server::Count::new(server::most(&settings)),
            metrics: metrics::Metrics::new()?,
            bodies: Arc::default(),
            quota: events::Quota::default(),
            settings,
            given,
        })
    }

    fn now(&self) -> Time {
        self.at(Instant::now())
    }

    /// A moment of the monotonic clock, as decisions count it.
    fn at(&self, moment: Instant) -> Time {
        let micros = moment.saturating_duration_since(self.start).as_micros();
        Time::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Begins to close connections; nothing more is accepted.
    fn close(&self) {
        *lock(&self.phase) = Phase::Closing;
        self.close.close();
    }

    /// Ends when the process begins to close connections.
    async fn closed(&self) {
        // Nothing is ever sent; an error says that it was closed.
        let _ = self.closing.recv().await;
    }

    fn phase(&self) -> Phase {
        *lock(&self.phase)
    }

    /// Runs one decision and hands out what follows from it.
    fn decide<T>(&self, decide: impl FnOnce(Time, &mut Direct) -> T) -> T {
        let mut steering = lock(&self.steering);
        let now = self.now();
        let found = decide(now, &mut steering.direct);
        let orders = steering.direct.step(now);
        for order in orders {
            steering.hand(order);
        }
        let waiting = steering.direct.waiting() > 0;
        drop(steering);
        if waiting {
            // Full means that the ticker has been told already.
            let _ = self.waiting.try_send(());
        }
        found
    }

    /// Tells the steering state something that settles no request.
    fn note(&self, note: impl FnOnce(Time, &mut Direct)) {
        let mut steering = lock(&self.steering);
        note(self.now(), &mut steering.direct);
    }

    /// Calls made to the store.
    fn store_calls(&self) -> u64 {
        Kind::ALL.iter().map(|kind| self.store.calls(*kind)).sum()
    }

    /// Where this instance is reached.
    fn row(&self) -> Row {
        row(&self.settings)
    }

    /// The store's word on this instance's own row.
    fn own_row(&self, listed: bool) {
        self.unlisted.store(!listed, Ordering::Relaxed);
    }

    /// Whether the store has taken the row away since it was last asked.
    fn take_unlisted(&self) -> bool {
        self.unlisted.swap(false, Ordering::Relaxed)
    }

    /// Reads the steering state.
    fn read<T>(&self, read: impl FnOnce(Time, &Direct) -> T) -> T {
        let steering = lock(&self.steering);
        read(self.now(), &steering.direct)
    }

    /// Takes a request in, registered for its orders before any is given.
    fn arrive(&self, ask: Ask) -> Result<(Ticket, async_channel::Receiver<Order>), Why> {
        let (order, orders) = async_channel::bounded(1);
        let mut steering = lock(&self.steering);
        let ticket = steering.direct.arrive(self.now(), ask)?;
        let at = steering.waiters.partition_point(|w| w.ticket < ticket);
        steering.waiters.insert(at, Waiter { ticket, order });
        drop(steering);
        self.decide(|_, _| ());
        Ok((ticket, orders))
    }

    /// A request is settled or its caller has left.
    fn forget(&self, ticket: Ticket) {
        let mut steering = lock(&self.steering);
        if let Ok(at) = steering.waiters.binary_search_by_key(&ticket, |w| w.ticket) {
            steering.waiters.remove(at);
        }
        drop(steering);
        self.decide(|_, direct| direct.leave(ticket));
    }

    /// Whether callers should come here.
    fn is_ready(&self) -> bool {
        self.phase() == Phase::Serving
            && self.read(|_, d| d.routes().is_some() && !d.roster.all().is_empty())
    }
}

impl Steering {
    fn hand(&mut self, order: Order) {
        let ticket = match &order {
            Order::Go(go) => go.ticket,
            Order::Reject { ticket, .. } => *ticket,
        };
        if let Ok(at) = self.waiters.binary_search_by_key(&ticket, |w| w.ticket) {
            // A request waits for one order at a time, so there is room.
            let _ = self.waiters[at].order.try_send(order);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

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
            let last = server::last(&shared.settings);
            shared.note(|now, direct| direct.stop(now + last));
            events::stopping(&shared);
            heartbeat::farewell(&shared, &listeners.beats).await;
            // The store may be silent, and the grace time runs.
            let leave = async {
                membership.leave().await;
                future::pending::<()>().await;
            };
            future::or(server::drained(&shared, told), leave).await;
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
    let beats = &listeners.beats;
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

fn row(settings: &Settings) -> Row {
    Row {
        region: Arc::clone(&settings.region),
        domain: Arc::clone(&settings.domain),
        callers: settings.listen.callers,
        peers: settings.listen.peers,
        beats: settings.listen.beats,
    }
}

fn bounds(settings: &Settings) -> Bounds {
    let bounds = &settings.bounds;
    Bounds {
        repeats: Rule {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: bounds.retry_window,
        },
        cold_factor: bounds.cold_factor,
        cold_slack: bounds.cold_slack,
        shift: bounds.shift,
    }
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
        shared.targets.upkeep();
        let dropped = shared.decide(|now, direct| direct.sweep(now));
        for id in dropped {
            events::target_gone(&shared, &id);
        }
    }
}

//! State that the control and the traffic thread share.
//!
//! Invariant: its lock on the decisions is held for single decisions only, and
//! each order of a decision goes to the request that waits for it.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use event_listener::Event;
use platform::store::Kind;
use rustix::time::{ClockId, clock_gettime};
use settings::direct::Settings;
use steer::clock::Time;
use steer::process::direct::budget::Rule;
use steer::process::direct::members::Row;
use steer::process::direct::replica::Replica;
use steer::process::direct::{
    Bounds, Decision, Direct, Identity, Rejection, Request, Ticket, access, limit, quota,
};

use super::{Executor, Failure, events, metrics, peer, server};

/// Time to open a connection to a target or to the store. A few times what it
/// takes across regions; where nothing answers it tells "not sent" soon enough
/// to try another.
const CONNECT: Duration = Duration::from_millis(300);

/// Connections that this process holds open to one address at most.
const CONNECTIONS: usize = 128;

/// A request that waits for its order.
pub(super) struct Waiter {
    ticket: Ticket,
    order: async_channel::Sender<Decision>,
}

/// State that both threads share.
pub(crate) struct Shared {
    /// The settings, with the addresses that are in fact listened on.
    pub(super) settings: Settings,
    /// The settings as they were read.
    pub(super) given: Settings,
    /// When it started, by the clock that goes on while the machine sleeps.
    start: Duration,
    pub(super) steering: Mutex<Steering>,
    /// What the store holds, for instances that don't read it.
    pub(super) replica: Mutex<Replica>,
    /// Told with each answer of the store or of who reads it.
    pub(super) told: Event,
    /// Told when a request begins to wait for its team's quota.
    pub(super) asking: Event,
    /// Whether one has, since that was last looked at.
    urgent: AtomicBool,
    pub(super) packed: peer::Packed,
    /// Whether the store has taken this instance's row away.
    pub(super) unlisted: AtomicBool,
    /// Told when something begins to wait.
    pub(super) waiting: async_channel::Sender<()>,
    /// Connections to targets.
    pub(super) targets: Arc<pool::Pool>,
    pub(super) phase: Mutex<Phase>,
    /// Closed when the process begins to close connections.
    pub(super) closing: async_channel::Receiver<()>,
    pub(super) close: async_channel::Sender<()>,
    /// The platform's store.
    pub(super) store: platform::store::Store,
    /// Callers' open connections.
    pub(super) count: server::Count,
    pub(super) metrics: metrics::Metrics,
    /// Bytes of callers' bodies that are held.
    pub(super) bodies: Arc<AtomicUsize>,
    pub(super) quota: events::Quota,
}

/// Decisions and who waits for them.
pub(super) struct Steering {
    pub(super) direct: Direct,
    /// Sorted by ticket.
    pub(super) waiters: Vec<Waiter>,
}

/// How far this process is on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Phase {
    /// In service.
    Serving,
    /// Told to stop; answers say that their connection closes.
    Leaving,
    /// Idle connections are closed.
    Closing,
}

impl Shared {
    pub(super) fn new(
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
        let home = Identity {
            name: Arc::clone(&settings.name),
            region: Arc::clone(&settings.region),
            life: fastrand::u64(1..),
            row: row(&settings),
        };
        let direct = Direct::new(home, bounds(&settings), settings.domains.clone());
        let store = pool::Pool::new(Arc::clone(control), limits);
        let (close, closing) = async_channel::bounded(1);
        Ok(Self {
            start: boot_time(),
            steering: Mutex::new(Steering {
                direct,
                waiters: Vec::new(),
            }),
            replica: Mutex::default(),
            told: Event::new(),
            asking: Event::new(),
            urgent: AtomicBool::new(false),
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

    pub(super) fn now(&self) -> Time {
        let micros = boot_time().saturating_sub(self.start).as_micros();
        Time::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// A moment of the monotonic clock, as decisions count it.
    pub(super) fn at(&self, moment: Instant) -> Time {
        self.now() - moment.elapsed()
    }

    /// Begins to close connections; nothing more is accepted.
    pub(super) fn close(&self) {
        *lock(&self.phase) = Phase::Closing;
        self.close.close();
    }

    /// Ends when the process begins to close connections.
    pub(super) async fn closed(&self) {
        // Nothing is ever sent; an error says that it was closed.
        let _ = self.closing.recv().await;
    }

    pub(super) fn phase(&self) -> Phase {
        *lock(&self.phase)
    }

    /// Runs one decision and hands out what follows from it.
    pub(super) fn decide<T>(&self, decide: impl FnOnce(Time, &mut Direct) -> T) -> T {
        let mut steering = lock(&self.steering);
        let now = self.now();
        let found = decide(now, &mut steering.direct);
        let orders = steering.direct.step(now);
        for order in orders {
            steering.hand(order);
        }
        let waiting = steering.direct.waiting() > 0;
        let urgent = steering.direct.take_urgent();
        drop(steering);
        if urgent {
            self.urgent.store(true, Ordering::Relaxed);
            self.asking.notify(1);
        }
        if waiting {
            // Full means that the ticker has been told already.
            let _ = self.waiting.try_send(());
        }
        found
    }

    /// Tells the steering state something that settles no request.
    pub(super) fn note(&self, note: impl FnOnce(Time, &mut Direct)) {
        let mut steering = lock(&self.steering);
        note(self.now(), &mut steering.direct);
    }

    /// Calls made to the store.
    pub(super) fn store_calls(&self) -> u64 {
        Kind::ALL.iter().map(|kind| self.store.calls(*kind)).sum()
    }

    /// Where this instance is reached.
    pub(super) fn row(&self) -> Row {
        row(&self.settings)
    }

    /// The store's word on this instance's own row.
    pub(super) fn own_row(&self, listed: bool) {
        self.unlisted.store(!listed, Ordering::Relaxed);
    }

    /// Ends when a request waits for its team's quota.
    pub(super) async fn asked(&self) {
        let asked = self.asking.listen();
        if !self.urgent.swap(false, Ordering::Relaxed) {
            asked.await;
            self.urgent.store(false, Ordering::Relaxed);
        }
    }

    /// Whether the store has taken the row away since it was last asked.
    pub(super) fn take_unlisted(&self) -> bool {
        self.unlisted.swap(false, Ordering::Relaxed)
    }

    /// Reads the steering state.
    pub(super) fn read<T>(&self, read: impl FnOnce(Time, &Direct) -> T) -> T {
        let steering = lock(&self.steering);
        read(self.now(), &steering.direct)
    }

    /// Takes a request in, registered for its orders before any is given.
    pub(super) fn arrive(
        &self,
        ask: Request,
    ) -> Result<(Ticket, async_channel::Receiver<Decision>), Rejection> {
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
    pub(super) fn forget(&self, ticket: Ticket) {
        let mut steering = lock(&self.steering);
        if let Ok(at) = steering.waiters.binary_search_by_key(&ticket, |w| w.ticket) {
            steering.waiters.remove(at);
        }
        drop(steering);
        self.decide(|now, direct| direct.leave(now, ticket));
    }

    /// Whether callers should come here.
    pub(super) fn is_ready(&self) -> bool {
        self.takes_callers() && self.read(|now, d| d.is_sound(now))
    }

    /// Whether callers that need no key can come here.
    pub(super) fn takes_callers(&self) -> bool {
        self.phase() == Phase::Serving
            && self.read(|_, d| d.routes().is_some() && !d.roster.all().is_empty())
    }
}

impl Steering {
    fn hand(&mut self, order: Decision) {
        let ticket = match &order {
            Decision::Send(go) => go.ticket,
            Decision::Reject { ticket, .. } => *ticket,
        };
        if let Ok(at) = self.waiters.binary_search_by_key(&ticket, |w| w.ticket) {
            // A request waits for one order at a time, so there is room.
            let _ = self.waiters[at].order.try_send(order);
        }
    }
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Time since the machine's start, sleep included: knowledge ages meanwhile too.
fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
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
        limit: limit::Rule {
            window: bounds.limit_window,
            factor: bounds.limit_factor,
            slack: bounds.limit_slack,
        },
        shift: bounds.shift,
        access: access::Bounds {
            config: bounds.config,
            revoke: bounds.revoke,
        },
        quota: quota::Rule {
            window: bounds.quota_window,
            excess: bounds.quota_excess,
            slack: bounds.quota_slack,
        },
    }
}

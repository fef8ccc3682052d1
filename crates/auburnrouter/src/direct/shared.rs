//! State shared by the control and the traffic thread.
//!
//! Invariants: the lock on [`Steering`] is held for one decision at a time, never
//! across an await; each decision on a request is delivered to that request.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use event_listener::Event;
use platform::store::Kind;
use rustix::time::{ClockId, clock_gettime};
use settings::direct::{Parts, Settings};
use steer::clock::Time;
use steer::process::direct::budget::Rule;
use steer::process::direct::mechanisms::{Mechanism, Mechanisms};
use steer::process::direct::members::Registration;
use steer::process::direct::referral::size::Size;
use steer::process::direct::replica::Replica;
use steer::process::direct::{
    Bounds, Decision, Direct, Identity, Rejection, Request, Ticket, access, limit, quota, suspect,
};
use wire::direct::row::Row;

use super::{Executor, Failure, events, memory, metrics, peer, relay, server};

/// Time limit for opening a connection to a target or to the store. Several times
/// what a connection across regions takes, and short enough to leave time for
/// another target after an address that does not answer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum number of open connections from this process to one address.
const CONNECTIONS_PER_ADDR_MAX: usize = 128;

/// Decisions on a request that may be pending: to give up its attempt, which ends by itself
/// at that moment, and what follows.
const PENDING_DECISIONS_MAX: usize = 2;

/// A request in steering, with the channel that delivers its decisions.
pub(super) struct Waiter {
    ticket: Ticket,
    decisions: async_channel::Sender<Decision>,
}

/// State of one instance, used by both threads.
pub(crate) struct Shared {
    /// Settings, with the addresses that were bound.
    pub(super) settings: Settings,
    /// Settings as passed in, in which port 0 lets the system choose.
    pub(super) original_settings: Settings,
    /// Start of this process by `CLOCK_BOOTTIME`; the origin of [`Time`].
    start: Duration,
    pub(super) steering: Mutex<Steering>,
    /// Copy of the store's items, served to instances that read from this one.
    pub(super) replica: Mutex<Replica>,
    /// Notified after each update from the store or another instance is applied.
    pub(super) updated: Event,
    /// Notified when a request begins to wait for a token of its team's quota.
    pub(super) quota_wait: Event,
    /// Notified when strikes against a request have changed.
    pub(super) suspected: Event,
    /// Notified when others are to be told of suspects at once.
    pub(super) suspect_news: Event,
    /// Notified when requests at targets are to be reported.
    pub(super) load_report_due: Event,
    /// Notified when targets are to be probed.
    pub(super) probe_due: Event,
    /// Notified while reports to other regions may be due.
    pub(super) region_report_due: Event,
    /// Whether one has begun to wait since the last quota reports.
    is_quota_urgent: AtomicBool,
    /// Encoded snapshot of the replica, for instances that start.
    pub(super) snapshot_cache: peer::SnapshotCache,
    /// Encoded changes of the replica, for the instances that read from this one.
    pub(super) changes_cache: peer::ChangesCache,
    /// Whether the store has deleted this instance's registration.
    pub(super) is_unlisted: AtomicBool,
    /// Wakes the tick task while requests wait.
    pub(super) ticker: async_channel::Sender<()>,
    /// Executor of tasks that carry requests.
    pub(super) traffic: Executor,
    /// Connections to instances that send requests for this one.
    pub(super) relays: relay::Relays,
    /// Requests that this instance is sending for others.
    pub(super) relayed: relay::carrier::RelayedCount,
    /// Connections to targets.
    pub(super) target_pool: Arc<pool::Pool>,
    /// Whether the process serves, leaves or closes connections.
    pub(super) phase: Mutex<Phase>,
    /// Its sender is closed when the process begins to close callers' connections.
    pub(super) closing: async_channel::Receiver<()>,
    /// Closed to announce that connections are being closed.
    pub(super) close: async_channel::Sender<()>,
    /// The platform's store.
    pub(super) store: platform::store::Store,
    /// Counts callers' open connections.
    pub(super) connections: server::ConnectionCount,
    pub(super) metrics: metrics::Metrics,
    /// Memory account of request and answer bodies.
    pub(super) memory: Arc<memory::Account>,
    pub(super) log_quota: events::LogQuota,
}

/// The steering state and the requests that wait for its decisions.
pub(super) struct Steering {
    pub(super) direct: Direct,
    /// Sorted by ticket.
    pub(super) waiters: Vec<Waiter>,
}

/// Stages of the process's life, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Phase {
    /// In service.
    Serving,
    /// Asked to stop; answers carry `Connection: close`.
    Leaving,
    /// Idle connections are closed and no new ones accepted.
    Closing,
}

impl Shared {
    pub(super) fn new(
        settings: Settings,
        original_settings: Settings,
        ticker: async_channel::Sender<()>,
        traffic: &Executor,
        control: &Executor,
    ) -> Result<Self, Failure> {
        let limits = pool::Limits {
            connections_max: CONNECTIONS_PER_ADDR_MAX,
            warm_connections: 0,
            connect_timeout: CONNECT_TIMEOUT,
            read_buffer_max: None,
        };
        let target_limits = pool::Limits {
            read_buffer_max: Some(memory::ANSWER_ALLOWANCE_BYTES),
            ..limits
        };
        let identity = Identity {
            name: Arc::clone(&settings.name),
            region: Arc::clone(&settings.region),
            incarnation: fastrand::u64(1..),
            registration: registration(&settings),
        };
        let mut direct = Direct::with(
            identity,
            bounds(&settings),
            settings.domains.clone(),
            mechanisms(settings.parts),
        );
        direct.set_own_size(size(&settings));
        let store = pool::Pool::new(Arc::clone(control), limits);
        let (close, closing) = async_channel::bounded(1);
        Ok(Self {
            start: boot_time(),
            steering: Mutex::new(Steering {
                direct,
                waiters: Vec::new(),
            }),
            replica: Mutex::default(),
            updated: Event::new(),
            quota_wait: Event::new(),
            suspected: Event::new(),
            suspect_news: Event::new(),
            load_report_due: Event::new(),
            probe_due: Event::new(),
            region_report_due: Event::new(),
            is_quota_urgent: AtomicBool::new(false),
            snapshot_cache: peer::SnapshotCache::default(),
            changes_cache: peer::ChangesCache::default(),
            is_unlisted: AtomicBool::new(false),
            ticker,
            traffic: Arc::clone(traffic),
            relays: relay::Relays::default(),
            relayed: relay::carrier::RelayedCount::default(),
            target_pool: pool::Pool::with_translations(
                Arc::clone(traffic),
                target_limits,
                settings.translations.clone(),
            ),
            phase: Mutex::new(Phase::Serving),
            closing,
            close,
            store: platform::store::Store::new(store, settings.store, settings.value_bytes),
            connections: server::ConnectionCount::new(server::max_connections(&settings)),
            metrics: metrics::Metrics::new()?,
            memory: Arc::new(memory::Account::new(settings.memory_mb)),
            log_quota: events::LogQuota::default(),
            settings,
            original_settings,
        })
    }

    /// Time since the start of this process.
    pub(super) fn now(&self) -> Time {
        let micros = boot_time().saturating_sub(self.start).as_micros();
        Time::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Converts a past instant of the monotonic clock.
    pub(super) fn at(&self, moment: Instant) -> Time {
        self.now() - moment.elapsed()
    }

    /// Begins to close callers' connections; no new ones are accepted.
    pub(super) fn start_closing(&self) {
        *lock(&self.phase) = Phase::Closing;
        self.close.close();
    }

    /// Completes when the process begins to close callers' connections.
    pub(super) async fn until_closing(&self) {
        // Nothing is sent on this channel; closing it ends the wait with an error.
        let _ = self.closing.recv().await;
    }

    pub(super) fn phase(&self) -> Phase {
        *lock(&self.phase)
    }

    /// Changes the steering state, steps it, and delivers the decisions that follow.
    pub(super) fn decide<T>(&self, decide: impl FnOnce(Time, &mut Direct) -> T) -> T {
        let mut steering = lock(&self.steering);
        let now = self.now();
        let result = decide(now, &mut steering.direct);
        let decisions = steering.direct.step(now);
        for decision in decisions {
            steering.deliver(decision);
        }
        let waiting = steering.direct.waiting_count() > 0;
        let urgent = steering.direct.take_report_due();
        let suspected = steering.direct.take_suspect_changes();
        let has_news = steering.direct.is_news_due();
        let is_probe_due = steering.direct.is_probe_due(now);
        let shortness = steering.direct.take_shortness_changes(now);
        let reports_loads = steering.direct.is_reporting_loads(now);
        let is_region_short = steering.direct.reports_region_loads(now);
        drop(steering);
        self.report_suspects(&suspected);
        if has_news {
            self.suspect_news.notify(1);
        }
        if is_probe_due {
            self.probe_due.notify(1);
        }
        events::shortness_changed(self, &shortness);
        if reports_loads {
            self.load_report_due.notify(1);
        }
        if is_region_short {
            self.region_report_due.notify(1);
        }
        if urgent {
            self.is_quota_urgent.store(true, Ordering::Relaxed);
            self.quota_wait.notify(1);
        }
        if waiting {
            // A full channel means that the tick task is due to run anyway.
            let _ = self.ticker.try_send(());
        }
        result
    }

    /// Changes the steering state without a step; decisions that become possible
    /// are taken at the next one.
    pub(super) fn update(&self, update: impl FnOnce(Time, &mut Direct)) {
        let mut steering = lock(&self.steering);
        update(self.now(), &mut steering.direct);
        let suspected = steering.direct.take_suspect_changes();
        drop(steering);
        self.report_suspects(&suspected);
    }

    /// Logs changes of strikes, and wakes the task that stores verdicts.
    fn report_suspects(&self, changes: &[suspect::Change]) {
        if !changes.is_empty() {
            events::suspects_changed(self, changes);
            self.suspected.notify(1);
        }
    }

    /// Number of calls made to the store, of all kinds.
    pub(super) fn store_calls(&self) -> u64 {
        Kind::ALL.iter().map(|kind| self.store.calls(*kind)).sum()
    }

    /// Row of this instance in the store.
    pub(super) fn row(&self) -> Row {
        row(&self.settings)
    }

    /// Records whether the store lists this instance.
    pub(super) fn set_listed(&self, listed: bool) {
        self.is_unlisted.store(!listed, Ordering::Relaxed);
    }

    /// Completes when a request has begun to wait for a token since the last call.
    pub(super) async fn until_quota_wait(&self) {
        let listener = self.quota_wait.listen();
        if !self.is_quota_urgent.swap(false, Ordering::Relaxed) {
            listener.await;
            self.is_quota_urgent.store(false, Ordering::Relaxed);
        }
    }

    /// Completes when others are to be told of suspects at once.
    pub(super) async fn until_suspect_news(&self) {
        let listener = self.suspect_news.listen();
        if !self.read(|_, d| d.is_news_due()) {
            listener.await;
        }
    }

    /// Completes when requests at targets are to be reported.
    pub(super) async fn until_load_report(&self) {
        let listener = self.load_report_due.listen();
        if !self.read(|now, d| d.is_reporting_loads(now)) {
            listener.await;
        }
    }

    /// Completes when a report to other regions may be due.
    pub(super) async fn until_region_report(&self) {
        let listener = self.region_report_due.listen();
        if !self.read(|now, d| d.reports_region_loads(now)) {
            listener.await;
        }
    }

    /// Whether the store has deleted the registration since the last call.
    pub(super) fn take_unlisted(&self) -> bool {
        self.is_unlisted.swap(false, Ordering::Relaxed)
    }

    /// Reads the steering state.
    pub(super) fn read<T>(&self, read: impl FnOnce(Time, &Direct) -> T) -> T {
        let steering = lock(&self.steering);
        read(self.now(), &steering.direct)
    }

    /// Submits a request to steering. Its channel is registered before the first
    /// step, so that no decision is lost.
    ///
    /// # Errors
    /// If steering rejects it on arrival.
    pub(super) fn submit(
        &self,
        ask: Request,
    ) -> Result<(Ticket, async_channel::Receiver<Decision>), Rejection> {
        let (decisions, receiver) = async_channel::bounded(PENDING_DECISIONS_MAX);
        let mut steering = lock(&self.steering);
        let ticket = steering.direct.submit(self.now(), ask)?;
        let at = steering.waiters.partition_point(|w| w.ticket < ticket);
        steering.waiters.insert(at, Waiter { ticket, decisions });
        drop(steering);
        self.decide(|_, _| ());
        Ok((ticket, receiver))
    }

    /// Removes a request that is answered or whose caller has disconnected.
    pub(super) fn release(&self, ticket: Ticket) {
        let mut steering = lock(&self.steering);
        if let Ok(at) = steering.waiters.binary_search_by_key(&ticket, |w| w.ticket) {
            steering.waiters.remove(at);
        }
        drop(steering);
        self.decide(|now, direct| direct.cancel(now, ticket));
    }

    /// Whether callers should connect to this instance.
    pub(super) fn is_ready(&self) -> bool {
        self.is_serving() && self.read(|now, d| d.is_fit_for_callers(now))
    }

    /// Whether this instance can serve requests that need no key: it isn't stopping
    /// and knows a configuration and targets.
    pub(super) fn is_serving(&self) -> bool {
        self.phase() == Phase::Serving && self.read(|_, d| d.is_serving())
    }
}

impl Steering {
    /// Sends a decision to its request; drops it if the request is gone.
    fn deliver(&mut self, decision: Decision) {
        let ticket = decision.ticket();
        if let Ok(at) = self.waiters.binary_search_by_key(&ticket, |w| w.ticket) {
            // The channel has room for all that may be pending.
            let _ = self.waiters[at].decisions.try_send(decision);
        }
    }
}

/// Locks a mutex, also if another thread panicked while it held it.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Time since the machine booted, including time suspended: data goes stale while
/// suspended too.
fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

fn registration(settings: &Settings) -> Registration {
    Registration {
        region: Arc::clone(&settings.region),
        domain: Arc::clone(&settings.domain),
        callers: settings.listen.callers,
        peers: settings.listen.peers,
        heartbeats: settings.listen.heartbeats,
    }
}

/// Row of an instance with these settings in the store.
pub(super) fn row(settings: &Settings) -> Row {
    Row::from((registration(settings), size(settings)))
}

/// Size of this instance, if the settings tell all of it.
fn size(settings: &Settings) -> Option<Size> {
    Size::from_settings(settings.processor?, settings.link_mbps?)
}

/// Mechanisms of steering that the settings leave enabled.
fn mechanisms(parts: Parts) -> Mechanisms {
    let optional = [
        (parts.referral, Mechanism::SizedReferral),
        (parts.loads, Mechanism::TargetLoads),
        (parts.urgency, Mechanism::Urgency),
        (parts.regions, Mechanism::RegionLoads),
    ];
    let disabled = optional.into_iter().filter(|part| !part.0);
    disabled.fold(Mechanisms::ALL, |all, (_, part)| all.without_one(part))
}

fn bounds(settings: &Settings) -> Bounds {
    let bounds = &settings.bounds;
    Bounds {
        retries: Rule {
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
        drain: bounds.drain,
        evacuation: bounds.evacuate_delay,
        backoff_max: bounds.backoff_max,
        shift_max: bounds.shift_max,
        access: access::Bounds {
            config: bounds.config_delay,
            revocation: bounds.revoke_delay,
        },
        quota: quota::Rule {
            window: bounds.quota_window,
            excess: bounds.quota_excess,
            slack: bounds.quota_slack,
        },
    }
}

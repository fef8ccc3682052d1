//! Control state of an entry instance: its peers, the version in force, and
//! whether it may act on what it knows.
//!
//! Invariant: [`Control`] never goes back. The version in force only rises, a
//! record never replaces that of a later process of its name, and nothing known
//! before a freeze is acted on until an answer confirms it.
//!
//! Topology: within a failure domain every process sends heartbeats to every
//! other one. Between two domains [`REPRESENTATIVES`] processes of one domain
//! send them to a few of the other. A hash of the names determines the
//! representatives, so there is no election. Records are pushed when they
//! change and compared by digests, so unchanged records aren't sent again.

pub mod apply;
mod hints;
mod local;
mod members;
pub mod message;
mod peer;
mod remote;
mod rollout;
mod status;
pub mod store;
mod sync;
mod types;

use core::time::Duration;
use std::net::SocketAddr;
use std::sync::Arc;

pub use types::{Action, Counters, Event, MemberStatus, Notice, Safeguards, Settings, Snapshot};

use crate::clock::Time;
use crate::process::config::Head;
use crate::process::config::tracker;
use crate::process::member::table;
use crate::process::member::{HealthSummary, Lifecycle, Record, Stamp};
use crate::process::slot;
use crate::version::view::Version;

/// Longest time between two [`Event::Tick`]s with a healthy driver.
pub const TICK_INTERVAL_MAX: Duration = Duration::from_millis(100);

/// Time between two heartbeats to the same process, before jitter.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(700);

/// Silence after which other peers are queried about a process.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Silence after which a process of the local domain is declared dead.
pub const DROP_TIMEOUT: Duration = Duration::from_millis(2400);

/// Silence after which a whole failure domain is left out of look-ups.
pub const DOMAIN_TIMEOUT: Duration = Duration::from_millis(2800);

/// Gap between two events above which the process was frozen. It is far enough
/// below [`DROP_TIMEOUT`] that a process which doesn't detect its freeze isn't
/// dropped by any peer either.
pub const FREEZE_GAP_MIN: Duration = Duration::from_millis(1500);

/// Time in doubt without any answer after which a process is isolated.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Time from the first answer during which a starting process may still raise
/// its generation above that of a predecessor.
pub const JOIN_WINDOW: Duration = Duration::from_secs(5);

/// Shortest time between two raises of the generation.
pub const RAISE_INTERVAL_MIN: Duration = Duration::from_secs(1);

/// Time for which tombstones are kept. It exceeds any relevant freeze; a
/// process that was replaced is recognised by its successor's record, which is
/// kept longer.
pub const TOMBSTONE_TTL: Duration = Duration::from_mins(15);

/// Number of processes of a domain that exchange heartbeats with another
/// domain.
pub const REPRESENTATIVES: usize = 2;

/// Number of processes of a domain that watch the store's head.
pub const WATCHERS_PER_DOMAIN: usize = 2;

/// Number of versions after which other processes become the watchers.
const WATCHER_ROTATION_VERSIONS: u64 = 16;

/// Longest time between two snapshots; a change is published at once.
const PUBLISH_INTERVAL_MAX: Duration = Duration::from_secs(2);

/// State machine of an instance's control plane.
pub struct Control {
    own: Arc<Record>,
    load: u8,
    last_event: Time,
    /// Time of the first confirming answer.
    first_answer: Option<Time>,
    /// Whether the process may still raise its generation.
    is_joining: bool,
    last_raise: Option<Time>,
    status: MemberStatus,
    doubt: status::Doubt,
    table: table::Table,
    peers: Vec<peer::Peer>,
    domains: Vec<peer::RemoteDomain>,
    hints: hints::Hints,
    /// Cache for the published list of members.
    sorted_entries: Option<Vec<members::Entry>>,
    tracker: tracker::Tracker,
    /// Highest version received or reported by anyone.
    newest_seen: Version,
    head_request: Option<rollout::HeadRequest>,
    body_requests: Vec<rollout::BodyRequest>,
    /// Peer last heard to have the newest version in force.
    body_source: Option<SocketAddr>,
    store: store::Policy,
    reported_faults: rollout::ReportedFaults,
    slot: slot::Slot,
    next_heartbeat: Time,
    next_sync: Time,
    published_at: Time,
    /// Whether the state changed since the last snapshot.
    is_dirty: bool,
    /// Whether the ranks among the representatives have to be computed anew.
    is_rank_stale: bool,
    /// Digest of the local domain when its last change was announced.
    announced_digest: u64,
    published_share: slot::Share,
    counters: Counters,
    rng: fastrand::Rng,
    guards: Safeguards,
}

impl Control {
    /// A process that starts at `now` and knows no peers.
    #[must_use]
    pub fn new(now: Time, settings: Settings, mut rng: fastrand::Rng) -> Self {
        let Settings {
            identity,
            incarnation,
            generation,
            seeds,
            guards,
        } = settings;
        let own = Record {
            identity,
            stamp: Stamp {
                generation,
                incarnation,
            },
            serial: 1,
            lifecycle: Lifecycle::Live,
        };
        let mut slot = slot::Slot::new(now, guards.slot);
        let shown = slot.share(now, false);
        Self {
            own: Arc::new(own),
            load: 0,
            last_event: now,
            first_answer: None,
            is_joining: true,
            last_raise: None,
            status: MemberStatus::Current,
            doubt: status::Doubt::default(),
            table: table::Table::default(),
            peers: Vec::new(),
            domains: Vec::new(),
            hints: hints::Hints::new(seeds),
            sorted_entries: None,
            tracker: tracker::Tracker::new(guards.monotonic),
            newest_seen: Version(0),
            head_request: None,
            body_requests: Vec::new(),
            body_source: None,
            store: store::Policy::new(now, guards.reread, &mut rng),
            reported_faults: rollout::ReportedFaults::default(),
            slot,
            next_heartbeat: now,
            next_sync: now,
            published_at: now,
            is_dirty: true,
            is_rank_stale: true,
            announced_digest: 0,
            published_share: shown,
            counters: Counters::default(),
            rng,
            guards,
        }
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.detect_freeze(now, out);
        match event {
            Event::Tick => self.tick(now, out),
            Event::Received(message) => self.receive(now, &message, out),
            Event::StoreReply { id, reply } => self.handle_store_reply(now, id, reply, out),
            Event::Hints(hints) => self.hints.replace(hints),
            Event::Load(load) => self.load = load,
            Event::Installed { version, slots } => self.handle_installed(now, version, slots, out),
            Event::Rejected(version) => self.handle_rejected(version, out),
            Event::Leave => self.leave(now, out),
            Event::Stop => self.stop(now, out),
        }
    }

    /// Whether callers may be served: a version is in force, and no newer
    /// process has taken over the name.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.tracker.version() > Version(0) && self.status != MemberStatus::Superseded
    }

    /// Whether the process may act on its state.
    #[must_use]
    pub const fn status(&self) -> MemberStatus {
        self.status
    }

    /// Version in force; zero if none.
    #[must_use]
    pub fn version(&self) -> Version {
        self.tracker.version()
    }

    /// Head in force.
    #[must_use]
    pub const fn head(&self) -> Option<&Arc<Head>> {
        self.tracker.head()
    }

    /// Record of this process.
    #[must_use]
    pub const fn record(&self) -> &Arc<Record> {
        &self.own
    }

    /// Records of all known processes, including tombstones.
    #[must_use]
    pub const fn table(&self) -> &table::Table {
        &self.table
    }

    /// Counters since the start.
    #[must_use]
    pub fn counters(&self) -> Counters {
        Counters {
            calls: self.store.calls(),
            ..self.counters
        }
    }

    /// Part of every cap that this process may use now.
    pub fn share(&mut self, now: Time) -> slot::Share {
        let is_sure = self.status == MemberStatus::Current;
        self.slot.share(now, is_sure)
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.status == MemberStatus::Superseded {
            return self.publish_if_due(now, out);
        }
        self.check_isolation(now, out);
        self.check_peers(now, out);
        if now >= self.next_heartbeat {
            self.heartbeat_round(now, out);
        }
        self.update_ranks(now, out);
        self.check_domains(out, now);
        self.rollout_step(now, out);
        self.store_step(now, out);
        self.publish_if_due(now, out);
    }

    /// Sends one round of heartbeats, about every [`HEARTBEAT_INTERVAL`].
    fn heartbeat_round(&mut self, now: Time, out: &mut Vec<Action>) {
        let step = HEARTBEAT_INTERVAL.mul_f64(0.95 + 0.1 * self.rng.f64());
        self.next_heartbeat = now + step;
        self.table.forget(now, TOMBSTONE_TTL);
        self.broadcast_heartbeat(now, false, out);
        self.try_hint(now, out);
        self.domain_round(now, out);
    }

    fn health(&self) -> HealthSummary {
        HealthSummary {
            version: self.tracker.version(),
            load: self.load,
            store: !self.store.is_unavailable(),
        }
    }

    fn send(&mut self, to: SocketAddr, content: message::Content, out: &mut Vec<Action>) {
        self.counters.sent += 1;
        let from = Arc::clone(&self.own);
        let message = message::Message { from, content };
        out.push(Action::Send { to, message });
    }

    fn leave(&mut self, now: Time, out: &mut Vec<Action>) {
        self.set_lifecycle(Lifecycle::Leaving);
        self.broadcast_heartbeat(now, false, out);
        self.announce_change(now, out);
    }

    /// Announces that this process stops. It releases its slot only if it holds
    /// it: a process still in quarantine doesn't know whether the previous
    /// holder stopped using it.
    fn stop(&mut self, now: Time, out: &mut Vec<Action>) {
        let can_release = self.status == MemberStatus::Current && self.slot.is_held(now);
        let lifecycle = if can_release {
            Lifecycle::Released
        } else {
            Lifecycle::Dead
        };
        self.set_lifecycle(lifecycle);
        self.broadcast_heartbeat(now, false, out);
        self.announce_change(now, out);
    }

    fn set_lifecycle(&mut self, lifecycle: Lifecycle) {
        let mut own = Record::clone(&self.own);
        own.serial += 1;
        own.lifecycle = lifecycle;
        self.set_record(own);
    }

    fn set_record(&mut self, own: Record) {
        self.own = Arc::new(own);
        self.is_dirty = true;
        self.sorted_entries = None;
    }

    fn publish_if_due(&mut self, now: Time, out: &mut Vec<Action>) {
        let share = self.share(now);
        let is_due = now.since(self.published_at) >= PUBLISH_INTERVAL_MAX;
        if !self.is_dirty && share == self.published_share && !is_due {
            return;
        }
        self.is_dirty = false;
        self.published_share = share;
        self.published_at = now;
        let members = self.members(now);
        out.push(Action::Publish(Snapshot {
            status: self.status,
            ready: self.is_ready(),
            version: self.tracker.version(),
            share,
            members: members.into(),
        }));
    }
}

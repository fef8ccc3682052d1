//! The control state of an entry instance: who else is there, which version is
//! in force, and whether this process may act on what it knows.
//!
//! Invariant: [`Control`] never goes back. The version in force only rises, a
//! process's word never replaces that of a later process of its name, and what
//! was known before a freeze isn't acted on until somebody confirms it.
//!
//! Topology. Within a failure domain every process sends a heartbeat to every
//! other. Between two domains [`REPRESENTATIVES`] processes of one of them do, to a few of
//! the other; which ones follows from a hash of the names, so nothing is
//! elected. Records are pushed when they change and compared by digests, so
//! nothing that stays the same is sent twice.

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

/// Longest time between two [`Event::Tick`]s that a healthy driver leaves.
pub const TICK_INTERVAL_MAX: Duration = Duration::from_millis(100);

/// Time between two heartbeats to the same process.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(700);

/// Silence after which others are asked whether they hear a process.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Silence after which a process of this domain is dropped.
pub const DROP_TIMEOUT: Duration = Duration::from_millis(2400);

/// Silence after which a whole failure domain is left out of look-ups.
pub const DOMAIN_TIMEOUT: Duration = Duration::from_millis(2800);

/// Gap between two events after which the process was frozen. It is so far
/// below [`DROP_TIMEOUT`] that no peer drops a process that doesn't notice its freeze.
pub const FREEZE_GAP_MIN: Duration = Duration::from_millis(1500);

/// Time in doubt after which a process that nobody answers is on its own.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after the first answer in which a starting process may still raise its
/// generation above that of a predecessor.
pub const JOIN_WINDOW: Duration = Duration::from_secs(5);

/// Shortest time between two raises of the generation.
pub const RAISE_INTERVAL_MIN: Duration = Duration::from_secs(1);

/// Time for which tombstones are kept: longer than any freeze that matters,
/// since the successor's record outlives it.
pub const TOMBSTONE_TTL: Duration = Duration::from_mins(15);

/// Processes of a domain that keep up the contact with another domain.
pub const REPRESENTATIVES: usize = 2;

/// Processes of a domain that watch the store's head.
pub const WATCHERS_PER_DOMAIN: usize = 2;

/// Versions after which the watchers change.
const WATCHER_ROTATION_VERSIONS: u64 = 16;

/// Longest time between two publications; changes are published at once.
const PUBLISH_INTERVAL_MAX: Duration = Duration::from_secs(2);

/// Control's state.
pub struct Control {
    me: Arc<Record>,
    load: u8,
    last: Time,
    answered: Option<Time>,
    joining: bool,
    raised: Option<Time>,
    status: MemberStatus,
    doubt: status::Doubt,
    table: table::Table,
    peers: Vec<peer::Peer>,
    fars: Vec<peer::Far>,
    hints: hints::Hints,
    sorted: Option<Vec<members::Line>>,
    tracker: tracker::Tracker,
    heard: Version,
    pull: Option<rollout::Pull>,
    fetches: Vec<rollout::Fetch>,
    holder: Option<SocketAddr>,
    store: store::Policy,
    alarms: rollout::Alarms,
    slot: slot::Slot,
    beat: Time,
    sync: Time,
    published: Time,
    dirty: bool,
    moved: bool,
    told: u64,
    shown: slot::Share,
    counters: Counters,
    rng: fastrand::Rng,
    guards: Safeguards,
}

impl Control {
    /// The state of a process that starts at `now` and knows nobody.
    #[must_use]
    pub fn new(now: Time, settings: Settings, mut rng: fastrand::Rng) -> Self {
        let Settings {
            identity,
            incarnation,
            generation,
            seeds,
            guards,
        } = settings;
        let me = Record {
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
            me: Arc::new(me),
            load: 0,
            last: now,
            answered: None,
            joining: true,
            raised: None,
            status: MemberStatus::Current,
            doubt: status::Doubt::default(),
            table: table::Table::default(),
            peers: Vec::new(),
            fars: Vec::new(),
            hints: hints::Hints::new(seeds),
            sorted: None,
            tracker: tracker::Tracker::new(guards.monotonic),
            heard: Version(0),
            pull: None,
            fetches: Vec::new(),
            holder: None,
            store: store::Policy::new(now, guards.reread, &mut rng),
            alarms: rollout::Alarms::default(),
            slot,
            beat: now,
            sync: now,
            published: now,
            dirty: true,
            moved: true,
            told: 0,
            shown,
            counters: Counters::default(),
            rng,
            guards,
        }
    }

    /// Takes one event and appends what is to be done to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.notice_freeze(now, out);
        match event {
            Event::Tick => self.tick(now, out),
            Event::Received(message) => self.receive(now, &message, out),
            Event::StoreReply { id, reply } => self.stored(now, id, reply, out),
            Event::Hints(hints) => self.hints.replace(hints),
            Event::Load(load) => self.load = load,
            Event::Installed { version, slots } => self.installed(now, version, slots, out),
            Event::Rejected(version) => self.rejected(version, out),
            Event::Leave => self.leave(now, out),
            Event::Stop => self.stop(now, out),
        }
    }

    /// Whether callers may be served: a version is in force, and no newer
    /// process has taken the name over.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.tracker.version() > Version(0) && self.status != MemberStatus::Superseded
    }

    /// Whether what the process knows may be acted on.
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

    /// What this process says of itself.
    #[must_use]
    pub const fn record(&self) -> &Arc<Record> {
        &self.me
    }

    /// All that is known of others, tombstones too.
    #[must_use]
    pub const fn table(&self) -> &table::Table {
        &self.table
    }

    /// What was counted since the start.
    #[must_use]
    pub fn counters(&self) -> Counters {
        Counters {
            calls: self.store.calls(),
            ..self.counters
        }
    }

    /// Part of every cap that this process may use now.
    pub fn share(&mut self, now: Time) -> slot::Share {
        let sure = self.status == MemberStatus::Current;
        self.slot.share(now, sure)
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.status == MemberStatus::Superseded {
            return self.publish_due(now, out);
        }
        self.age_doubt(now, out);
        self.check_peers(now, out);
        if now >= self.beat {
            self.round(now, out);
        }
        self.relink(now, out);
        self.check_fars(out, now);
        self.adopt_step(now, out);
        self.store_step(now, out);
        self.publish_due(now, out);
    }

    /// One round of heartbeats, each [`HEARTBEAT_INTERVAL`].
    fn round(&mut self, now: Time, out: &mut Vec<Action>) {
        let step = HEARTBEAT_INTERVAL.mul_f64(0.95 + 0.1 * self.rng.f64());
        self.beat = now + step;
        self.table.forget(now, TOMBSTONE_TTL);
        self.beat_all(now, false, out);
        self.try_hint(now, out);
        self.round_across(now, out);
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
        let from = Arc::clone(&self.me);
        let message = message::Message { from, content };
        out.push(Action::Send { to, message });
    }

    fn leave(&mut self, now: Time, out: &mut Vec<Action>) {
        self.set_lifecycle(Lifecycle::Leaving);
        self.beat_all(now, false, out);
        self.tell_across(now, out);
    }

    /// The last word of a process that stops. It gives up its slot only if it
    /// holds it: one still in quarantine knows nothing of the holder before it.
    fn stop(&mut self, now: Time, out: &mut Vec<Action>) {
        let holds = self.status == MemberStatus::Current && self.slot.is_held(now);
        let lifecycle = if holds {
            Lifecycle::Released
        } else {
            Lifecycle::Dead
        };
        self.set_lifecycle(lifecycle);
        self.beat_all(now, false, out);
        self.tell_across(now, out);
    }

    fn set_lifecycle(&mut self, lifecycle: Lifecycle) {
        let mut me = Record::clone(&self.me);
        me.serial += 1;
        me.lifecycle = lifecycle;
        self.set_me(me);
    }

    fn set_me(&mut self, me: Record) {
        self.me = Arc::new(me);
        self.dirty = true;
        self.sorted = None;
    }

    fn publish_due(&mut self, now: Time, out: &mut Vec<Action>) {
        let share = self.share(now);
        let due = now.since(self.published) >= PUBLISH_INTERVAL_MAX;
        if !self.dirty && share == self.shown && !due {
            return;
        }
        self.dirty = false;
        self.shown = share;
        self.published = now;
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

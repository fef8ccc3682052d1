//! Inputs and outputs of [`Control`](super::Control), and the switches for
//! tests.

use std::net::SocketAddr;
use std::sync::Arc;

use super::message::Message;
use super::store::{Call, CallId, Reply};
use crate::process::config::{Body, Head};
use crate::process::member::{Hint, Identity, Member, Stamp};
use crate::process::slot;
use crate::version::view::{Incarnation, Version};

/// Settings of a process at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name, domain and addresses of the process.
    pub identity: Identity,
    /// Random number drawn at this start.
    pub incarnation: Incarnation,
    /// Wall clock at the start, in milliseconds since 1970. A wrong clock does
    /// no harm as long as a peer remembers the process that had the name
    /// before.
    pub generation: u64,
    /// Addresses of peers from the settings file; may be empty.
    pub seeds: Vec<Hint>,
    /// Enabled safeguards; all but in tests.
    pub guards: Safeguards,
}

/// Switches that disable safeguards in tests. For each one a scenario shows
/// that the safeguard is needed; all are on in production.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each switch is turned off alone"
)]
pub struct Safeguards {
    /// The version in force only rises.
    pub monotonic: bool,
    /// Records of one name are ordered by their stamps.
    pub stamps: bool,
    /// A process detects that it was frozen, and acts on nothing until
    /// confirmed.
    pub doubt: bool,
    /// Every process re-reads the head from time to time, in case a watch
    /// missed a change.
    pub reread: bool,
    /// Versions are also fetched from peers.
    pub pull: bool,
    /// Other peers are queried before a silent process is dropped.
    pub confirm: bool,
    /// Other domains tell the processes of a domain about each other.
    pub introduce: bool,
    /// Safeguards of static shares.
    pub slot: slot::Guards,
}

impl Default for Safeguards {
    fn default() -> Self {
        Self {
            monotonic: true,
            stamps: true,
            doubt: true,
            reread: true,
            pull: true,
            confirm: true,
            introduce: true,
            slot: slot::Guards::default(),
        }
    }
}

/// Whether a process may act on its state, which may be out of date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberStatus {
    /// The state is confirmed to be up to date.
    Current,
    /// The process was frozen or declared dead, and no answer has confirmed it
    /// since. Until then it answers no look-ups, uses no share of a cap and
    /// starts no request that must not run twice.
    Doubt,
    /// In doubt, and cut off from all others. It may serve idempotent requests
    /// within its domain, but uses no share of a cap.
    Isolated,
    /// A newer process has its name. It finishes the work that it has and
    /// stops.
    Superseded,
}

impl MemberStatus {
    /// The name in dumps and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Current => "current",
            Self::Doubt => "doubt",
            Self::Isolated => "isolated",
            Self::Superseded => "superseded",
        }
    }
}

/// Inputs of control.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed; due at least every
    /// [`TICK_INTERVAL_MAX`](super::TICK_INTERVAL_MAX).
    Tick,
    /// A peer's message arrived. The driver has checked the peers' secret and
    /// the hash of each body.
    Received(Message),
    /// The store answered a call, or the driver's time limit for it passed. Due
    /// once for each call.
    StoreReply {
        /// Id of the call.
        id: CallId,
        /// The store's answer.
        reply: Reply,
    },
    /// A new list of addresses to try, which replaces the last one.
    Hints(Vec<Hint>),
    /// Load of this process in 1/255 of its capacity.
    Load(u8),
    /// The driver put a version in force, as [`Action::Install`] requested.
    Installed {
        /// Version now in force.
        version: Version,
        /// Number of entry instances in the version that share the caps; `None`
        /// if this one is not among them.
        slots: Option<u32>,
    },
    /// The driver's verifier rejected a version.
    Rejected(Version),
    /// The process shuts down and takes no new work from now on.
    Leave,
    /// The process uses no share any more, and stops once the resulting actions
    /// are carried out.
    Stop,
}

/// Outputs of control, for the driver to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message to a peer; it may be lost.
    Send {
        /// Address of the peer.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Call the store. [`Event::StoreReply`] is due once, within
    /// [`CALL_TIMEOUT`](super::store::CALL_TIMEOUT) beyond the call's own wait.
    Store {
        /// Id of the call.
        id: CallId,
        /// The call.
        call: Call,
    },
    /// Verify a version and put it in force; [`Event::Installed`] or
    /// [`Event::Rejected`] is due.
    Install {
        /// Head of the version.
        head: Arc<Head>,
        /// Bodies in the order of the head's files.
        bodies: Vec<Body>,
    },
    /// Publish a new snapshot for other threads.
    Publish(Snapshot),
    /// Log a change of state.
    Notice(Notice),
}

/// State of control that other threads read.
///
/// After a freeze other threads may run before control does, and read what it
/// published before. The driver therefore also publishes the time of the last
/// [`Event::Tick`]. A reader that finds it older than
/// [`FREEZE_GAP_MIN`](super::FREEZE_GAP_MIN) takes the status for
/// [`MemberStatus::Doubt`] and the share for nothing.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Whether the process may act on its state.
    pub status: MemberStatus,
    /// Whether callers may be served.
    pub ready: bool,
    /// Version in force; zero if none.
    pub version: Version,
    /// Part of every cap that the process may use.
    pub share: slot::Share,
    /// Processes that look-ups may return, this one included, sorted by name.
    pub members: Arc<[Member]>,
}

/// A change of state, logged by the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The store stopped answering.
    StoreAway,
    /// The store answers again.
    StoreBack,
    /// The store's version is below the one in force: it lost data.
    StoreBehind {
        /// Version in the store.
        stored: Version,
        /// Version in force at this process.
        force: Version,
    },
    /// The store's version is no longer below the one in force.
    StoreCaughtUp,
    /// Two different heads have this version; the one in force stays.
    Forked(Version),
    /// The verifier rejected this version; the one in force stays.
    Rejected(Version),
    /// This version is now in force.
    InForce(Version),
    /// The membership status changed.
    Standing(MemberStatus),
    /// The process raised its generation above another one's of its name; its
    /// new stamp.
    Raised(Stamp),
    /// The process of this name, in the local domain, stopped answering.
    Dropped(Arc<str>),
    /// This failure domain was not heard from within
    /// [`DOMAIN_TIMEOUT`](super::DOMAIN_TIMEOUT).
    DomainSilent(Arc<str>),
    /// This failure domain is heard from again.
    DomainBack(Arc<str>),
}

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages sent.
    pub sent: u64,
    /// Messages received.
    pub received: u64,
    /// Calls to the store.
    pub calls: u64,
    /// Calls to the store that failed.
    pub failed: u64,
    /// Received heads below the known version.
    pub stale: u64,
    /// Received heads with a known version and other content.
    pub forked: u64,
    /// Versions that the verifier rejected.
    pub rejected: u64,
    /// Versions put in force.
    pub installed: u64,
    /// Messages from processes that a newer one has replaced.
    pub outdated: u64,
    /// Silent processes about which peers were queried.
    pub suspected: u64,
    /// Processes dropped for silence.
    pub dropped: u64,
    /// Tombstones of this process that it refuted.
    pub refuted: u64,
    /// Freezes of this process that it detected.
    pub frozen: u64,
    /// Exchanges of digests started.
    pub syncs: u64,
}

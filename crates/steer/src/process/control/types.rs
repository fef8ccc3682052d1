//! What goes in and out of control.

use std::net::SocketAddr;
use std::sync::Arc;

use super::message::Message;
use super::store::{Call, CallId, Reply};
use crate::process::config::{Body, Head};
use crate::process::member::{Hint, Identity, Member, Stamp};
use crate::process::slot;
use crate::version::view::{Incarnation, Version};

/// What a process knows at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// What the process is.
    pub identity: Identity,
    /// Drawn at random for this start.
    pub incarnation: Incarnation,
    /// Wall clock at the start, in milliseconds since 1970. A clock that is
    /// wrong does no harm as long as a peer remembers the predecessor.
    pub generation: u64,
    /// Addresses from the settings file; may be empty.
    pub seeds: Vec<Hint>,
    /// Switches for tests; all on by default.
    pub guards: Safeguards,
}

/// Switches of the safeguards, each of which a scenario shows to be needed. All
/// are on in a live process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each switch is turned off alone"
)]
pub struct Safeguards {
    /// Versions in force only rise.
    pub monotonic: bool,
    /// Records of one name are ordered by their stamps.
    pub stamps: bool,
    /// A process notices that it was frozen.
    pub doubt: bool,
    /// Everybody reads the head now and then, whatever watches say.
    pub reread: bool,
    /// Versions are taken from peers.
    pub pull: bool,
    /// Others are asked before a silent process is dropped.
    pub confirm: bool,
    /// Other domains introduce the processes of a domain to each other.
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

/// Whether a process may act on what it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberStatus {
    /// It may.
    Current,
    /// It was frozen or held for dead, and nobody has answered it since. Until
    /// then it gives no look-ups, uses no share and starts nothing that must
    /// not repeat.
    Doubt,
    /// As [`Self::Doubt`], but nobody answers at all: it is cut off. It may
    /// serve idempotent requests within its domain; a share it has none.
    Isolated,
    /// A newer process has its name. It finishes what it runs and stops.
    Superseded,
}

impl MemberStatus {
    /// The word in dumps and logs.
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

/// What happens to control.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed; due at least every [`TICK_INTERVAL_MAX`](super::TICK_INTERVAL_MAX).
    Tick,
    /// A peer's message came. The driver has checked the peers' secret, and the
    /// hash of each body.
    Received(Message),
    /// The store answered a call, or didn't in time. Due once for each call.
    StoreReply {
        /// The call.
        id: CallId,
        /// Its answer.
        reply: Reply,
    },
    /// Addresses to try, in place of those of the last list.
    Hints(Vec<Hint>),
    /// Load of this process in 1/255 of what it can carry.
    Load(u8),
    /// The driver put a version in force, as [`Action::Install`] asked.
    Installed {
        /// The version.
        version: Version,
        /// Number of entry instances it names, if this one is among them.
        slots: Option<u32>,
    },
    /// The driver's verifier turned a version down.
    Rejected(Version),
    /// This process gets no new work from now on.
    Leave,
    /// This process uses no share any more and stops after the actions.
    Stop,
}

/// What control wants done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message to a peer; it may be lost.
    Send {
        /// The peer's address.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Call the store; [`Event::StoreReply`] is due once, within
    /// [`CALL_TIMEOUT`](super::store::CALL_TIMEOUT) beyond the call's own wait.
    Store {
        /// Names the call.
        id: CallId,
        /// The call.
        call: Call,
    },
    /// Verify a version and put it in force; [`Event::Installed`] or
    /// [`Event::Rejected`] is due.
    Install {
        /// Its head.
        head: Arc<Head>,
        /// Its bodies, in the order of the head's files.
        bodies: Vec<Body>,
    },
    /// What others read has changed.
    Publish(Snapshot),
    /// A change of state, worth one line in the log.
    Notice(Notice),
}

/// What other threads see of control.
///
/// After a freeze other threads may run before control does, and read what it
/// published before. So the driver also publishes the time of the last
/// [`Event::Tick`], and a reader that finds it older than [`FREEZE_GAP_MIN`](super::FREEZE_GAP_MIN)
/// reads the standing as [`MemberStatus::Doubt`] and the share as nothing.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Whether the process may act on what it knows.
    pub status: MemberStatus,
    /// Whether callers may be served.
    pub ready: bool,
    /// Version in force.
    pub version: Version,
    /// Part of every cap that the process may use.
    pub share: slot::Share,
    /// Processes that look-ups may name, this one included, sorted by name.
    pub members: Arc<[Member]>,
}

/// A change of state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The store stopped answering.
    StoreAway,
    /// The store answers again.
    StoreBack,
    /// The store holds an older version than the one in force: it lost data.
    StoreBehind {
        /// The store's version.
        stored: Version,
        /// Version in force here.
        force: Version,
    },
    /// The store holds the version in force, or a later one, again.
    StoreCaughtUp,
    /// Two lists of files under one version; the one in force stays.
    Forked(Version),
    /// The verifier turned a version down; the one in force stays.
    Rejected(Version),
    /// A version came in force.
    InForce(Version),
    /// Whether the process may act on what it knows has changed.
    Standing(MemberStatus),
    /// The process raised its generation above a predecessor's.
    Raised(Stamp),
    /// A process of this domain stopped answering.
    Dropped(Arc<str>),
    /// A failure domain is not heard any more.
    DomainSilent(Arc<str>),
    /// A failure domain is heard again.
    DomainBack(Arc<str>),
}

/// What control counts.
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
    /// Heads below the version known.
    pub stale: u64,
    /// Heads with the number of a known version and other files.
    pub forked: u64,
    /// Versions that the verifier turned down.
    pub rejected: u64,
    /// Versions put in force.
    pub installed: u64,
    /// Messages of processes that a newer one has replaced.
    pub outdated: u64,
    /// Times that others were asked about a silent process.
    pub suspected: u64,
    /// Processes dropped for silence.
    pub dropped: u64,
    /// Times that this process refuted its own death.
    pub refuted: u64,
    /// Times that this process found itself frozen.
    pub frozen: u64,
    /// Digest comparisons asked for.
    pub syncs: u64,
}

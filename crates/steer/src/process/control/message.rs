//! What entry instances tell each other about membership and configuration.
//!
//! Invariant: a message carries no time of a shared clock. A probe is the
//! sender's own time, which the receiver sends back unread, so that the sender
//! knows by its own clock how old the evidence in an answer is.

use core::time::Duration;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::clock::Time;
use crate::process::config::{Body, Hash, Head};
use crate::process::member::table::Digest;
use crate::process::member::{HealthSummary, Record, Stamp, Summary};
use crate::version::view::Version;

/// A message between two entry instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The sender, as it is now.
    pub from: Arc<Record>,
    /// What it says.
    pub content: Content,
}

impl Message {
    /// Where an answer goes.
    #[must_use]
    pub fn reply_addr(&self) -> SocketAddr {
        self.from.identity.peer
    }
}

/// How recently a failure domain was heard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainSeen {
    /// Name of the failure domain.
    pub domain: Arc<str>,
    /// Time since the sender heard it itself.
    pub age: Duration,
}

/// A heartbeat within a failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Heartbeat {
    /// The sender's.
    pub health: HealthSummary,
    /// Whether an answer is wanted at once.
    pub reply: bool,
    /// The sender's own time.
    pub probe: Time,
    /// The newest probe that the sender had from the receiver.
    pub echo: Option<Time>,
    /// Set if the sender holds the receiver for dead: the serial of that
    /// tombstone, above which the receiver has to raise its own.
    pub tombstone: Option<u32>,
    /// Digest of the sender's table over all domains.
    pub digest: u64,
    /// Domains that the sender hears itself.
    pub domains_seen: Vec<DomainSeen>,
}

/// A heartbeat between two failure domains.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DomainHeartbeat {
    /// The sender's domain, in short.
    pub summary: Summary,
    /// Digest of the sender's rows of its own domain.
    pub digest: u64,
    /// Whether an answer is wanted.
    pub reply: bool,
    /// The sender's own time.
    pub probe: Time,
    /// The newest probe that the sender had from the receiver.
    pub echo: Option<Time>,
    /// As in [`Heartbeat::tombstone`].
    pub tombstone: Option<u32>,
}

/// The kinds of messages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content {
    /// Heartbeat within a domain.
    Heartbeat(Heartbeat),
    /// Heartbeat between domains.
    DomainHeartbeat(DomainHeartbeat),
    /// The sender's digests; the receiver answers with what differs.
    Sync(Vec<Digest>),
    /// Asks for the rows of these domains.
    RecordsRequest(Vec<Arc<str>>),
    /// Rows of one or several domains.
    Records(Vec<Arc<Record>>),
    /// The receiver's name was taken over by the process of this stamp.
    Superseded(Stamp),
    /// The receiver's predecessor gave up its shares before it stopped.
    Succeeded(Stamp),
    /// Asks whether a process of the sender's domain was heard lately.
    PeerQuery(Arc<str>),
    /// Answer to [`Content::PeerQuery`].
    PeerSeen {
        /// Name of the process.
        name: Arc<str>,
        /// Which process of that name.
        stamp: Stamp,
        /// Time since it was heard.
        age: Duration,
    },
    /// Asks for a head above this version.
    Pull(Version),
    /// The head in force at the sender.
    Offer(Arc<Head>),
    /// Asks for bodies.
    Fetch(Vec<Hash>),
    /// Bodies asked for; those that the sender lacks are left out.
    Bodies(Vec<Body>),
}

//! Messages between entry instances about membership and configuration.
//!
//! Invariant: no message depends on synchronized clocks. A probe is the
//! sender's own time, which the receiver echoes without reading it, so that the
//! sender knows by its own clock how old the information in an answer is.

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
    /// Current record of the sender.
    pub from: Arc<Record>,
    /// The message itself.
    pub content: Content,
}

impl Message {
    /// Address for answers.
    #[must_use]
    pub fn reply_addr(&self) -> SocketAddr {
        self.from.identity.peer
    }
}

/// Age of the last contact with a failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainSeen {
    /// Name of the failure domain.
    pub domain: Arc<str>,
    /// Time since the sender itself last heard from it.
    pub age: Duration,
}

/// A heartbeat within a failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Heartbeat {
    /// Health of the sender.
    pub health: HealthSummary,
    /// Whether an immediate answer is requested.
    pub reply: bool,
    /// Local time of the sender.
    pub probe: Time,
    /// The newest probe that the sender received from the receiver.
    pub echo: Option<Time>,
    /// Serial of the receiver's tombstone at the sender, if there is one. The
    /// receiver refutes it by raising its own serial above.
    pub tombstone: Option<u32>,
    /// Digest of the sender's table over all domains.
    pub table_digest: u64,
    /// Domains that the sender itself heard from lately.
    pub domains_seen: Vec<DomainSeen>,
}

/// A heartbeat between two failure domains.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DomainHeartbeat {
    /// Summary of the sender's domain.
    pub summary: Summary,
    /// Digest of the sender's rows of its own domain.
    pub digest: u64,
    /// Whether an answer is requested.
    pub reply: bool,
    /// Local time of the sender.
    pub probe: Time,
    /// The newest probe that the sender received from the receiver.
    pub echo: Option<Time>,
    /// As [`Heartbeat::tombstone`].
    pub tombstone: Option<u32>,
}

/// Kinds of messages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content {
    /// Heartbeat within a domain.
    Heartbeat(Heartbeat),
    /// Heartbeat between domains.
    DomainHeartbeat(DomainHeartbeat),
    /// Digests of the sender's table. The receiver answers with its rows of
    /// domains that differ.
    Sync(Vec<Digest>),
    /// Requests the records of these domains.
    RecordsRequest(Vec<Arc<str>>),
    /// Records of one or more domains.
    Records(Vec<Arc<Record>>),
    /// The process of this stamp took the receiver's name over.
    Superseded(Stamp),
    /// The receiver's predecessor, of this stamp, released its shares before it
    /// stopped.
    Succeeded(Stamp),
    /// Asks when a process of the sender's domain was last heard from.
    PeerQuery(Arc<str>),
    /// Answer to [`Content::PeerQuery`].
    PeerSeen {
        /// Name of the process.
        name: Arc<str>,
        /// Stamp of the process that was heard from.
        stamp: Stamp,
        /// Time since the sender last heard from it.
        age: Duration,
    },
    /// Requests the head in force; answered unless it has this version.
    Pull(Version),
    /// The head in force at the sender.
    Offer(Arc<Head>),
    /// Requests bodies.
    Fetch(Vec<Hash>),
    /// Requested bodies, without those that the sender lacks and those beyond
    /// the size limit.
    Bodies(Vec<Body>),
}

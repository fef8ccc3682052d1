//! Messages between entry instances: heartbeats, membership records, and the exchange
//! of configurations.
//!
//! Messages are encoded by bincode with variable-length integers, as by the transport
//! of calls between processes; [`Message::encode`] returns the payload of a call.
//!
//! Invariant: fields and variants are encoded by position. Their order and types are
//! part of the protocol.

mod convert;

use std::net::SocketAddr;

use bincode::Options;
use serde::{Deserialize, Serialize};

/// Largest length of a name in bytes.
pub const NAME_MAX: usize = 128;

/// Errors in decoding a peer's message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// The bytes are not a message.
    #[error("not a message of this release: {0}; check that peers run releases that fit")]
    Bytes(String),
    /// A name is empty or longer than [`NAME_MAX`].
    #[error("a name of {0} bytes; names have 1 to 128, correct the peer's settings")]
    Name(usize),
    /// The files of the head of this version are not sorted by name, or a name is repeated.
    #[error("the files of head {0} are not in order; replace the peer that sent it")]
    Order(u64),
    /// The head of this version has version 0, no recent change, or too many of them.
    #[error("head {0} is not a whole one; replace the peer that sent it")]
    Head(u64),
}

/// Twin of [`steer::process::member::Stamp`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Orders the processes that ran under one name.
    pub generation: u64,
    /// Random number of the process, little-endian.
    pub incarnation: [u8; 8],
}

/// Twin of [`steer::process::member::Lifecycle`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lifecycle {
    /// Accepts new work.
    Live,
    /// Finishes the work that it has.
    Leaving,
    /// Stopped, and released its shares of all caps.
    Released,
    /// Stopped answering, or stopped without releasing its shares.
    Dead,
}

/// Twin of [`steer::process::member::Record`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Configured name of the process.
    pub name: String,
    /// Name of its failure domain.
    pub domain: String,
    /// Address for callers.
    pub addr: SocketAddr,
    /// Address for peers.
    pub peer: SocketAddr,
    /// Orders the process among those of its name.
    pub stamp: Stamp,
    /// Raised with each change of the lifecycle, and to refute a tombstone.
    pub serial: u32,
    /// Lifecycle as of this serial.
    #[serde(rename = "life")]
    pub lifecycle: Lifecycle,
}

/// Twin of [`steer::process::member::HealthSummary`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthSummary {
    /// Version of the configuration in force; 0 if none.
    pub version: u64,
    /// Load in 1/255 of the process's capacity.
    pub load: u8,
    /// Whether the process reaches the store.
    pub store: bool,
}

/// Twin of [`steer::process::member::Summary`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Number of live processes.
    pub count: u32,
    /// Lowest version in force.
    pub oldest: u64,
    /// Highest version in force.
    pub newest: u64,
    /// Mean load in 1/255.
    pub load: u8,
}

/// Twin of [`steer::process::control::message::DomainSeen`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainSeen {
    /// Name of the failure domain.
    pub domain: String,
    /// Milliseconds since the sender last received a message from it.
    pub age_ms: u32,
}

/// Twin of [`steer::process::control::message::Heartbeat`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Load and health of the sender.
    #[serde(rename = "vitals")]
    pub health: HealthSummary,
    /// Whether an answer is requested.
    pub reply: bool,
    /// Local time of the sender in microseconds.
    pub probe: u64,
    /// Newest probe that the sender received from the receiver.
    pub echo: Option<u64>,
    /// Serial of the receiver's tombstone at the sender, if there is one.
    #[serde(rename = "held")]
    pub tombstone: Option<u32>,
    /// Digest of the sender's table, little-endian.
    #[serde(rename = "total")]
    pub table_digest: [u8; 8],
    /// Domains from which the sender recently received messages.
    #[serde(rename = "heard")]
    pub domains_seen: Vec<DomainSeen>,
}

/// Twin of [`steer::process::control::message::DomainHeartbeat`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainHeartbeat {
    /// Summary of the sender's domain.
    pub summary: Summary,
    /// Digest of the records of the sender's domain, little-endian.
    pub digest: [u8; 8],
    /// Whether an answer is requested.
    pub reply: bool,
    /// Local time of the sender in microseconds.
    pub probe: u64,
    /// Newest probe that the sender received from the receiver.
    pub echo: Option<u64>,
    /// Serial of the receiver's tombstone at the sender, if there is one.
    #[serde(rename = "held")]
    pub tombstone: Option<u32>,
}

/// Twin of [`steer::process::member::table::Digest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Name of the failure domain.
    pub domain: String,
    /// Digest of the domain's records, little-endian.
    pub value: [u8; 8],
}

/// Twin of [`steer::process::config::File`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct File {
    /// Name of the file.
    pub name: String,
    /// SHA-256 of the file's content.
    pub hash: [u8; 32],
}

/// Twin of [`steer::process::config::Change`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Version that the change produced.
    pub version: u64,
    /// Id of the change.
    pub id: String,
}

/// Twin of [`steer::process::config::Head`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Version of the configuration.
    pub version: u64,
    /// Most recent changes, newest first.
    pub recent: Vec<Change>,
    /// Files, sorted by name.
    pub files: Vec<File>,
}

/// Twin of [`steer::process::config::Body`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Body {
    /// SHA-256 of the content.
    pub hash: [u8; 32],
    /// The content.
    pub bytes: Vec<u8>,
}

/// Twin of [`steer::process::control::message::Content`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// Heartbeat within a domain.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// Heartbeat between domains.
    #[serde(rename = "Across")]
    DomainHeartbeat(DomainHeartbeat),
    /// Digests to compare with the receiver's.
    Sync(Vec<Digest>),
    /// Requests the records of these domains.
    #[serde(rename = "Want")]
    RecordsRequest(Vec<String>),
    /// Records of one or more domains.
    #[serde(rename = "Rows")]
    Records(Vec<Record>),
    /// The process of this stamp took over the receiver's name.
    Superseded(Stamp),
    /// The receiver's predecessor, of this stamp, released its shares.
    Succeeded(Stamp),
    /// Asks when the process of this name was last heard from.
    #[serde(rename = "Ask")]
    PeerQuery(String),
    /// Answer to [`Content::PeerQuery`].
    #[serde(rename = "Told")]
    PeerSeen {
        /// Name of the process.
        name: String,
        /// Stamp of the process.
        stamp: Stamp,
        /// Milliseconds since the sender last received a message from it.
        age_ms: u32,
    },
    /// Requests the head in force unless it has this version.
    Pull(u64),
    /// The head in force at the sender.
    Offer(Head),
    /// Requests the bodies with these hashes.
    Fetch(Vec<[u8; 32]>),
    /// Requested bodies.
    Bodies(Vec<Body>),
}

/// Twin of [`steer::process::control::message::Message`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Record of the sender.
    pub from: Record,
    /// Content of the message.
    pub content: Content,
}

fn codec() -> impl Options {
    bincode::DefaultOptions::new()
}

impl Message {
    /// Encodes the payload of a call.
    ///
    /// # Errors
    /// None in practice: every value of these types can be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, Malformed> {
        let bytes = codec().serialize(self);
        bytes.map_err(|e| Malformed::Bytes(e.to_string()))
    }

    /// Decodes the payload of a call.
    ///
    /// # Errors
    /// [`Malformed::Bytes`] if the bytes are not a message.
    pub fn decode(bytes: &[u8]) -> Result<Self, Malformed> {
        let message = codec().deserialize(bytes);
        message.map_err(|e| Malformed::Bytes(e.to_string()))
    }

    /// Size of the payload in bytes.
    #[must_use]
    pub fn wire_size(&self) -> u64 {
        codec().serialized_size(self).unwrap_or(u64::MAX)
    }
}

//! Heartbeats and exchange of configurations between entry instances.
//!
//! The bytes are bincode's with variable-length integers, as the transport of
//! the calls between processes writes them, so [`Message::encode`] gives the
//! payload that a call carries.

mod convert;

use std::net::SocketAddr;

use bincode::Options;
use serde::{Deserialize, Serialize};

/// Longest name in bytes.
pub const NAME_MAX: usize = 128;

/// Why a peer's message can't be taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// The bytes are no message.
    #[error("not a message of this release: {0}; check that peers run releases that fit")]
    Bytes(String),
    /// A name is empty or longer than [`NAME_MAX`].
    #[error("a name of {0} bytes; names have 1 to 128, correct the peer's settings")]
    Name(usize),
    /// A head's files are not sorted by name, each once.
    #[error("the files of head {0} are not in order; replace the peer that sent it")]
    Order(u64),
    /// A head without a version, or with more changes than one remembers.
    #[error("head {0} is not a whole one; replace the peer that sent it")]
    Head(u64),
}

/// Twin of [`steer::process::member::Stamp`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Orders the processes of one name.
    pub generation: u64,
    /// Which process.
    pub incarnation: [u8; 8],
}

/// Twin of [`steer::process::member::Lifecycle`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lifecycle {
    /// Takes new work.
    Live,
    /// Finishes what it has.
    Leaving,
    /// Stopped, and gave up its shares.
    Released,
    /// Stopped answering.
    Dead,
}

/// Twin of [`steer::process::member::Record`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Configured name.
    pub name: String,
    /// Name of its failure domain.
    pub domain: String,
    /// Where callers reach it.
    pub addr: SocketAddr,
    /// Where its peers reach it.
    pub peer: SocketAddr,
    /// Which process.
    pub stamp: Stamp,
    /// Raised with each change of its life.
    pub serial: u32,
    /// Where it is in its life.
    #[serde(rename = "life")]
    pub lifecycle: Lifecycle,
}

/// Twin of [`steer::process::member::HealthSummary`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthSummary {
    /// Version in force.
    pub version: u64,
    /// Load in 1/255.
    pub load: u8,
    /// Whether it reaches the store.
    pub store: bool,
}

/// Twin of [`steer::process::member::Summary`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Processes alive.
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
    /// Milliseconds since the sender heard it.
    pub age_ms: u32,
}

/// Twin of [`steer::process::control::message::Heartbeat`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's.
    #[serde(rename = "vitals")]
    pub health: HealthSummary,
    /// Whether an answer is wanted.
    pub reply: bool,
    /// Sender's own time in microseconds.
    pub probe: u64,
    /// Receiver's newest probe.
    pub echo: Option<u64>,
    /// Serial of the receiver's tombstone at the sender.
    #[serde(rename = "held")]
    pub tombstone: Option<u32>,
    /// Digest of the sender's table.
    #[serde(rename = "total")]
    pub table_digest: [u8; 8],
    /// Domains that the sender hears.
    #[serde(rename = "heard")]
    pub domains_seen: Vec<DomainSeen>,
}

/// Twin of [`steer::process::control::message::DomainHeartbeat`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainHeartbeat {
    /// The sender's domain, in short.
    pub summary: Summary,
    /// Digest of its rows.
    pub digest: [u8; 8],
    /// Whether an answer is wanted.
    pub reply: bool,
    /// Sender's own time in microseconds.
    pub probe: u64,
    /// Receiver's newest probe.
    pub echo: Option<u64>,
    /// Serial of the receiver's tombstone at the sender.
    #[serde(rename = "held")]
    pub tombstone: Option<u32>,
}

/// Twin of [`steer::process::member::table::Digest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Name of the failure domain.
    pub domain: String,
    /// Digest of its rows.
    pub value: [u8; 8],
}

/// Twin of [`steer::process::config::File`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct File {
    /// Its name.
    pub name: String,
    /// SHA-256 of its content.
    pub hash: [u8; 32],
}

/// Twin of [`steer::process::config::Change`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Version that it made.
    pub version: u64,
    /// Its id.
    pub id: String,
}

/// Twin of [`steer::process::config::Head`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Version.
    pub version: u64,
    /// The last changes, newest first.
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
    /// Digests to compare.
    Sync(Vec<Digest>),
    /// Asks for domains' rows.
    #[serde(rename = "Want")]
    RecordsRequest(Vec<String>),
    /// Rows.
    #[serde(rename = "Rows")]
    Records(Vec<Record>),
    /// The receiver's name was taken over.
    Superseded(Stamp),
    /// The receiver's predecessor gave up its shares.
    Succeeded(Stamp),
    /// Asks about a process.
    #[serde(rename = "Ask")]
    PeerQuery(String),
    /// Answer to it.
    #[serde(rename = "Told")]
    PeerSeen {
        /// The process's name.
        name: String,
        /// Which process.
        stamp: Stamp,
        /// Milliseconds since it was heard.
        age_ms: u32,
    },
    /// Asks for a head above this version.
    Pull(u64),
    /// A head.
    Offer(Head),
    /// Asks for bodies.
    Fetch(Vec<[u8; 32]>),
    /// Bodies.
    Bodies(Vec<Body>),
}

/// Twin of [`steer::process::control::message::Message`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: Record,
    /// What it says.
    pub content: Content,
}

fn codec() -> impl Options {
    bincode::DefaultOptions::new()
}

impl Message {
    /// The bytes of the payload.
    ///
    /// # Errors
    /// None in practice: the types hold nothing that can't be written.
    pub fn encode(&self) -> Result<Vec<u8>, Malformed> {
        let bytes = codec().serialize(self);
        bytes.map_err(|e| Malformed::Bytes(e.to_string()))
    }

    /// Reads a payload.
    ///
    /// # Errors
    /// [`Malformed::Bytes`] if the bytes are no message.
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

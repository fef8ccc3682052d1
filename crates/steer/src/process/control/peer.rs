//! State kept of each process of the local failure domain, and of each other
//! domain.

use std::net::SocketAddr;
use std::sync::Arc;

use super::HEARTBEAT_INTERVAL;
use crate::clock::Time;
use crate::process::member::{HealthSummary, Stamp, Summary};

/// A live process of the local domain.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    /// Configured name.
    pub(super) name: Arc<str>,
    /// Stamp of the process.
    pub(super) stamp: Stamp,
    /// Address for messages.
    pub(super) addr: SocketAddr,
    /// When this process, or a peer queried about it, last heard from it.
    pub(super) last_seen: Time,
    /// When this process itself last heard from it.
    pub(super) last_direct: Option<Time>,
    /// Its newest probe, by its own clock.
    pub(super) probe: Option<Time>,
    /// Health in its last heartbeat.
    pub(super) health: HealthSummary,
    /// Whether other peers were queried about its present silence.
    pub(super) is_queried: bool,
    /// Consecutive heartbeats in which its table's digest differed from the
    /// local one.
    pub(super) mismatches: u8,
}

/// Another failure domain.
#[derive(Clone, Debug)]
pub(super) struct RemoteDomain {
    /// Name of the domain.
    pub(super) name: Arc<str>,
    /// When this process, or another one of the local domain, last heard from
    /// it.
    pub(super) last_seen: Option<Time>,
    /// When this process itself last heard from it.
    pub(super) last_direct: Option<Time>,
    /// Summary in its last heartbeat.
    pub(super) summary: Summary,
    /// Whether its silence has been reported.
    pub(super) is_silent: bool,
    /// Rank of this process in its own domain for this pair of domains; the
    /// lowest ranks are the representatives.
    pub(super) rank: Option<usize>,
    /// Heartbeats sent, to alternate between contacts.
    pub(super) turn: usize,
    /// When its records were last requested.
    pub(super) requested_at: Option<Time>,
    /// Its processes that lately requested an answer from this one.
    pub(super) inbound: Vec<Contact>,
    /// Its processes that lately answered this one.
    pub(super) outbound: Vec<Contact>,
}

/// A process of another domain that lately sent a heartbeat.
#[derive(Clone, Copy, Debug)]
pub(super) struct Contact {
    /// Address for messages.
    pub(super) addr: SocketAddr,
    /// When it was last heard from.
    pub(super) last_seen: Time,
    /// Its newest probe, by its own clock.
    pub(super) probe: Time,
}

/// Adds or replaces a contact, and removes those not heard from for five
/// heartbeat intervals.
pub(super) fn note(contacts: &mut Vec<Contact>, contact: Contact) {
    let now = contact.last_seen;
    contacts.retain(|c| c.addr != contact.addr && now.since(c.last_seen) < HEARTBEAT_INTERVAL * 5);
    contacts.push(contact);
}

impl RemoteDomain {
    /// A domain of which only the name is known.
    pub(super) fn new(name: &Arc<str>) -> Self {
        Self {
            name: Arc::clone(name),
            last_seen: None,
            last_direct: None,
            summary: Summary::default(),
            is_silent: true,
            rank: None,
            turn: 0,
            requested_at: None,
            inbound: Vec::new(),
            outbound: Vec::new(),
        }
    }
}

//! What is kept of each process of the home domain, and of each other domain.

use std::net::SocketAddr;
use std::sync::Arc;

use super::HEARTBEAT_INTERVAL;
use crate::clock::Time;
use crate::process::member::{HealthSummary, Stamp, Summary};

/// A live process of the home domain.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    /// Its name.
    pub(super) name: Arc<str>,
    /// Which process of that name.
    pub(super) stamp: Stamp,
    /// Where it is reached.
    pub(super) addr: SocketAddr,
    /// When it was last heard, by this process or by one asked about it.
    pub(super) heard: Time,
    /// When this process heard it itself.
    pub(super) direct: Option<Time>,
    /// Its newest probe, in its own time.
    pub(super) probe: Option<Time>,
    /// Its vitals.
    pub(super) health: HealthSummary,
    /// Whether others were asked about it since it was last heard.
    pub(super) asked: bool,
    /// Heartbeats in a row in which its table differed from this one's.
    pub(super) differs: u8,
}

/// Another failure domain.
#[derive(Clone, Debug)]
pub(super) struct Far {
    /// Its name.
    pub(super) name: Arc<str>,
    /// When it was last heard, by this process or another of the home domain.
    pub(super) heard: Option<Time>,
    /// When this process heard it itself.
    pub(super) direct: Option<Time>,
    /// What it said of itself.
    pub(super) summary: Summary,
    /// Whether its silence was noticed.
    pub(super) silent: bool,
    /// This process's rank among those that keep up the contact.
    pub(super) rank: Option<usize>,
    /// Heartbeats sent, to alternate between contacts.
    pub(super) turn: usize,
    /// When its rows were last asked for.
    pub(super) wanted: Option<Time>,
    /// Its processes that called this one lately.
    pub(super) callers: Vec<Contact>,
    /// Its processes that answered this one lately.
    pub(super) answers: Vec<Contact>,
}

/// A process of another domain that this one speaks with.
#[derive(Clone, Copy, Debug)]
pub(super) struct Contact {
    /// Where it is reached.
    pub(super) addr: SocketAddr,
    /// When it last spoke.
    pub(super) heard: Time,
    /// Its newest probe, in its own time.
    pub(super) probe: Time,
}

/// Puts a contact in place of its older self, and drops those long silent.
pub(super) fn note(contacts: &mut Vec<Contact>, contact: Contact) {
    let now = contact.heard;
    contacts.retain(|c| c.addr != contact.addr && now.since(c.heard) < HEARTBEAT_INTERVAL * 5);
    contacts.push(contact);
}

impl Far {
    /// A domain of which only the name is known.
    pub(super) fn new(name: &Arc<str>) -> Self {
        Self {
            name: Arc::clone(name),
            heard: None,
            direct: None,
            summary: Summary::default(),
            silent: true,
            rank: None,
            turn: 0,
            wanted: None,
            callers: Vec::new(),
            answers: Vec::new(),
        }
    }
}

//! Heartbeats and failure detection within the local failure domain.
//!
//! Invariant: apart from messages about this process's own name, a message
//! changes nothing unless its sender is the newest known process of its name and
//! not declared dead at its serial.

use core::time::Duration;
use std::sync::Arc;

use super::message::{Content, DomainSeen, Heartbeat, Message};
use super::peer::Peer;
use super::{Action, Control, DOMAIN_TIMEOUT, DROP_TIMEOUT, MemberStatus, Notice, SUSPECT_TIMEOUT};
use crate::clock::Time;
use crate::process::member::table::Merge;
use crate::process::member::{HealthSummary, Lifecycle, Record, Stamp};

/// Number of peers that are queried about a silent one.
const QUERIED_PEERS_MAX: usize = 3;

impl Control {
    /// Handles a message of any kind.
    pub(super) fn receive(&mut self, now: Time, message: &Message, out: &mut Vec<Action>) {
        self.counters.received += 1;
        let from = &message.from;
        if self.is_own(from) {
            return self.handle_namesake(now, from, out);
        }
        if self.status == MemberStatus::Superseded {
            return;
        }
        if let Content::Superseded(stamp) = message.content {
            return self.handle_superseded(now, stamp, out);
        }
        if !self.admit_sender(now, message, out) {
            return;
        }
        let is_local = from.identity.domain == self.own.identity.domain;
        match &message.content {
            Content::Heartbeat(beat) if is_local => self.handle_heartbeat(now, from, beat, out),
            Content::DomainHeartbeat(beat) if !is_local => self.handle_remote(now, from, beat, out),
            Content::Heartbeat(_) | Content::DomainHeartbeat(_) | Content::Superseded(_) => {}
            Content::Sync(digests) => {
                let domains = self.differing_domains(digests);
                self.send_records(message, &domains, out);
            }
            Content::RecordsRequest(domains) => self.send_records(message, domains, out),
            Content::Records(rows) => self.merge_records(now, rows, is_local, out),
            Content::Succeeded(stamp) => self.slot.note_release(now, *stamp),
            Content::PeerQuery(name) => self.answer_query(now, message, name, out),
            Content::PeerSeen { name, stamp, age } => self.note_peer_seen(now, name, *stamp, *age),
            Content::Pull(_) | Content::Offer(_) | Content::Fetch(_) | Content::Bodies(_) => {
                self.handle_transfer(now, message, out);
            }
        }
    }

    pub(super) fn is_own(&self, record: &Record) -> bool {
        let own = &self.own.identity;
        record.identity.name == own.name && record.identity.domain == own.domain
    }

    /// Handles a message from another process of this process's name; the one
    /// with the higher stamp keeps the name.
    fn handle_namesake(&mut self, now: Time, from: &Arc<Record>, out: &mut Vec<Action>) {
        self.handle_own_name(now, from, out);
        if from.stamp < self.own.stamp && self.guards.stamps {
            let content = Content::Superseded(self.own.stamp);
            self.send(from.identity.peer, content, out);
        }
    }

    /// Checks that the sender is the newest known process of its name and not
    /// declared dead, and merges its record. Returns false if the message must
    /// be ignored; the sender is told why.
    fn admit_sender(&mut self, now: Time, message: &Message, out: &mut Vec<Action>) -> bool {
        let from = &message.from;
        let to = message.reply_addr();
        let known = self.table.get(&from.identity.domain, &from.identity.name);
        if let Some(row) = known.map(|row| Arc::clone(&row.record)) {
            if row.stamp > from.stamp && self.guards.stamps {
                self.counters.outdated += 1;
                self.send(to, Content::Superseded(row.stamp), out);
                return false;
            }
            let is_dead = row.stamp == from.stamp && !row.lifecycle.is_alive();
            if is_dead && from.lifecycle.is_alive() && row.serial >= from.serial {
                self.send_tombstone(now, from, row.serial, out);
                return false;
            }
        }
        let merged = self.table.merge(now, from, self.guards.stamps);
        if merged == Merge::Outdated {
            return true;
        }
        if let Merge::Succeeded(stamp) = merged {
            self.send(to, Content::Succeeded(stamp), out);
        }
        if from.identity.domain != self.own.identity.domain {
            self.forward_records(std::slice::from_ref(from), out);
        }
        self.rebuild_peers(now);
        true
    }

    /// Rebuilds the list of peers after a change of the table, and drops what
    /// is derived from it.
    pub(super) fn rebuild_peers(&mut self, now: Time) {
        self.is_dirty = true;
        self.is_rank_stale = true;
        self.sorted_entries = None;
        let rows = self.table.domain(&self.own.identity.domain);
        let alive = rows.iter().filter(|row| row.record.lifecycle.is_alive());
        let mut peers = Vec::new();
        for row in alive {
            let record = &row.record;
            let identity = &record.identity;
            if identity.name == self.own.identity.name {
                continue;
            }
            let old = self.peers.binary_search_by(|p| p.name.cmp(&identity.name));
            let old = old.ok().map(|at| self.peers[at].clone());
            let kept = old.filter(|p| p.stamp == record.stamp);
            peers.push(kept.unwrap_or_else(|| Peer {
                name: Arc::clone(&identity.name),
                stamp: record.stamp,
                addr: identity.peer,
                last_seen: now,
                last_direct: None,
                probe: None,
                health: HealthSummary::default(),
                is_queried: false,
                mismatches: 0,
            }));
        }
        self.peers = peers;
    }

    fn handle_heartbeat(
        &mut self,
        now: Time,
        from: &Arc<Record>,
        heartbeat: &Heartbeat,
        out: &mut Vec<Action>,
    ) {
        if let Some(serial) = heartbeat.tombstone {
            return self.refute(now, serial, out);
        }
        let total = self.table.total();
        let found = self
            .peers
            .binary_search_by(|p| p.name.cmp(&from.identity.name));
        if let Ok(at) = found {
            let peer = &mut self.peers[at];
            peer.last_seen = now;
            peer.last_direct = Some(now);
            peer.is_queried = false;
            peer.probe = Some(heartbeat.probe);
            peer.health = heartbeat.health;
            let is_same = heartbeat.table_digest == total;
            peer.mismatches = if is_same {
                0
            } else {
                peer.mismatches.saturating_add(1)
            };
            let mismatches = peer.mismatches;
            self.sync_if_due(now, from, mismatches, out);
        }
        for seen in &heartbeat.domains_seen {
            self.note_domain_seen(now, &seen.domain, seen.age);
        }
        if let Some(echo) = heartbeat.echo {
            self.confirm(now, echo, heartbeat.health.version, out);
        }
        self.note_version(now, heartbeat.health.version, from, out);
        if heartbeat.reply {
            self.send_heartbeat(now, &from.identity.name, false, out);
        }
    }

    /// Sends a heartbeat to every process of the domain. `reply` requests
    /// immediate answers, which a process that isn't confirmed does in any
    /// case.
    pub(super) fn broadcast_heartbeat(&mut self, now: Time, reply: bool, out: &mut Vec<Action>) {
        self.merge_own_record(now);
        let reply = reply || self.status != MemberStatus::Current;
        let heartbeat = self.new_heartbeat(now, reply);
        for at in 0..self.peers.len() {
            let peer = &self.peers[at];
            let to = peer.addr;
            let heartbeat = Heartbeat {
                echo: peer.probe,
                ..heartbeat.clone()
            };
            self.send(to, Content::Heartbeat(heartbeat), out);
        }
    }

    fn send_heartbeat(&mut self, now: Time, name: &str, reply: bool, out: &mut Vec<Action>) {
        let Ok(at) = self.peers.binary_search_by(|p| (*p.name).cmp(name)) else {
            return;
        };
        let peer = &self.peers[at];
        let to = peer.addr;
        let heartbeat = Heartbeat {
            echo: peer.probe,
            ..self.new_heartbeat(now, reply)
        };
        self.send(to, Content::Heartbeat(heartbeat), out);
    }

    pub(super) fn send_tombstone(
        &mut self,
        now: Time,
        to: &Record,
        serial: u32,
        out: &mut Vec<Action>,
    ) {
        let tombstone = Some(serial);
        let content = if to.identity.domain == self.own.identity.domain {
            Content::Heartbeat(Heartbeat {
                tombstone,
                ..self.new_heartbeat(now, false)
            })
        } else {
            Content::DomainHeartbeat(super::message::DomainHeartbeat {
                tombstone,
                ..self.new_domain_heartbeat(now, false)
            })
        };
        self.send(to.identity.peer, content, out);
    }

    fn new_heartbeat(&self, now: Time, reply: bool) -> Heartbeat {
        let direct = |remote: &super::peer::RemoteDomain| {
            let age = now.since(remote.last_direct?);
            let domain = Arc::clone(&remote.name);
            (age < DOMAIN_TIMEOUT).then_some(DomainSeen { domain, age })
        };
        Heartbeat {
            health: self.health(),
            reply,
            probe: now,
            echo: None,
            tombstone: None,
            table_digest: self.table.total(),
            domains_seen: self.domains.iter().filter_map(direct).collect(),
        }
    }

    /// Drops peers that have been silent for [`DROP_TIMEOUT`], and queries
    /// others about those silent for [`SUSPECT_TIMEOUT`].
    pub(super) fn check_peers(&mut self, now: Time, out: &mut Vec<Action>) {
        let mut dead = Vec::new();
        let mut silent = Vec::new();
        for peer in &mut self.peers {
            let silence = now.since(peer.last_seen);
            if silence > DROP_TIMEOUT {
                dead.push(Arc::clone(&peer.name));
            } else if silence > SUSPECT_TIMEOUT && !peer.is_queried {
                peer.is_queried = true;
                silent.push(Arc::clone(&peer.name));
            }
        }
        if self.guards.confirm {
            for name in silent {
                self.query_peers(&name, out);
            }
        }
        for name in dead {
            self.mark_dead(now, &name, out);
        }
    }

    fn mark_dead(&mut self, now: Time, name: &Arc<str>, out: &mut Vec<Action>) {
        let domain = Arc::clone(&self.own.identity.domain);
        let Some(row) = self.table.get(&domain, name) else {
            return;
        };
        let dead = Arc::new(row.record.with_lifecycle(Lifecycle::Dead));
        self.table.merge(now, &dead, true);
        self.counters.dropped += 1;
        self.rebuild_peers(now);
        out.push(Action::Notice(Notice::Dropped(Arc::clone(name))));
    }

    /// Queries other peers about a silent one, so that a single bad connection
    /// doesn't make this process drop a live peer.
    fn query_peers(&mut self, name: &Arc<str>, out: &mut Vec<Action>) {
        self.counters.suspected += 1;
        let others = self
            .peers
            .iter()
            .filter(|p| p.name != *name && !p.is_queried);
        let others: Vec<_> = others.map(|p| p.addr).collect();
        let chosen = self.rng.choose_multiple(others, QUERIED_PEERS_MAX);
        for to in chosen {
            self.send(to, Content::PeerQuery(Arc::clone(name)), out);
        }
    }

    fn answer_query(
        &mut self,
        now: Time,
        message: &Message,
        name: &Arc<str>,
        out: &mut Vec<Action>,
    ) {
        let found = self.peers.binary_search_by(|p| p.name.cmp(name));
        let Ok(at) = found else { return };
        let peer = &self.peers[at];
        let Some(seen) = peer.last_direct else { return };
        let content = Content::PeerSeen {
            name: Arc::clone(name),
            stamp: peer.stamp,
            age: now.since(seen),
        };
        self.send(message.reply_addr(), content, out);
    }

    fn note_peer_seen(&mut self, now: Time, name: &Arc<str>, stamp: Stamp, age: Duration) {
        let found = self.peers.binary_search_by(|p| p.name.cmp(name));
        let Ok(at) = found else { return };
        let peer = &mut self.peers[at];
        let last_seen = now - age;
        if peer.stamp == stamp && last_seen > peer.last_seen {
            peer.last_seen = last_seen;
            peer.is_queried = now.since(last_seen) > SUSPECT_TIMEOUT;
        }
    }

    /// Sends a heartbeat to one address of this domain at which no live process
    /// is known. A new process joins this way, and processes that all dropped
    /// each other find each other again.
    pub(super) fn try_hint(&mut self, now: Time, out: &mut Vec<Action>) {
        let own = &self.own.identity;
        let rows = self.table.domain(&own.domain).iter();
        let dead = rows.filter(|row| !row.record.lifecycle.is_alive());
        let dead = dead.map(|row| row.record.identity.peer);
        let hints = self.hints.in_domain(&own.domain).iter().map(|h| h.peer);
        let is_candidate = |to: &std::net::SocketAddr| {
            *to != own.peer && !self.peers.iter().any(|p| p.addr == *to)
        };
        let candidates: Vec<_> = dead.chain(hints).filter(is_candidate).collect();
        let Some(to) = self.rng.choice(candidates) else {
            return;
        };
        let heartbeat = self.new_heartbeat(now, true);
        self.send(to, Content::Heartbeat(heartbeat), out);
    }
}

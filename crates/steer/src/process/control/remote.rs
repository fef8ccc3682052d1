//! Heartbeats between failure domains.
//!
//! Of each pair of domains one initiates: [`REPRESENTATIVES`] of its processes
//! each send heartbeats to [`CONTACTS_PER_DOMAIN`] processes of the other in
//! turn, which answer. If nothing is heard from the other domain, both
//! initiate.

use core::time::Duration;
use std::net::SocketAddr;
use std::sync::Arc;

use super::message::{Content, DomainHeartbeat};
use super::peer::{self, Contact, RemoteDomain};
use super::{Action, Control, DOMAIN_TIMEOUT, HEARTBEAT_INTERVAL, Notice, REPRESENTATIVES};
use crate::clock::Time;
use crate::process::member::{HealthSummary, Record, Summary, hash};

/// Number of processes of another domain to which one process sends in turn. If
/// one of them dies, every second heartbeat is lost.
const CONTACTS_PER_DOMAIN: usize = 2;

/// Shortest time between two requests for the records of one domain.
const RECORDS_REQUEST_INTERVAL: Duration = Duration::from_millis(300);

impl Control {
    /// Sends a heartbeat to each domain for which this process is a
    /// representative.
    pub(super) fn domain_round(&mut self, now: Time, out: &mut Vec<Action>) {
        self.add_domains();
        for at in 0..self.domains.len() {
            let remote = &self.domains[at];
            let is_quiet = remote
                .last_seen
                .is_none_or(|t| now.since(t) > HEARTBEAT_INTERVAL * 2);
            let is_ours = remote.rank.is_some_and(|rank| rank < REPRESENTATIVES);
            if is_ours && (is_quiet || self.is_initiator(&remote.name)) {
                self.contact_domain(now, at, is_quiet, out);
            }
        }
    }

    /// Whether this domain initiates the heartbeats of its pair with another
    /// one. A hash of the two names decides, so both sides agree.
    fn is_initiator(&self, other: &str) -> bool {
        let own = &*self.own.identity.domain;
        let (low, high) = if own < other {
            (own, other)
        } else {
            (other, own)
        };
        let low_initiates = hash::stable_hash(&[low.as_bytes(), high.as_bytes()]).is_multiple_of(2);
        (own == low) == low_initiates
    }

    fn contact_domain(&mut self, now: Time, at: usize, is_quiet: bool, out: &mut Vec<Action>) {
        let contacts = self.contacts(at, is_quiet);
        if contacts.is_empty() {
            return;
        }
        let remote = &mut self.domains[at];
        remote.turn = remote.turn.wrapping_add(1);
        let first = remote.rank.unwrap_or(0) * CONTACTS_PER_DOMAIN;
        let turn = if is_quiet {
            self.rng.usize(..contacts.len())
        } else {
            first + remote.turn % CONTACTS_PER_DOMAIN
        };
        let to = contacts[turn % contacts.len()];
        let answers = self.domains[at].outbound.iter();
        let echo = answers.filter(|c| c.addr == to).map(|c| c.probe).next();
        let heartbeat = DomainHeartbeat {
            echo,
            ..self.new_domain_heartbeat(now, true)
        };
        self.send(to, Content::DomainHeartbeat(heartbeat), out);
    }

    /// Addresses of a domain's live processes. The order depends on both
    /// domains, so that the load of heartbeats is spread. For a silent domain
    /// the hints follow.
    fn contacts(&self, at: usize, is_quiet: bool) -> Vec<SocketAddr> {
        let remote = &self.domains[at];
        let own = &self.own.identity.domain;
        let rows = self.table.domain(&remote.name).iter();
        let alive = rows.filter(|row| row.record.lifecycle.is_alive());
        let mut contacts: Vec<_> = alive
            .map(|row| {
                let identity = &row.record.identity;
                let order = hash::stable_hash(&[own.as_bytes(), identity.name.as_bytes()]);
                (order, identity.peer)
            })
            .collect();
        contacts.sort_unstable();
        let mut contacts: Vec<_> = contacts.into_iter().map(|(_, peer)| peer).collect();
        if is_quiet {
            let hints = self.hints.in_domain(&remote.name).iter();
            contacts.extend(hints.map(|h| h.peer));
        }
        contacts
    }

    pub(super) fn new_domain_heartbeat(&self, now: Time, reply: bool) -> DomainHeartbeat {
        DomainHeartbeat {
            summary: self.summary(),
            digest: self.table.digest(&self.own.identity.domain),
            reply,
            probe: now,
            echo: None,
            tombstone: None,
        }
    }

    fn summary(&self) -> Summary {
        let mut summary = Summary {
            count: 1,
            oldest: self.tracker.version(),
            newest: self.tracker.version(),
            load: 0,
        };
        let mut load = u32::from(self.load);
        for peer in &self.peers {
            summary.count += 1;
            summary.oldest = summary.oldest.min(peer.health.version);
            summary.newest = summary.newest.max(peer.health.version);
            load += u32::from(peer.health.load);
        }
        summary.load = u8::try_from(load / summary.count).unwrap_or(u8::MAX);
        summary
    }

    pub(super) fn handle_remote(
        &mut self,
        now: Time,
        from: &Arc<Record>,
        heartbeat: &DomainHeartbeat,
        out: &mut Vec<Action>,
    ) {
        if let Some(serial) = heartbeat.tombstone {
            return self.refute(now, serial, out);
        }
        let to = from.identity.peer;
        let domain = &from.identity.domain;
        let differs = self.table.digest(domain) != heartbeat.digest;
        let remote = self.domain_mut(domain);
        remote.last_seen = Some(now);
        remote.last_direct = Some(now);
        remote.summary = heartbeat.summary;
        let is_requested = remote
            .requested_at
            .is_some_and(|t| now.since(t) < RECORDS_REQUEST_INTERVAL);
        if differs && !is_requested {
            remote.requested_at = Some(now);
            self.request_records(to, domain, out);
        }
        let contact = Contact {
            addr: to,
            last_seen: now,
            probe: heartbeat.probe,
        };
        let remote = self.domain_mut(domain);
        if heartbeat.reply {
            peer::note(&mut remote.inbound, contact);
            self.answer_domain(now, contact, out);
        } else if heartbeat.echo.is_some() {
            peer::note(&mut remote.outbound, contact);
        }
        if let Some(echo) = heartbeat.echo {
            self.confirm(now, echo, heartbeat.summary.newest, out);
        }
        self.note_version(now, heartbeat.summary.newest, from, out);
    }

    fn answer_domain(&mut self, now: Time, contact: Contact, out: &mut Vec<Action>) {
        let answer = DomainHeartbeat {
            echo: Some(contact.probe),
            ..self.new_domain_heartbeat(now, false)
        };
        self.send(contact.addr, Content::DomainHeartbeat(answer), out);
    }

    /// Requests a domain's records from one of its processes, and sends it
    /// those known here. If a whole domain restarts at once while the
    /// platform's list lags, its processes learn of each other through other
    /// domains.
    fn request_records(&mut self, to: SocketAddr, domain: &Arc<str>, out: &mut Vec<Action>) {
        let domains = vec![Arc::clone(domain)];
        self.send(to, Content::RecordsRequest(domains), out);
        let rows = self.table.domain(domain).iter();
        let rows: Vec<_> = rows.map(|row| Arc::clone(&row.record)).collect();
        if self.guards.introduce && !rows.is_empty() {
            self.send(to, Content::Records(rows), out);
        }
    }

    /// Announces a change of this domain to other domains at once: to those
    /// that this process initiates heartbeats to, and to those that sent it
    /// heartbeats lately.
    pub(super) fn announce_change(&mut self, now: Time, out: &mut Vec<Action>) {
        for at in 0..self.domains.len() {
            let remote = &mut self.domains[at];
            remote
                .inbound
                .retain(|c| now.since(c.last_seen) < HEARTBEAT_INTERVAL * 3);
            let mut to: Vec<_> = remote.inbound.iter().map(|c| c.addr).collect();
            let is_ours = remote.rank.is_some_and(|rank| rank < REPRESENTATIVES);
            if is_ours && self.is_initiator(&self.domains[at].name) {
                let first = self.domains[at].rank.unwrap_or(0) * CONTACTS_PER_DOMAIN;
                let contacts = self.contacts(at, false);
                to.extend(contacts.get(first % contacts.len().max(1)));
            }
            for to in to {
                let heartbeat = self.new_domain_heartbeat(now, false);
                self.send(to, Content::DomainHeartbeat(heartbeat), out);
            }
        }
    }

    /// Notes that a process of the local domain heard from another domain this
    /// long ago.
    pub(super) fn note_domain_seen(&mut self, now: Time, domain: &Arc<str>, age: Duration) {
        if *domain == self.own.identity.domain {
            return;
        }
        let last_seen = now - age;
        let remote = self.domain_mut(domain);
        remote.last_seen = remote.last_seen.max(Some(last_seen));
    }

    /// Ranks this process anew among its domain's processes once another domain
    /// is new or its own domain's records changed, and announces such a change to
    /// the other domains.
    pub(super) fn update_ranks(&mut self, now: Time, out: &mut Vec<Action>) {
        if !self.is_rank_stale {
            return;
        }
        self.is_rank_stale = false;
        self.add_domains();
        let digest = self.table.digest(&self.own.identity.domain);
        let is_unranked = |remote: &RemoteDomain| remote.rank.is_none();
        if digest == self.announced_digest && !self.domains.iter().any(is_unranked) {
            return;
        }
        let own = Arc::clone(&self.own.identity.name);
        let peers = &self.peers;
        for remote in &mut self.domains {
            let weight = |name: &str| hash::stable_hash(&[remote.name.as_bytes(), name.as_bytes()]);
            let mine = weight(&own);
            remote.rank = Some(peers.iter().filter(|p| weight(&p.name) < mine).count());
        }
        if core::mem::replace(&mut self.announced_digest, digest) != digest {
            self.announce_change(now, out);
        }
    }

    /// Adds domains that only records or hints name so far.
    fn add_domains(&mut self) {
        let mut names = self.hints.take_new_domains();
        let digests = self.table.digests().iter().map(|d| &d.domain);
        let is_unknown = |name: &&Arc<str>| {
            self.domains
                .binary_search_by(|d| d.name.cmp(*name))
                .is_err()
        };
        names.extend(digests.filter(is_unknown).map(Arc::clone));
        for name in names {
            if name != self.own.identity.domain {
                self.domain_mut(&name);
            }
        }
    }

    fn domain_mut(&mut self, name: &Arc<str>) -> &mut RemoteDomain {
        let at = match self.domains.binary_search_by(|d| d.name.cmp(name)) {
            Ok(at) => at,
            Err(at) => {
                self.domains.insert(at, RemoteDomain::new(name));
                self.is_rank_stale = true;
                self.sorted_entries = None;
                at
            }
        };
        &mut self.domains[at]
    }

    /// Notes domains that became silent or are heard from again.
    pub(super) fn check_domains(&mut self, out: &mut Vec<Action>, now: Time) {
        for remote in &mut self.domains {
            let is_silent = remote
                .last_seen
                .is_none_or(|t| now.since(t) > DOMAIN_TIMEOUT);
            if is_silent == remote.is_silent {
                continue;
            }
            remote.is_silent = is_silent;
            self.is_dirty = true;
            let name = Arc::clone(&remote.name);
            out.push(Action::Notice(if is_silent {
                Notice::DomainSilent(name)
            } else {
                Notice::DomainBack(name)
            }));
        }
    }

    /// Health of the processes of a domain, derived from its summary; `None` if
    /// the domain is silent.
    pub(super) fn remote_health(&self, now: Time, at: usize) -> Option<HealthSummary> {
        let remote = self.domains.get(at)?;
        let last_seen = remote.last_seen?;
        (now.since(last_seen) <= DOMAIN_TIMEOUT).then_some(HealthSummary {
            version: remote.summary.oldest,
            load: remote.summary.load,
            store: false,
        })
    }
}

//! Heartbeats between failure domains.
//!
//! Of a pair of domains one keeps up the contact: [`REPRESENTATIVES`] of its processes
//! each send a heartbeat to two processes of the other in turn, and are
//! answered. If the pair is silent the other tries as well.

use core::time::Duration;
use std::net::SocketAddr;
use std::sync::Arc;

use super::message::{Content, DomainHeartbeat};
use super::peer::{self, Contact, Far};
use super::{Action, Control, DOMAIN_TIMEOUT, HEARTBEAT_INTERVAL, Notice, REPRESENTATIVES};
use crate::clock::Time;
use crate::process::member::{HealthSummary, Record, Summary, hash};

/// Processes of the other domain that one process talks to in turn, so that
/// the death of one of them costs every second heartbeat.
const CONTACTS_PER_DOMAIN: usize = 2;

/// Time between two requests for the rows of one domain.
const RECORDS_REQUEST_INTERVAL: Duration = Duration::from_millis(300);

impl Control {
    /// One round of heartbeats to the domains that are this process's part.
    pub(super) fn round_across(&mut self, now: Time, out: &mut Vec<Action>) {
        self.meet_domains();
        for at in 0..self.fars.len() {
            let far = &self.fars[at];
            let quiet = far
                .heard
                .is_none_or(|t| now.since(t) > HEARTBEAT_INTERVAL * 2);
            let ours = far.rank.is_some_and(|rank| rank < REPRESENTATIVES);
            if ours && (quiet || self.starts(&far.name)) {
                self.call_far(now, at, quiet, out);
            }
        }
    }

    /// Whether this domain keeps up the contact with another.
    fn starts(&self, other: &str) -> bool {
        let own = &*self.me.identity.domain;
        let (low, high) = if own < other {
            (own, other)
        } else {
            (other, own)
        };
        let low_starts = hash::stable_hash(&[low.as_bytes(), high.as_bytes()]).is_multiple_of(2);
        (own == low) == low_starts
    }

    fn call_far(&mut self, now: Time, at: usize, quiet: bool, out: &mut Vec<Action>) {
        let contacts = self.contacts(at, quiet);
        if contacts.is_empty() {
            return;
        }
        let far = &mut self.fars[at];
        far.turn = far.turn.wrapping_add(1);
        let first = far.rank.unwrap_or(0) * CONTACTS_PER_DOMAIN;
        let turn = if quiet {
            self.rng.usize(..contacts.len())
        } else {
            first + far.turn % CONTACTS_PER_DOMAIN
        };
        let to = contacts[turn % contacts.len()];
        let answers = self.fars[at].answers.iter();
        let echo = answers.filter(|c| c.addr == to).map(|c| c.probe).next();
        let across = DomainHeartbeat {
            echo,
            ..self.across(now, true)
        };
        self.send(to, Content::DomainHeartbeat(across), out);
    }

    /// Addresses of a domain's processes, in an order that differs from domain
    /// to domain, so that its processes share the calls; hints if it is silent.
    fn contacts(&self, at: usize, quiet: bool) -> Vec<SocketAddr> {
        let far = &self.fars[at];
        let own = &self.me.identity.domain;
        let rows = self.table.domain(&far.name).iter();
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
        if quiet {
            let hints = self.hints.in_domain(&far.name).iter();
            contacts.extend(hints.map(|h| h.peer));
        }
        contacts
    }

    pub(super) fn across(&self, now: Time, reply: bool) -> DomainHeartbeat {
        DomainHeartbeat {
            summary: self.summary(),
            digest: self.table.digest(&self.me.identity.domain),
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

    pub(super) fn hear_across(
        &mut self,
        now: Time,
        from: &Arc<Record>,
        across: &DomainHeartbeat,
        out: &mut Vec<Action>,
    ) {
        if let Some(serial) = across.tombstone {
            return self.refute(now, serial, out);
        }
        let to = from.identity.peer;
        let domain = &from.identity.domain;
        let differs = self.table.digest(domain) != across.digest;
        let far = self.far(domain);
        far.heard = Some(now);
        far.direct = Some(now);
        far.summary = across.summary;
        let asked = far
            .wanted
            .is_some_and(|t| now.since(t) < RECORDS_REQUEST_INTERVAL);
        if differs && !asked {
            far.wanted = Some(now);
            self.compare_rows(to, domain, out);
        }
        let contact = Contact {
            addr: to,
            heard: now,
            probe: across.probe,
        };
        let far = self.far(domain);
        if across.reply {
            peer::note(&mut far.callers, contact);
            self.answer_across(now, contact, out);
        } else if across.echo.is_some() {
            peer::note(&mut far.answers, contact);
        }
        if let Some(echo) = across.echo {
            self.confirmed(now, echo, across.summary.newest, out);
        }
        self.version_heard(now, across.summary.newest, from, out);
    }

    fn answer_across(&mut self, now: Time, contact: Contact, out: &mut Vec<Action>) {
        let answer = DomainHeartbeat {
            echo: Some(contact.probe),
            ..self.across(now, false)
        };
        self.send(contact.addr, Content::DomainHeartbeat(answer), out);
    }

    /// Asks a process of another domain for its domain's rows, and tells it
    /// those known here: when a whole domain restarts at once, and the list
    /// lags, its processes find each other through the other domains.
    fn compare_rows(&mut self, to: SocketAddr, domain: &Arc<str>, out: &mut Vec<Action>) {
        let domains = vec![Arc::clone(domain)];
        self.send(to, Content::RecordsRequest(domains), out);
        let rows = self.table.domain(domain).iter();
        let rows: Vec<_> = rows.map(|row| Arc::clone(&row.record)).collect();
        if self.guards.introduce && !rows.is_empty() {
            self.send(to, Content::Records(rows), out);
        }
    }

    /// Tells all other domains that this one changed, without waiting for the
    /// next round: those that this process calls, and those that call it.
    pub(super) fn tell_across(&mut self, now: Time, out: &mut Vec<Action>) {
        for at in 0..self.fars.len() {
            let far = &mut self.fars[at];
            far.callers
                .retain(|c| now.since(c.heard) < HEARTBEAT_INTERVAL * 3);
            let mut to: Vec<_> = far.callers.iter().map(|c| c.addr).collect();
            let ours = far.rank.is_some_and(|rank| rank < REPRESENTATIVES);
            if ours && self.starts(&self.fars[at].name) {
                let first = self.fars[at].rank.unwrap_or(0) * CONTACTS_PER_DOMAIN;
                let contacts = self.contacts(at, false);
                to.extend(contacts.get(first % contacts.len().max(1)));
            }
            for to in to {
                let across = self.across(now, false);
                self.send(to, Content::DomainHeartbeat(across), out);
            }
        }
    }

    /// A process of the home domain heard another domain this long ago.
    pub(super) fn hear_of(&mut self, now: Time, domain: &Arc<str>, age: Duration) {
        if *domain == self.me.identity.domain {
            return;
        }
        let heard = now - age;
        let far = self.far(domain);
        far.heard = far.heard.max(Some(heard));
    }

    /// Finds this process's part anew, and tells other domains, once the rows
    /// of the home domain changed.
    pub(super) fn relink(&mut self, now: Time, out: &mut Vec<Action>) {
        if !self.moved {
            return;
        }
        self.moved = false;
        self.meet_domains();
        let digest = self.table.digest(&self.me.identity.domain);
        let unranked = |far: &Far| far.rank.is_none();
        if digest == self.told && !self.fars.iter().any(unranked) {
            return;
        }
        let own = Arc::clone(&self.me.identity.name);
        let peers = &self.peers;
        for far in &mut self.fars {
            let weight = |name: &str| hash::stable_hash(&[far.name.as_bytes(), name.as_bytes()]);
            let mine = weight(&own);
            far.rank = Some(peers.iter().filter(|p| weight(&p.name) < mine).count());
        }
        if core::mem::replace(&mut self.told, digest) != digest {
            self.tell_across(now, out);
        }
    }

    /// Domains that rows or hints name.
    fn meet_domains(&mut self) {
        let mut names = self.hints.take_new_domains();
        let digests = self.table.digests().iter().map(|d| &d.domain);
        let unmet = |name: &&Arc<str>| self.fars.binary_search_by(|f| f.name.cmp(*name)).is_err();
        names.extend(digests.filter(unmet).map(Arc::clone));
        for name in names {
            if name != self.me.identity.domain {
                self.far(&name);
            }
        }
    }

    fn far(&mut self, name: &Arc<str>) -> &mut Far {
        let at = match self.fars.binary_search_by(|f| f.name.cmp(name)) {
            Ok(at) => at,
            Err(at) => {
                self.fars.insert(at, Far::new(name));
                self.moved = true;
                self.sorted = None;
                at
            }
        };
        &mut self.fars[at]
    }

    /// Notices domains that fell silent or came back.
    pub(super) fn check_fars(&mut self, out: &mut Vec<Action>, now: Time) {
        for far in &mut self.fars {
            let silent = far.heard.is_none_or(|t| now.since(t) > DOMAIN_TIMEOUT);
            if silent == far.silent {
                continue;
            }
            far.silent = silent;
            self.dirty = true;
            let name = Arc::clone(&far.name);
            out.push(Action::Notice(if silent {
                Notice::DomainSilent(name)
            } else {
                Notice::DomainBack(name)
            }));
        }
    }

    /// A domain's summary as the vitals of its processes; `None` if silent.
    pub(super) fn remote_health(&self, now: Time, at: usize) -> Option<HealthSummary> {
        let far = self.fars.get(at)?;
        let heard = far.heard?;
        (now.since(heard) <= DOMAIN_TIMEOUT).then_some(HealthSummary {
            version: far.summary.oldest,
            load: far.summary.load,
            store: false,
        })
    }
}

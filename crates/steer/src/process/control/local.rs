//! Heartbeats and records within the home domain.

use core::time::Duration;
use std::sync::Arc;

use super::message::{Content, DomainSeen, Heartbeat, Message};
use super::peer::Peer;
use super::{Action, Control, DOMAIN_TIMEOUT, DROP_TIMEOUT, MemberStatus, Notice, SUSPECT_TIMEOUT};
use crate::clock::Time;
use crate::process::member::table::Merge;
use crate::process::member::{HealthSummary, Lifecycle, Record, Stamp};

/// Processes asked about a silent one.
const QUERIED_PEERS_MAX: usize = 3;

impl Control {
    /// Takes a message of any kind.
    pub(super) fn receive(&mut self, now: Time, message: &Message, out: &mut Vec<Action>) {
        self.counters.received += 1;
        let from = &message.from;
        if self.is_own(from) {
            return self.namesake(now, from, out);
        }
        if self.status == MemberStatus::Superseded {
            return;
        }
        if let Content::Superseded(stamp) = message.content {
            return self.superseded(now, stamp, out);
        }
        if !self.admit(now, message, out) {
            return;
        }
        let near = from.identity.domain == self.me.identity.domain;
        match &message.content {
            Content::Heartbeat(beat) if near => self.beaten(now, from, beat, out),
            Content::DomainHeartbeat(across) if !near => self.hear_across(now, from, across, out),
            Content::Heartbeat(_) | Content::DomainHeartbeat(_) | Content::Superseded(_) => {}
            Content::Sync(digests) => {
                let domains = self.differing(digests);
                self.send_rows(message, &domains, out);
            }
            Content::RecordsRequest(domains) => self.send_rows(message, domains, out),
            Content::Records(rows) => self.learn(now, rows, near, out),
            Content::Succeeded(stamp) => self.slot.note_release(now, *stamp),
            Content::PeerQuery(name) => self.tell(now, message, name, out),
            Content::PeerSeen { name, stamp, age } => self.told(now, name, *stamp, *age),
            Content::Pull(_) | Content::Offer(_) | Content::Fetch(_) | Content::Bodies(_) => {
                self.exchange(now, message, out);
            }
        }
    }

    pub(super) fn is_own(&self, record: &Record) -> bool {
        let own = &self.me.identity;
        record.identity.name == own.name && record.identity.domain == own.domain
    }

    /// Another process of this name speaks: the newer one stays.
    fn namesake(&mut self, now: Time, from: &Arc<Record>, out: &mut Vec<Action>) {
        self.own_name(now, from, out);
        if from.stamp < self.me.stamp && self.guards.stamps {
            let content = Content::Superseded(self.me.stamp);
            self.send(from.identity.peer, content, out);
        }
    }

    /// Whether the sender is who its name stands for today. If so its record is
    /// taken.
    fn admit(&mut self, now: Time, message: &Message, out: &mut Vec<Action>) -> bool {
        let from = &message.from;
        let to = message.reply_addr();
        let known = self.table.get(&from.identity.domain, &from.identity.name);
        if let Some(row) = known.map(|row| Arc::clone(&row.record)) {
            if row.stamp > from.stamp && self.guards.stamps {
                self.counters.outdated += 1;
                self.send(to, Content::Superseded(row.stamp), out);
                return false;
            }
            let buried = row.stamp == from.stamp && !row.lifecycle.is_alive();
            if buried && from.lifecycle.is_alive() && row.serial >= from.serial {
                self.send_held(now, from, row.serial, out);
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
        if from.identity.domain != self.me.identity.domain {
            self.push(std::slice::from_ref(from), out);
        }
        self.changed(now);
        true
    }

    /// The table changed: peers and published members follow.
    pub(super) fn changed(&mut self, now: Time) {
        self.dirty = true;
        self.moved = true;
        self.sorted = None;
        let rows = self.table.domain(&self.me.identity.domain);
        let alive = rows.iter().filter(|row| row.record.lifecycle.is_alive());
        let mut peers = Vec::new();
        for row in alive {
            let record = &row.record;
            let identity = &record.identity;
            if identity.name == self.me.identity.name {
                continue;
            }
            let old = self.peers.binary_search_by(|p| p.name.cmp(&identity.name));
            let old = old.ok().map(|at| self.peers[at].clone());
            let same = old.filter(|p| p.stamp == record.stamp);
            peers.push(same.unwrap_or_else(|| Peer {
                name: Arc::clone(&identity.name),
                stamp: record.stamp,
                addr: identity.peer,
                heard: now,
                direct: None,
                probe: None,
                health: HealthSummary::default(),
                asked: false,
                differs: 0,
            }));
        }
        self.peers = peers;
    }

    fn beaten(&mut self, now: Time, from: &Arc<Record>, beat: &Heartbeat, out: &mut Vec<Action>) {
        if let Some(serial) = beat.tombstone {
            return self.refute(now, serial, out);
        }
        let total = self.table.total();
        let found = self
            .peers
            .binary_search_by(|p| p.name.cmp(&from.identity.name));
        if let Ok(at) = found {
            let peer = &mut self.peers[at];
            peer.heard = now;
            peer.direct = Some(now);
            peer.asked = false;
            peer.probe = Some(beat.probe);
            peer.health = beat.health;
            let same = beat.digest == total;
            peer.differs = if same {
                0
            } else {
                peer.differs.saturating_add(1)
            };
            let differs = peer.differs;
            self.sync_due(now, from, differs, out);
        }
        for seen in &beat.domains_seen {
            self.hear_of(now, &seen.domain, seen.age);
        }
        if let Some(echo) = beat.echo {
            self.confirmed(now, echo, beat.health.version, out);
        }
        self.version_heard(now, beat.health.version, from, out);
        if beat.reply {
            self.send_beat(now, &from.identity.name, false, out);
        }
    }

    /// One heartbeat to every process of the domain.
    pub(super) fn beat_all(&mut self, now: Time, reply: bool, out: &mut Vec<Action>) {
        self.own_row(now);
        let reply = reply || self.status != MemberStatus::Current;
        let beat = self.beat(now, reply);
        for at in 0..self.peers.len() {
            let peer = &self.peers[at];
            let to = peer.addr;
            let beat = Heartbeat {
                echo: peer.probe,
                ..beat.clone()
            };
            self.send(to, Content::Heartbeat(beat), out);
        }
    }

    fn send_beat(&mut self, now: Time, name: &str, reply: bool, out: &mut Vec<Action>) {
        let Ok(at) = self.peers.binary_search_by(|p| (*p.name).cmp(name)) else {
            return;
        };
        let peer = &self.peers[at];
        let to = peer.addr;
        let beat = Heartbeat {
            echo: peer.probe,
            ..self.beat(now, reply)
        };
        self.send(to, Content::Heartbeat(beat), out);
    }

    pub(super) fn send_held(&mut self, now: Time, to: &Record, serial: u32, out: &mut Vec<Action>) {
        let tombstone = Some(serial);
        let content = if to.identity.domain == self.me.identity.domain {
            Content::Heartbeat(Heartbeat {
                tombstone,
                ..self.beat(now, false)
            })
        } else {
            Content::DomainHeartbeat(super::message::DomainHeartbeat {
                tombstone,
                ..self.across(now, false)
            })
        };
        self.send(to.identity.peer, content, out);
    }

    fn beat(&self, now: Time, reply: bool) -> Heartbeat {
        let direct = |far: &super::peer::Far| {
            let age = now.since(far.direct?);
            let domain = Arc::clone(&far.name);
            (age < DOMAIN_TIMEOUT).then_some(DomainSeen { domain, age })
        };
        Heartbeat {
            health: self.health(),
            reply,
            probe: now,
            echo: None,
            tombstone: None,
            digest: self.table.total(),
            domains_seen: self.fars.iter().filter_map(direct).collect(),
        }
    }

    /// Drops processes that nobody hears.
    pub(super) fn check_peers(&mut self, now: Time, out: &mut Vec<Action>) {
        let mut dead = Vec::new();
        let mut silent = Vec::new();
        for peer in &mut self.peers {
            let silence = now.since(peer.heard);
            if silence > DROP_TIMEOUT {
                dead.push(Arc::clone(&peer.name));
            } else if silence > SUSPECT_TIMEOUT && !peer.asked {
                peer.asked = true;
                silent.push(Arc::clone(&peer.name));
            }
        }
        if self.guards.confirm {
            for name in silent {
                self.ask(&name, out);
            }
        }
        for name in dead {
            self.bury(now, &name, out);
        }
    }

    fn bury(&mut self, now: Time, name: &Arc<str>, out: &mut Vec<Action>) {
        let domain = Arc::clone(&self.me.identity.domain);
        let Some(row) = self.table.get(&domain, name) else {
            return;
        };
        let dead = Arc::new(row.record.with_lifecycle(Lifecycle::Dead));
        self.table.merge(now, &dead, true);
        self.counters.dropped += 1;
        self.changed(now);
        out.push(Action::Notice(Notice::Dropped(Arc::clone(name))));
    }

    /// Asks others about a silent process, lest a single bad connection make
    /// every caller of this process miss it.
    fn ask(&mut self, name: &Arc<str>, out: &mut Vec<Action>) {
        self.counters.suspected += 1;
        let others = self.peers.iter().filter(|p| p.name != *name && !p.asked);
        let others: Vec<_> = others.map(|p| p.addr).collect();
        let few = self.rng.choose_multiple(others, QUERIED_PEERS_MAX);
        for to in few {
            self.send(to, Content::PeerQuery(Arc::clone(name)), out);
        }
    }

    fn tell(&mut self, now: Time, message: &Message, name: &Arc<str>, out: &mut Vec<Action>) {
        let found = self.peers.binary_search_by(|p| p.name.cmp(name));
        let Ok(at) = found else { return };
        let peer = &self.peers[at];
        let Some(direct) = peer.direct else { return };
        let content = Content::PeerSeen {
            name: Arc::clone(name),
            stamp: peer.stamp,
            age: now.since(direct),
        };
        self.send(message.reply_addr(), content, out);
    }

    fn told(&mut self, now: Time, name: &Arc<str>, stamp: Stamp, age: Duration) {
        let found = self.peers.binary_search_by(|p| p.name.cmp(name));
        let Ok(at) = found else { return };
        let peer = &mut self.peers[at];
        let heard = now - age;
        if peer.stamp == stamp && heard > peer.heard {
            peer.heard = heard;
            peer.asked = now.since(heard) > SUSPECT_TIMEOUT;
        }
    }

    /// Tries one address of this domain at which nobody is known to live: a
    /// newcomer's way in, and the way back after everybody dropped everybody.
    pub(super) fn try_hint(&mut self, now: Time, out: &mut Vec<Action>) {
        let own = &self.me.identity;
        let rows = self.table.domain(&own.domain).iter();
        let dead = rows.filter(|row| !row.record.lifecycle.is_alive());
        let dead = dead.map(|row| row.record.identity.peer);
        let hints = self.hints.in_domain(&own.domain).iter().map(|h| h.peer);
        let fits = |to: &std::net::SocketAddr| {
            *to != own.peer && !self.peers.iter().any(|p| p.addr == *to)
        };
        let tries: Vec<_> = dead.chain(hints).filter(fits).collect();
        let Some(to) = self.rng.choice(tries) else {
            return;
        };
        let beat = self.beat(now, true);
        self.send(to, Content::Heartbeat(beat), out);
    }
}

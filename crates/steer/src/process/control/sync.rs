//! Exchange of records: pushed when they change, compared by digests.

use core::time::Duration;
use std::sync::Arc;

use super::message::{Content, Message};
use super::{Action, Control, DROP_TIMEOUT};
use crate::clock::Time;
use crate::process::member::table::{Digest, Merge};
use crate::process::member::{Lifecycle, Record};

/// Time between two comparisons of digests.
const SYNC_INTERVAL: Duration = Duration::from_secs(1);

/// The same for a process that is still learning who is there.
const SYNC_INTERVAL_JOINING: Duration = Duration::from_millis(250);

/// Heartbeats with a differing digest before a comparison: a push is under way
/// more often than it is lost.
const MISMATCHES_MIN: u8 = 3;

/// Rows in one message, about 50 KB.
const RECORDS_MESSAGE_MAX: usize = 600;

impl Control {
    /// Compares digests with a peer whose table has differed for a while.
    pub(super) fn sync_due(
        &mut self,
        now: Time,
        from: &Arc<Record>,
        differs: u8,
        out: &mut Vec<Action>,
    ) {
        let enough = differs >= MISMATCHES_MIN || (self.joining && differs > 0);
        if !enough || now < self.sync {
            return;
        }
        self.sync = now
            + if self.joining {
                SYNC_INTERVAL_JOINING
            } else {
                SYNC_INTERVAL
            };
        self.counters.syncs += 1;
        let digests = self.table.digests().to_vec();
        self.send(from.identity.peer, Content::Sync(digests), out);
    }

    /// Keeps this process's own record in its table, so that digests compare.
    pub(super) fn own_row(&mut self, now: Time) {
        let me = Arc::clone(&self.me);
        if self.table.merge(now, &me, true) != Merge::Outdated {
            self.moved = true;
            self.dirty = true;
            self.sorted = None;
        }
    }

    /// Domains whose digest here differs from the sender's, in an order of its
    /// own, so that a list cut short doesn't always lack the same ones.
    pub(super) fn differing(&mut self, digests: &[Digest]) -> Vec<Arc<str>> {
        let theirs = |domain: &str| {
            digests
                .binary_search_by(|d| (*d.domain).cmp(domain))
                .map_or(0, |at| digests[at].value)
        };
        let ours = self.table.digests().iter();
        let differ = ours.filter(|d| d.value != theirs(&d.domain));
        let mut domains: Vec<_> = differ.map(|d| Arc::clone(&d.domain)).collect();
        self.rng.shuffle(&mut domains);
        domains
    }

    pub(super) fn send_rows(
        &mut self,
        message: &Message,
        domains: &[Arc<str>],
        out: &mut Vec<Action>,
    ) {
        let mut rows = Vec::new();
        for domain in domains {
            let more = self.table.domain(domain).iter();
            rows.extend(more.map(|row| Arc::clone(&row.record)));
            if rows.len() >= RECORDS_MESSAGE_MAX {
                break;
            }
        }
        if !rows.is_empty() {
            self.send(message.reply_addr(), Content::Records(rows), out);
        }
    }

    /// Takes others' rows. What came from another domain is passed on at home.
    pub(super) fn learn(
        &mut self,
        now: Time,
        rows: &[Arc<Record>],
        near: bool,
        out: &mut Vec<Action>,
    ) {
        let mut fresh = Vec::new();
        for record in rows {
            if self.is_own(record) {
                self.own_name(now, record, out);
                continue;
            }
            if self.contradicts(now, record) {
                self.send_held(now, record, record.serial, out);
                continue;
            }
            if self.table.merge(now, record, self.guards.stamps) != Merge::Outdated {
                fresh.push(Arc::clone(record));
            }
        }
        if fresh.is_empty() {
            return;
        }
        self.changed(now);
        if !near {
            fresh.retain(|r| r.identity.domain != self.me.identity.domain);
            self.push(&fresh, out);
        }
    }

    /// Whether a tombstone that would be taken is of a process that this one
    /// hears well. That process has to be told, even if whoever buried it is gone
    /// or in another domain: only it can refute the tombstone.
    fn contradicts(&self, now: Time, record: &Record) -> bool {
        let identity = &record.identity;
        if record.lifecycle != Lifecycle::Dead || identity.domain != self.me.identity.domain {
            return false;
        }
        let row = self.table.get(&identity.domain, &identity.name);
        if !row.is_some_and(|row| record.replaces(&row.record)) {
            return false;
        }
        let found = self.peers.binary_search_by(|p| p.name.cmp(&identity.name));
        found.is_ok_and(|at| {
            let peer = &self.peers[at];
            let heard = peer.direct.is_some_and(|t| now.since(t) <= DROP_TIMEOUT);
            peer.stamp == record.stamp && heard
        })
    }

    /// Tells the home domain of records that came from another one.
    pub(super) fn push(&mut self, records: &[Arc<Record>], out: &mut Vec<Action>) {
        if records.is_empty() {
            return;
        }
        for at in 0..self.peers.len() {
            let to = self.peers[at].addr;
            self.send(to, Content::Records(records.to_vec()), out);
        }
    }
}

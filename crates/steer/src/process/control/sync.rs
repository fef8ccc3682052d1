//! Exchange of records: pushed when they change, and synchronized by digests.

use core::time::Duration;
use std::sync::Arc;

use super::message::{Content, Message};
use super::{Action, Control, DROP_TIMEOUT};
use crate::clock::Time;
use crate::process::member::table::{Digest, Merge};
use crate::process::member::{Lifecycle, Record};

/// Time between two exchanges of digests.
const SYNC_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two exchanges of digests while the process joins.
const SYNC_INTERVAL_JOINING: Duration = Duration::from_millis(250);

/// Consecutive heartbeats with a different digest before an exchange: the
/// difference is more often a push under way than a lost one.
const MISMATCHES_MIN: u8 = 3;

/// Number of records after which a message is closed; about 50 KB.
const RECORDS_MESSAGE_MAX: usize = 600;

impl Control {
    /// Starts an exchange of digests with a peer whose table has differed for a
    /// while.
    pub(super) fn sync_if_due(
        &mut self,
        now: Time,
        from: &Arc<Record>,
        mismatches: u8,
        out: &mut Vec<Action>,
    ) {
        let is_due = mismatches >= MISMATCHES_MIN || (self.is_joining && mismatches > 0);
        if !is_due || now < self.next_sync {
            return;
        }
        self.next_sync = now
            + if self.is_joining {
                SYNC_INTERVAL_JOINING
            } else {
                SYNC_INTERVAL
            };
        self.counters.syncs += 1;
        let digests = self.table.digests().to_vec();
        self.send(from.identity.peer, Content::Sync(digests), out);
    }

    /// Merges this process's own record into its table, so that its digests are
    /// comparable with those of its peers.
    pub(super) fn merge_own_record(&mut self, now: Time) {
        let own = Arc::clone(&self.own);
        if self.table.merge(now, &own, true) != Merge::Outdated {
            self.is_rank_stale = true;
            self.is_dirty = true;
            self.sorted_entries = None;
        }
    }

    /// Domains whose digest differs from the sender's, in random order, so that
    /// a truncated answer doesn't always lack the same ones.
    pub(super) fn differing_domains(&mut self, digests: &[Digest]) -> Vec<Arc<str>> {
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

    pub(super) fn send_records(
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

    /// Merges records from a peer. New ones from another domain are forwarded
    /// within the local domain.
    pub(super) fn merge_records(
        &mut self,
        now: Time,
        rows: &[Arc<Record>],
        is_local: bool,
        out: &mut Vec<Action>,
    ) {
        let mut merged = Vec::new();
        for record in rows {
            if self.is_own(record) {
                self.handle_own_name(now, record, out);
                continue;
            }
            if self.is_contradicted(now, record) {
                self.send_tombstone(now, record, record.serial, out);
                continue;
            }
            if self.table.merge(now, record, self.guards.stamps) != Merge::Outdated {
                merged.push(Arc::clone(record));
            }
        }
        if merged.is_empty() {
            return;
        }
        self.rebuild_peers(now);
        if !is_local {
            merged.retain(|r| r.identity.domain != self.own.identity.domain);
            self.forward_records(&merged, out);
        }
    }

    /// Whether a record is a tombstone that would replace the row of a peer
    /// which this process still hears from. The peer has to be told, as only it
    /// can refute the tombstone, and the process that wrote it may be gone or in
    /// another domain.
    fn is_contradicted(&self, now: Time, record: &Record) -> bool {
        let identity = &record.identity;
        if record.lifecycle != Lifecycle::Dead || identity.domain != self.own.identity.domain {
            return false;
        }
        let row = self.table.get(&identity.domain, &identity.name);
        if !row.is_some_and(|row| record.replaces(&row.record)) {
            return false;
        }
        let found = self.peers.binary_search_by(|p| p.name.cmp(&identity.name));
        found.is_ok_and(|at| {
            let peer = &self.peers[at];
            let is_heard = peer
                .last_direct
                .is_some_and(|t| now.since(t) <= DROP_TIMEOUT);
            peer.stamp == record.stamp && is_heard
        })
    }

    /// Forwards records from another domain to all local peers.
    pub(super) fn forward_records(&mut self, records: &[Arc<Record>], out: &mut Vec<Action>) {
        if records.is_empty() {
            return;
        }
        for at in 0..self.peers.len() {
            let to = self.peers[at].addr;
            self.send(to, Content::Records(records.to_vec()), out);
        }
    }
}

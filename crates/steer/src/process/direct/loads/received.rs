//! Reports received from other instances, and their sum for each target.
//!
//! Invariants: a target's total is the sum of the counts in use of all senders; a change
//! of one sender's counts costs in proportion to these, not to all targets or senders; a
//! datagram that is not newer than the last one of its sender changes nothing.

use core::time::Duration;
use std::sync::Arc;

use super::super::members::Heartbeat;
use super::super::mix::Priority;
use super::{LoadReport, TTL, Waiting};
use crate::clock::Time;

/// Time for which a silent sender's sequence number is remembered, so that a delayed
/// datagram of it is still recognized as an old one.
const SENDER_RETENTION: Duration = Duration::from_secs(30);

/// Time for which datagrams of a restarted sender's earlier incarnation are dropped. It is
/// bounded because incarnations have no order: the later one might be taken for the earlier.
const FORMER_SPAN: Duration = Duration::from_secs(3);

/// Largest number of senders whose reports are used: several times as many as are
/// referred where reports are sent at all.
const SENDERS_MAX: usize = 128;

/// The last report of one sender.
#[derive(Clone, Debug)]
struct Sender {
    name: Arc<str>,
    incarnation: u64,
    /// Incarnation before, of which delayed datagrams may still come, and until when they
    /// are dropped.
    former: Option<(u64, Time)>,
    seq: u64,
    /// Time of its last report; `None` if its present incarnation has sent none.
    received_at: Option<Time>,
    /// Time of its counts, which a heartbeat may have replaced since.
    counted_at: Time,
    /// Counts by target hash; empty once they are too old.
    targets: Vec<(u32, u8)>,
    waiting: Vec<Waiting>,
}

/// What one sender's report counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SenderLoad {
    /// Name of the sender.
    pub name: Arc<str>,
    /// Sequence number of its last report.
    pub seq: u64,
    /// Time since its last report.
    pub age: Duration,
    /// Targets at which it has requests.
    pub targets: usize,
    /// Its requests at targets.
    pub in_flight: u32,
    /// Requests that wait at it.
    pub waiting: u32,
}

/// Reports of other instances, and the sum of their counts by target.
#[derive(Clone, Debug, Default)]
pub struct Received {
    /// Sorted by name.
    senders: Vec<Sender>,
    /// Target hash and requests of all senders there, sorted; none is 0.
    totals: Vec<(u32, u32)>,
    /// A time up to which no counts are too old.
    expires_at: Option<Time>,
}

impl Received {
    /// Takes a report. Returns the targets whose totals may have changed; `None` if it is
    /// not newer than the last one of its sender.
    pub(super) fn receive(&mut self, now: Time, report: LoadReport) -> Option<Vec<u32>> {
        let found = self.find(&report.name);
        let mut former = None;
        if let Ok(at) = found {
            let known = &self.senders[at];
            let is_same = known.incarnation == report.incarnation;
            if is_same && report.seq <= known.seq || known.has_left(now, report.incarnation) {
                return None;
            }
            former = if is_same {
                known.former
            } else {
                Some((known.incarnation, now + FORMER_SPAN))
            };
        } else if self.senders.len() >= SENDERS_MAX {
            return None;
        }
        let sender = Sender {
            name: report.name,
            incarnation: report.incarnation,
            former,
            seq: report.seq,
            received_at: Some(now),
            counted_at: now,
            targets: Vec::new(),
            waiting: report.waiting,
        };
        let at = match found {
            Ok(at) => {
                let before = core::mem::replace(&mut self.senders[at], sender);
                self.senders[at].targets = before.targets;
                at
            }
            Err(at) => {
                self.senders.insert(at, sender);
                at
            }
        };
        Some(self.replace(now, at, report.targets))
    }

    /// Lets a heartbeat's counts replace those of its sender's report, if that is in use,
    /// and takes them from the heartbeat. Counts that may be incomplete are only taken.
    /// Returns the targets whose totals may have changed.
    pub(super) fn merge_heartbeat(
        &mut self,
        now: Time,
        heartbeat: &mut Heartbeat,
        is_complete: bool,
    ) -> Vec<u32> {
        let Ok(at) = self.find(&heartbeat.name) else {
            return Vec::new();
        };
        let sender = &self.senders[at];
        if sender.has_left(now, heartbeat.incarnation) {
            heartbeat.in_flight.clear();
            return Vec::new();
        }
        if sender.incarnation != heartbeat.incarnation {
            // The sender has restarted, and has not reported since.
            let sender = &mut self.senders[at];
            sender.former = Some((sender.incarnation, now + FORMER_SPAN));
            sender.incarnation = heartbeat.incarnation;
            sender.seq = 0;
            sender.received_at = None;
            sender.waiting.clear();
            return self.replace(now, at, Vec::new());
        }
        if !sender.is_reporting(now) {
            // From here on heartbeats alone tell its counts, as before its reports.
            return self.replace(now, at, Vec::new());
        }
        let counts = core::mem::take(&mut heartbeat.in_flight);
        if is_complete {
            self.replace(now, at, counts)
        } else {
            Vec::new()
        }
    }

    /// Replaces the counts of the sender at an index. Returns the targets concerned.
    fn replace(&mut self, now: Time, at: usize, targets: Vec<(u32, u8)>) -> Vec<u32> {
        for (hash, count) in &targets {
            self.add(*hash, u32::from(*count));
        }
        let sender = &mut self.senders[at];
        sender.counted_at = now;
        let mut touched: Vec<u32> = targets.iter().map(|(hash, _)| *hash).collect();
        let before = core::mem::replace(&mut sender.targets, targets);
        for (hash, count) in &before {
            self.subtract(*hash, u32::from(*count));
        }
        touched.extend(before.iter().map(|(hash, _)| *hash));
        if !self.senders[at].targets.is_empty() {
            let until = now + TTL;
            self.expires_at = Some(self.expires_at.map_or(until, |known| known.min(until)));
        }
        touched
    }

    /// Drops counts that are too old. Returns the targets concerned.
    pub(super) fn expire(&mut self, now: Time) -> Vec<u32> {
        if self.expires_at.is_none_or(|until| now < until) {
            return Vec::new();
        }
        let mut touched = Vec::new();
        for at in 0..self.senders.len() {
            if now.since(self.senders[at].counted_at) >= TTL {
                let before = core::mem::take(&mut self.senders[at].targets);
                for (hash, count) in &before {
                    self.subtract(*hash, u32::from(*count));
                    touched.push(*hash);
                }
            }
        }
        let counted = self.senders.iter().filter(|s| !s.targets.is_empty());
        self.expires_at = counted.map(|s| s.counted_at + TTL).min();
        touched
    }

    /// Forgets senders that have been silent for long.
    pub(super) fn forget_senders(&mut self, now: Time) {
        self.senders
            .retain(|s| !s.targets.is_empty() || now.since(s.counted_at) < SENDER_RETENTION);
    }

    /// Target hashes and the requests of all senders there.
    pub(super) fn totals(&self) -> &[(u32, u32)] {
        &self.totals
    }

    /// Requests of all senders at a target.
    pub(super) fn total(&self, target_hash: u32) -> u32 {
        self.find_total(target_hash)
            .map_or(0, |at| self.totals[at].1)
    }

    /// Requests for a service, of a priority or a more urgent one, that wait at senders.
    pub(super) fn waiting(&self, now: Time, service_hash: u32, priority: Priority) -> u32 {
        let fresh = self.senders.iter().filter(|s| s.is_reporting(now));
        let counted = fresh.flat_map(|s| &s.waiting).filter(|w| {
            let is_ahead = w.priority <= priority;
            w.service_hash == service_hash && is_ahead
        });
        counted.fold(0, |sum, w| sum.saturating_add(w.count))
    }

    /// Senders whose reports are in use.
    pub(super) fn senders(&self, now: Time) -> impl Iterator<Item = SenderLoad> {
        let fresh = self.senders.iter().filter(move |s| s.is_reporting(now));
        fresh.map(move |s| SenderLoad {
            name: Arc::clone(&s.name),
            seq: s.seq,
            age: s.received_at.map_or(Duration::ZERO, |at| now.since(at)),
            targets: s.targets.len(),
            in_flight: s.targets.iter().map(|(_, n)| u32::from(*n)).sum(),
            waiting: s
                .waiting
                .iter()
                .fold(0, |sum, w| sum.saturating_add(w.count)),
        })
    }

    fn add(&mut self, hash: u32, count: u32) {
        match self.find_total(hash) {
            Ok(at) => self.totals[at].1 = self.totals[at].1.saturating_add(count),
            Err(at) if count > 0 => self.totals.insert(at, (hash, count)),
            Err(_) => {}
        }
    }

    fn subtract(&mut self, hash: u32, count: u32) {
        if let Ok(at) = self.find_total(hash) {
            let total = &mut self.totals[at].1;
            *total = total.saturating_sub(count);
            if *total == 0 {
                self.totals.remove(at);
            }
        }
    }

    fn find_total(&self, hash: u32) -> Result<usize, usize> {
        self.totals.binary_search_by_key(&hash, |t| t.0)
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.senders.binary_search_by(|s| (*s.name).cmp(name))
    }
}

impl Sender {
    /// Whether its last report is in use.
    fn is_reporting(&self, now: Time) -> bool {
        self.received_at.is_some_and(|at| now.since(at) < TTL)
    }

    /// Whether an incarnation ended lately, so that its datagrams are delayed ones.
    fn has_left(&self, now: Time, incarnation: u64) -> bool {
        self.former
            .is_some_and(|(former, until)| former == incarnation && now < until)
    }
}

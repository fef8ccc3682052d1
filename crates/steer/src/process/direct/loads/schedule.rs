//! When reports are due, and to whom.
//!
//! Invariants: a region is sent at most one report in its interval; a report that lists
//! nothing is sent only after one that lists something.

use core::net::SocketAddr;
use core::time::Duration;
use std::sync::Arc;

use crate::clock::Time;

/// Time between two reports to the own region: at 8 requests a second and target, 0.3
/// requests are unknown, compared with 1.5 at the interval of heartbeats.
pub const REGION_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two reports to another region: bytes between regions cost most.
pub const REMOTE_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which the recipients are kept: choosing them visits all instances.
const RECIPIENTS_TTL: Duration = Duration::from_millis(250);

/// Referred instances of the own region, this one included, above which nothing is sent:
/// messages grow with the square of their number.
pub(super) const REGION_REFERRED_MAX: usize = 16;

/// Referred instances of all other regions above which nothing is sent: bytes between
/// regions cost most, and with 22 recipients they cost more than the counts gained.
pub(super) const REMOTE_REFERRED_MAX: usize = 16;

/// Instances that reports go to.
#[derive(Clone, Debug, Default)]
pub(super) struct Recipients {
    /// Those of the own region.
    pub(super) region: Vec<SocketAddr>,
    /// Those of each other region, with its name.
    pub(super) remote: Vec<(Arc<str>, Vec<SocketAddr>)>,
}

/// State of the reports to one region.
#[derive(Clone, Debug)]
struct Group {
    /// Name of the region.
    region: Arc<str>,
    interval: Duration,
    recipients: Vec<SocketAddr>,
    due_at: Time,
    /// Whether the last report listed nothing.
    was_empty: bool,
}

/// When the next reports are due, and their recipients.
#[derive(Clone, Debug)]
pub struct Schedule {
    own_region: Arc<str>,
    /// Whether reports were sent since a service became short.
    is_reporting: bool,
    seq: u64,
    groups: Vec<Group>,
    /// Time at which the recipients were chosen.
    chosen_at: Option<Time>,
}

impl Schedule {
    /// Schedule of an instance of a region, with no recipients.
    pub(in super::super) const fn new(own_region: Arc<str>) -> Self {
        Self {
            own_region,
            is_reporting: false,
            seq: 0,
            groups: Vec::new(),
            chosen_at: None,
        }
    }

    /// Whether the last report after a shortness is still to be sent.
    pub(super) const fn is_reporting(&self) -> bool {
        self.is_reporting
    }

    /// Whether the recipients were chosen recently.
    pub(super) fn has_recipients(&self, now: Time) -> bool {
        self.chosen_at
            .is_some_and(|at| now.since(at) < RECIPIENTS_TTL)
    }

    /// Sets the recipients of the own region and of the others.
    pub(super) fn set_recipients(&mut self, now: Time, recipients: Recipients) {
        self.chosen_at = Some(now);
        let own = (Arc::clone(&self.own_region), recipients.region);
        let before = core::mem::take(&mut self.groups);
        for (region, recipients) in core::iter::once(own).chain(recipients.remote) {
            let known = before.iter().find(|g| g.region == region);
            let interval = if region == self.own_region {
                REGION_INTERVAL
            } else {
                REMOTE_INTERVAL
            };
            self.groups.push(Group {
                due_at: known.map_or(now, |g| g.due_at),
                was_empty: known.is_none_or(|g| g.was_empty),
                region,
                interval,
                recipients,
            });
        }
    }

    /// Regions to which reports are due, all of them if it is the last one. Their next
    /// ones are due an interval later.
    pub(super) fn take_due(&mut self, now: Time, is_last: bool) -> Vec<Arc<str>> {
        self.is_reporting = !is_last;
        let mut due = Vec::new();
        for group in &mut self.groups {
            if is_last || now >= group.due_at {
                // A delayed report doesn't delay those after it.
                let next = group.due_at + group.interval;
                group.due_at = if next > now {
                    next
                } else {
                    now + group.interval
                };
                if !group.recipients.is_empty() {
                    due.push(Arc::clone(&group.region));
                }
            }
        }
        due
    }

    /// Recipients of a report to a region; none if it lists nothing and neither did the
    /// last one.
    pub(super) fn recipients(&mut self, region: &str, is_empty: bool) -> Vec<SocketAddr> {
        let Some(group) = self.groups.iter_mut().find(|g| *g.region == *region) else {
            return Vec::new();
        };
        let was_empty = core::mem::replace(&mut group.was_empty, is_empty);
        if is_empty && was_empty {
            return Vec::new();
        }
        group.recipients.clone()
    }

    /// Sequence number of the next reports.
    pub(super) const fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }

    /// Time until the next report is due.
    pub(super) fn pause(&self, now: Time) -> Duration {
        let next = self.groups.iter().map(|g| g.due_at).min();
        next.map_or(Duration::ZERO, |at| at.since(now))
    }
}

//! This instance's part of the limits that targets name.
//!
//! Invariant: the parts of all instances together stay within what the operator allows.

use super::super::target::{COLD_WINDOW, Target};
use super::super::{Direct, allotment, members, unit_interval};
use super::{HEARTBEAT_LIMITS_MAX, Limit, LimitReport, PROBE_AFTER_SILENCE};
use crate::clock::Time;
use core::time::Duration;

impl Direct {
    /// Returns whether the limit of a target allows this instance to send another
    /// request to it.
    pub(in crate::process::direct) fn is_within_limit(&self, now: Time, target: &Target) -> bool {
        let limit = target.limit_state();
        let Some(rate) = limit.rate else { return true };
        let rule = &self.bounds.limit;
        let (total, _) = rule.allowance(rate);
        if target.sent_within(now, rule.count_span(rate)) < self.allotment(total, target) {
            return true;
        }
        let last = target
            .last_sent()
            .map_or(limit.reported_at, |at| at.max(limit.reported_at));
        now.since(last) >= self.probe_delay(target)
    }

    /// Time without a report of a target's limit after which this instance probes it.
    /// The delays spread over a longer span the more instances there are.
    fn probe_delay(&self, target: &Target) -> Duration {
        let count = u32::try_from(self.participants.len() + 1).unwrap_or(u32::MAX);
        let window = self.bounds.limit.window;
        let spread = window.saturating_mul(count);
        PROBE_AFTER_SILENCE + spread.mul_f64(self.own_fraction(target))
    }

    /// Place of this instance, from 0 to 1, in what instances do at a target one after
    /// the other.
    pub(in crate::process::direct) fn own_fraction(&self, target: &Target) -> f64 {
        let own = members::name_hash(&self.identity.name) ^ target.short_hash();
        unit_interval(u64::from(own).wrapping_mul(0x9E37_79B9_7F4A_7C15))
    }

    /// Span for which requests sent to a target must be remembered.
    pub(in crate::process::direct) fn send_history_span(&self, target: &Target) -> Duration {
        let limit = target
            .limit()
            .map(|rate| self.bounds.limit.count_span(rate));
        limit.unwrap_or_default().max(COLD_WINDOW)
    }

    /// Limits for the next heartbeat: those reported by targets to this instance, in
    /// turn.
    pub(in crate::process::direct) fn limit_reports(&mut self, now: Time) -> Vec<LimitReport> {
        let all: Vec<LimitReport> = self
            .roster
            .contacted()
            .filter_map(|t| t.limit_state().report(now, t.short_hash()))
            .collect();
        let room = HEARTBEAT_LIMITS_MAX.min(all.len());
        let from = self.limit_cursor % all.len().max(1);
        self.limit_cursor = from + room;
        all.into_iter().cycle().skip(from).take(room).collect()
    }

    /// Takes limits reported by another instance.
    pub(in crate::process::direct) fn receive_limits(&mut self, now: Time, all: &[LimitReport]) {
        for report in all {
            let limit = Limit {
                rate: report.rate,
                reported_at: now - report.age,
                is_own: false,
                changed_at: None,
            };
            self.roster.note_limit(report.target_hash, limit);
        }
    }

    /// Allotment of this instance in `total` requests to a target.
    pub(in crate::process::direct) fn allotment(&self, total: usize, target: &Target) -> usize {
        let own = allotment::Participant {
            region: self.identity.region.clone(),
            name_hash: members::name_hash(&self.identity.name),
        };
        let region = &target.region;
        allotment::allotment(total, &own, &self.participants, region, target.short_hash())
    }
}

//! Limits that targets in need name: requests a second that one takes from all
//! instances together, for as long as its answers say so.
//!
//! Each instance sends its part ([`allotment`](super::parts)) of what the operator's
//! [`Rule`] allows for the limit. Those that send nothing hear no answers, so
//! whoever has an answer of a target tells the others; and who hears nothing of a
//! limit for long asks by a single request whether it still holds.
//!
//! Invariant: the parts of instances that know the same list and the same limit
//! never add up to more than the rule allows.

use core::time::Duration;

use super::target::{COLD_WINDOW, Target};
use super::{Direct, allotment, members, unit_interval};
use crate::clock::Time;

/// What the operator allows beyond a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// Span over which a target's requests are counted.
    pub window: Duration,
    /// A target gets this times its limit in that span ...
    pub factor: f64,
    /// ... plus this, from all instances together.
    pub slack: f64,
}

impl Default for Rule {
    /// Nothing beyond the limit.
    fn default() -> Self {
        Self {
            window: Duration::from_secs(4),
            factor: 1.0,
            slack: 0.0,
        }
    }
}

/// Part of what the rule allows that instances send knowingly. The rest covers
/// changes of who shares a limit.
const USED: f64 = 0.75;

/// Most that they send, over what the target named.
const BEYOND: f64 = 2.0;

/// Longest time that one request of a small limit may stand for.
const SPAN_MOST: Duration = Duration::from_mins(1);

/// Time by which requests sent one after the other may arrive closer together.
const WAY: Duration = Duration::from_millis(250);

/// Time without news of a limit after which an instance asks whether it holds. Each
/// adds some of its own, so that one of them asks and tells the others.
const QUIET: Duration = Duration::from_secs(10);

/// Time for which heartbeats tell that a target no longer names a limit.
const LIFTED: Duration = Duration::from_secs(5);

/// Limits that one heartbeat tells of, in turn.
const TOLD_MOST: usize = 10;

impl Rule {
    /// Requests that all instances together send for a limit of `rate` a second, and
    /// the span in which they do.
    fn allowance(&self, rate: f64) -> (usize, Duration) {
        let window = self.window.as_secs_f64();
        let named = rate * window;
        let allowed = (named * self.factor + self.slack) * USED;
        let requests = allowed.clamp(named, named * BEYOND);
        if requests < 1.0 && rate > 0.0 {
            let span = Duration::try_from_secs_f64(window / requests).unwrap_or(SPAN_MOST);
            return (1, span.min(SPAN_MOST));
        }
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "saturates"
        )]
        let whole = requests as usize;
        (whole, self.window)
    }

    /// Span over which an instance counts its own requests.
    fn count_span(&self, rate: f64) -> Duration {
        self.allowance(rate).1 + WAY
    }
}

/// What a target said last of its limit.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// Requests a second from all instances together; `None` if any number.
    pub rate: Option<f64>,
    /// When it said so.
    reported_at: Time,
    /// Whether it said so to this instance. Only that is told to others.
    is_own: bool,
    /// When it last said something else than before.
    changed_at: Option<Time>,
}

impl Limit {
    /// None was named.
    pub(super) const NONE: Self = Self {
        rate: None,
        reported_at: Time::ZERO,
        is_own: false,
        changed_at: None,
    };

    /// After an answer to this instance.
    pub(super) fn updated(&self, now: Time, rate: Option<f64>) -> Self {
        let same = rate == self.rate;
        Self {
            rate,
            reported_at: now,
            is_own: true,
            changed_at: self.changed_at.filter(|_| same).or((!same).then_some(now)),
        }
    }

    /// Whether another was named later.
    pub(super) fn is_older_than(&self, other: &Self) -> bool {
        self.reported_at < other.reported_at
    }

    /// What heartbeats tell of it.
    fn report(&self, now: Time, mark: u32) -> Option<LimitReport> {
        let age = now.since(self.reported_at);
        let lately = self.changed_at.is_some_and(|at| now.since(at) < LIFTED);
        let is_news = self.rate.is_some() || lately;
        (self.is_own && is_news).then_some(LimitReport {
            target_hash: mark,
            rate: self.rate,
            age,
        })
    }
}

/// What a target has told another instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// The target's mark.
    pub target_hash: u32,
    /// Requests a second; `None` if it names no limit any more.
    pub rate: Option<f64>,
    /// How long ago it said so.
    pub age: Duration,
}

impl Direct {
    /// Whether this instance may send another request to a target by the limit that
    /// it names.
    pub(super) fn is_within_limit(&self, now: Time, target: &Target) -> bool {
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
        now.since(last) >= self.quiet_span(target)
    }

    /// Time without news of a target's limit after which this instance asks. The
    /// more instances, the wider they are spread.
    fn quiet_span(&self, target: &Target) -> Duration {
        let count = u32::try_from(self.participants.len() + 1).unwrap_or(u32::MAX);
        let own = members::name_hash(&self.identity.name) ^ target.short_hash();
        let own = u64::from(own).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let window = self.bounds.limit.window;
        QUIET + window.saturating_mul(count).mul_f64(unit_interval(own))
    }

    /// Span of requests to a target that has to be remembered.
    pub(super) fn sent_memory(&self, target: &Target) -> Duration {
        let limit = target
            .limit()
            .map(|rate| self.bounds.limit.count_span(rate));
        limit.unwrap_or_default().max(COLD_WINDOW)
    }

    /// What heartbeats tell of limits: all that targets have told this instance, in
    /// turn.
    pub(super) fn limit_reports(&mut self, now: Time) -> Vec<LimitReport> {
        let targets = self.roster.all().iter();
        let all: Vec<LimitReport> = targets
            .filter_map(|t| t.limit_state().report(now, t.short_hash()))
            .collect();
        let room = TOLD_MOST.min(all.len());
        let from = self.limit_cursor % all.len().max(1);
        self.limit_cursor = from + room;
        all.into_iter().cycle().skip(from).take(room).collect()
    }

    /// Takes what targets have told another instance.
    pub(super) fn receive_limits(&mut self, now: Time, all: &[LimitReport]) {
        for named in all {
            let told = Limit {
                rate: named.rate,
                reported_at: now - named.age,
                is_own: false,
                changed_at: None,
            };
            self.roster.note_limit(named.target_hash, told);
        }
    }

    /// This instance's part of `total` requests to a target.
    pub(super) fn allotment(&self, total: usize, target: &Target) -> usize {
        let own = allotment::Participant {
            region: self.identity.region.clone(),
            name_hash: members::name_hash(&self.identity.name),
        };
        let region = &target.region;
        allotment::allotment(total, &own, &self.participants, region, target.short_hash())
    }
}

//! Whether this instance reaches targets by itself, or is cut off from all of them.
//!
//! When a target can't be reached, breaks off or doesn't answer, the fault may be the
//! target's or lie in this instance's own links. Requests alone don't tell, as they go to
//! few targets. So failures at several targets, or at one while no other answers, begin a
//! round of probes: a connection is opened to a target of each failure domain. If none
//! opens, this instance is cut off, and other instances send its requests (see
//! [`super::relay`]). It sends them itself again once most probes succeed in several
//! rounds: as long as only some links are back, the others are the better way. If none of
//! them relays, as when all targets were down, a single target that is reached is enough.
//!
//! Invariants: only a round of probes in which no connection opens makes an instance cut
//! off; one that is sends nothing to targets; a round ends in bounded time; what failed
//! while it was in doubt is held against no target and no request.

use core::net::SocketAddr;
use core::time::Duration;
use std::sync::Arc;

use super::job::{Job, State};
use super::suspect::Cause;
use super::target::Target;
use super::{Decision, Direct, members};
use crate::clock::Time;

/// Time for which a failure at a target counts.
const FAILURE_SPAN: Duration = Duration::from_secs(2);

/// Failed targets from which on there is a doubt.
const FAILED_TARGETS_MIN: usize = 2;

/// Time without an answer of any target after which a single failed target is enough.
const QUIET_SPAN: Duration = Duration::from_secs(1);

/// Time in flight over the expected latency from which a request without an answer counts
/// as a failure of its target, if no other target has answered meanwhile.
const OVERDUE_RATIO_MIN: f64 = 1.6;

/// Least time in flight of an overdue request.
const OVERDUE_MIN: Duration = Duration::from_millis(500);

/// Largest number of connections in a round of probes.
const PROBES_MAX: usize = 6;

/// Number of probes below which a round shows nothing.
const PROBES_MIN: usize = 2;

/// Time after which a round without a result is given up. A busy process is late with it.
const ROUND_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after a round that has reached a target.
const ROUND_PAUSE: Duration = Duration::from_secs(1);

/// The same if nothing but silence gives a reason for another one. Requests that take long
/// are more often the reason than links.
const SILENCE_ROUND_PAUSE: Duration = Duration::from_secs(4);

/// Pause between rounds while this instance is cut off.
const CUT_ROUND_PAUSE: Duration = Duration::from_millis(400);

/// Rounds in a row in which most probes must succeed before this instance sends to targets
/// again, while relays work.
const GOOD_ROUNDS_MIN: u32 = 2;

/// Time since the last answer by a relay for which relays count as working.
const RELAY_WORKS_SPAN: Duration = Duration::from_secs(2);

/// Evidence on whether this instance reaches targets.
#[derive(Clone, Debug, Default)]
pub(super) struct Reach {
    /// Since when it reaches none, if that is so.
    cut_since: Option<Time>,
    /// Targets at which requests of this instance failed lately.
    failures: Vec<Failure>,
    /// Time of the last answer of a target to this instance itself.
    answered_at: Option<Time>,
    /// Time of the last answer of a target by a relay.
    relayed_at: Option<Time>,
    /// Start of the round of probes in progress.
    round_since: Option<Time>,
    /// End of the last round.
    round_end: Option<Time>,
    /// Rounds in a row in which most probes succeeded.
    good_rounds: u32,
    /// Counts rounds, so that each probes other targets.
    turn: usize,
}

/// Failed requests of this instance at one target.
#[derive(Clone, Debug)]
struct Failure {
    target: Arc<str>,
    first: Time,
    last: Time,
    /// Whether the target has only been silent.
    is_silence: bool,
}

/// A connection to be opened to a target, without sending anything.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Probe {
    /// Name of the target.
    pub target: Arc<str>,
    /// Address of the target.
    pub addr: SocketAddr,
}

/// Change of whether this instance is cut off from all targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReachChange {
    /// Whether it is.
    pub is_cut: bool,
    /// Probes of the round that decided.
    pub probed: usize,
    /// Those of them that succeeded.
    pub reached: usize,
    /// Targets at which requests had failed before.
    pub failed: Vec<Arc<str>>,
    /// Time for which this instance was cut off, at the end.
    pub span: Option<Duration>,
}

impl Failure {
    fn is_recent(&self, now: Time) -> bool {
        now.since(self.last) < FAILURE_SPAN
    }
}

impl Reach {
    fn is_round_running(&self, now: Time) -> bool {
        self.round_since
            .is_some_and(|since| now < since + ROUND_TIMEOUT)
    }

    fn record_failure(&mut self, now: Time, target: &Arc<str>, is_silence: bool) {
        self.failures.retain(|f| f.is_recent(now));
        match self.failures.iter_mut().find(|f| f.target == *target) {
            Some(known) => {
                known.last = now;
                known.is_silence &= is_silence;
            }
            None => self.failures.push(Failure {
                target: Arc::clone(target),
                first: now,
                last: now,
                is_silence,
            }),
        }
    }

    /// Pause from the last round until the next one, if there is a reason for one.
    fn doubt_pause(&self, now: Time) -> Option<Duration> {
        let recent = self.failures.iter().filter(|f| f.is_recent(now));
        let (silent, failed): (Vec<_>, Vec<_>) = recent.partition(|f| f.is_silence);
        let is_quiet = self
            .answered_at
            .is_none_or(|at| now.since(at) >= QUIET_SPAN);
        if failed.len() >= FAILED_TARGETS_MIN || !failed.is_empty() && is_quiet {
            Some(ROUND_PAUSE)
        } else {
            let is_doubtful = silent.len() + failed.len() >= FAILED_TARGETS_MIN;
            is_doubtful.then_some(SILENCE_ROUND_PAUSE)
        }
    }

    /// Counts a round of probes while cut off; returns whether targets are reached well
    /// enough again.
    fn is_back(&mut self, now: Time, reached: usize, probed: usize) -> bool {
        let has_relay = self
            .relayed_at
            .is_some_and(|at| now.since(at) < RELAY_WORKS_SPAN);
        if !has_relay {
            return reached > 0;
        }
        self.good_rounds = if reached * 2 > probed {
            self.good_rounds + 1
        } else {
            0
        };
        self.good_rounds >= GOOD_ROUNDS_MIN
    }

    fn is_due(&self, now: Time) -> bool {
        let pause = match self.cut_since {
            Some(_) => Some(CUT_ROUND_PAUSE),
            None => self.doubt_pause(now),
        };
        let Some(pause) = pause else {
            return false;
        };
        let is_paused = self.round_end.is_some_and(|end| now.since(end) < pause);
        !is_paused && !self.is_round_running(now)
    }
}

impl Direct {
    /// Whether this instance is cut off from all targets.
    #[must_use]
    pub const fn is_cut_off(&self) -> bool {
        self.reach.cut_since.is_some()
    }

    /// Time for which this instance has been cut off from all targets, if it is.
    #[must_use]
    pub fn cut_off_span(&self, now: Time) -> Option<Duration> {
        self.reach.cut_since.map(|since| now.since(since))
    }

    /// Whether a round of probes is in progress or due whose result may be that this
    /// instance is cut off.
    pub(super) fn is_reach_unclear(&self, now: Time) -> bool {
        let is_probed = self.reach.is_round_running(now) || self.reach.is_due(now);
        self.reach.cut_since.is_none() && is_probed
    }

    /// Whether [`Direct::begin_probes`] is to be called.
    #[must_use]
    pub fn is_probe_due(&self, now: Time) -> bool {
        self.reach.is_due(now)
    }

    /// Begins a round of probes if one is due. Its result goes to
    /// [`Direct::finish_probes`].
    pub fn begin_probes(&mut self, now: Time) -> Vec<Probe> {
        if !self.reach.is_due(now) {
            return Vec::new();
        }
        self.reach.round_since = Some(now);
        self.reach.turn = self.reach.turn.wrapping_add(1);
        self.choose_probes()
    }

    /// A target of each failure domain, those of the own region first, and further ones if
    /// there is room; others in each round.
    fn choose_probes(&self) -> Vec<Probe> {
        let turn = self.reach.turn;
        let is_usable =
            |t: &&Target| t.is_available() && !self.roster.is_evacuated(&t.entry.domain);
        let mut all: Vec<(bool, &Target)> = self
            .roster
            .all()
            .iter()
            .filter(is_usable)
            .map(|t| (t.region != self.identity.region, t))
            .collect();
        all.sort_by(|a, b| (a.0, &a.1.entry.domain).cmp(&(b.0, &b.1.entry.domain)));
        let mut domains: Vec<&[(bool, &Target)]> = all
            .chunk_by(|a, b| a.1.entry.domain == b.1.entry.domain)
            .collect();
        let local = domains.iter().filter(|d| !d[0].0).count();
        if let Some(remote) = domains.get_mut(local..).filter(|d| !d.is_empty()) {
            let shift = turn % remote.len();
            remote.rotate_left(shift);
        }
        let most = domains.iter().map(|d| d.len()).max().unwrap_or_default();
        let of_pass = |pass: usize| {
            let has_more = move |d: &&&[(bool, &Target)]| pass < d.len();
            domains
                .iter()
                .filter(has_more)
                .map(move |d| d[(turn + pass) % d.len()].1)
        };
        (0..most.min(PROBES_MAX))
            .flat_map(of_pass)
            .take(PROBES_MAX)
            .map(|target| Probe {
                target: Arc::clone(&target.entry.id),
                addr: target.entry.addr,
            })
            .collect()
    }

    /// Records how many of the round's probes succeeded. Returns whether that changes how
    /// targets are reached.
    pub fn finish_probes(
        &mut self,
        now: Time,
        reached: usize,
        probed: usize,
    ) -> Option<ReachChange> {
        if !self.reach.is_round_running(now) {
            return None;
        }
        self.reach.round_since = None;
        self.reach.round_end = Some(now);
        let Some(since) = self.reach.cut_since else {
            if reached > 0 || probed < PROBES_MIN {
                self.reach.failures.clear();
                return None;
            }
            let failed = self.enter_cut(now);
            return Some(ReachChange {
                is_cut: true,
                probed,
                reached,
                failed,
                span: None,
            });
        };
        if !self.reach.is_back(now, reached, probed) {
            return None;
        }
        self.reach.cut_since = None;
        Some(ReachChange {
            is_cut: false,
            probed,
            reached,
            failed: Vec::new(),
            span: Some(now.since(since)),
        })
    }

    /// Takes back what is held against targets and requests because of this instance's own
    /// links. Returns the targets concerned.
    fn enter_cut(&mut self, now: Time) -> Vec<Arc<str>> {
        self.reach.cut_since = Some(now);
        self.reach.good_rounds = 0;
        let failures = core::mem::take(&mut self.reach.failures);
        for Failure { target, first, .. } in &failures {
            if let Some(target) = self.roster.get_mut(target) {
                target.readmit();
            }
            let hash = members::name_hash(target);
            self.observations.retain(|o| o.target_hash != hash);
            self.breaks.retain(|b| !b.is_at(target));
            let end = now + Duration::from_micros(1);
            let withdrawn = self.suspects.withdraw_within(now, target, *first, end);
            self.log_withdrawn(&withdrawn, &Cause::CutOff(Arc::clone(target)));
        }
        for job in &mut self.jobs {
            job.unreached.clear();
        }
        failures.into_iter().map(|f| f.target).collect()
    }

    /// Records that this instance's own connection to a target failed.
    pub(super) fn record_unreached(&mut self, now: Time, target: &Arc<str>) {
        if self.reach.cut_since.is_none() {
            self.reach.record_failure(now, target, false);
        }
    }

    /// Records an answer of a target to this instance itself, or by a relay.
    pub(super) const fn record_reached(&mut self, now: Time, is_relayed: bool) {
        if is_relayed {
            self.reach.relayed_at = Some(now);
        } else {
            self.reach.answered_at = Some(now);
        }
    }

    /// Whether a request sent at `sent_at` is the only evidence on its target: no target
    /// has answered since.
    pub(super) fn is_unanswered_since(&self, sent_at: Time) -> bool {
        self.reach.answered_at.is_none_or(|at| at < sent_at)
    }

    /// Records targets that don't answer while no other does: connections may go silent
    /// without a sign.
    pub(super) fn sweep_reach(&mut self, now: Time) {
        if self.is_cut_off() {
            return;
        }
        let is_silent = |job: &&Job| {
            self.is_overdue(now, job)
                && matches!(&job.state, State::InFlight { sent_at, .. } if self.is_unanswered_since(*sent_at))
        };
        let silent: Vec<Arc<str>> = self
            .jobs
            .iter()
            .filter(is_silent)
            .filter_map(|job| job.target().cloned())
            .collect();
        for target in silent {
            self.reach.record_failure(now, &target, true);
        }
    }

    /// Whether a request that this instance has sent itself should have been answered.
    fn is_overdue(&self, now: Time, job: &Job) -> bool {
        let State::InFlight {
            sent_at,
            queued: false,
            relay: None,
            ..
        } = &job.state
        else {
            return false;
        };
        let expected = Duration::from_secs_f64(self.estimate(job).not_warm * OVERDUE_RATIO_MIN);
        now.since(*sent_at) >= expected.max(OVERDUE_MIN)
    }

    /// Gives up requests that were sent by this instance itself, are overdue and may be
    /// repeated, while it is cut off.
    pub(super) fn give_up_overdue(&mut self, now: Time) -> Vec<Decision> {
        if !self.is_cut_off() {
            return Vec::new();
        }
        let is_given_up = |job: &&Job| job.request.route.is_idempotent && self.is_overdue(now, job);
        let tickets: Vec<_> = self
            .jobs
            .iter()
            .filter(is_given_up)
            .map(|job| job.ticket)
            .collect();
        let mut decisions = Vec::new();
        for ticket in tickets {
            if let Ok(at) = self.find(ticket)
                && let State::InFlight { is_given_up, .. } = &mut self.jobs[at].state
                && !core::mem::replace(is_given_up, true)
            {
                decisions.push(Decision::GiveUp { ticket });
            }
        }
        decisions
    }
}

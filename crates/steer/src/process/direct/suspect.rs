//! What instances tell each other of requests that crash the targets that run them, and
//! what they log of it.
//!
//! Such a request comes again at any instance, for minutes. So verdicts are told for as
//! long as they hold: news at once to the nearest instances and to some at random, who
//! pass it on, and everything in turn to an instance at random and to neighbours that
//! have just started. Heartbeats alone wouldn't do, as each instance sends them to the
//! same few; they tell which requests are under suspicion.
//!
//! Invariants: at most [`REPORTS_MAX`] reports in one message, the newest in each, the
//! others in turn; at most [`CHANGES_MAX`] changes wait to be logged, further ones are
//! dropped.

use core::net::SocketAddr;
use core::time::Duration;
use std::sync::Arc;

use super::job::{Job, State};
use super::{Direct, hash};
use crate::clock::Time;
use crate::request::arrival::Fingerprint;
use crate::request::poison::{Report, Withdrawal};

/// Number of strikes at which a request is always refused. A suspect runs beside other
/// requests, one copy at a time, so two breaks may be chance.
pub const STRIKES_MAX: u8 = 3;

/// Number of strikes at which a request is always refused though this instance has had an
/// answer to it lately. Popular requests are under way in many breaks, and each of those
/// answers comes from a target that has survived it.
pub const ANSWERED_STRIKES_MAX: u8 = 5;

/// Largest number of reports in one message, so that it fits a datagram.
pub const REPORTS_MAX: usize = 32;

/// Of these, the number of reports with the latest changes.
const NEWEST_REPORTS: usize = 16;

/// Time for which a change is told at each turn.
const NEWS_SPAN: Duration = Duration::from_secs(2);

/// Age up to which changes are told at once.
const URGENT_SPAN: Duration = Duration::from_millis(100);

/// Instances at random that are told news at each turn. With four, news reaches a
/// thousand instances in about five turns.
const NEWS_FANOUT: usize = 4;

/// Permits between messages without news.
const QUIET_TURNS: u64 = 8;

/// Time after a break from which a target that the store still lists has not crashed: the
/// entry of one that has is removed within three intervals of the targets' reports, which
/// are some seconds apart.
const LISTED_SPAN: Duration = Duration::from_secs(15);

/// Largest number of breaks that are remembered until then.
const BREAKS_MAX: usize = 256;

/// Time in which further breaks at a target are remembered as one.
const BREAK_SPAN: Duration = Duration::from_secs(1);

/// Largest number of changes that wait to be logged.
const CHANGES_MAX: usize = 256;

/// Breaks of connections to a target, in [`BREAK_SPAN`] from the first.
#[derive(Clone, Debug)]
pub(super) struct TargetBreak {
    target: Arc<str>,
    incarnation: u64,
    first: Time,
}

impl TargetBreak {
    /// Whether it was at this target.
    pub(super) fn is_at(&self, target: &str) -> bool {
        *self.target == *target
    }
}

/// Whether others are to be told of changed strikes at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum NewsDue {
    /// There is no change.
    #[default]
    None,
    /// Another instance has told of one.
    Heard,
    /// This instance has found one.
    Found,
}

/// Whether a request may be sent, as far as it is suspected of crashing targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Suspicion {
    /// Nothing is held against it, or no copy of it is in flight.
    None,
    /// A copy is in flight here or at another instance, whose outcome decides.
    Waits,
    /// It is always refused.
    Refused,
}

/// Reports for other instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectMessage {
    /// What this instance holds against requests.
    pub reports: Vec<Report>,
    /// Addresses for heartbeats of those that get it.
    pub recipients: Vec<SocketAddr>,
}

/// Cause of a change of strikes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The connection to this target broke while the request was in flight there.
    Broken(Arc<str>),
    /// This target answered a request that was sent before its connection broke, or is
    /// still listed long after.
    Survived(Arc<str>),
    /// This instance was cut off from all targets when the connection to this one broke.
    CutOff(Arc<str>),
    /// The request was answered.
    Answered,
    /// Another instance reported it.
    Told(Arc<str>),
    /// It is in the platform's store.
    Stored,
}

impl Cause {
    /// Name in log lines.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Broken(_) => "broken",
            Self::Survived(_) => "survived",
            Self::CutOff(_) => "cut-off",
            Self::Answered => "answered",
            Self::Told(_) => "told",
            Self::Stored => "stored",
        }
    }

    /// Name of the target or instance that it came from, if there is one.
    #[must_use]
    pub const fn source(&self) -> Option<&Arc<str>> {
        match self {
            Self::Broken(name) | Self::Survived(name) | Self::CutOff(name) | Self::Told(name) => {
                Some(name)
            }
            Self::Answered | Self::Stored => None,
        }
    }
}

/// Change of the strikes against a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Strikes before.
    pub before: u8,
    /// Strikes since.
    pub strikes: u8,
    /// Cause of the change.
    pub cause: Cause,
}

impl Direct {
    /// Returns the changes since the last call.
    pub fn take_suspect_changes(&mut self) -> Vec<Change> {
        core::mem::take(&mut self.suspect_changes)
    }

    /// Whether the request at `at` may be sent. Of a suspect one copy runs at a time: if
    /// it crashes a target too, the others never run.
    pub(super) fn suspicion(&mut self, now: Time, at: usize) -> Suspicion {
        let fingerprint = self.jobs[at].request.fingerprint;
        match self.suspects.strikes(fingerprint) {
            0 => return Suspicion::None,
            _ if self.jobs[at].is_trial => return Suspicion::None,
            _ if self.is_refused(now, fingerprint) => return Suspicion::Refused,
            _ => {}
        }
        let is_copy = |job: &Job| {
            job.request.fingerprint == fingerprint && matches!(job.state, State::InFlight { .. })
        };
        if self.jobs.iter().any(is_copy) || !self.has_permit(now, fingerprint) {
            Suspicion::Waits
        } else {
            Suspicion::None
        }
    }

    /// Whether [`Direct::suspect_news`] or [`Direct::permit_requests`] is to be called at once.
    #[must_use]
    pub fn is_news_due(&self) -> bool {
        self.is_permit_request_due || self.news_due != NewsDue::None
    }

    /// Whether a request is always refused here.
    pub(super) fn is_refused(&self, now: Time, fingerprint: Fingerprint) -> bool {
        let strikes = self.suspects.strikes(fingerprint);
        strikes >= ANSWERED_STRIKES_MAX
            || strikes >= STRIKES_MAX && !self.answered.has(now, fingerprint)
    }

    /// Number of requests under suspicion, and of those that are always refused.
    #[must_use]
    pub fn suspect_counts(&self) -> (usize, usize) {
        (self.suspects.len(), self.suspects.rejected().count())
    }

    /// Requests under suspicion, with their strikes.
    pub fn suspects(&self) -> impl Iterator<Item = (Fingerprint, u8)> {
        self.suspects.all().map(|s| (s.fingerprint, s.strikes))
    }

    /// Reports for other instances at this turn; `None` if nobody is to be told
    /// anything. To be called at the pace of heartbeats.
    pub fn suspect_message(&mut self, now: Time) -> Option<SuspectMessage> {
        self.suspect_turn += 1;
        if self.suspects.has_no_verdict() {
            return None;
        }
        let recipients = self.suspect_recipients(now);
        if recipients.is_empty() {
            return None;
        }
        let mut reports = self.suspects.reports(now);
        let rest = reports.split_off(NEWEST_REPORTS.min(reports.len()));
        let room = (REPORTS_MAX - reports.len()).min(rest.len());
        let from = self.suspect_cursor % rest.len().max(1);
        reports.extend(rest.iter().cycle().skip(from).take(room));
        self.suspect_cursor = from + room;
        Some(SuspectMessage {
            reports,
            recipients,
        })
    }

    /// Reports of changes that others are to be told of at once; `None` if there are none.
    /// Whoever finds something tells the instances that get its heartbeats, and whoever
    /// hears of it tells some at random, if there may be more.
    pub fn suspect_news(&mut self, now: Time) -> Option<SuspectMessage> {
        let due = core::mem::take(&mut self.news_due);
        if due == NewsDue::None {
            return None;
        }
        let mut reports = self.suspects.news(now, URGENT_SPAN);
        reports.truncate(NEWEST_REPORTS);
        let nearest = self.recipients(now);
        let mut recipients = nearest.local;
        recipients.extend(nearest.region);
        recipients.extend(nearest.remote);
        let has_more = recipients.len() < self.participants.len();
        if due == NewsDue::Heard {
            recipients.clear();
        }
        if has_more {
            recipients.extend(self.random_recipients(now, NEWS_FANOUT));
        }
        recipients.sort_unstable();
        recipients.dedup();
        let has_news = !reports.is_empty() && !recipients.is_empty();
        has_news.then_some(SuspectMessage {
            reports,
            recipients,
        })
    }

    fn suspect_recipients(&self, now: Time) -> Vec<SocketAddr> {
        let is_news = self.suspects.has_changed(now, NEWS_SPAN);
        let is_turn = self.suspect_turn.is_multiple_of(QUIET_TURNS);
        let newcomers = self.members.newcomers(now);
        let mut recipients = Vec::new();
        if is_news || !newcomers.is_empty() {
            recipients = self.recipients(now).local;
        }
        if !is_news {
            recipients.retain(|addr| newcomers.binary_search(addr).is_ok());
        }
        let random = match (is_news, is_turn) {
            (true, _) => NEWS_FANOUT,
            (false, true) => 1,
            (false, false) => 0,
        };
        if random > 0 {
            recipients.extend(self.random_recipients(now, random));
        }
        recipients.sort_unstable();
        recipients.dedup();
        recipients
    }

    /// Addresses for heartbeats of instances at random; others at each time.
    fn random_recipients(&self, now: Time, count: usize) -> Vec<SocketAddr> {
        let all: Vec<SocketAddr> = self
            .members
            .participants(now)
            .map(|(_, registration)| registration.heartbeats)
            .collect();
        let (name, time) = (&self.identity.name, now.as_micros());
        let pick = |i: usize| {
            let draw = hash(format!("{name} {time} {i}").as_bytes());
            let at = usize::try_from(draw % all.len().max(1) as u64).unwrap_or_default();
            all.get(at).copied()
        };
        (0..count).filter_map(pick).collect()
    }

    /// Takes reports of another instance.
    pub fn receive_suspects(&mut self, now: Time, sender: &Arc<str>, reports: &[Report]) {
        for report in reports {
            let before = self.suspects.strikes(report.fingerprint);
            self.suspects.absorb(now, *report);
            let cause = Cause::Told(Arc::clone(sender));
            self.log_suspect(report.fingerprint, before, cause);
        }
    }

    /// What is held against a request, if anything is.
    #[must_use]
    pub fn suspect_report(&self, now: Time, fingerprint: Fingerprint) -> Option<Report> {
        self.suspects.report(now, fingerprint)
    }

    /// Remembers a break, to see later whether the target has crashed.
    pub(super) fn remember_break(&mut self, now: Time, target: &Arc<str>) {
        let Some(incarnation) = self.roster.get(target).map(|t| t.entry.incarnation) else {
            return;
        };
        let covers = |b: &TargetBreak| {
            b.target == *target && b.incarnation == incarnation && now < b.first + BREAK_SPAN
        };
        if self.breaks.len() < BREAKS_MAX && !self.breaks.iter().any(covers) {
            self.breaks.push(TargetBreak {
                target: Arc::clone(target),
                incarnation,
                first: now,
            });
        }
    }

    /// Withdraws the strikes of breaks at targets that have not crashed, as the store
    /// still lists them.
    pub(super) fn sweep_breaks(&mut self, now: Time) {
        let is_due = |b: &TargetBreak| now >= b.first + BREAK_SPAN + LISTED_SPAN;
        let (due, rest): (Vec<_>, Vec<_>) = self.breaks.drain(..).partition(is_due);
        self.breaks = rest;
        for broken in due {
            let target = self.roster.get(&broken.target);
            let is_listed =
                target.is_some_and(|t| !t.is_gone && t.entry.incarnation == broken.incarnation);
            if !is_listed || !self.is_store_known_since(now, broken.first) {
                continue;
            }
            let end = broken.first + BREAK_SPAN;
            let withdrawn = self
                .suspects
                .withdraw_within(now, &broken.target, broken.first, end);
            self.log_withdrawn(&withdrawn, &Cause::Survived(broken.target));
        }
    }

    /// Records for the log that strikes were taken back.
    pub(super) fn log_withdrawn(&mut self, withdrawn: &[Withdrawal], cause: &Cause) {
        for change in withdrawn {
            self.log_suspect(change.fingerprint, change.before, cause.clone());
        }
    }

    /// Records a change for the log if the strikes differ from those before.
    pub(super) fn log_suspect(&mut self, fingerprint: Fingerprint, before: u8, cause: Cause) {
        let strikes = self.suspects.strikes(fingerprint);
        if strikes != before {
            let due = match cause {
                Cause::Broken(_) | Cause::Survived(_) | Cause::CutOff(_) | Cause::Answered => {
                    NewsDue::Found
                }
                Cause::Told(_) | Cause::Stored => NewsDue::Heard,
            };
            self.news_due = self.news_due.max(due);
        }
        // All instances hear of each strike; what they hear is logged where it changes
        // whether the request is refused.
        let is_heard = matches!(cause, Cause::Told(_) | Cause::Stored);
        let is_logged = !is_heard || before.max(strikes) >= STRIKES_MAX;
        if strikes != before && is_logged && self.suspect_changes.len() < CHANGES_MAX {
            self.suspect_changes.push(Change {
                fingerprint,
                before,
                strikes,
                cause,
            });
        }
    }
}

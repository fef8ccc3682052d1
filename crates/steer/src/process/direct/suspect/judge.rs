//! Strikes, verdicts and trials as this instance decides on them.
//!
//! Invariant: what is told to others has changed here, or was asked for.

use super::super::job::{Job, State};
use super::super::{Direct, hash};
use super::{
    ANSWERED_STRIKES_MAX, BREAK_SPAN, BREAKS_MAX, CHANGES_MAX, Cause, Change, LISTED_SPAN,
    NEWEST_REPORTS, NEWS_FANOUT, NEWS_SPAN, NewsDue, QUIET_TURNS, REPORTS_MAX, STRIKES_MAX,
    SuspectMessage, Suspicion, TargetBreak, URGENT_SPAN,
};
use crate::clock::Time;
use crate::request::arrival::Fingerprint;
use crate::request::poison::{Report, Withdrawal};
use core::net::SocketAddr;
use std::sync::Arc;

impl Direct {
    /// Returns the changes since the last call.
    pub fn take_suspect_changes(&mut self) -> Vec<Change> {
        core::mem::take(&mut self.suspect_changes)
    }

    /// Whether the request at `at` may be sent. Of a suspect one copy runs at a time: if
    /// it crashes a target too, the others never run.
    pub(in crate::process::direct) fn suspicion(&mut self, now: Time, at: usize) -> Suspicion {
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
    pub(in crate::process::direct) fn is_refused(
        &self,
        now: Time,
        fingerprint: Fingerprint,
    ) -> bool {
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
    pub(in crate::process::direct) fn remember_break(&mut self, now: Time, target: &Arc<str>) {
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
    pub(in crate::process::direct) fn sweep_breaks(&mut self, now: Time) {
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
    pub(in crate::process::direct) fn log_withdrawn(
        &mut self,
        withdrawn: &[Withdrawal],
        cause: &Cause,
    ) {
        for change in withdrawn {
            self.log_suspect(change.fingerprint, change.before, cause.clone());
        }
    }

    /// Records a change for the log if the strikes differ from those before.
    pub(in crate::process::direct) fn log_suspect(
        &mut self,
        fingerprint: Fingerprint,
        before: u8,
        cause: Cause,
    ) {
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

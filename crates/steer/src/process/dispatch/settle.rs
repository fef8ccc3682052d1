//! What becomes of a request whose attempt ended.
//!
//! Invariant: an attempt that isn't the request's present one changes nothing.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::clock::Time;
use crate::process::dispatch::Dispatch;
use crate::process::dispatch::job::Running;
use crate::process::dispatch::message::{Action, AttemptOutcome, Destination, Report};
use crate::process::safeguard::Safeguard;
use crate::process::target::health::Fault;
use crate::process::target::{Fit, latency};
use crate::request::admission;
use crate::request::arrival::{AttemptId, Fingerprint, RequestId};
use crate::request::outcome::{Reason, Refusal};
use crate::request::poison::{self, Change};
use crate::request::retry::{self, Doubt};
use crate::version::view::State;

impl Dispatch {
    pub(super) fn ended(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        out: &mut Vec<Action>,
    ) {
        let Some(running) = self.flight.take(id, Some(attempt)) else {
            return;
        };
        self.release(&running);
        self.learn(now, &running, &outcome, out);
        self.settle(now, running, outcome, out);
        self.pump(now, out);
    }

    fn settle(
        &mut self,
        now: Time,
        running: Running,
        outcome: AttemptOutcome,
        out: &mut Vec<Action>,
    ) {
        let mut job = running.job;
        let id = job.arrival.id;
        let Some(doubt) = retry::doubt(&outcome) else {
            if let AttemptOutcome::Answered(answer) = outcome {
                self.callers.remove(&job.arrival.caller);
                self.stats.replied += 1;
                out.push(Action::Reply { id, answer });
            }
            return;
        };
        job.maybe |= doubt == Doubt::MayHaveRun;
        job.failed = Some(retry::reason(&outcome));
        if self.poisoned(&job) {
            let refusal = Refusal::unknown(Reason::Poison, None);
            return self.finish(&job, refusal, out);
        }
        if let AttemptOutcome::PeerRefused(refusal) = outcome
            && doubt == Doubt::MayHaveRun
        {
            return self.finish(&job, refusal, out);
        }
        let Some(group) = self.group(&job.arrival.service) else {
            let refusal = job.refusal(Reason::UnknownService, None);
            return self.finish(&job, refusal, out);
        };
        let safe = doubt == Doubt::NotRun || self.groups[group].idempotent;
        let wait = self.groups[group].outlook().wait();
        if !safe || now >= job.until {
            return self.give_up(&job, retry::reason(&outcome), wait, out);
        }
        if !self.budget.spend(retry::cost(&outcome))
            && self.tuning.safeguards.has(Safeguard::Budget)
        {
            self.stats.unbudgeted += 1;
            return self.give_up(&job, retry::reason(&outcome), wait, out);
        }
        self.place(now, group, job, out);
    }

    pub(super) fn disconnected(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        if let Some(running) = self.flight.take(id, None) {
            self.release(&running);
            self.callers.remove(&running.job.arrival.caller);
            let attempt = running.attempt;
            out.push(Action::Cancel { id, attempt });
            return self.pump(now, out);
        }
        for group in &mut self.groups {
            let Some(at) = group.queue.iter().position(|j| j.arrival.id == id) else {
                continue;
            };
            if let Some(job) = group.queue.remove(at) {
                self.callers.remove(&job.arrival.caller);
            }
            return;
        }
    }

    /// Takes an attempt off the counts.
    fn release(&mut self, running: &Running) {
        let service = &running.job.arrival.service;
        if let Ok(at) = self.tracks.find(
            running.destination.kind(),
            running.destination.name(),
            service,
        ) {
            let track = &mut self.tracks.slice_mut()[at];
            track.flight = track.flight.saturating_sub(1);
            track.held &= !running.alone;
        }
        if let Some(group) = self.group(service) {
            let local = matches!(running.destination, Destination::Target { .. });
            let entry = &mut self.groups[group];
            entry.running = entry.running.saturating_sub(1);
            entry.flight = entry.flight.saturating_sub(u32::from(local));
        }
    }

    /// Takes what an attempt's end says about its place and its request.
    fn learn(
        &mut self,
        now: Time,
        running: &Running,
        outcome: &AttemptOutcome,
        out: &mut Vec<Action>,
    ) {
        let service = &running.job.arrival.service;
        let name = running.destination.name();
        let begun = running.begun;
        let Ok(at) = self.tracks.find(running.destination.kind(), name, service) else {
            return;
        };
        let track = &mut self.tracks.slice_mut()[at];
        track.evidence = now;
        match outcome {
            AttemptOutcome::Answered(answer) => self.answered(now, running, at, answer.status, out),
            AttemptOutcome::Refused { after, leaving } => {
                track
                    .window
                    .shed(now, begun, after.unwrap_or_default(), &mut self.rng);
                if *leaving {
                    track.leave(now);
                }
            }
            AttemptOutcome::PeerRefused(refusal) => {
                let after = refusal.after.unwrap_or_default();
                track.window.shed(now, begun, after, &mut self.rng);
                if refusal.reason == Reason::Leaving {
                    track.leave(now);
                }
            }
            AttemptOutcome::Unreachable => self.fault(now, at, begun, Fault::Hard),
            AttemptOutcome::BadAnswer => self.fault(now, at, begun, Fault::Soft),
            AttemptOutcome::TimedOut => {
                self.note_blind(running);
                self.fault(now, at, begun, Fault::Soft);
            }
            AttemptOutcome::Broken => {
                self.fault(now, at, begun, Fault::Hard);
                self.broke(now, running, out);
            }
        }
    }

    /// An attempt timed out; nothing may be known yet of how long one takes.
    fn note_blind(&mut self, running: &Running) {
        if let Some(group) = self.group(&running.job.arrival.service) {
            let entry = &mut self.groups[group];
            entry.blind += usize::from(entry.latency.high().is_none());
        }
    }

    fn answered(
        &mut self,
        now: Time,
        running: &Running,
        at: usize,
        status: u16,
        out: &mut Vec<Action>,
    ) {
        let took = now.since(running.begun);
        let group = self.group(&running.job.arrival.service);
        let local = matches!(running.destination, Destination::Target { .. });
        let best = group.map_or(0, |g| self.groups[g].best);
        let track = &mut self.tracks.slice_mut()[at];
        // A target that fails fast must not attract requests by its speed.
        if status < 500 || latency::micros(took) >= best {
            track.latency.record(now, took, 16);
            if let Some(group) = group.filter(|_| local) {
                self.groups[group].latency.record(now, took, 32);
            }
        }
        track.window.widen();
        track
            .foreign
            .check(track.slots, latency::micros(took) <= best);
        if track.health.success(running.begun) {
            track.chill(now);
        }
        let mut changes = Vec::new();
        if local && !self.suspects.is_empty() {
            changes.extend(self.suspects.clear(running.job.arrival.fingerprint));
            let name = running.destination.name();
            self.suspects.survived(name, running.begun, &mut changes);
        }
        out.extend(changes.into_iter().map(tell));
    }

    fn fault(&mut self, now: Time, at: usize, begun: Time, fault: Fault) {
        let on = self.tuning.safeguards;
        let service = &self.tracks.as_slice()[at].service;
        let spare = !on.has(Safeguard::LastTarget)
            || self
                .group(service)
                .is_some_and(|group| self.half_left(now, group, at));
        let track = &mut self.tracks.slice_mut()[at];
        if track.health.fault(now, begun, fault, spare, &mut self.rng) {
            self.stats.ejected += 1;
        }
    }

    /// Whether half the targets of a service would still be in use without one.
    fn half_left(&self, now: Time, group: usize, without: usize) -> bool {
        let on = self.tuning.safeguards;
        let tracks = self.tracks.as_slice();
        let locals = &self.groups[group].locals;
        let used = |track: usize| matches!(tracks[track].fit(now, on), Fit::Free | Fit::Busy);
        let left = locals
            .iter()
            .filter(|l| l.track != without && used(l.track));
        left.count() * 2 >= locals.len()
    }

    /// A target broke under a request: a strike against it.
    fn broke(&mut self, now: Time, running: &Running, out: &mut Vec<Action>) {
        let local = matches!(running.destination, Destination::Target { .. });
        if !local || !self.tuning.safeguards.has(Safeguard::Poison) {
            return;
        }
        let print = running.job.arrival.fingerprint;
        let name = running.destination.name();
        let change = self.suspects.strike(now, running.strikes, print, name);
        out.push(tell(change));
        self.sweep(change.print, out);
    }

    pub(super) fn suspected(
        &mut self,
        now: Time,
        print: Fingerprint,
        strikes: u8,
        out: &mut Vec<Action>,
    ) {
        self.suspects.told(now, print, strikes);
        self.sweep(print, out);
    }

    /// Refuses the waiting copies of a request that is refused for good.
    fn sweep(&mut self, print: Fingerprint, out: &mut Vec<Action>) {
        let on = self.tuning.safeguards.has(Safeguard::Poison);
        if !on || self.suspects.strikes(print) < poison::STRIKES {
            return;
        }
        for group in 0..self.groups.len() {
            let queue = core::mem::take(&mut self.groups[group].queue);
            let (bad, good): (VecDeque<_>, VecDeque<_>) = queue
                .into_iter()
                .partition(|j| j.arrival.fingerprint == print);
            self.groups[group].queue = good;
            for job in bad {
                self.finish(&job, Refusal::unknown(Reason::Poison, None), out);
            }
        }
    }

    pub(super) fn report(&mut self, now: Time, name: &Arc<str>, report: Report) {
        let Some(at) = self.tracks.target(name) else {
            return;
        };
        let track = &mut self.tracks.slice_mut()[at];
        track.evidence = now;
        track.foreign.note(now, report.load, track.flight);
        if report.state == State::Leaving {
            track.leave(now);
        }
    }

    pub(super) fn probed(&mut self, now: Time, name: &Arc<str>, report: Option<Report>) {
        let Some(at) = self.tracks.target(name) else {
            return;
        };
        let track = &mut self.tracks.slice_mut()[at];
        track.evidence = now;
        if let Some(report) = report {
            track.health.vouch();
            self.report(now, name, report);
        } else {
            self.fault(now, at, now, Fault::Hard);
        }
    }

    /// When to come back where nothing is known of the waiting time.
    pub(super) fn soon(&mut self) -> core::time::Duration {
        admission::jitter(admission::COME_BACK.0, &mut self.rng)
    }
}

pub(super) const fn tell(change: Change) -> Action {
    Action::Suspect {
        fingerprint: change.print,
        strikes: change.strikes,
    }
}

//! What time brings: expired hopes, probes, forgetting.
//!
//! Invariant: a request past hope doesn't wait for its deadline to be told.

use core::mem;
use core::time::Duration;
use std::collections::VecDeque;

use crate::clock::Time;
use crate::process::dispatch::Dispatch;
use crate::process::dispatch::job::Job;
use crate::process::dispatch::message::Action;
use crate::process::safeguard::Safeguard;
use crate::process::target::{Fit, Track};
use crate::request::outcome::Reason;

/// Shortest time between two probes of one instance. A probe costs a target
/// 6 ms; at this rate all 12 targets of a service together lose 0.6 %.
pub const PROBE_GAP: Duration = Duration::from_secs(1);

/// Silence after which a target is probed. Traffic is the better evidence.
pub const QUIET: Duration = Duration::from_secs(10);

impl Dispatch {
    pub(super) fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        for track in self.tracks.slice_mut() {
            track.settle(now);
        }
        self.refresh(now);
        self.free_held();
        for group in 0..self.groups.len() {
            self.expire(now, group, out);
            self.unstick(now, group, out);
            self.spill(now, group, out);
        }
        self.pump(now, out);
        self.suspects.forget(now);
        self.probe(now, out);
    }

    /// Refuses the waiting requests that can't be answered in time any more.
    fn expire(&mut self, now: Time, group: usize, out: &mut Vec<Action>) {
        let on = self.tuning.safeguards;
        let outlook = self.groups[group].outlook();
        let run = if on.has(Safeguard::Admission) {
            outlook.mean
        } else {
            None
        };
        let last = now + run.unwrap_or_default();
        let late = |until: Time| last >= until;
        if !self.groups[group].queue.iter().any(|j| late(j.until)) {
            return;
        }
        let queue = mem::take(&mut self.groups[group].queue);
        for job in queue {
            if late(job.until) {
                self.give_up(&job, Reason::Deadline, outlook.wait(), out);
            } else {
                self.groups[group].queue.push_back(job);
            }
        }
    }

    /// Places anew what waits for targets that are no longer there.
    fn unstick(&mut self, now: Time, group: usize, out: &mut Vec<Action>) {
        let stuck = |d: &Self, job: &Job| !d.has_open(now, group, job);
        if !self.groups[group].queue.iter().any(|j| stuck(self, j)) {
            return;
        }
        let queue = mem::take(&mut self.groups[group].queue);
        let (gone, kept) = queue.into_iter().partition(|j| stuck(self, j));
        self.groups[group].queue = kept;
        let gone: VecDeque<Job> = gone;
        for job in gone {
            self.place(now, group, job, out);
        }
    }

    /// Passes to peers what would wait longer than the way there takes.
    fn spill(&mut self, now: Time, group: usize, out: &mut Vec<Action>) {
        while self.room(group) {
            let wait = self.groups[group].outlook().wait();
            let Some(job) = self.groups[group].queue.pop_back() else {
                return;
            };
            let left = job.until.since(now);
            let pick = self.remote(now, group, &job, wait, left);
            let Ok(Some(pick)) = pick else {
                return self.groups[group].queue.push_back(job);
            };
            self.send(now, group, job, pick, out);
        }
    }

    /// Lets go of targets that were kept empty for a suspect that has left.
    fn free_held(&mut self) {
        if self.tracks.as_slice().iter().all(|t| !t.held) {
            return;
        }
        for group in &self.groups {
            let waits = group.queue.iter().any(|j| self.suspect(j));
            for local in group.locals.iter().filter(|_| !waits) {
                let track = &self.tracks.as_slice()[local.track];
                let alone = |r: &super::Running| r.alone && *r.destination.name() == track.name;
                let used = self.flight.iter().any(alone);
                self.tracks.slice_mut()[local.track].held &= used;
            }
        }
    }

    /// Probes the target that has been silent longest, or one that must be
    /// vouched for before a request that can't be repeated tries it.
    fn probe(&mut self, now: Time, out: &mut Vec<Action>) {
        if now.since(self.probed) < PROBE_GAP {
            return;
        }
        let on = self.tuning.safeguards;
        let mut silent: Option<(Time, usize, usize)> = None;
        for (at, group) in self.groups.iter().enumerate() {
            for (local, place) in group.locals.iter().enumerate() {
                let track = &self.tracks.as_slice()[place.track];
                if !wants(track, now, group.idempotent, track.fit(now, on)) {
                    continue;
                }
                if silent.is_none_or(|s| track.evidence < s.0) {
                    silent = Some((track.evidence, at, local));
                }
            }
        }
        let Some((_, group, local)) = silent else {
            return;
        };
        self.probed = now;
        self.stats.probes += 1;
        let local = &self.groups[group].locals[local];
        let track = &mut self.tracks.slice_mut()[local.track];
        track.evidence = now;
        out.push(Action::Probe {
            target: track.name.clone(),
            addr: local.addr,
        });
    }
}

fn wants(track: &Track, now: Time, idempotent: bool, fit: Fit) -> bool {
    let vouch = fit == Fit::Trial && !idempotent && !track.health.vouched();
    let quiet = track.flight == 0 && now.since(track.evidence) >= QUIET;
    vouch || (quiet && fit != Fit::Out)
}

//! Where a request goes.
//!
//! Invariant: a place that leaves, is ejected or has no room is never picked,
//! but for one trial at a time and for requests that have no other place.

use core::time::Duration;
use std::sync::Arc;

use crate::clock::Time;
use crate::process::dispatch::group::{Group, Remote};
use crate::process::dispatch::job::Job;
use crate::process::dispatch::message::Destination;
use crate::process::dispatch::{Dispatch, Origin};
use crate::process::safeguard::Safeguard;
use crate::process::target::{Fit, Track, choose, latency};
use crate::request::{poison, retry};
use crate::version::view::Region;

/// Time that passing a request to a peer of the same region costs.
pub const NEAR: Duration = Duration::from_millis(2);
/// Time that passing a request to another region costs.
pub const FAR: Duration = Duration::from_millis(75);

/// Targets looked at per decision, as long as one of them has room. The least
/// loaded of so many, drawn anew each time, is as good as the least of all.
const WINDOW: usize = 48;

/// Peers looked at per decision. More would cost time and find little better.
const SAMPLE: usize = 8;

/// A chosen place.
pub(super) struct Pick {
    pub track: usize,
    pub destination: Destination,
    /// Whether the request has the target for itself.
    pub alone: bool,
}

impl Pick {
    pub const fn is_local(&self) -> bool {
        matches!(self.destination, Destination::Target { .. })
    }
}

impl Dispatch {
    /// Whether a request may have crashed a target.
    pub(super) fn suspect(&self, job: &Job) -> bool {
        let on = self.tuning.safeguards;
        on.has(Safeguard::Poison)
            && on.has(Safeguard::Quarantine)
            && self.suspects.strikes(job.arrival.fingerprint) > 0
    }

    /// A target of this failure domain with room.
    pub(super) fn local(
        &mut self,
        now: Time,
        group: usize,
        job: &Job,
        suspect: bool,
    ) -> Option<Pick> {
        if suspect {
            return self.empty(now, group, job);
        }
        let on = self.tuning.safeguards;
        let entry = &self.groups[group];
        if job.arrival.origin == Origin::Peer && on.has(Safeguard::PeerGate) && !spare(entry) {
            return None;
        }
        let other = on.has(Safeguard::OtherPlace);
        let open = |track: &Track| !(other && job.was_at(track));
        if entry.ejected > 0
            && let Some(pick) = self.trial(now, entry, &open)
        {
            return Some(pick);
        }
        let wait = latency::micros(entry.outlook().wait());
        let brisk = |track: &Track| {
            !on.has(Safeguard::SlowTarget)
                || match track.latency.pace(now, entry.best, wait) {
                    latency::Pace::Good => true,
                    latency::Pace::Unsure => track.flight == 0,
                    latency::Pace::Slow => false,
                }
        };
        let fits = |track: &Track| match track.fit(now, on) {
            Fit::Free => brisk(track),
            Fit::Trial | Fit::Ejected | Fit::Busy => !on.has(Safeguard::Ejection) && !track.held,
            Fit::Out => false,
        };
        let count = entry.locals.len();
        let first = entry.subset.min(WINDOW);
        let start = if entry.subset > WINDOW {
            self.rng.usize(..count)
        } else {
            0
        };
        let tracks = self.tracks.as_slice();
        let places = |at: core::ops::Range<usize>| {
            at.map(|i| (start + i) % count)
                .map(|at| (at, &tracks[entry.locals[at].track]))
                .filter(|&(_, track)| open(track) && fits(track))
                .map(|(at, track)| (at, track.score(now, entry.best, on)))
        };
        let policy = self.tuning.policy;
        let found = policy.choose(places(0..first), &mut self.rng);
        let found = found.or_else(|| {
            let rest = first..count;
            policy.choose(places(rest), &mut self.rng)
        });
        Some(target(entry, tracks, found?, false))
    }

    /// An ejected target that is due for its trial.
    fn trial(&self, now: Time, entry: &Group, open: &impl Fn(&Track) -> bool) -> Option<Pick> {
        let on = self.tuning.safeguards;
        let tracks = self.tracks.as_slice();
        let at = entry.locals.iter().position(|local| {
            let track = &tracks[local.track];
            let may = entry.idempotent || track.health.vouched();
            may && open(track) && track.fit(now, on) == Fit::Trial
        })?;
        on.has(Safeguard::Ejection)
            .then(|| target(entry, tracks, at, false))
    }

    /// Whether a target in use is left that the request wasn't sent to.
    pub(super) fn has_open(&self, now: Time, group: usize, job: &Job) -> bool {
        let on = self.tuning.safeguards;
        let other = on.has(Safeguard::OtherPlace);
        let tracks = self.tracks.as_slice();
        let mut locals = self.groups[group].locals.iter().map(|l| &tracks[l.track]);
        locals.any(|track| {
            let used = matches!(track.fit(now, on), Fit::Free | Fit::Busy);
            used && !(other && job.was_at(track))
        })
    }

    /// A target that a suspect can have for itself. If none is empty, one is
    /// kept from new work until it is.
    fn empty(&mut self, now: Time, group: usize, job: &Job) -> Option<Pick> {
        let on = self.tuning.safeguards;
        let print = job.arrival.fingerprint;
        let out = |r: &super::Running| r.alone && r.job.arrival.fingerprint == print;
        if self.flight.iter().any(out) {
            return None;
        }
        let entry = &self.groups[group];
        let tracks = self.tracks.slice_mut();
        let usable = |track: &Track| {
            !job.was_at(track)
                && (track.held || matches!(track.fit(now, on), Fit::Free | Fit::Busy))
        };
        let ready = |track: &Track| track.flight == 0 && usable(track);
        if let Some(at) = entry.locals.iter().position(|l| ready(&tracks[l.track])) {
            return Some(target(entry, tracks, at, true));
        }
        if entry.locals.iter().all(|l| !tracks[l.track].held) {
            let least = entry
                .locals
                .iter()
                .filter(|l| usable(&tracks[l.track]))
                .min_by_key(|l| tracks[l.track].flight);
            if let Some(local) = least {
                tracks[local.track].held = true;
            }
        }
        None
    }

    /// A peer that can take the request within `patience` and answer within
    /// `left`.
    ///
    /// # Errors
    /// Only caps stood against one: when they may allow it.
    pub(super) fn remote(
        &mut self,
        now: Time,
        group: usize,
        job: &Job,
        patience: Duration,
        left: Duration,
    ) -> Result<Option<Pick>, Duration> {
        let entry = &self.groups[group];
        // A suspect is held where its strikes are known, as long as it can be.
        if job.arrival.origin == Origin::Peer || (self.suspect(job) && entry.limit > 0) {
            return Ok(None);
        }
        let run = entry.outlook().run();
        let tiers = [
            (NEAR, 0..entry.near),
            (FAR, entry.near..entry.remotes.len()),
        ];
        let mut capped: Option<Duration> = None;
        let mut closed = Vec::new();
        for (cost, tier) in tiers {
            if cost > patience || cost + run > left {
                continue;
            }
            while let Some(at) = self.peer(now, group, job, tier.clone(), &closed) {
                let to = self.groups[group].remotes[at].clone();
                match self.may_shift(now, &job.arrival, to.member) {
                    Ok(()) => return Ok(Some(self.peer_pick(&to))),
                    Err(after) => capped = Some(capped.map_or(after, |c| c.min(after))),
                }
                // Caps are between regions: another one may still be open.
                closed.push(to.region);
            }
        }
        capped.map_or(Ok(None), Err)
    }

    fn peer_pick(&self, to: &Remote) -> Pick {
        Pick {
            track: to.track,
            destination: Destination::Member {
                name: Arc::clone(&self.tracks.as_slice()[to.track].name),
                incarnation: to.incarnation,
                peer: to.peer,
            },
            alone: false,
        }
    }

    fn peer(
        &mut self,
        now: Time,
        group: usize,
        job: &Job,
        tier: core::ops::Range<usize>,
        closed: &[Region],
    ) -> Option<usize> {
        let on = self.tuning.safeguards;
        let count = tier.len();
        if count == 0 {
            return None;
        }
        let start = if count > SAMPLE {
            self.rng.usize(..count)
        } else {
            0
        };
        let entry = &self.groups[group];
        let tracks = self.tracks.as_slice();
        let places = (0..count.min(SAMPLE))
            .map(|i| tier.start + (start + i) % count)
            .filter(|&at| !closed.contains(&entry.remotes[at].region))
            .map(|at| (at, &tracks[entry.remotes[at].track]))
            .filter(|(_, track)| !job.was_at(track))
            .filter(|(_, track)| matches!(track.fit(now, on), Fit::Free | Fit::Trial))
            .map(|(at, track)| (at, u64::from(track.flight)));
        choose::Policy::LowestScore.choose(places, &mut self.rng)
    }

    /// An ejected target, for a request that has no other place. When all are
    /// ejected the evidence may be at fault, and trying costs nothing; one
    /// request at a time keeps a target that is really ill from more.
    pub(super) fn last_resort(&self, now: Time, group: usize, job: &Job) -> Option<Pick> {
        let on = self.tuning.safeguards;
        let entry = &self.groups[group];
        let tracks = self.tracks.as_slice();
        let at = entry.locals.iter().position(|local| {
            let track = &tracks[local.track];
            let ejected = matches!(track.fit(now, on), Fit::Ejected | Fit::Trial);
            ejected && track.flight == 0 && !job.was_at(track)
        })?;
        Some(target(entry, tracks, at, false))
    }

    /// Time given to an attempt. An idempotent request that could be tried
    /// elsewhere doesn't spend all its time on a target that hangs.
    ///
    /// Before any answer has told how long one takes, the first attempt gets
    /// half of the time, so that a target that hangs leaves the other half for
    /// another. A service that is as slow as that would then never be answered:
    /// once as many such attempts have timed out as there are targets, the
    /// service is taken to be slow, and attempts get all the time.
    pub(super) fn attempt_budget(
        &self,
        group: usize,
        pick: &Pick,
        job: &Job,
        left: Duration,
    ) -> Duration {
        let on = self.tuning.safeguards;
        let entry = &self.groups[group];
        let others = entry.locals.len() + entry.remotes.len() > 1;
        let bound = on.has(Safeguard::AttemptBound)
            && entry.idempotent
            && others
            && pick.is_local()
            && self.budget.any();
        match entry.latency.high().filter(|_| bound) {
            Some(high) => left.min((high * 2).max(retry::ATTEMPT_MIN)),
            None if bound && is_first_of_unknown(entry, job) => left / 2,
            None => left,
        }
    }

    /// Strikes at which the job's request is refused for good.
    pub(super) fn poisoned(&self, job: &Job) -> bool {
        self.tuning.safeguards.has(Safeguard::Poison)
            && self.suspects.strikes(job.arrival.fingerprint) >= poison::STRIKES
    }
}

fn is_first_of_unknown(entry: &Group, job: &Job) -> bool {
    let known = entry.latency.high().is_some();
    !known && job.tried.is_empty() && entry.blind < entry.locals.len()
}

/// Whether the service has room for work from peers: the first class may fill
/// the targets, the others leave a quarter to this instance's own callers.
///
/// Failure: all targets of the service were ejected, and only peers ask for it.
/// Symptom: with a limit of nothing no work of theirs is taken, so no target is
/// ever tried again and the service stays refused. One request at a time is
/// enough: it is the trial.
fn spare(entry: &Group) -> bool {
    let most = if entry.class == 0 {
        entry.limit
    } else {
        entry.limit - entry.limit / 4
    };
    entry.queue.is_empty() && entry.flight < most.max(1)
}

fn target(entry: &Group, tracks: &[Track], at: usize, alone: bool) -> Pick {
    let local = &entry.locals[at];
    let destination = Destination::Target {
        name: Arc::clone(&tracks[local.track].name),
        addr: local.addr,
    };
    Pick {
        track: local.track,
        destination,
        alone,
    }
}

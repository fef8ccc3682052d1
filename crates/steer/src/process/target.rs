//! What this instance knows of a place from its own traffic.
//!
//! Invariant: a [`Track`] is kept by name across views, and nothing a target
//! says of itself can make the track look better than the own count does.

pub mod choose;
pub mod health;
pub mod latency;
pub mod report;
pub mod window;

use core::time::Duration;
use std::sync::Arc;

use crate::clock::Time;
use crate::process::safeguard::{Safeguard, Safeguards};
use crate::version::view::{Incarnation, State};

/// How long a sign of leaving outweighs a view that says otherwise. The list
/// lags by seconds; a target that changed its mind loses no more than this.
pub const LEAVE_HOLD: Duration = Duration::from_secs(30);

/// Time over which a cold target is brought to its full share.
pub const RAMP: Duration = Duration::from_secs(10);

/// Share in thousandths that a cold target starts with.
const RAMP_START: u64 = 250;

/// Whether a place may be given a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fit {
    /// It has room.
    Free,
    /// Its ejection is over; one request may try it.
    Trial,
    /// It works but has no room.
    Busy,
    /// It is ejected; only a request with no other place may try it.
    Ejected,
    /// It leaves or has left.
    Out,
}

/// What a place is. Targets and entry instances are named apart, so one of each
/// may have the same name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A target.
    Target,
    /// An entry instance of another failure domain.
    Peer,
}

/// One place for one service.
#[derive(Clone, Debug)]
pub struct Track {
    /// What it is.
    pub kind: Kind,
    /// Name of the target or entry instance.
    pub name: Arc<str>,
    /// Name of the service.
    pub service: Arc<str>,
    /// Which process, where the place is an entry instance.
    pub incarnation: Incarnation,
    /// Requests it runs at a time, as configured; for an entry instance the
    /// most that may be outstanding there.
    pub slots: u32,
    /// What the view says.
    pub state: State,
    /// Requests of this instance in flight there.
    pub flight: u32,
    /// Measured time per request.
    pub latency: latency::Latency,
    /// Evidence of failures.
    pub health: health::Health,
    /// How much of the place this instance may use.
    pub window: window::Window,
    /// What the place says of itself.
    pub foreign: report::Foreign,
    /// Set while a suspected request has or awaits the target for itself.
    pub held: bool,
    /// When it last showed a sign of life or death.
    pub evidence: Time,
    /// Whether the view in force has it.
    pub present: bool,
    leaving: Option<Time>,
    cold: Option<Time>,
}

impl Track {
    /// A place without history.
    #[must_use]
    pub fn new(
        kind: Kind,
        name: Arc<str>,
        service: Arc<str>,
        slots: u32,
        window: window::Window,
        now: Time,
    ) -> Self {
        Self {
            kind,
            name,
            service,
            incarnation: Incarnation::default(),
            slots,
            state: State::Live,
            flight: 0,
            latency: latency::Latency::default(),
            health: health::Health::default(),
            window,
            foreign: report::Foreign::default(),
            held: false,
            evidence: now,
            present: true,
            leaving: None,
            cold: None,
        }
    }

    /// Starts the ramp of a target that is new or has come back.
    pub const fn chill(&mut self, now: Time) {
        self.cold = Some(now);
    }

    /// Notes a sign of leaving that came before the view's.
    pub const fn leave(&mut self, now: Time) {
        self.leaving = Some(now);
    }

    /// Takes the view's word. Only a view that went from leaving to live takes
    /// back what a report or refusal said: one that was live all along may be
    /// older than they are.
    pub fn follow(&mut self, now: Time, state: State) {
        if self.state == State::Leaving && state == State::Live {
            self.leaving = None;
            self.chill(now);
        }
        self.state = state;
    }

    /// Ends what time ends: a target that said it was leaving, and is still in
    /// the view as live, is taken for a new one.
    pub fn settle(&mut self, now: Time) {
        if self.leaving.is_some_and(|at| now >= at + LEAVE_HOLD) {
            self.leaving = None;
            self.chill(now);
        }
    }

    /// Whether any sign says that the place is leaving.
    #[must_use]
    pub fn leaves(&self, now: Time, on: Safeguards) -> bool {
        let told = self.leaving.is_some_and(|at| now < at + LEAVE_HOLD);
        self.state == State::Leaving || (told && on.has(Safeguard::Leaving))
    }

    /// Share of full use in thousandths, below 1000 while cold.
    #[must_use]
    pub fn warmth(&self, now: Time, on: Safeguards) -> u64 {
        let Some(cold) = self.cold.filter(|_| on.has(Safeguard::Ramp)) else {
            return 1000;
        };
        let full = latency::micros(RAMP);
        let age = latency::micros(now.since(cold)).min(full);
        RAMP_START + (1000 - RAMP_START) * age / full
    }

    /// Requests this instance may have in flight there.
    #[must_use]
    pub fn limit(&self, now: Time, on: Safeguards) -> u32 {
        if !on.has(Safeguard::OwnCount) {
            return u32::MAX;
        }
        let warm = u64::from(self.slots) * self.warmth(now, on) / 1000;
        let warm = u32::try_from(warm).unwrap_or(u32::MAX);
        self.window.limit().min(warm).max(1)
    }

    /// Whether the place may be given a request now.
    #[must_use]
    pub fn fit(&self, now: Time, on: Safeguards) -> Fit {
        if self.leaves(now, on) {
            return Fit::Out;
        }
        match self.health.standing(now) {
            health::Standing::Ejected => Fit::Ejected,
            _ if self.held => Fit::Busy,
            health::Standing::Due if self.flight == 0 => Fit::Trial,
            health::Standing::Sound if self.has_room(now, on) => Fit::Free,
            health::Standing::Due | health::Standing::Sound => Fit::Busy,
        }
    }

    fn has_room(&self, now: Time, on: Safeguards) -> bool {
        !self.window.paused(now) && self.flight < self.limit(now, on)
    }

    /// Cost of one more request there; lower is better. `best` is the lowest
    /// mean time among the places it is compared with, in microseconds.
    #[must_use]
    pub fn score(&self, now: Time, best: u64, on: Safeguards) -> u64 {
        let foreign = self.foreign.extra(now, self.slots, on);
        if !on.has(Safeguard::OwnCount) {
            return foreign;
        }
        let load = u64::from(self.flight + 1) * 1000 + foreign;
        load * self.latency.ratio(now, best) / self.warmth(now, on)
    }
}

/// All tracks, sorted by kind, name and service.
#[derive(Clone, Debug, Default)]
pub struct Table {
    tracks: Vec<Track>,
}

impl Table {
    /// Where the track of a place is, or where it belongs.
    ///
    /// # Errors
    /// The place to insert at, if there is no such track.
    pub fn find(&self, kind: Kind, name: &str, service: &str) -> Result<usize, usize> {
        self.tracks
            .binary_search_by(|t| (t.kind, &*t.name, &*t.service).cmp(&(kind, name, service)))
    }

    /// Where the track of a target is, by its name alone. A target that was
    /// given to another service while it had work has two; the present counts.
    #[must_use]
    pub fn target(&self, name: &str) -> Option<usize> {
        let first = self
            .tracks
            .partition_point(|t| (t.kind, &*t.name) < (Kind::Target, name));
        let same = self.tracks[first..]
            .iter()
            .take_while(|t| t.kind == Kind::Target && &*t.name == name);
        let mut same = (first..).zip(same);
        same.find(|(_, track)| track.present).map(|(at, _)| at)
    }

    /// Adds tracks that are not yet in the table.
    pub fn merge(&mut self, fresh: Vec<Track>) {
        self.tracks.extend(fresh);
        self.tracks
            .sort_by(|a, b| (a.kind, &a.name, &a.service).cmp(&(b.kind, &b.name, &b.service)));
    }

    /// Forgets the tracks that `keep` refuses.
    pub fn retain(&mut self, keep: impl FnMut(&Track) -> bool) {
        self.tracks.retain(keep);
    }

    /// All tracks in order.
    #[must_use]
    pub fn as_slice(&self) -> &[Track] {
        &self.tracks
    }

    /// All tracks in order, to change.
    pub fn slice_mut(&mut self) -> &mut [Track] {
        &mut self.tracks
    }
}

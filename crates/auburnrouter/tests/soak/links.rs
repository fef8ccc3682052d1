//! Links of each instance to all targets, which are cut instance by instance.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fastrand::Rng;
use platform_standin::LinkState;

/// Time after the end of a cut in which bytes that it held up may still arrive.
const HELD_UP: Duration = Duration::from_secs(4);

/// Minimum and maximum duration of a cut, in ms: some end before they are noticed.
const CUT_MS: (u64, u64) = (200, 3_000);

/// Rounds of faults in which no link is cut, for each in which some are.
const OTHER_ROUNDS: u8 = 11;

/// Sets the draws of cuts apart from those of other faults.
const SEED_MASK: u64 = 0x11_4B5;

/// A cut of an instance from all targets.
struct Cut {
    instance: usize,
    begin: Instant,
    end: Instant,
}

/// The links of all instances.
pub struct Links {
    rng: Rng,
    /// Those of each instance to all targets.
    by_instance: Vec<platform_standin::Links>,
    cuts: Vec<Cut>,
    /// Instances that are cut now, and until when.
    now: Vec<(usize, Instant)>,
}

impl Links {
    /// Opens links of `instances` instances to targets at these addresses.
    pub fn open(seed: u64, instances: usize, targets: &[SocketAddr]) -> Self {
        let open = |_| platform_standin::Links::open(targets).expect("ports are free");
        Self {
            rng: Rng::with_seed(seed ^ SEED_MASK),
            by_instance: (0..instances).map(open).collect(),
            cuts: Vec::new(),
            now: Vec::new(),
        }
    }

    /// Settings of an instance that reaches targets by its links.
    pub fn translate(&self, settings: &str, instance: usize) -> String {
        let settings = self.by_instance[instance].translate(settings);
        settings.expect("they are JSON")
    }

    /// Restores what is due, and sometimes cuts one instance or all but one, in one of three
    /// ways. Returns the instances that are cut now.
    pub fn step(&mut self) -> usize {
        let now = Instant::now();
        let (due, rest) = self.now.drain(..).partition(|(_, end)| *end <= now);
        self.now = rest;
        self.restore(due);
        if self.rng.u8(0..=OTHER_ROUNDS) > 0 || !self.now.is_empty() {
            return 0;
        }
        let states = [LinkState::Reset, LinkState::Silent, LinkState::Closed];
        let state = states[self.rng.usize(0..states.len())];
        let span = Duration::from_millis(self.rng.u64(CUT_MS.0..CUT_MS.1));
        let spared = self.rng.usize(0..self.by_instance.len());
        let is_alone = self.rng.bool();
        let is_cut = |i: &usize| (*i == spared) == is_alone;
        let instances: Vec<usize> = (0..self.by_instance.len()).filter(is_cut).collect();
        for instance in &instances {
            self.set(*instance, state);
            self.now.push((*instance, now + span));
            self.cuts.push(Cut {
                instance: *instance,
                begin: now,
                end: now + span,
            });
        }
        instances.len()
    }

    /// Ends all cuts.
    pub fn restore_all(&mut self) {
        let all = std::mem::take(&mut self.now);
        self.restore(all);
    }

    fn restore(&mut self, instances: Vec<(usize, Instant)>) {
        for (instance, _) in instances {
            self.set(instance, LinkState::Up);
            let cut = self.cuts.iter_mut().rev().find(|c| c.instance == instance);
            cut.expect("it was cut").end = Instant::now();
        }
    }

    fn set(&self, instance: usize, state: LinkState) {
        let links = &self.by_instance[instance];
        links.set(state).expect("their ports are free");
    }

    /// Whether bytes of an instance, or of any if none is named, that arrive at this time may
    /// have been held up.
    pub fn may_hold_up(&self, instance: Option<usize>, at: Instant) -> bool {
        self.cuts.iter().any(|cut| {
            let is_meant = instance.is_none_or(|i| i == cut.instance);
            is_meant && at >= cut.begin && at < cut.end + HELD_UP
        })
    }
}

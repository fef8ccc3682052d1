//! Sums over any second, apart from how the product keeps them.

use std::collections::VecDeque;
use std::sync::Arc;

use steer::clock::Time;
use steer::process::share::{Route, window};
use steer::version::view::View;

/// What went over one route.
#[derive(Debug)]
pub struct Tally {
    /// The route.
    pub route: Route,
    /// Its limit a second, as the operator set it.
    pub limit: u64,
    recent: VecDeque<(Time, u64)>,
    sum: u64,
    /// Largest sum in a second, closed at both ends.
    pub most: u64,
    /// All that went while it was measured.
    pub whole: u64,
    /// When nine tenths of the limit first went in a second.
    pub full: Option<Time>,
    /// When anything went first.
    pub begun: Option<Time>,
}

/// All routes of a view, with the limits that operators set: links without the
/// part that is kept for control.
#[derive(Debug)]
pub struct Tallies(Vec<Tally>);

impl Tallies {
    /// Nothing went yet.
    #[must_use]
    pub fn new(view: &View) -> Self {
        let name = |region| Arc::clone(&view.regions[region].name);
        let shifts = view.shifts.iter().map(|s| {
            let route = Route::Shift {
                service: Arc::clone(&view.services[s.service].name),
                from: name(s.from),
                to: name(s.to),
            };
            Tally::new(route, s.cap)
        });
        let links = view.links.iter().map(|l| {
            let (from, to) = (name(l.from), name(l.to));
            Tally::new(Route::Link { from, to }, l.bits_per_s / 8)
        });
        let mut all: Vec<Tally> = shifts.chain(links).collect();
        all.sort_by(|a, b| a.route.cmp(&b.route));
        Self(all)
    }

    /// Counts use of a route.
    ///
    /// # Panics
    /// If the view has no such route: nothing may go over it.
    pub fn add(&mut self, now: Time, route: &Route, amount: u64) {
        let found = self.0.binary_search_by(|t| t.route.cmp(route));
        let at = found.unwrap_or_else(|_| panic!("no cap on {route}"));
        self.0[at].add(now, amount);
    }

    /// All of them, sorted by route.
    pub fn iter(&self) -> impl Iterator<Item = &Tally> {
        self.0.iter()
    }
}

impl Tally {
    const fn new(route: Route, limit: u64) -> Self {
        Self {
            route,
            limit,
            recent: VecDeque::new(),
            sum: 0,
            most: 0,
            whole: 0,
            full: None,
            begun: None,
        }
    }

    fn add(&mut self, now: Time, amount: u64) {
        self.begun.get_or_insert(now);
        self.recent.push_back((now, amount));
        self.sum += amount;
        self.whole += amount;
        while let Some((at, old)) = self.recent.front().copied() {
            if now.since(at) <= window::RATE_PERIOD {
                break;
            }
            self.sum -= old;
            self.recent.pop_front();
        }
        self.most = self.most.max(self.sum);
        if self.sum * 10 >= self.limit * 9 {
            self.full.get_or_insert(now);
        }
    }

    /// By how much the largest sum passes the limit.
    #[must_use]
    pub const fn over(&self) -> u64 {
        self.most.saturating_sub(self.limit)
    }
}

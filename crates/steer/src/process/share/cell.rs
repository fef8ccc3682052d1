//! One cap and this process's part of it.
//!
//! Invariant: what is lent isn't used, and a cap that goes and comes back while
//! its last second or a loan still counts remembers both.

use core::time::Duration;

use super::loan::{Asked, Loans};
use super::ramp::Ramp;
use super::route::{Cap, Route};
use super::window::Window;
use super::{Guards, SETTLING_TIME};
use crate::clock::Time;

/// A cap and this process's part of it.
#[derive(Clone, Debug)]
pub struct Cell {
    pub route: Route,
    /// Per second, the whole cap; zero if it is gone.
    pub whole: u64,
    /// Per second, the smallest part by the layouts that count.
    pub part: u64,
    pub span: Duration,
    /// When the cap went.
    pub gone: Option<Time>,
    pub ramp: Ramp,
    pub window: Window,
    pub lent: Loans,
    pub borrowed: Loans,
    pub asked: Asked,
}

impl Cell {
    pub fn new(now: Time, cap: &Cap) -> Self {
        Self {
            route: cap.route.clone(),
            whole: cap.whole,
            part: 0,
            span: cap.ramp,
            gone: None,
            ramp: Ramp::new(now),
            window: Window::default(),
            lent: Loans::default(),
            borrowed: Loans::default(),
            asked: Asked::default(),
        }
    }

    pub fn renew(mut self, cap: &Cap) -> Self {
        self.whole = cap.whole;
        self.span = cap.ramp;
        self.gone = None;
        self
    }

    /// The cell of a cap that is gone, while it still matters.
    pub fn retire(mut self, now: Time) -> Option<Self> {
        let gone = *self.gone.get_or_insert(now);
        self.whole = 0;
        self.borrowed.clear();
        (now.since(gone) < SETTLING_TIME).then_some(self)
    }

    pub fn limit(&mut self, now: Time, settled: bool, guards: Guards) -> u64 {
        let part = if settled { self.part } else { 0 };
        let lent = if guards.terms { self.lent.sum(now) } else { 0 };
        let own = part.saturating_sub(lent);
        let all = own.saturating_add(self.borrowed.sum(now));
        if guards.ramp {
            let used = self.window.used(now);
            self.ramp.limit(now, self.span, all, used)
        } else {
            all
        }
    }
}

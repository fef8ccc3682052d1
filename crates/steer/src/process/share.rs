//! This process's part of caps that hold as sums over all instances.
//!
//! Each cap is divided among the entry instances that the configuration names,
//! whether they are alive or not, so that the parts add up to the cap without
//! anybody counting. An instance that needs more asks another for a loan
//! ([`loan`]).
//!
//! Invariant: the parts in use of one route never add up to more than its cap:
//! - a process uses its part only while [`slot`](super::slot) says that it
//!   holds its name's slot, and heard so lately;
//! - for [`TRANSITION`] after a change it uses the smaller of the old and the
//!   new part;
//! - what it lends it doesn't use itself.

pub mod loan;
mod route;
pub mod window;

use core::time::Duration;

pub use route::Route;

use crate::clock::Time;
use crate::process::slot::TRANSITION;
use crate::version::view::{Entry, Region, View};

use loan::Loans;
use window::Window;

/// Time for which a word of control that the slot is held counts. Control says
/// it every two seconds; one that hangs must not leave the part in use.
pub const FRESH: Duration = Duration::from_secs(3);

/// Part of its share that a route may use when a shift begins, in percent: the
/// caches at the other end are cold.
const RAMP_FLOOR: u64 = 10;

/// Time between two tries to borrow for the same route.
const ASK_PAUSE: Duration = Duration::from_millis(250);

/// Part of what a lender has free that it lends at a time: one in this many.
const LEND_PART: u64 = 2;

/// Switches of the safeguards, all on in a live process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each switch is turned off alone"
)]
pub struct Guards {
    /// Only the part is used, and not the whole cap.
    pub part: bool,
    /// The slot has to be held, and that has to be fresh.
    pub held: bool,
    /// The smaller part counts for a while after a change.
    pub transition: bool,
    /// What is lent isn't used, and the borrower's term is the shorter one.
    pub terms: bool,
    /// A shift grows slowly.
    pub ramp: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self {
            part: true,
            held: true,
            transition: true,
            terms: true,
            ramp: true,
        }
    }
}

/// A cap and this process's part of it.
#[derive(Clone, Debug)]
struct Cell {
    route: Route,
    /// Per second, this process's part.
    part: u64,
    /// The part before the last change, and until when it counts as well.
    before: u64,
    until: Time,
    ramp: Duration,
    /// When the present shift began, and when it was used last.
    begun: Time,
    last: Option<Time>,
    window: Window,
    lent: Loans,
    borrowed: Loans,
    asked: Option<Time>,
}

/// All caps, as this process may use them.
#[derive(Clone, Debug)]
pub struct Shares {
    guards: Guards,
    /// Sorted by route.
    cells: Vec<Cell>,
    /// When control last said that the slot is held.
    held: Option<Time>,
}

impl Default for Shares {
    fn default() -> Self {
        Self::new(Guards::default())
    }
}

impl Shares {
    /// No caps: nothing may be shifted.
    #[must_use]
    pub const fn new(guards: Guards) -> Self {
        Self {
            guards,
            cells: Vec::new(),
            held: None,
        }
    }

    /// Takes over the caps of a view for the entry instance `name`.
    pub fn configure(&mut self, now: Time, view: &View, name: &str) {
        let mut caps = route::caps(view, name);
        if !self.guards.part {
            for cap in &mut caps {
                cap.part = cap.whole;
            }
        }
        let mut cells = core::mem::take(&mut self.cells);
        for cap in &caps {
            match cells.binary_search_by(|c| c.route.cmp(&cap.route)) {
                Ok(at) => cells[at].change(now, cap),
                Err(at) => cells.insert(at, Cell::new(now, cap)),
            }
        }
        // A cap that is gone allows nothing at once.
        cells.retain(|c| caps.iter().any(|cap| cap.route == c.route));
        self.cells = cells;
    }

    /// Control says whether this process holds its slot.
    pub fn hold(&mut self, now: Time, held: bool) {
        self.held = held.then_some(now);
    }

    /// Whether `amount` may be used of each route; if so it is taken of all.
    /// Otherwise the time after which it may be.
    ///
    /// # Errors
    /// The time to wait.
    pub fn take(&mut self, now: Time, uses: &[(&Route, u64)]) -> Result<(), Duration> {
        let mut wait = None;
        for &(route, amount) in uses {
            let room = self.room(now, route);
            if room < amount {
                let after = self.wait(now, route, amount);
                wait = Some(wait.map_or(after, |w: Duration| w.max(after)));
            }
        }
        if let Some(wait) = wait {
            return Err(wait);
        }
        for &(route, amount) in uses {
            self.add(now, route, amount);
        }
        Ok(())
    }

    /// What may still be used of a route within this second.
    pub fn room(&mut self, now: Time, route: &Route) -> u64 {
        let limit = self.limit(now, route);
        let Some(cell) = self.cell(route) else {
            return 0;
        };
        limit.saturating_sub(cell.window.used(now))
    }

    /// What may be used of a route in one second.
    pub fn limit(&mut self, now: Time, route: &Route) -> u64 {
        let held = self.is_held(now);
        let guards = self.guards;
        match self.cell(route) {
            Some(cell) if held => cell.limit(now, guards),
            _ => 0,
        }
    }

    /// How much to ask others for, if a loan is wanted now. Asked at most once
    /// in a while for each route.
    pub fn want(&mut self, now: Time, route: &Route) -> Option<u64> {
        let held = self.is_held(now);
        let cell = self.cell(route).filter(|_| held)?;
        if cell.asked.is_some_and(|asked| now.since(asked) < ASK_PAUSE) {
            return None;
        }
        cell.asked = Some(now);
        Some(cell.present(now).max(1))
    }

    /// Another instance asks for a loan; what it gets.
    pub fn lend(&mut self, now: Time, route: &Route, wanted: u64) -> u64 {
        let held = self.is_held(now);
        let terms = self.guards.terms;
        let Some(cell) = self.cell(route).filter(|_| held) else {
            return 0;
        };
        // Only its own part: what is borrowed has to go back in time.
        let own = cell.present(now).saturating_sub(cell.lent.sum(now));
        let free = own.saturating_sub(cell.window.used(now));
        let amount = wanted.min(free.div_ceil(LEND_PART));
        if amount > 0 {
            let away = if terms { loan::AWAY } else { Duration::ZERO };
            cell.lent.add(amount, now + away);
        }
        amount
    }

    /// A loan came, asked for at `asked`.
    pub fn borrow(&mut self, asked: Time, route: &Route, amount: u64) {
        if let Some(cell) = self.cell(route) {
            cell.borrowed.add(amount, asked + loan::TERM);
        }
    }

    /// All routes with their limits and use, for dumps.
    pub fn rows(&mut self, now: Time) -> Vec<(Route, u64, u64)> {
        let held = self.is_held(now);
        let guards = self.guards;
        let row = |cell: &mut Cell| {
            let limit = if held { cell.limit(now, guards) } else { 0 };
            (cell.route.clone(), limit, cell.window.used(now))
        };
        self.cells.iter_mut().map(row).collect()
    }

    fn is_held(&self, now: Time) -> bool {
        let fresh = |held: Time| now.since(held) <= FRESH;
        !self.guards.held || self.held.is_some_and(fresh)
    }

    fn cell(&mut self, route: &Route) -> Option<&mut Cell> {
        let at = self.cells.binary_search_by(|c| c.route.cmp(route)).ok()?;
        Some(&mut self.cells[at])
    }

    fn wait(&mut self, now: Time, route: &Route, amount: u64) -> Duration {
        let limit = self.limit(now, route);
        match self.cell(route) {
            Some(cell) if limit >= amount => cell.window.wait(now, limit - amount),
            _ => window::SPAN,
        }
    }

    fn add(&mut self, now: Time, route: &Route, amount: u64) {
        if let Some(cell) = self.cell(route) {
            cell.use_up(now, amount);
        }
    }
}

impl Cell {
    /// In the first version that a process sees, its slot's quarantine covers
    /// what others still use. A cap that appears later is new to all, and
    /// whoever hasn't heard of it uses nothing of it.
    fn new(now: Time, cap: &route::Cap) -> Self {
        Self {
            route: cap.route.clone(),
            part: cap.part,
            before: cap.part,
            until: now,
            ramp: cap.ramp,
            begun: now,
            last: None,
            window: Window::default(),
            lent: Loans::default(),
            borrowed: Loans::default(),
            asked: None,
        }
    }

    fn change(&mut self, now: Time, cap: &route::Cap) {
        self.ramp = cap.ramp;
        if cap.part == self.part {
            return;
        }
        self.before = self.present(now);
        self.part = cap.part;
        self.until = now + TRANSITION;
    }

    /// The part that counts now.
    fn present(&self, now: Time) -> u64 {
        if now < self.until {
            self.part.min(self.before)
        } else {
            self.part
        }
    }

    fn limit(&mut self, now: Time, guards: Guards) -> u64 {
        let part = if guards.transition {
            self.present(now)
        } else {
            self.part
        };
        let lent = if guards.terms { self.lent.sum(now) } else { 0 };
        let all = part.saturating_sub(lent) + self.borrowed.sum(now);
        if guards.ramp {
            self.ramped(now, all)
        } else {
            all
        }
    }

    /// A shift that begins, or begins again after a pause, grows from a little
    /// to all over the ramp.
    fn ramped(&self, now: Time, all: u64) -> u64 {
        if self.ramp.is_zero() || all == 0 {
            return all;
        }
        let begun = match self.last {
            Some(last) if now.since(last) <= self.ramp => self.begun,
            _ => now,
        };
        let done = now.since(begun).as_millis();
        let percent = done * 100 / self.ramp.as_millis().max(1);
        let percent = u64::try_from(percent).unwrap_or(100);
        let percent = percent.clamp(RAMP_FLOOR, 100);
        (all * percent / 100).max(1)
    }

    fn use_up(&mut self, now: Time, amount: u64) {
        let paused = self.last.is_none_or(|last| now.since(last) > self.ramp);
        if paused {
            self.begun = now;
        }
        self.last = Some(now);
        self.window.add(now, amount);
    }
}

/// Entry instances that may use a shift or a link: those of its regions.
fn eligible(view: &View, entry: Entry, regions: &[Region]) -> bool {
    let region = view.domains[view.entries[entry].domain].region;
    regions.contains(&region)
}

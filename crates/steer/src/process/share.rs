//! This process's part of caps that hold as sums over all instances.
//!
//! Each cap is divided among the entry instances that the configuration names,
//! whether they are alive or not, so that the parts add up to the cap without
//! anybody counting. An instance that needs more asks another for a loan
//! ([`loan`]).
//!
//! Invariant: the parts in use of one route never add up to more than the
//! largest cap of it that is in force anywhere:
//! - a process uses its part only while [`slot`](super::slot) says that it
//!   holds its name's slot, and heard so lately;
//! - it divides by the smallest part of all layouts of the last [`SETTLING_TIME`], and
//!   of older ones while some of their instances aren't heard of;
//! - it uses no part within [`SETTLING_TIME`] of its start or of a lapse, since it
//!   may know of too few layouts, and its predecessor may have lent;
//! - what it lends it doesn't use itself.

mod cell;
mod era;
pub mod loan;
mod ramp;
mod route;
pub mod window;

use core::time::Duration;
use std::sync::Arc;

pub use route::Route;

use crate::clock::Time;
use crate::process::slot::CONFIRMATION_TTL;
use crate::version::view::View;

use cell::Cell;
use era::Era;
use route::Cap;

/// Time for which a word of control that the slot is held counts. Control says
/// it every two seconds; one that hangs must not leave the part in use.
pub const HOLD_TTL: Duration = Duration::from_secs(3);

/// Time within which a version is in force at all instances within reach.
pub const ROLLOUT_TIME_MAX: Duration = Duration::from_secs(7);

/// Longest lapse of the hold after which the part counts again at once.
pub const HOLD_LAPSE_MAX: Duration = Duration::from_secs(5);

/// Age that the newest version of an instance that uses its part may have: it
/// got it within [`ROLLOUT_TIME_MAX`] before its last confirmation, lapsed, and gets
/// the next within [`ROLLOUT_TIME_MAX`].
pub const VERSION_AGE_MAX: Duration = Duration::from_secs(24);

const _: () = assert!(
    VERSION_AGE_MAX.as_secs()
        == 2 * ROLLOUT_TIME_MAX.as_secs() + CONFIRMATION_TTL.as_secs() + HOLD_LAPSE_MAX.as_secs(),
    "VERSION_AGE_MAX is the sum of what makes a version stale"
);

/// Time for which a layout counts after the next one came: an instance that
/// missed it may be [`VERSION_AGE_MAX`], and one that divides by it as well.
pub const SETTLING_TIME: Duration = Duration::from_secs(2 * VERSION_AGE_MAX.as_secs());

/// Time for which a layout counts after the next one came as long as one of
/// its instances isn't heard of: it may be cut off with a neighbour and divide
/// by the old layout still. Longer than regions lose each other for; an
/// instance that stays away longer is taken for dead.
pub const RESERVATION_TIME_MAX: Duration = Duration::from_mins(15);

/// Time between two tries to borrow for the same route.
const LOAN_REQUEST_INTERVAL: Duration = Duration::from_millis(250);

/// Part of what a lender has free that it lends at a time: one in this many.
const LOAN_DIVISOR: u64 = 2;

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
    /// The smallest part counts for a while after a change of the layout.
    pub transition: bool,
    /// The part waits after a start or a lapse.
    pub settle: bool,
    /// A layout counts for longer while its instances aren't heard of.
    pub reserve: bool,
    /// What is lent isn't used.
    pub terms: bool,
    /// Each question for a loan takes one answer.
    pub once: bool,
    /// A cap that goes and comes back remembers what was used and lent.
    pub memory: bool,
    /// A shift grows slowly.
    pub ramp: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self {
            part: true,
            held: true,
            transition: true,
            settle: true,
            reserve: true,
            terms: true,
            once: true,
            memory: true,
            ramp: true,
        }
    }
}

/// Whether control says that the slot is held.
#[derive(Clone, Copy, Debug, Default)]
struct Hold {
    /// What it said last.
    on: bool,
    /// When it last said that it is.
    last: Option<Time>,
}

/// All caps, as this process may use them.
#[derive(Clone, Debug)]
pub struct Shares {
    guards: Guards,
    /// Sorted by route.
    cells: Vec<Cell>,
    /// Layouts that count, the newest last.
    eras: Vec<Era>,
    /// The view that the caps are from.
    view: Option<Arc<View>>,
    hold: Hold,
    /// When the part counts; never before the first word of control.
    settled: Option<Time>,
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
            eras: Vec::new(),
            view: None,
            hold: Hold {
                on: false,
                last: None,
            },
            settled: None,
        }
    }

    /// Takes over the caps of a view for the entry instance `name`. A view in
    /// which nothing of them has changed costs a comparison.
    pub fn configure(&mut self, now: Time, view: &Arc<View>, name: &str) {
        self.expire(now);
        for era in &mut self.eras {
            era.look(now, view);
        }
        let old = self.view.replace(Arc::clone(view));
        if old.is_some_and(|old| same_caps(&old, view)) {
            return;
        }
        self.lay_out(now, Era::new(view, name));
        self.merge(now, route::caps(view));
        self.divide();
    }

    /// Control says whether this process holds its slot.
    pub fn set_slot_held(&mut self, now: Time, held: bool) {
        if held {
            let lapsed = |last: Time| now.since(last) > HOLD_LAPSE_MAX;
            if self.hold.last.is_none_or(lapsed) {
                self.settled = Some(now + SETTLING_TIME);
            }
            self.hold.last = Some(now);
        }
        self.hold.on = held;
    }

    /// Whether `amount` may be used of each route; if so it is taken of all.
    /// Otherwise the time after which it may be.
    ///
    /// # Errors
    /// The time to wait.
    pub fn take(&mut self, now: Time, uses: &[(&Route, u64)]) -> Result<(), Duration> {
        let mut wait = None;
        for &(route, amount) in uses {
            let room = self.available(now, route);
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

    /// Takes what there is room for of a route, up to `most`; returns it.
    pub fn take_up_to(&mut self, now: Time, route: &Route, most: u64) -> u64 {
        let amount = self.available(now, route).min(most);
        if amount > 0 {
            self.add(now, route, amount);
        }
        amount
    }

    /// What may still be used of a route within this second.
    pub fn available(&mut self, now: Time, route: &Route) -> u64 {
        let limit = self.limit(now, route);
        let Some(cell) = self.cell(route) else {
            return 0;
        };
        limit.saturating_sub(cell.window.used(now))
    }

    /// What may be used of a route in one second.
    pub fn limit(&mut self, now: Time, route: &Route) -> u64 {
        self.expire(now);
        let held = self.is_held(now);
        let settled = self.is_settled(now);
        let guards = self.guards;
        match self.cell(route) {
            Some(cell) if held => cell.limit(now, settled, guards),
            _ => 0,
        }
    }

    /// Asks up to `lenders` others for a loan of at least `amount`: when each
    /// is asked, and for how much. Nothing if none is wanted now: others are
    /// asked at most once in a while for each route.
    pub fn request_loan(
        &mut self,
        now: Time,
        route: &Route,
        amount: u64,
        lenders: usize,
    ) -> LoanRequest {
        let held = self.is_held(now);
        let Some(cell) = self.cell(route).filter(|c| held && c.gone.is_none()) else {
            return LoanRequest::default();
        };
        let last = cell.asked.last();
        if last.is_some_and(|asked| now.since(asked) < LOAN_REQUEST_INTERVAL) {
            return LoanRequest::default();
        }
        LoanRequest {
            amount: cell.part.max(amount),
            asked_at: cell.asked.open(now, lenders),
        }
    }

    /// Another instance asks for a loan; what it gets.
    pub fn lend(&mut self, now: Time, route: &Route, wanted: u64) -> u64 {
        self.expire(now);
        let free = self.is_held(now) && self.is_settled(now);
        let terms = self.guards.terms;
        let Some(cell) = self.cell(route).filter(|_| free) else {
            return 0;
        };
        // One that lacks room itself would lend what it asks others for.
        let asks = |asked: Time| now.since(asked) < loan::BORROWER_TERM;
        if cell.asked.last().is_some_and(asks) {
            return 0;
        }
        // Only its own part: what is borrowed has to go back in time.
        let own = cell.part.saturating_sub(cell.lent.sum(now));
        let free = own.saturating_sub(cell.window.used(now));
        let amount = wanted.min(free.div_ceil(LOAN_DIVISOR));
        if amount > 0 {
            let away = if terms {
                loan::LENDER_TERM
            } else {
                Duration::ZERO
            };
            cell.lent.add(amount, now + away);
        }
        amount
    }

    /// A loan came, asked for at `asked`. One that answers no open question
    /// is a copy, and doesn't count.
    pub fn borrow(&mut self, asked: Time, route: &Route, amount: u64) {
        let once = self.guards.once;
        let Some(cell) = self.cell(route).filter(|c| c.gone.is_none()) else {
            return;
        };
        if cell.asked.close(asked) || !once {
            cell.borrowed.add(amount, asked + loan::BORROWER_TERM);
        }
    }

    /// Whether the configuration has a cap on a route.
    #[must_use]
    pub fn has_cap(&self, route: &Route) -> bool {
        let found = self.cells.binary_search_by(|c| c.route.cmp(route));
        found.is_ok_and(|at| self.cells[at].gone.is_none())
    }

    /// All routes with their limits and use, for dumps.
    pub fn usage(&mut self, now: Time) -> Vec<(Route, u64, u64)> {
        self.expire(now);
        let held = self.is_held(now);
        let settled = self.is_settled(now);
        let guards = self.guards;
        let row = |cell: &mut Cell| {
            let limit = if held {
                cell.limit(now, settled, guards)
            } else {
                0
            };
            (cell.route.clone(), limit, cell.window.used(now))
        };
        let cells = self.cells.iter_mut().filter(|c| c.gone.is_none());
        cells.map(row).collect()
    }

    fn is_held(&self, now: Time) -> bool {
        let fresh = |last: Time| now.since(last) <= HOLD_TTL;
        !self.guards.held || (self.hold.on && self.hold.last.is_some_and(fresh))
    }

    fn is_settled(&self, now: Time) -> bool {
        !self.guards.settle || self.settled.is_some_and(|settled| now >= settled)
    }

    fn cell(&mut self, route: &Route) -> Option<&mut Cell> {
        let at = self.cells.binary_search_by(|c| c.route.cmp(route)).ok()?;
        Some(&mut self.cells[at])
    }

    fn wait(&mut self, now: Time, route: &Route, amount: u64) -> Duration {
        let limit = self.limit(now, route);
        match self.cell(route) {
            Some(cell) if limit >= amount => cell.window.wait(now, limit - amount),
            _ => window::RATE_PERIOD,
        }
    }

    fn add(&mut self, now: Time, route: &Route, amount: u64) {
        if let Some(cell) = self.cell(route) {
            cell.window.add(now, amount);
        }
    }

    /// A new layout counts at once where its parts are smaller; the one before
    /// goes on counting where its are. An instance that knows one layout and
    /// its neighbour that knows another would together pass the cap.
    fn lay_out(&mut self, now: Time, era: Era) {
        match self.eras.last_mut() {
            Some(last) if last.layout == era.layout => return,
            Some(last) => last.until = Some(now + SETTLING_TIME),
            // No layout was known before: what others divide by isn't either.
            None => self.settled = self.settled.map(|s| s.max(now + SETTLING_TIME)),
        }
        if !self.guards.transition {
            self.eras.clear();
        }
        self.eras.push(era);
    }

    /// Drops the layouts that no longer count.
    fn expire(&mut self, now: Time) {
        let Some(view) = &self.view else { return };
        let before = self.eras.len();
        let reserve = self.guards.reserve;
        self.eras.retain_mut(|e| e.counts(now, view, reserve));
        if self.eras.len() != before {
            self.divide();
        }
    }

    fn divide(&mut self) {
        for cell in &mut self.cells {
            let parts = self.eras.iter();
            let parts = parts.map(|era| era.layout.part(&cell.route, cell.whole));
            cell.part = if self.guards.part {
                parts.min().unwrap_or(0)
            } else {
                cell.whole
            };
        }
    }

    /// Both lists are sorted by route. A cap that is gone allows nothing at
    /// once, but its use and loans are remembered in case it comes back.
    fn merge(&mut self, now: Time, caps: Vec<Cap>) {
        let old = core::mem::take(&mut self.cells);
        let mut old = old.into_iter().peekable();
        let memory = self.guards.memory;
        let mut cells = Vec::with_capacity(caps.len());
        for cap in caps {
            while let Some(cell) = old.next_if(|c| c.route < cap.route) {
                cells.extend(cell.retire(now).filter(|_| memory));
            }
            cells.push(match old.next_if(|c| c.route == cap.route) {
                Some(cell) => cell.renew(&cap),
                None => Cell::new(now, &cap),
            });
        }
        cells.extend(old.filter_map(|c| c.retire(now).filter(|_| memory)));
        self.cells = cells;
    }
}

/// A loan that is wanted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoanRequest {
    /// How much each lender is asked for.
    pub amount: u64,
    /// When each is asked; its answer brings the time back.
    pub asked_at: Vec<Time>,
}

/// Whether two views have the same caps, divided in the same way.
fn same_caps(a: &View, b: &View) -> bool {
    a.links == b.links
        && a.shifts == b.shifts
        && a.entries == b.entries
        && a.domains == b.domains
        && a.regions == b.regions
        && names(a).eq(names(b))
}

fn names(view: &View) -> impl Iterator<Item = &Arc<str>> {
    view.services.values().map(|service| &service.name)
}

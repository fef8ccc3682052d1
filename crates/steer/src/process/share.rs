//! Enforces rate caps that bound the sum over all instances, without a central
//! counter.
//!
//! Each cap is divided among the entry instances that the configuration names,
//! whether they are alive or not, so that the allotments add up to the cap. An
//! instance that needs more borrows from another ([`loan`]).
//!
//! Invariant: the allotments in use on one route never add up to more than the
//! largest cap for it that is in force on any instance:
//! - a process uses its allotment only while [`slot`](super::slot) reports that
//!   it holds the slot of its name, and that report is recent;
//! - it uses the smallest allotment of all layouts of the last [`SETTLING_TIME`],
//!   and of older ones while some of their instances are missing from the view;
//! - it uses no allotment within [`SETTLING_TIME`] of its start or of a lapse of
//!   its hold, since it may not know all layouts in use, and its predecessor may
//!   have lent;
//! - it does not use what it has lent.

mod cap_state;
mod generation;
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

use cap_state::CapState;
use generation::Generation;
use route::CapConfig;

/// Maximum age of control's report that the slot is held. Control repeats it
/// every two seconds; if control hangs, the allotment must not stay in use.
pub const HOLD_TTL: Duration = Duration::from_secs(3);

/// Maximum time until a version is in force on all reachable instances.
pub const ROLLOUT_TIME_MAX: Duration = Duration::from_secs(7);

/// Longest gap between two reports of a held slot after which the allotment may
/// be used again without waiting for [`SETTLING_TIME`].
pub const HOLD_LAPSE_MAX: Duration = Duration::from_secs(5);

/// Maximum age of the newest version known to an instance that uses its
/// allotment: it received that version up to [`ROLLOUT_TIME_MAX`] before its last
/// confirmation, its hold lapsed, and it receives the next version within
/// [`ROLLOUT_TIME_MAX`].
pub const VERSION_AGE_MAX: Duration = Duration::from_secs(24);

const _: () = assert!(
    VERSION_AGE_MAX.as_secs()
        == 2 * ROLLOUT_TIME_MAX.as_secs() + CONFIRMATION_TTL.as_secs() + HOLD_LAPSE_MAX.as_secs(),
    "VERSION_AGE_MAX is the sum of all delays that make a version stale"
);

/// Time for which a layout still counts after it was replaced. Twice
/// [`VERSION_AGE_MAX`]: both this instance and another one that divides by the
/// old layout may lag that far.
pub const SETTLING_TIME: Duration = Duration::from_secs(2 * VERSION_AGE_MAX.as_secs());

/// Maximum time for which a replaced layout still counts while one of its
/// instances is missing from the view: that instance may be partitioned off
/// together with a neighbour and still divide by the old layout. Longer than
/// partitions between regions last; an instance missing for longer is presumed
/// dead.
pub const RESERVATION_TIME_MAX: Duration = Duration::from_mins(15);

/// Minimum time between two loan requests for the same route.
const LOAN_REQUEST_INTERVAL: Duration = Duration::from_millis(250);

/// A lender lends at most its unused allotment divided by this at a time.
const LOAN_DIVISOR: u64 = 2;

/// Switches for single safeguards, all on in production. Tests turn one off to
/// show that it is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each switch is turned off alone"
)]
pub struct Guards {
    /// Only the allotment is used, not the full cap.
    pub allotment: bool,
    /// The slot has to be held, by a report no older than [`HOLD_TTL`].
    pub held: bool,
    /// After a change of the layout the smallest allotment of the layouts counts
    /// for [`SETTLING_TIME`].
    pub transition: bool,
    /// The allotment is unused for [`SETTLING_TIME`] after a start or a lapse.
    pub settle: bool,
    /// A replaced layout counts for longer while its instances are missing.
    pub reserve: bool,
    /// An amount that is lent is not used until its loan has ended.
    pub lender_term: bool,
    /// Each loan request accepts one reply.
    pub single_reply: bool,
    /// Use and loans are kept if a cap is removed and added back.
    pub retain_usage: bool,
    /// The limit of a shift grows gradually.
    pub ramp: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self {
            allotment: true,
            held: true,
            transition: true,
            settle: true,
            reserve: true,
            lender_term: true,
            single_reply: true,
            retain_usage: true,
            ramp: true,
        }
    }
}

/// Control's reports on the slot of this process.
#[derive(Clone, Copy, Debug, Default)]
struct SlotHold {
    /// Newest report.
    is_held: bool,
    /// Time of the last report that the slot is held.
    confirmed_at: Option<Time>,
}

/// The caps of all routes and this process's allotments of them.
#[derive(Clone, Debug)]
pub struct Shares {
    guards: Guards,
    /// Sorted by route.
    caps: Vec<CapState>,
    /// Layouts that still count, the newest last.
    generations: Vec<Generation>,
    /// View from which the caps were taken.
    view: Option<Arc<View>>,
    slot_hold: SlotHold,
    /// Time from which the allotment may be used; `None` before the first
    /// report of a held slot.
    settled_at: Option<Time>,
}

impl Default for Shares {
    fn default() -> Self {
        Self::new(Guards::default())
    }
}

impl Shares {
    /// Creates shares without caps, so nothing may be shifted.
    #[must_use]
    pub const fn new(guards: Guards) -> Self {
        Self {
            guards,
            caps: Vec::new(),
            generations: Vec::new(),
            view: None,
            slot_hold: SlotHold {
                is_held: false,
                confirmed_at: None,
            },
            settled_at: None,
        }
    }

    /// Applies the caps of a view for the entry instance `name`. If neither the
    /// caps nor their division changed, this only compares the two views.
    pub fn configure(&mut self, now: Time, view: &Arc<View>, name: &str) {
        self.expire(now);
        for generation in &mut self.generations {
            generation.update_missing(now, view);
        }
        let old = self.view.replace(Arc::clone(view));
        if old.is_some_and(|old| same_caps(&old, view)) {
            return;
        }
        self.add_layout(now, Generation::new(view, name));
        self.merge_caps(now, route::caps(view));
        self.divide();
    }

    /// Takes control's report on whether this process holds its slot.
    pub fn set_slot_held(&mut self, now: Time, held: bool) {
        if held {
            let lapsed = |last: Time| now.since(last) > HOLD_LAPSE_MAX;
            if self.slot_hold.confirmed_at.is_none_or(lapsed) {
                self.settled_at = Some(now + SETTLING_TIME);
            }
            self.slot_hold.confirmed_at = Some(now);
        }
        self.slot_hold.is_held = held;
    }

    /// Uses the given amount of every route, or nothing if one lacks room.
    ///
    /// # Errors
    /// The time after which all of them are expected to have room.
    pub fn take(&mut self, now: Time, uses: &[(&Route, u64)]) -> Result<(), Duration> {
        let mut wait = None;
        for &(route, amount) in uses {
            let room = self.available(now, route);
            if room < amount {
                let after = self.time_until_available(now, route, amount);
                wait = Some(wait.map_or(after, |w: Duration| w.max(after)));
            }
        }
        if let Some(wait) = wait {
            return Err(wait);
        }
        for &(route, amount) in uses {
            self.record_use(now, route, amount);
        }
        Ok(())
    }

    /// Uses as much of a route as is available, up to `max`, and returns it.
    pub fn take_up_to(&mut self, now: Time, route: &Route, max: u64) -> u64 {
        let amount = self.available(now, route).min(max);
        if amount > 0 {
            self.record_use(now, route, amount);
        }
        amount
    }

    /// Amount of a route that is still unused within the last second.
    pub fn available(&mut self, now: Time, route: &Route) -> u64 {
        let limit = self.limit(now, route);
        let Some(cap) = self.cap_state(route) else {
            return 0;
        };
        limit.saturating_sub(cap.window.used(now))
    }

    /// Limit of a route per second; 0 while the slot is not held.
    pub fn limit(&mut self, now: Time, route: &Route) -> u64 {
        self.expire(now);
        let held = self.is_held(now);
        let settled = self.is_settled(now);
        let guards = self.guards;
        match self.cap_state(route) {
            Some(cap) if held => cap.limit(now, settled, guards),
            _ => 0,
        }
    }

    /// Opens loan requests of at least `amount` to up to `lenders` instances.
    /// Empty if the slot is not held, the route has no cap, or the last request
    /// for it is less than [`LOAN_REQUEST_INTERVAL`] ago.
    pub fn request_loan(
        &mut self,
        now: Time,
        route: &Route,
        amount: u64,
        lenders: usize,
    ) -> LoanRequest {
        let held = self.is_held(now);
        let Some(cap) = self
            .cap_state(route)
            .filter(|c| held && c.removed_at.is_none())
        else {
            return LoanRequest::default();
        };
        let last = cap.requests.last();
        if last.is_some_and(|asked| now.since(asked) < LOAN_REQUEST_INTERVAL) {
            return LoanRequest::default();
        }
        LoanRequest {
            amount: cap.allotment.max(amount),
            asked_at: cap.requests.open(now, lenders),
        }
    }

    /// Handles a loan request of another instance and returns the amount lent.
    pub fn lend(&mut self, now: Time, route: &Route, wanted: u64) -> u64 {
        self.expire(now);
        let free = self.is_held(now) && self.is_settled(now);
        let is_deducted = self.guards.lender_term;
        let Some(cap) = self.cap_state(route).filter(|_| free) else {
            return 0;
        };
        // An instance that is borrowing would lend what it needs itself.
        let is_recent = |asked: Time| now.since(asked) < loan::BORROWER_TERM;
        if cap.requests.last().is_some_and(is_recent) {
            return 0;
        }
        // Only from its own allotment: a borrowed amount ends with its loan.
        let own = cap.allotment.saturating_sub(cap.lent.sum(now));
        let free = own.saturating_sub(cap.window.used(now));
        let amount = wanted.min(free.div_ceil(LOAN_DIVISOR));
        if amount > 0 {
            let lent_for = if is_deducted {
                loan::LENDER_TERM
            } else {
                Duration::ZERO
            };
            cap.lent.add(amount, now + lent_for);
        }
        amount
    }

    /// Adds a loan that was requested at `asked`. A reply to a request that is no
    /// longer open is a duplicate and is ignored.
    pub fn borrow(&mut self, asked: Time, route: &Route, amount: u64) {
        let single_reply = self.guards.single_reply;
        let Some(cap) = self.cap_state(route).filter(|c| c.removed_at.is_none()) else {
            return;
        };
        if cap.requests.close(asked) || !single_reply {
            cap.borrowed.add(amount, asked + loan::BORROWER_TERM);
        }
    }

    /// Returns whether the configuration has a cap on the route.
    #[must_use]
    pub fn has_cap(&self, route: &Route) -> bool {
        let found = self.caps.binary_search_by(|c| c.route.cmp(route));
        found.is_ok_and(|at| self.caps[at].removed_at.is_none())
    }

    /// Lists every route with its limit and its use in the last second.
    pub fn usage(&mut self, now: Time) -> Vec<(Route, u64, u64)> {
        self.expire(now);
        let held = self.is_held(now);
        let settled = self.is_settled(now);
        let guards = self.guards;
        let row = |cap: &mut CapState| {
            let limit = if held {
                cap.limit(now, settled, guards)
            } else {
                0
            };
            (cap.route.clone(), limit, cap.window.used(now))
        };
        let caps = self.caps.iter_mut().filter(|c| c.removed_at.is_none());
        caps.map(row).collect()
    }

    fn is_held(&self, now: Time) -> bool {
        let fresh = |last: Time| now.since(last) <= HOLD_TTL;
        !self.guards.held
            || (self.slot_hold.is_held && self.slot_hold.confirmed_at.is_some_and(fresh))
    }

    fn is_settled(&self, now: Time) -> bool {
        !self.guards.settle || self.settled_at.is_some_and(|settled| now >= settled)
    }

    fn cap_state(&mut self, route: &Route) -> Option<&mut CapState> {
        let at = self.caps.binary_search_by(|c| c.route.cmp(route)).ok()?;
        Some(&mut self.caps[at])
    }

    fn time_until_available(&mut self, now: Time, route: &Route, amount: u64) -> Duration {
        let limit = self.limit(now, route);
        match self.cap_state(route) {
            Some(cap) if limit >= amount => cap.window.wait(now, limit - amount),
            _ => window::RATE_PERIOD,
        }
    }

    fn record_use(&mut self, now: Time, route: &Route, amount: u64) {
        if let Some(cap) = self.cap_state(route) {
            cap.window.add(now, amount);
        }
    }

    /// Adds a layout. It counts at once where its allotments are smaller; the
    /// previous one keeps counting for a while where its are. Otherwise two
    /// instances that know different layouts would together exceed the cap.
    fn add_layout(&mut self, now: Time, generation: Generation) {
        match self.generations.last_mut() {
            Some(last) if last.layout == generation.layout => return,
            Some(last) => last.counts_until = Some(now + SETTLING_TIME),
            // No layout was known before, so those of other instances are not
            // known either.
            None => self.settled_at = self.settled_at.map(|s| s.max(now + SETTLING_TIME)),
        }
        if !self.guards.transition {
            self.generations.clear();
        }
        self.generations.push(generation);
    }

    /// Drops layouts that no longer count and recomputes the allotments.
    fn expire(&mut self, now: Time) {
        let Some(view) = &self.view else { return };
        let before = self.generations.len();
        let reserve = self.guards.reserve;
        self.generations
            .retain_mut(|g| g.still_counts(now, view, reserve));
        if self.generations.len() != before {
            self.divide();
        }
    }

    fn divide(&mut self) {
        for cap in &mut self.caps {
            let allotments = self.generations.iter();
            let allotments =
                allotments.map(|generation| generation.layout.allotment(&cap.route, cap.total));
            cap.allotment = if self.guards.allotment {
                allotments.min().unwrap_or(0)
            } else {
                cap.total
            };
        }
    }

    /// Replaces the caps by the configured ones; both lists are sorted by route.
    /// A removed cap allows nothing from now on, but its use and loans are kept
    /// in case it is added back.
    fn merge_caps(&mut self, now: Time, configs: Vec<CapConfig>) {
        let old = core::mem::take(&mut self.caps);
        let mut old = old.into_iter().peekable();
        let retain_usage = self.guards.retain_usage;
        let mut merged = Vec::with_capacity(configs.len());
        for config in configs {
            while let Some(cap) = old.next_if(|c| c.route < config.route) {
                merged.extend(cap.retire(now).filter(|_| retain_usage));
            }
            merged.push(match old.next_if(|c| c.route == config.route) {
                Some(cap) => cap.reconfigure(&config),
                None => CapState::new(now, &config),
            });
        }
        merged.extend(old.filter_map(|c| c.retire(now).filter(|_| retain_usage)));
        self.caps = merged;
    }
}

/// A loan to request from other instances.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoanRequest {
    /// Amount requested from each lender.
    pub amount: u64,
    /// Time of each request, which identifies it in the lender's reply.
    pub asked_at: Vec<Time>,
}

/// Returns whether two views have equal caps, divided in the same way.
fn same_caps(a: &View, b: &View) -> bool {
    a.links == b.links
        && a.shifts == b.shifts
        && a.entries == b.entries
        && a.domains == b.domains
        && a.regions == b.regions
        && service_names(a).eq(service_names(b))
}

fn service_names(view: &View) -> impl Iterator<Item = &Arc<str>> {
    view.services.values().map(|service| &service.name)
}

//! Where the caps on traffic between regions are asked for.
//!
//! A request shifts when it is served in another region than its caller's: it
//! came straight to an instance of that region, or is passed on to one. A peer
//! that passes a request on has asked for it already.
//!
//! Invariant: no request is served in another region than its caller's, and
//! none crosses a link, unless this process's part of the cap had room for it.

use core::time::Duration;
use std::sync::Arc;

use crate::clock::Time;
use crate::process::dispatch::{Action, Dispatch};
use crate::process::safeguard::Safeguard;
use crate::process::share::{self, Route, Shares};
use crate::request::arrival::{Arrival, Origin};
use crate::version::view::{Member, Region, State};

/// Bytes that a message between regions has besides its request or answer.
const MESSAGE_OVERHEAD_BYTES: u64 = 512;

/// Peers asked for a loan at a time.
const LENDERS_MAX: usize = 2;

impl Dispatch {
    /// This process's parts of the caps.
    pub const fn shares(&mut self) -> &mut Shares {
        &mut self.shares
    }

    /// An answer lacks room on a link: asks for loans.
    pub fn request_link_loan(&mut self, now: Time, link: &Route, bytes: u64) {
        self.request_loans(now, link, bytes);
    }

    /// Name of this process's region, once known.
    #[must_use]
    pub fn region(&self) -> Option<&Arc<str>> {
        Some(&self.view.regions.get(self.region?)?.name)
    }

    /// Whether a request that came from another region's caller may be served
    /// here.
    ///
    /// # Errors
    /// The time after which it may be.
    pub(super) fn admit_inbound(&mut self, now: Time, arrival: &Arrival) -> Result<(), Duration> {
        let (Some(caller_region), Some(here)) = (&arrival.home, self.region) else {
            return Ok(());
        };
        let here = &self.view.regions[here].name;
        let passed_on = arrival.origin == Origin::Peer;
        if passed_on || caller_region == here || !self.tuning.safeguards.has(Safeguard::Caps) {
            return Ok(());
        }
        let route = Route::Shift {
            service: Arc::clone(&arrival.service),
            from: Arc::clone(caller_region),
            to: Arc::clone(here),
        };
        self.take(now, &[(&route, 1)])
    }

    /// Whether a request may be passed on to a peer; if so, it is counted.
    ///
    /// # Errors
    /// The time after which it may be.
    pub(super) fn admit_shift(
        &mut self,
        now: Time,
        arrival: &Arrival,
        to: Member,
    ) -> Result<(), Duration> {
        let Some(here) = self.region else {
            return Err(share::window::SPAN);
        };
        let there = self.view.domains[self.view.members[to].domain].region;
        if here == there || !self.tuning.safeguards.has(Safeguard::Caps) {
            return Ok(());
        }
        let name = |region: Region| Arc::clone(&self.view.regions[region].name);
        let (here, there) = (name(here), name(there));
        let caller_region = arrival.home.clone().unwrap_or_else(|| Arc::clone(&here));
        let link = Route::Link {
            from: here,
            to: Arc::clone(&there),
        };
        let bytes = arrival.bytes + MESSAGE_OVERHEAD_BYTES;
        if caller_region == there {
            // It goes back to its caller's own region: no shift.
            return self.take(now, &[(&link, bytes)]);
        }
        let shift = Route::Shift {
            service: Arc::clone(&arrival.service),
            from: caller_region,
            to: there,
        };
        self.take(now, &[(&shift, 1), (&link, bytes)])
    }

    /// Whether a request of so many bytes may be passed to its key's owner. Its
    /// shift is the owner's to ask for.
    ///
    /// # Errors
    /// The time after which it may be.
    pub fn admit_forward(&mut self, now: Time, owner: &str, bytes: u64) -> Result<(), Duration> {
        let member = self.view.member(owner);
        let (Some(here), Some(member)) = (self.region, member) else {
            return Ok(());
        };
        let there = self.view.domains[self.view.members[member].domain].region;
        if here == there || !self.tuning.safeguards.has(Safeguard::Caps) {
            return Ok(());
        }
        let link = Route::Link {
            from: Arc::clone(&self.view.regions[here].name),
            to: Arc::clone(&self.view.regions[there].name),
        };
        if !self.shares.has(&link) {
            // The configuration sets no limit on it.
            return Ok(());
        }
        self.take(now, &[(&link, bytes + MESSAGE_OVERHEAD_BYTES)])
    }

    /// Takes of all routes or of none, and asks for loans where room lacks.
    fn take(&mut self, now: Time, uses: &[(&Route, u64)]) -> Result<(), Duration> {
        let taken = self.shares.take(now, uses);
        if taken.is_err() {
            for &(route, amount) in uses {
                if self.shares.room(now, route) < amount {
                    self.request_loans(now, route, amount);
                }
            }
        }
        taken
    }

    /// Asks a few of the instances that have a part of the same cap.
    fn request_loans(&mut self, now: Time, route: &Route, amount: u64) {
        let wish = self.shares.want(now, route, amount, LENDERS_MAX);
        if wish.asked.is_empty() {
            return;
        }
        let regions = match route {
            Route::Shift { from, to, .. } => [from, to],
            Route::Link { from, .. } => [from, from],
        };
        let view = Arc::clone(&self.view);
        let fits = |member: &Member| {
            let data = &view.members[*member];
            let region = &view.regions[view.domains[data.domain].region].name;
            let other = data.name != self.identity.name && data.state == State::Live;
            other && regions.contains(&region)
        };
        let lenders: Vec<Member> = view.members.keys().filter(fits).collect();
        let lenders = self.rng.choose_multiple(lenders, LENDERS_MAX);
        for (lender, asked) in lenders.into_iter().zip(wish.asked) {
            self.loan_requests.push(Action::Borrow {
                peer: view.members[lender].peer,
                route: route.clone(),
                amount: wish.amount,
                asked_at: asked,
            });
        }
    }
}

//! Admission by the caps on traffic between regions.
//!
//! A request is shifted if it is served in another region than its caller's:
//! the caller sent it to an instance of that region, or a peer forwarded it to
//! one. A peer that forwards a request has counted it against the caps already.
//!
//! Invariant: no request is served in another region than its caller's, and
//! none crosses a capped link, unless this process's share of the cap had room
//! for it.

use core::time::Duration;
use std::sync::Arc;

use crate::clock::Time;
use crate::process::dispatch::{Action, Dispatch};
use crate::process::safeguard::Safeguard;
use crate::process::share::{self, Route, Shares};
use crate::request::arrival::{Arrival, Origin};
use crate::version::view::{Member, Region, State};

/// Size of a message between regions without its request, in bytes.
const MESSAGE_OVERHEAD_BYTES: u64 = 512;

/// Maximum number of peers asked for a loan at a time.
const LENDERS_MAX: usize = 2;

impl Dispatch {
    /// This process's shares of the caps.
    pub const fn shares(&mut self) -> &mut Shares {
        &mut self.shares
    }

    /// Requests loans for an answer of `bytes` that has no room on `link`.
    pub fn request_link_loan(&mut self, now: Time, link: &Route, bytes: u64) {
        self.request_loans(now, link, bytes);
    }

    /// Name of this process's region; `None` until a view contains its domain.
    #[must_use]
    pub fn region(&self) -> Option<&Arc<str>> {
        Some(&self.view.regions.get(self.region?)?.name)
    }

    /// Counts a request of another region's caller that is to be served here.
    ///
    /// # Errors
    /// The time after which the cap may have room, if it has none.
    pub(super) fn admit_inbound(&mut self, now: Time, arrival: &Arrival) -> Result<(), Duration> {
        let (Some(caller_region), Some(here)) = (&arrival.caller_region, self.region) else {
            return Ok(());
        };
        let here = &self.view.regions[here].name;
        let is_forwarded = arrival.origin == Origin::Peer;
        if is_forwarded || caller_region == here || !self.tuning.safeguards.has(Safeguard::Caps) {
            return Ok(());
        }
        let route = Route::Shift {
            service: Arc::clone(&arrival.service),
            from: Arc::clone(caller_region),
            to: Arc::clone(here),
        };
        self.take(now, &[(&route, 1)])
    }

    /// Counts a request that is to be sent to the peer `to`, against the caps on
    /// the shift and on the link.
    ///
    /// # Errors
    /// The time after which the caps may have room, if they have none.
    pub(super) fn admit_shift(
        &mut self,
        now: Time,
        arrival: &Arrival,
        to: Member,
    ) -> Result<(), Duration> {
        let Some(here) = self.region else {
            return Err(share::window::RATE_PERIOD);
        };
        let there = self.view.domains[self.view.members[to].domain].region;
        if here == there || !self.tuning.safeguards.has(Safeguard::Caps) {
            return Ok(());
        }
        let name = |region: Region| Arc::clone(&self.view.regions[region].name);
        let (here, there) = (name(here), name(there));
        let caller_region = arrival
            .caller_region
            .clone()
            .unwrap_or_else(|| Arc::clone(&here));
        let link = Route::Link {
            from: here,
            to: Arc::clone(&there),
        };
        let bytes = arrival.bytes + MESSAGE_OVERHEAD_BYTES;
        if caller_region == there {
            // Served in its caller's own region: no shift.
            return self.take(now, &[(&link, bytes)]);
        }
        let shift = Route::Shift {
            service: Arc::clone(&arrival.service),
            from: caller_region,
            to: there,
        };
        self.take(now, &[(&shift, 1), (&link, bytes)])
    }

    /// Counts a request of `bytes` that is to be forwarded to its key's owner,
    /// against the cap on the link. The owner counts the shift.
    ///
    /// # Errors
    /// The time after which the link may have room, if it has none.
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
        if !self.shares.has_cap(&link) {
            // The configuration has no cap on this link.
            return Ok(());
        }
        self.take(now, &[(&link, bytes + MESSAGE_OVERHEAD_BYTES)])
    }

    /// Takes the amounts of all routes or of none, and requests loans for the
    /// routes without room.
    fn take(&mut self, now: Time, uses: &[(&Route, u64)]) -> Result<(), Duration> {
        let taken = self.shares.take(now, uses);
        if taken.is_err() {
            for &(route, amount) in uses {
                if self.shares.available(now, route) < amount {
                    self.request_loans(now, route, amount);
                }
            }
        }
        taken
    }

    /// Requests loans from a few random instances with a share of the same cap.
    fn request_loans(&mut self, now: Time, route: &Route, amount: u64) {
        let request = self.shares.request_loan(now, route, amount, LENDERS_MAX);
        if request.asked_at.is_empty() {
            return;
        }
        let regions = match route {
            Route::Shift { from, to, .. } => [from, to],
            Route::Link { from, .. } => [from, from],
        };
        let view = Arc::clone(&self.view);
        let is_lender = |member: &Member| {
            let data = &view.members[*member];
            let region = &view.regions[view.domains[data.domain].region].name;
            let is_other = data.name != self.identity.name && data.state == State::Live;
            is_other && regions.contains(&region)
        };
        let lenders: Vec<Member> = view.members.keys().filter(is_lender).collect();
        let lenders = self.rng.choose_multiple(lenders, LENDERS_MAX);
        for (lender, asked) in lenders.into_iter().zip(request.asked_at) {
            self.loan_requests.push(Action::Borrow {
                peer: view.members[lender].peer,
                route: route.clone(),
                amount: request.amount,
                asked_at: asked,
            });
        }
    }
}

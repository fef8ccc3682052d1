//! All decisions about requests in one engine: the gate, then the dispatcher.
//!
//! Invariant: every request that arrives gets exactly one [`Action::Reply`] or
//! [`Action::Refuse`], unless its caller left. A request that the gate holds is
//! answered by the gate alone.

mod message;

use core::time::Duration;
use std::sync::Arc;

use crate::clock;
use crate::process::{dispatch, gate, outbox, share};
use crate::request::{arrival, key, outcome};
use crate::version::view;

pub use self::message::{Action, Event};
pub use dispatch::TICK;

/// The gate and the dispatcher of one process.
pub struct Traffic {
    gate: gate::Gate,
    dispatch: dispatch::Dispatch,
    outbox: outbox::Outbox,
    /// The request that arrived last, and its size.
    arriving: Option<(arrival::RequestId, u64)>,
    /// Scratch space, empty between events.
    asked: Vec<gate::Action>,
    sent: Vec<dispatch::Action>,
}

impl Traffic {
    /// An engine with nothing in flight and an empty view.
    #[must_use]
    pub fn new(
        identity: dispatch::Identity,
        me: view::Incarnation,
        limits: gate::Limits,
        rng: fastrand::Rng,
    ) -> Self {
        Self::with_safeguards(identity, me, limits, gate::Safeguards::ALL, rng)
    }

    /// The same with the dispatcher's limits of choice.
    #[must_use]
    pub fn with_tuning(
        identity: dispatch::Identity,
        me: view::Incarnation,
        limits: gate::Limits,
        tuning: dispatch::tuning::Tuning,
        rng: fastrand::Rng,
    ) -> Self {
        Self {
            dispatch: dispatch::Dispatch::with_tuning(identity.clone(), tuning, rng.clone()),
            ..Self::new(identity, me, limits, rng)
        }
    }

    /// The same with safeguards taken out. For the explorer and tests only.
    #[must_use]
    pub fn with_safeguards(
        identity: dispatch::Identity,
        me: view::Incarnation,
        limits: gate::Limits,
        safe: gate::Safeguards,
        rng: fastrand::Rng,
    ) -> Self {
        Self {
            gate: gate::Gate::with_safeguards(identity.clone(), me, limits, safe),
            dispatch: dispatch::Dispatch::new(identity, rng),
            outbox: outbox::Outbox::default(),
            arriving: None,
            asked: Vec::new(),
            sent: Vec::new(),
        }
    }

    /// The same with other safeguards of caps. For models and tests only.
    #[must_use]
    pub fn with_shares(mut self, guards: share::Guards) -> Self {
        *self.dispatch.shares() = share::Shares::new(guards);
        self
    }

    /// Takes one event and appends what is to be done to `out`.
    pub fn handle(&mut self, now: clock::Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Arrive(arrival) => self.arrive(now, arrival, out),
            Event::Forwarded { id, outcome } => {
                self.gate(now, gate::Event::Forwarded { id, outcome });
            }
            Event::AskEnded { ask, reply } => self.gate(now, gate::Event::AskEnded { ask, reply }),
            Event::PeerAsked { ask, question } => {
                self.gate(now, gate::Event::PeerAsked { ask, question });
            }
            Event::Stored { id, result } => self.gate(now, gate::Event::Stored { id, result }),
            Event::Leave => self.gate(now, gate::Event::Leave),
            Event::Disconnected(id) => {
                self.outbox.forget(id);
                if self.gate.holds(id) {
                    self.gate(now, gate::Event::Disconnected(id));
                } else {
                    self.dispatch(now, dispatch::Event::Disconnected(id));
                }
            }
            Event::Ended {
                id,
                attempt,
                outcome,
            } => {
                let event = dispatch::Event::Ended {
                    id,
                    attempt,
                    outcome,
                };
                self.dispatch(now, event);
            }
            Event::Report { target, report } => {
                self.dispatch(now, dispatch::Event::Report { target, report });
            }
            Event::Probed { target, report } => {
                self.dispatch(now, dispatch::Event::Probed { target, report });
            }
            Event::Suspected {
                fingerprint,
                strikes,
            } => {
                let event = dispatch::Event::Suspected {
                    fingerprint,
                    strikes,
                };
                self.dispatch(now, event);
            }
            Event::SlotHeld(held) => self.dispatch(now, dispatch::Event::SlotHeld(held)),
            Event::LoanGranted {
                route,
                amount,
                asked_at,
            } => {
                let event = dispatch::Event::LoanGranted {
                    route,
                    amount,
                    asked_at,
                };
                self.dispatch(now, event);
            }
            Event::LoanRequested { ask, route, amount } => {
                self.dispatch(now, dispatch::Event::LoanRequested { ask, route, amount });
            }
            Event::View(view) => {
                self.dispatch(now, dispatch::Event::View(Arc::clone(&view)));
                self.gate(now, gate::Event::View(view));
            }
            Event::Tick => {
                self.dispatch(now, dispatch::Event::Tick);
                self.gate(now, gate::Event::Tick);
            }
        }
        self.settle(now, out);
    }

    /// A request that came over a link is refused at once if its answer may
    /// find no room on the way back. Another copy of a request that must not
    /// repeat may have run, so its refusal isn't "not run".
    fn arrive(&mut self, now: clock::Time, arrival: arrival::Arrival, out: &mut Vec<Action>) {
        let id = arrival.id;
        if let Some(link) = self.link_back(&arrival)
            && !self.outbox.admit(now, id, link, self.dispatch.shares())
        {
            let after = Some(share::window::SPAN);
            let refusal = if arrival.origin == arrival::Origin::Peer {
                outcome::Refusal::not_run(outcome::Reason::Cap, after)
            } else {
                outcome::Refusal::unknown(outcome::Reason::Cap, after)
            };
            return out.push(Action::Refuse { id, refusal });
        }
        self.arriving = Some((id, arrival.bytes));
        self.gate(now, gate::Event::Arrive(arrival));
    }

    fn link_back(&self, arrival: &arrival::Arrival) -> Option<share::Route> {
        let via = arrival.via.as_ref()?;
        let here = self.dispatch.region()?;
        (via != here).then(|| share::Route::Link {
            from: Arc::clone(here),
            to: Arc::clone(via),
        })
    }

    /// The prefix for keys issued now; `None` while the process can't serve.
    /// A change is told by [`Action::Issue`].
    #[must_use]
    pub fn key_prefix(&self, now: clock::Time) -> Option<key::Prefix> {
        self.gate.key_prefix(now)
    }

    /// Whether nothing is in flight or waits: after [`Event::Leave`], the process may
    /// end without cutting a request.
    #[must_use]
    pub fn drained(&self) -> bool {
        let busy = self.gate.in_flight() + self.dispatch.in_flight() + self.dispatch.waiting();
        busy + self.outbox.waiting() == 0
    }

    /// The gate, for counts and dumps.
    #[must_use]
    pub const fn gate_state(&self) -> &gate::Gate {
        &self.gate
    }

    /// Caps with this process's limit and use, for dumps.
    pub fn share_rows(&mut self, now: clock::Time) -> Vec<(share::Route, u64, u64)> {
        self.dispatch.shares().rows(now)
    }

    /// The dispatcher, for counts and dumps.
    #[must_use]
    pub const fn dispatch_state(&self) -> &dispatch::Dispatch {
        &self.dispatch
    }

    /// All caps with what this process may use and uses of them in a second,
    /// for dumps.
    pub fn caps(&mut self, now: clock::Time) -> Vec<(share::Route, u64, u64)> {
        self.dispatch.shares().rows(now)
    }

    fn gate(&mut self, now: clock::Time, event: gate::Event) {
        self.gate.handle(now, event, &mut self.asked);
    }

    fn dispatch(&mut self, now: clock::Time, event: dispatch::Event) {
        self.dispatch.handle(now, event, &mut self.sent);
    }

    /// Passes actions between the parts until only the driver's are left.
    fn settle(&mut self, now: clock::Time, out: &mut Vec<Action>) {
        let first = out.len();
        self.exchange(now, out);
        self.hold_back(now, first, out);
    }

    /// Takes out answers that go over a link, and puts in those with room.
    fn hold_back(&mut self, now: clock::Time, first: usize, out: &mut Vec<Action>) {
        for action in out.split_off(first) {
            match action {
                Action::Reply { id, answer } if self.outbox.holds(id) => {
                    self.outbox.put(id, outbox::Last::Reply(answer));
                }
                Action::Refuse { id, refusal } if self.outbox.holds(id) => {
                    self.outbox.put(id, outbox::Last::Refuse(refusal));
                }
                other => out.push(other),
            }
        }
        let free = self.outbox.release(now, self.dispatch.shares());
        if let Some((link, bytes)) = self.outbox.lacking() {
            self.dispatch.request_link_loan(now, link, *bytes);
        }
        out.extend(free.into_iter().map(|(id, last)| match last {
            outbox::Last::Reply(answer) => Action::Reply { id, answer },
            outbox::Last::Refuse(refusal) => Action::Refuse { id, refusal },
        }));
    }

    fn exchange(&mut self, now: clock::Time, out: &mut Vec<Action>) {
        while !self.asked.is_empty() || !self.sent.is_empty() {
            for action in core::mem::take(&mut self.asked) {
                match action {
                    gate::Action::Run(arrival) => {
                        self.dispatch(now, dispatch::Event::Arrive(arrival));
                    }
                    gate::Action::Forward { id, peer, budget } => {
                        self.forward(now, id, peer, budget, out);
                    }
                    other => out.extend(message::outward(other)),
                }
            }
            for action in core::mem::take(&mut self.sent) {
                self.after_dispatch(now, action, out);
            }
        }
    }

    /// A request goes to its key's owner if the link has room for it. Another
    /// copy of it may have run there, so a refusal isn't "not run".
    fn forward(
        &mut self,
        now: clock::Time,
        id: arrival::RequestId,
        peer: gate::Peer,
        budget: Duration,
        out: &mut Vec<Action>,
    ) {
        let bytes = self.arriving.filter(|a| a.0 == id).map_or(0, |a| a.1);
        match self.dispatch.admit_forward(now, &peer.name, bytes) {
            Ok(()) => out.push(Action::Forward { id, peer, budget }),
            Err(after) => {
                let refusal = outcome::Refusal::unknown(outcome::Reason::Cap, Some(after));
                let outcome = dispatch::AttemptOutcome::PeerRefused(refusal);
                self.gate(now, gate::Event::Forwarded { id, outcome });
            }
        }
    }

    /// The dispatcher's answer to a request that the gate holds is the gate's
    /// to record before any caller hears it.
    fn after_dispatch(
        &mut self,
        now: clock::Time,
        action: dispatch::Action,
        out: &mut Vec<Action>,
    ) {
        match action {
            dispatch::Action::Reply { id, answer } if self.gate.holds(id) => {
                let verdict = gate::Verdict::Answered(answer);
                self.gate(now, gate::Event::Settled { id, verdict });
            }
            dispatch::Action::Refuse { id, refusal } if self.gate.holds(id) => {
                let verdict = gate::Verdict::Refused(refusal);
                self.gate(now, gate::Event::Settled { id, verdict });
            }
            other => out.push(other.into()),
        }
    }
}

//! Request engine of a process: gate, dispatcher and outbox in one.
//!
//! Invariant: every request that arrives gets exactly one [`Action::Reply`] or
//! [`Action::Refuse`], unless its caller disconnects. A request that the gate
//! holds is answered only by the gate.

mod message;

use core::time::Duration;
use std::sync::Arc;

use crate::clock;
use crate::process::{dispatch, gate, outbox, share};
use crate::request::{arrival, key, outcome};
use crate::version::view;

pub use self::message::{Action, Event};
pub use dispatch::TICK;

/// Gate, dispatcher and outbox of one process.
pub struct Traffic {
    gate: gate::Gate,
    dispatch: dispatch::Dispatch,
    outbox: outbox::Outbox,
    /// Request that arrived last, and its size in bytes.
    last_arrival: Option<(arrival::RequestId, u64)>,
    /// Actions not yet passed on; empty between events.
    gate_actions: Vec<gate::Action>,
    dispatch_actions: Vec<dispatch::Action>,
}

impl Traffic {
    /// Creates an engine with no requests and an empty view.
    #[must_use]
    pub fn new(
        identity: dispatch::Identity,
        incarnation: view::Incarnation,
        limits: gate::Limits,
        rng: fastrand::Rng,
    ) -> Self {
        Self::with_safeguards(identity, incarnation, limits, gate::Safeguards::ALL, rng)
    }

    /// Creates an engine with the given settings of the dispatcher.
    #[must_use]
    pub fn with_tuning(
        identity: dispatch::Identity,
        incarnation: view::Incarnation,
        limits: gate::Limits,
        tuning: dispatch::tuning::Tuning,
        rng: fastrand::Rng,
    ) -> Self {
        Self {
            dispatch: dispatch::Dispatch::with_tuning(identity.clone(), tuning, rng.clone()),
            ..Self::new(identity, incarnation, limits, rng)
        }
    }

    /// Creates an engine with some safeguards of the gate disabled. For the
    /// explorer and tests only.
    #[must_use]
    pub fn with_safeguards(
        identity: dispatch::Identity,
        incarnation: view::Incarnation,
        limits: gate::Limits,
        safeguards: gate::Safeguards,
        rng: fastrand::Rng,
    ) -> Self {
        Self {
            gate: gate::Gate::with_safeguards(identity.clone(), incarnation, limits, safeguards),
            dispatch: dispatch::Dispatch::new(identity, rng),
            outbox: outbox::Outbox::default(),
            last_arrival: None,
            gate_actions: Vec::new(),
            dispatch_actions: Vec::new(),
        }
    }

    /// Replaces the safeguards of caps. For models and tests only.
    #[must_use]
    pub fn with_shares(mut self, guards: share::Guards) -> Self {
        *self.dispatch.shares() = share::Shares::new(guards);
        self
    }

    /// Handles one event and appends the actions to perform to `out`.
    pub fn handle(&mut self, now: clock::Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Arrive(arrival) => self.arrive(now, arrival, out),
            Event::Forwarded { id, outcome } => {
                self.handle_gate(now, gate::Event::Forwarded { id, outcome });
            }
            Event::AskEnded { ask, reply } => {
                self.handle_gate(now, gate::Event::AskEnded { ask, reply });
            }
            Event::PeerAsked { ask, question } => {
                self.handle_gate(now, gate::Event::PeerAsked { ask, question });
            }
            Event::Stored { id, result } => {
                self.handle_gate(now, gate::Event::Stored { id, result });
            }
            Event::Leave => self.handle_gate(now, gate::Event::Leave),
            Event::Disconnected(id) => {
                self.outbox.forget(id);
                if self.gate.holds(id) {
                    self.handle_gate(now, gate::Event::Disconnected(id));
                } else {
                    self.handle_dispatch(now, dispatch::Event::Disconnected(id));
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
                self.handle_dispatch(now, event);
            }
            Event::Report { target, report } => {
                self.handle_dispatch(now, dispatch::Event::Report { target, report });
            }
            Event::Probed { target, report } => {
                self.handle_dispatch(now, dispatch::Event::Probed { target, report });
            }
            Event::Suspected {
                fingerprint,
                strikes,
            } => {
                let event = dispatch::Event::Suspected {
                    fingerprint,
                    strikes,
                };
                self.handle_dispatch(now, event);
            }
            Event::SlotHeld(held) => self.handle_dispatch(now, dispatch::Event::SlotHeld(held)),
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
                self.handle_dispatch(now, event);
            }
            Event::LoanRequested { ask, route, amount } => {
                self.handle_dispatch(now, dispatch::Event::LoanRequested { ask, route, amount });
            }
            Event::View(view) => {
                self.handle_dispatch(now, dispatch::Event::View(Arc::clone(&view)));
                self.handle_gate(now, gate::Event::View(view));
            }
            Event::Tick => {
                self.handle_dispatch(now, dispatch::Event::Tick);
                self.handle_gate(now, gate::Event::Tick);
            }
        }
        self.process_actions(now, out);
    }

    /// Refuses a request that came over a link if its answer may find no room
    /// on the way back. The refusal of a request that was forwarded to its key's
    /// owner does not say "not run": another copy of it may have run.
    fn arrive(&mut self, now: clock::Time, arrival: arrival::Arrival, out: &mut Vec<Action>) {
        let id = arrival.id;
        if let Some(link) = self.return_link(&arrival)
            && !self.outbox.admit(now, id, link, self.dispatch.shares())
        {
            let after = Some(share::window::RATE_PERIOD);
            let refusal = if arrival.origin == arrival::Origin::Peer {
                outcome::Refusal::not_run(outcome::Reason::Cap, after)
            } else {
                outcome::Refusal::unknown(outcome::Reason::Cap, after)
            };
            return out.push(Action::Refuse { id, refusal });
        }
        self.last_arrival = Some((id, arrival.bytes));
        self.handle_gate(now, gate::Event::Arrive(arrival));
    }

    /// Link over which the answer goes back to another region, if any.
    fn return_link(&self, arrival: &arrival::Arrival) -> Option<share::Route> {
        let peer_region = arrival.peer_region.as_ref()?;
        let here = self.dispatch.region()?;
        (peer_region != here).then(|| share::Route::Link {
            from: Arc::clone(here),
            to: Arc::clone(peer_region),
        })
    }

    /// Prefix of the keys issued now; `None` while the process cannot serve.
    /// Changes are reported by [`Action::Issue`].
    #[must_use]
    pub fn key_prefix(&self, now: clock::Time) -> Option<key::Prefix> {
        self.gate.key_prefix(now)
    }

    /// Returns whether no request is in flight and none waits. After
    /// [`Event::Leave`] the process may then exit without losing a request.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        let pending = self.gate.in_flight() + self.dispatch.in_flight() + self.dispatch.waiting();
        pending + self.outbox.waiting() == 0
    }

    /// The gate, for counts and dumps.
    #[must_use]
    pub const fn gate_state(&self) -> &gate::Gate {
        &self.gate
    }

    /// Caps with this process's limit and use per second, for dumps.
    pub fn share_rows(&mut self, now: clock::Time) -> Vec<(share::Route, u64, u64)> {
        self.dispatch.shares().usage(now)
    }

    /// The dispatcher, for counts and dumps.
    #[must_use]
    pub const fn dispatch_state(&self) -> &dispatch::Dispatch {
        &self.dispatch
    }

    /// Caps with this process's limit and use per second, for dumps.
    pub fn caps(&mut self, now: clock::Time) -> Vec<(share::Route, u64, u64)> {
        self.dispatch.shares().usage(now)
    }

    fn handle_gate(&mut self, now: clock::Time, event: gate::Event) {
        self.gate.handle(now, event, &mut self.gate_actions);
    }

    fn handle_dispatch(&mut self, now: clock::Time, event: dispatch::Event) {
        self.dispatch.handle(now, event, &mut self.dispatch_actions);
    }

    /// Exchanges actions between gate and dispatcher until only those for the
    /// driver are left, and applies the limits of links to answers.
    fn process_actions(&mut self, now: clock::Time, out: &mut Vec<Action>) {
        let start = out.len();
        self.exchange(now, out);
        self.apply_link_limits(now, start, out);
    }

    /// Moves answers that go over a link to the outbox, and takes from there
    /// those that have room now.
    fn apply_link_limits(&mut self, now: clock::Time, start: usize, out: &mut Vec<Action>) {
        for action in out.split_off(start) {
            match action {
                Action::Reply { id, answer } if self.outbox.contains(id) => {
                    self.outbox.put(id, outbox::FinalResponse::Reply(answer));
                }
                Action::Refuse { id, refusal } if self.outbox.contains(id) => {
                    self.outbox.put(id, outbox::FinalResponse::Refuse(refusal));
                }
                other => out.push(other),
            }
        }
        let released = self.outbox.release(now, self.dispatch.shares());
        if let Some((link, bytes)) = self.outbox.blocked() {
            self.dispatch.request_link_loan(now, link, *bytes);
        }
        out.extend(released.into_iter().map(|(id, response)| match response {
            outbox::FinalResponse::Reply(answer) => Action::Reply { id, answer },
            outbox::FinalResponse::Refuse(refusal) => Action::Refuse { id, refusal },
        }));
    }

    fn exchange(&mut self, now: clock::Time, out: &mut Vec<Action>) {
        while !self.gate_actions.is_empty() || !self.dispatch_actions.is_empty() {
            for action in core::mem::take(&mut self.gate_actions) {
                match action {
                    gate::Action::Run(arrival) => {
                        self.handle_dispatch(now, dispatch::Event::Arrive(arrival));
                    }
                    gate::Action::Forward { id, peer, budget } => {
                        self.forward(now, id, peer, budget, out);
                    }
                    other => out.extend(message::driver_action(other)),
                }
            }
            for action in core::mem::take(&mut self.dispatch_actions) {
                self.pass_on(now, action, out);
            }
        }
    }

    /// Forwards a request to its key's owner if the link has room for it.
    /// Another copy may have run there, so the refusal does not say "not run".
    fn forward(
        &mut self,
        now: clock::Time,
        id: arrival::RequestId,
        peer: gate::Peer,
        budget: Duration,
        out: &mut Vec<Action>,
    ) {
        let bytes = self.last_arrival.filter(|a| a.0 == id).map_or(0, |a| a.1);
        match self.dispatch.admit_forward(now, &peer.name, bytes) {
            Ok(()) => out.push(Action::Forward { id, peer, budget }),
            Err(after) => {
                let refusal = outcome::Refusal::unknown(outcome::Reason::Cap, Some(after));
                let outcome = dispatch::AttemptOutcome::PeerRefused(refusal);
                self.handle_gate(now, gate::Event::Forwarded { id, outcome });
            }
        }
    }

    /// Passes on an action of the dispatcher. Its answer to a request that the
    /// gate holds goes to the gate, which records it before a caller gets it.
    fn pass_on(&mut self, now: clock::Time, action: dispatch::Action, out: &mut Vec<Action>) {
        match action {
            dispatch::Action::Reply { id, answer } if self.gate.holds(id) => {
                let verdict = gate::Verdict::Answered(answer);
                self.handle_gate(now, gate::Event::Completed { id, verdict });
            }
            dispatch::Action::Refuse { id, refusal } if self.gate.holds(id) => {
                let verdict = gate::Verdict::Refused(refusal);
                self.handle_gate(now, gate::Event::Completed { id, verdict });
            }
            other => out.push(other.into()),
        }
    }
}

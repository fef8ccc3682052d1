//! Decides whether, and in which process, a non-idempotent request may run.
//!
//! Invariants, over all processes and for every key of a service that is not
//! idempotent:
//! 1. The key's request is sent to the dispatcher at most once, in one process:
//!    the owner named in the key, or the one whose claim the store holds.
//! 2. A process answers "not run" only if the key has not run and never will.
//!    "Not run" ends the key; the caller retries with a new nonce.
//! 3. A process that cannot establish that answers "unknown", also if the cause
//!    is its own lack of room or time: another copy of the request may have run
//!    in another process.
//!
//! Requests for idempotent services bypass the gate.

mod answers;
mod chosen;
mod counts;
mod forwarding;
mod held;
mod issuer;
mod limits;
mod message;
mod owner;
mod record_table;
mod safeguards;
mod witness;

use core::time::Duration;
use std::sync::Arc;

use crate::clock;
use crate::process::dispatch;
use crate::request::{arrival, key, outcome, record};
use crate::version::view;

pub use counts::{Counts, Stages, Tally};
pub use limits::Limits;
pub use message::{Action, Event, Peer, Verdict};
pub use safeguards::Safeguards;

/// Time after which a caller is advised to retry, unless a better one is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time that a caller is assumed to wait if neither it nor its service sets one.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);

/// State of one process's gate.
pub struct Gate {
    incarnation: view::Incarnation,
    identity: dispatch::Identity,
    limits: Limits,
    safeguards: Safeguards,
    view: Arc<view::View>,
    /// Members by incarnation, sorted.
    peers: Vec<(view::Incarnation, view::Member)>,
    records: record_table::RecordTable<Box<owner::Record>>,
    answers: answers::RetainedAnswers,
    registry: witness::Registry,
    issuer: issuer::KeyIssuer,
    held: held::HeldSet,
    asks: u64,
    attempts: u64,
    /// Epoch in which old records were last removed.
    swept_epoch: u64,
    leaving: bool,
    tally: Tally,
}

impl Gate {
    /// Creates a gate with no records and an empty view.
    #[must_use]
    pub fn new(
        identity: dispatch::Identity,
        incarnation: view::Incarnation,
        limits: Limits,
    ) -> Self {
        Self::with_safeguards(identity, incarnation, limits, Safeguards::ALL)
    }

    /// Creates a gate with some safeguards off. For the explorer and tests only.
    #[must_use]
    pub fn with_safeguards(
        identity: dispatch::Identity,
        incarnation: view::Incarnation,
        limits: Limits,
        safeguards: Safeguards,
    ) -> Self {
        Self {
            incarnation,
            identity,
            limits,
            safeguards,
            view: Arc::default(),
            peers: Vec::new(),
            records: record_table::RecordTable::new(limits.records_max),
            answers: answers::RetainedAnswers::new(limits.answer_bytes),
            registry: witness::Registry::new(incarnation, &limits, safeguards),
            issuer: issuer::KeyIssuer::new(incarnation),
            held: held::HeldSet::default(),
            asks: 0,
            attempts: 0,
            swept_epoch: 0,
            leaving: false,
            tally: Tally::default(),
        }
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: clock::Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Arrive(arrival) => self.arrive(now, arrival, out),
            Event::Completed { id, verdict } => self.completed(id, verdict, out),
            Event::Forwarded { id, outcome } => self.forwarded(now, id, outcome, out),
            Event::AskEnded { ask, reply } => self.ask_ended(now, ask, reply, out),
            Event::PeerAsked { ask, question } => {
                self.tally.words += 1;
                let reply = self.registry.answer(self.limits.epoch_at(now), &question);
                out.push(Action::Respond { ask, reply });
            }
            Event::Stored { id, result } => self.stored(now, id, result, out),
            Event::Disconnected(id) => self.disconnected(id),
            Event::View(view) => self.set_view(view),
            Event::Tick => self.tick(now, out),
            Event::Leave => self.leaving = true,
        }
        self.publish(now, out);
    }

    /// Returns whether the gate still holds the request: its caller has no answer
    /// yet, or left while the request goes on.
    #[must_use]
    pub fn holds(&self, id: arrival::RequestId) -> bool {
        self.held.get(id).is_some()
    }

    /// Number of requests held.
    #[must_use]
    pub const fn in_flight(&self) -> usize {
        self.held.len()
    }

    /// Number of records kept as an owner, and as a witness.
    #[must_use]
    pub const fn records(&self) -> (usize, usize) {
        (self.records.len(), self.registry.len())
    }

    /// Counters of what the gate has done since the process started.
    #[must_use]
    pub const fn tally(&self) -> &Tally {
        &self.tally
    }

    /// Numbers of requests, records and bytes held, for dumps and metrics.
    #[must_use]
    pub fn counts(&self) -> Counts {
        Counts {
            stages: self.held.stages(),
            records: self.records.len(),
            witnessed: self.registry.len(),
            kept: self.answers.bytes(),
            witness: self.issuer.witness(),
            leaving: self.leaving,
        }
    }

    /// Prefix for keys issued now; `None` before the first view and after the
    /// process was told to leave.
    #[must_use]
    pub fn key_prefix(&self, now: clock::Time) -> Option<key::Prefix> {
        let ready = self.view.version.0 != 0 && !self.leaving;
        ready.then(|| self.issuer.prefix(self.limits.epoch_at(now)))
    }

    fn arrive(&mut self, now: clock::Time, arrival: arrival::Arrival, out: &mut Vec<Action>) {
        if self.bypasses(&arrival) {
            return out.push(Action::Run(arrival));
        }
        let id = arrival.id;
        let Some(text) = &arrival.key else {
            return refuse(
                id,
                outcome::Refusal::not_run(outcome::Reason::KeyMissing, None),
                out,
            );
        };
        let Ok(key) = key::Key::try_from(text) else {
            return refuse(
                id,
                outcome::Refusal::not_run(outcome::Reason::KeyMalformed, None),
                out,
            );
        };
        if self.view.version.0 == 0 {
            return refuse(id, self.unknown_refusal(outcome::Reason::NotReady), out);
        }
        match key {
            key::Key::Issued(key) if key.prefix.owner.incarnation == self.incarnation => {
                self.arrive_owned(now, arrival, &key, out);
            }
            key::Key::Issued(key) => self.arrive_foreign(now, arrival, key, out),
            key::Key::Chosen(key) => self.arrive_chosen(now, arrival, key, out),
        }
    }

    /// Returns whether the request bypasses the gate: its service is idempotent,
    /// or the sending peer holds the right to run it, or it has neither a known
    /// service nor a key. With a key and an unknown service it does not: the key
    /// may have run in another process.
    fn bypasses(&self, arrival: &arrival::Arrival) -> bool {
        match self.view.service(&arrival.service) {
            _ if arrival.origin == arrival::Origin::Peer => true,
            Some(service) => self.view.services[service].is_idempotent,
            None => arrival.key.is_none(),
        }
    }

    fn expiry_of(&self, now: clock::Time, arrival: &arrival::Arrival) -> clock::Time {
        let service = self.view.service(&arrival.service);
        let service_default = service.map(|s| self.view.services[s].deadline);
        now + arrival
            .deadline
            .or(service_default)
            .unwrap_or(DEFAULT_DEADLINE)
    }

    /// Refusal by a process without access to the records of a key. The key may
    /// have run in another process and its answer been lost, so a refusal for a
    /// local reason must not say "not run": the caller would send the request
    /// again under another key.
    fn unknown_refusal(&self, reason: outcome::Reason) -> outcome::Refusal {
        if self.safeguards.unknown_away {
            outcome::Refusal::unknown(reason, Some(DEFAULT_RETRY_AFTER))
        } else {
            outcome::Refusal::not_run(reason, Some(DEFAULT_RETRY_AFTER))
        }
    }

    /// Reason for which no further request of this caller can be held, if any.
    fn held_limit_reached(&self, caller: &str) -> Option<outcome::Reason> {
        if self.held.len() >= self.limits.held_max {
            return Some(outcome::Reason::Overloaded);
        }
        (self.held.count_of(caller) >= self.limits.caller_max)
            .then_some(outcome::Reason::CallerLimit)
    }

    fn peer(&self, incarnation: view::Incarnation) -> Option<Peer> {
        let at = self
            .peers
            .binary_search_by_key(&incarnation, |p| p.0)
            .ok()?;
        Some(Peer::from(&self.view.members[self.peers[at].1]))
    }

    fn ask(
        &mut self,
        peer: Peer,
        question: record::Question,
        budget: Duration,
        out: &mut Vec<Action>,
    ) -> record::QuestionId {
        self.asks += 1;
        let ask = record::QuestionId(self.asks);
        out.push(Action::Ask {
            ask,
            peer,
            question,
            budget,
        });
        ask
    }

    fn ask_ended(
        &mut self,
        now: clock::Time,
        ask: record::QuestionId,
        reply: Option<record::Reply>,
        out: &mut Vec<Action>,
    ) {
        let epoch = match reply {
            Some(record::Reply::Epoch(epoch)) => Some(epoch),
            _ => None,
        };
        if self.issuer.probe_ended(now, &self.limits, ask, epoch) {
            return;
        }
        let Some(id) = self.held.waiting_for(ask) else {
            return;
        };
        match self.held.get(id).map(|h| &h.stage) {
            Some(held::Stage::Claiming { .. }) => self.claim_ended(now, id, reply, out),
            _ => self.seal_ended(id, reply, out),
        }
    }

    fn disconnected(&mut self, id: arrival::RequestId) {
        let Some(held) = self.held.get(id) else {
            return;
        };
        let record_id = held.record_id.clone();
        match held.stage {
            // The run goes on, so that its answer is available to a resend.
            held::Stage::Claiming { .. } | held::Stage::Storing { .. } | held::Stage::Running => {
                if let Some(record) = self.records.get_mut(&record_id) {
                    record.is_detached = true;
                }
            }
            held::Stage::Waiting => {
                self.held.remove(id);
                if let Some(record) = self.records.get_mut(&record_id) {
                    record.waiters.retain(|&w| w != id);
                }
            }
            held::Stage::Forwarding { .. } | held::Stage::Sealing { .. } => {
                self.held.remove(id);
            }
        }
    }

    fn set_view(&mut self, view: Arc<view::View>) {
        self.issuer.set_view(&view);
        let members = view.members.iter();
        self.peers = members.map(|(at, data)| (data.incarnation, at)).collect();
        self.peers.sort_unstable();
        self.view = view;
    }

    fn tick(&mut self, now: clock::Time, out: &mut Vec<Action>) {
        self.sweep(now);
        for id in self.held.overdue(now) {
            self.overdue(now, id, out);
        }
        let probe = self
            .issuer
            .next_probe(now, &self.limits, &self.view, &self.identity.domain);
        if let Some(peer) = probe {
            let incarnation = peer.incarnation;
            let ask = self.ask(peer, record::Question::Epoch, self.limits.ask_timeout, out);
            self.issuer.probe_sent(now, &self.limits, ask, incarnation);
        }
    }

    fn overdue(&mut self, now: clock::Time, id: arrival::RequestId, out: &mut Vec<Action>) {
        match self.held.get(id).map(|h| &h.stage) {
            Some(held::Stage::Claiming { .. }) => self.abandon_claim(now, id, out),
            Some(held::Stage::Storing { .. }) => self.claim_undecided(id, out),
            Some(held::Stage::Waiting) => {
                self.disconnected(id);
                refuse(
                    id,
                    outcome::Refusal::unknown(outcome::Reason::KeyBusy, Some(DEFAULT_RETRY_AFTER)),
                    out,
                );
            }
            Some(held::Stage::Forwarding { .. }) => {
                self.held.remove(id);
                refuse(id, self.unknown_refusal(outcome::Reason::Deadline), out);
            }
            Some(held::Stage::Sealing { .. }) => self.seal_ended(id, None, out),
            Some(held::Stage::Running) | None => {}
        }
    }

    /// Once per epoch, removes the records that are too old to be asked for.
    fn sweep(&mut self, now: clock::Time) {
        let epoch = self.limits.epoch_at(now);
        if epoch == self.swept_epoch {
            return;
        }
        self.swept_epoch = epoch;
        self.registry.forget(epoch);
        let keep_epochs = if self.safeguards.keep_window {
            self.limits.keep_epochs
        } else {
            0
        };
        let oldest = epoch.saturating_sub(keep_epochs);
        let is_done = |r: &owner::Record| matches!(r.progress, owner::Progress::Done(_));
        self.records.forget_before(oldest, |r| is_done(r));
        self.records.forget_at(chosen::UNDATED_EPOCH, |r| {
            is_done(r) && r.created_epoch < oldest
        });
        let records = &self.records;
        self.answers
            .retain(|record_id| records.get(record_id).is_some());
    }

    fn publish(&mut self, now: clock::Time, out: &mut Vec<Action>) {
        let prefix = self.key_prefix(now);
        if self.issuer.publish(prefix) {
            out.push(Action::Issue(prefix));
        }
    }
}

fn refuse(id: arrival::RequestId, refusal: outcome::Refusal, out: &mut Vec<Action>) {
    out.push(Action::Refuse { id, refusal });
}

fn answer(id: arrival::RequestId, verdict: &Verdict, out: &mut Vec<Action>) {
    match verdict {
        Verdict::Answered(answer) => out.push(Action::Reply {
            id,
            answer: Arc::clone(answer),
        }),
        Verdict::Refused(refusal) => refuse(id, *refusal, out),
    }
}

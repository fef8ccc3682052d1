//! Decides whether, and by whom, a request that must not repeat may be run.
//!
//! Invariants, over all processes and for every key of a service that is not
//! idempotent:
//! 1. The key's request is sent to the dispatcher at most once, in one process:
//!    the owner named in the key, or the one whose claim the store holds.
//! 2. Whoever answers "not run" has made sure that the key has not run and never
//!    will. "Not run" ends the key; the caller goes on with a new nonce.
//! 3. Whoever can't make sure answers "unknown", also for its own lack of room
//!    or time: another copy of the request may have run elsewhere.
//!
//! Requests of idempotent services pass straight through.

mod book;
mod chosen;
mod counts;
mod entry;
mod held;
mod issue;
mod kept;
mod limits;
mod message;
mod owner;
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

/// When a caller is told to come back where nothing better is known.
const COME_BACK: Duration = Duration::from_secs(1);

/// Time a caller is taken to wait if neither it nor its service says.
const DEADLINE: Duration = Duration::from_secs(10);

/// The gate's state.
pub struct Gate {
    me: view::Incarnation,
    home: dispatch::Identity,
    limits: Limits,
    safe: Safeguards,
    view: Arc<view::View>,
    /// Members by incarnation, sorted.
    peers: Vec<(view::Incarnation, view::Member)>,
    book: book::Book<Box<owner::Record>>,
    kept: kept::Kept,
    registry: witness::Registry,
    issue: issue::Issue,
    held: held::HeldSet,
    asks: u64,
    attempts: u64,
    /// Epoch in which records were last forgotten.
    swept: u64,
    leaving: bool,
    tally: Tally,
}

impl Gate {
    /// A gate with no records and an empty view.
    #[must_use]
    pub fn new(home: dispatch::Identity, me: view::Incarnation, limits: Limits) -> Self {
        Self::with_safeguards(home, me, limits, Safeguards::ALL)
    }

    /// The same with safeguards taken out. For the explorer and tests only.
    #[must_use]
    pub fn with_safeguards(
        home: dispatch::Identity,
        me: view::Incarnation,
        limits: Limits,
        safe: Safeguards,
    ) -> Self {
        Self {
            me,
            home,
            limits,
            safe,
            view: Arc::default(),
            peers: Vec::new(),
            book: book::Book::new(limits.records_max),
            kept: kept::Kept::new(limits.answer_bytes),
            registry: witness::Registry::new(me, &limits, safe),
            issue: issue::Issue::new(me),
            held: held::HeldSet::default(),
            asks: 0,
            attempts: 0,
            swept: 0,
            leaving: false,
            tally: Tally::default(),
        }
    }

    /// Takes one event and appends what is to be done to `out`.
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

    /// Whether the gate owes the request's caller an answer, or keeps the
    /// request although its caller left.
    #[must_use]
    pub fn holds(&self, id: arrival::RequestId) -> bool {
        self.held.get(id).is_some()
    }

    /// Number of requests held.
    #[must_use]
    pub const fn in_flight(&self) -> usize {
        self.held.len()
    }

    /// Number of records, as an owner and as a witness.
    #[must_use]
    pub const fn records(&self) -> (usize, usize) {
        (self.book.len(), self.registry.len())
    }

    /// What the gate has done, for counters.
    #[must_use]
    pub const fn tally(&self) -> &Tally {
        &self.tally
    }

    /// What the gate holds, for dumps and counters.
    #[must_use]
    pub fn counts(&self) -> Counts {
        Counts {
            stages: self.held.stages(),
            records: self.book.len(),
            witnessed: self.registry.len(),
            kept: self.kept.bytes(),
            witness: self.issue.witness(),
            leaving: self.leaving,
        }
    }

    /// The prefix for keys issued now; `None` while the process can't serve.
    #[must_use]
    pub fn key_prefix(&self, now: clock::Time) -> Option<key::Prefix> {
        let ready = self.view.version.0 != 0 && !self.leaving;
        ready.then(|| self.issue.prefix(self.limits.epoch_at(now)))
    }

    fn arrive(&mut self, now: clock::Time, arrival: arrival::Arrival, out: &mut Vec<Action>) {
        if self.passes(&arrival) {
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
            return refuse(id, self.elsewhere(outcome::Reason::NotReady), out);
        }
        match key {
            key::Key::Issued(key) if key.prefix.owner.incarnation == self.me => {
                self.own(now, arrival, &key, out);
            }
            key::Key::Issued(key) => self.foreign(now, arrival, key, out),
            key::Key::Chosen(key) => self.chosen(now, arrival, key, out),
        }
    }

    /// Whether the gate has no say in the request: a repeat is harmless, or the
    /// sending peer holds the right to run it, or there is neither a service
    /// nor a key. A key whose service is unknown here may have run elsewhere.
    fn passes(&self, arrival: &arrival::Arrival) -> bool {
        match self.view.service(&arrival.service) {
            _ if arrival.origin == arrival::Origin::Peer => true,
            Some(service) => self.view.services[service].is_idempotent,
            None => arrival.key.is_none(),
        }
    }

    fn until(&self, now: clock::Time, arrival: &arrival::Arrival) -> clock::Time {
        let service = self.view.service(&arrival.service);
        let usual = service.map(|s| self.view.services[s].deadline);
        now + arrival.deadline.or(usual).unwrap_or(DEADLINE)
    }

    /// What a process says that can't reach the records of a key. The key may
    /// have run elsewhere and its answer been lost, so a refusal for a reason
    /// of this process alone must not say "not run": its caller would send the
    /// request anew under another key.
    fn elsewhere(&self, reason: outcome::Reason) -> outcome::Refusal {
        if self.safe.unknown_away {
            outcome::Refusal::unknown(reason, Some(COME_BACK))
        } else {
            outcome::Refusal::not_run(reason, Some(COME_BACK))
        }
    }

    /// Why no further request of this caller can be held, if none can.
    fn crowded(&self, caller: &str) -> Option<outcome::Reason> {
        if self.held.len() >= self.limits.held_max {
            return Some(outcome::Reason::Overloaded);
        }
        (self.held.of(caller) >= self.limits.caller_max).then_some(outcome::Reason::CallerLimit)
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
        if self.issue.told(now, &self.limits, ask, epoch) {
            return;
        }
        let Some(id) = self.held.asking(ask) else {
            return;
        };
        match self.held.get(id).map(|h| &h.stage) {
            Some(held::Stage::Claiming { .. }) => self.claimed(now, id, reply, out),
            _ => self.sealed(id, reply, out),
        }
    }

    fn disconnected(&mut self, id: arrival::RequestId) {
        let Some(held) = self.held.get(id) else {
            return;
        };
        let name = held.name.clone();
        match held.stage {
            // The run goes on: its answer is there for the caller's resend.
            held::Stage::Claiming { .. } | held::Stage::Storing { .. } | held::Stage::Running => {
                if let Some(record) = self.book.get_mut(&name) {
                    record.left = true;
                }
            }
            held::Stage::Waiting => {
                self.held.remove(id);
                if let Some(record) = self.book.get_mut(&name) {
                    record.waiters.retain(|&w| w != id);
                }
            }
            held::Stage::Forwarding { .. } | held::Stage::Sealing { .. } => {
                self.held.remove(id);
            }
        }
    }

    fn set_view(&mut self, view: Arc<view::View>) {
        self.issue.view(&view);
        let members = view.members.iter();
        self.peers = members.map(|(at, data)| (data.incarnation, at)).collect();
        self.peers.sort_unstable();
        self.view = view;
    }

    fn tick(&mut self, now: clock::Time, out: &mut Vec<Action>) {
        self.forget(now);
        for id in self.held.overdue(now) {
            self.overdue(now, id, out);
        }
        let due = self
            .issue
            .due(now, &self.limits, &self.view, &self.home.domain);
        if let Some(peer) = due {
            let incarnation = peer.incarnation;
            let ask = self.ask(peer, record::Question::Epoch, self.limits.ask_timeout, out);
            self.issue.asked(now, &self.limits, ask, incarnation);
        }
    }

    fn overdue(&mut self, now: clock::Time, id: arrival::RequestId, out: &mut Vec<Action>) {
        match self.held.get(id).map(|h| &h.stage) {
            Some(held::Stage::Claiming { .. }) => self.give_up(now, id, out),
            Some(held::Stage::Storing { .. }) => self.unsettled(id, out),
            Some(held::Stage::Waiting) => {
                self.disconnected(id);
                refuse(
                    id,
                    outcome::Refusal::unknown(outcome::Reason::KeyBusy, Some(COME_BACK)),
                    out,
                );
            }
            Some(held::Stage::Forwarding { .. }) => {
                self.held.remove(id);
                refuse(id, self.elsewhere(outcome::Reason::Deadline), out);
            }
            Some(held::Stage::Sealing { .. }) => self.sealed(id, None, out),
            Some(held::Stage::Running) | None => {}
        }
    }

    /// Drops what is too old to be asked for; once an epoch.
    fn forget(&mut self, now: clock::Time) {
        let epoch = self.limits.epoch_at(now);
        if epoch == self.swept {
            return;
        }
        self.swept = epoch;
        self.registry.forget(epoch);
        let keep = if self.safe.keep_window {
            self.limits.keep_epochs
        } else {
            0
        };
        let oldest = epoch.saturating_sub(keep);
        let done = |r: &owner::Record| matches!(r.progress, owner::Progress::Done(_));
        self.book.forget_before(oldest, |r| done(r));
        self.book
            .forget_at(chosen::EPOCH, |r| done(r) && r.born < oldest);
        let book = &self.book;
        self.kept.retain(|name| book.get(name).is_some());
    }

    fn publish(&mut self, now: clock::Time, out: &mut Vec<Action>) {
        let prefix = self.key_prefix(now);
        if self.issue.publish(prefix) {
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

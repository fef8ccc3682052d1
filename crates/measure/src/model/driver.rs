//! What an entry instance's driver does with the engine's actions.

use core::time::Duration;
use std::sync::Arc;

use steer::connection::pool::{Checkout, Connection};
use steer::process::dispatch::{Action, AttemptOutcome, Destination, Event, Report};
use steer::request::arrival::{Arrival, AttemptId, Fingerprint, Origin, RequestId};
use steer::request::record::QuestionId;

use super::fleet::region_name;
use super::{FAR, Happening, LOCAL, Loan, Model, NEAR, OPEN, Request, Way, Work};

impl Model {
    pub(super) fn tell(&mut self, entry: usize, event: Event) {
        if self.entries[entry].dead {
            return;
        }
        let mut actions = Vec::new();
        self.entries[entry]
            .engine
            .handle(self.now, event, &mut actions);
        for action in actions {
            self.act(entry, action);
        }
    }

    pub(super) fn act(&mut self, entry: usize, action: Action) {
        match action {
            Action::Send {
                id,
                attempt,
                destination,
                budget,
            } => self.send(entry, id, attempt, &destination, budget),
            Action::Cancel { attempt, .. } => self.cancel(entry, attempt),
            Action::Reply { id, answer } => self.settle(id, Ok(answer)),
            Action::Refuse { id, refusal } => self.settle(id, Err(refusal)),
            Action::Probe { target, .. } => {
                let target = self.target(&target);
                self.after(LOCAL * 2, Happening::Probed(entry, target));
            }
            Action::Borrow {
                peer,
                route,
                amount,
                asked_at: asked,
            } => {
                let loan = Loan {
                    from: entry,
                    route,
                    amount,
                    asked,
                };
                let peer = usize::from(peer.port());
                self.after(self.way(entry, peer), Happening::Wanted(peer, loan));
            }
            // Answered where it is asked.
            Action::Lend { .. } => {}
            Action::Suspect {
                fingerprint,
                strikes,
            } => {
                for peer in (0..self.entries.len()).filter(|&e| e != entry) {
                    let way = self.way(entry, peer);
                    self.after(way, Happening::Told(peer, fingerprint, strikes));
                }
            }
        }
    }

    pub(super) fn target(&self, name: &str) -> usize {
        let found = self.targets.iter().position(|t| &*t.name == name);
        found.expect("a target of the model")
    }

    pub(super) fn way(&self, from: usize, to: usize) -> Duration {
        let domains = &self.setup.layout.domains;
        let (from, to) = (self.entries[from].domain, self.entries[to].domain);
        if domains[from] == domains[to] {
            NEAR
        } else {
            FAR
        }
    }

    pub(super) fn send(
        &mut self,
        entry: usize,
        id: RequestId,
        attempt: AttemptId,
        destination: &Destination,
        budget: Duration,
    ) {
        let work = Work { entry, id, attempt };
        self.after(budget, Happening::Late(work.clone()));
        let way = match destination {
            Destination::Target { name, .. } => {
                let target = self.target(name);
                let open = match self.entries[entry].pools[target].take() {
                    Checkout::Open(_) => Duration::ZERO,
                    Checkout::Permit | Checkout::Full => OPEN,
                };
                self.served(entry, id);
                if self.targets[target].sign.is_some() {
                    self.outcomes.drain[1] = Some(self.now);
                }
                self.after(open + LOCAL, Happening::Work(target, work));
                Way::Target(target)
            }
            Destination::Member { name, .. } => {
                self.hop(&work, name, budget);
                Way::Member
            }
        };
        let out = &mut self.entries[entry].out;
        let at = out.partition_point(|o| o.0 < attempt);
        out.insert(at, (attempt, id, way));
    }

    /// A peer asks for a part of a cap.
    pub(super) fn wanted(&mut self, entry: usize, loan: &Loan) {
        if self.entries[entry].dead {
            return;
        }
        let event = Event::LoanRequested {
            ask: QuestionId(0),
            route: loan.route.clone(),
            amount: loan.amount,
        };
        let mut actions = Vec::new();
        self.entries[entry]
            .engine
            .handle(self.now, event, &mut actions);
        for action in actions {
            if let Action::Lend { amount, .. } = action {
                let way = self.way(entry, loan.from);
                self.after(way, Happening::Lent(loan.from, loan.clone(), amount));
            }
        }
    }

    pub(super) fn region_of(&self, entry: usize) -> usize {
        self.setup.layout.domains[self.entries[entry].domain]
    }

    /// Counts a message between two regions.
    pub(super) fn crossed(&mut self, from: usize, to: usize, bytes: u64) {
        let (from, to) = (self.region_of(from), self.region_of(to));
        if from != to {
            let route = from * self.regions() + to;
            self.outcomes.links[route].add(self.now, bytes);
        }
    }

    /// Counts a request once, when it is first sent to a target of another
    /// region than its caller's.
    fn served(&mut self, entry: usize, id: RequestId) {
        let at = usize::try_from(id.0).unwrap_or(usize::MAX);
        let request = self.requests[at];
        let here = self.region_of(entry);
        if !request.sent && request.home != here {
            let regions = self.regions();
            let route = (request.service * regions + request.home) * regions + here;
            self.outcomes.shifts[route].add(self.now, 1);
        }
        self.requests[at].sent = true;
    }

    /// Passes a request to a peer, under a number of its own there.
    pub(super) fn hop(&mut self, work: &Work, name: &str, budget: Duration) {
        let peer = self.entries.iter().position(|e| &*e.name == name);
        let peer = peer.expect("an entry instance of the model");
        let way = self.way(work.entry, peer);
        if self.entries[peer].dead {
            return self.after(
                way * 2,
                Happening::Back(work.clone(), AttemptOutcome::Unreachable, None),
            );
        }
        let id = RequestId(self.requests.len() as u64);
        let Request { service, home, .. } = self.request(work.id);
        self.crossed(work.entry, peer, 500);
        self.requests.push(Request {
            home,
            sent: false,
            service,
            asked: self.now,
            caller: way,
            entry: peer,
            hop: Some((work.entry, work.id, work.attempt)),
            done: false,
        });
        let spec = &self.setup.deployment.services[service];
        let arrival = Arrival {
            id,
            service: Arc::from(spec.name),
            caller: Arc::from(format!("caller-{}", work.id.0 % 997)),
            key: None,
            fingerprint: Fingerprint(u128::from(work.id.0)),
            deadline: Some(budget.saturating_sub(way * 2)),
            bytes: 500,
            origin: Origin::Peer,
            caller_region: Some(region_name(home)),
            peer_region: Some(region_name(self.region_of(work.entry))),
        };
        // The peer decides on arrival; the model lets the way there pass with
        // the way back, which no decision can tell apart.
        self.tell(peer, Event::Arrive(arrival));
    }

    pub(super) fn back(
        &mut self,
        work: &Work,
        ending: AttemptOutcome,
        report: Option<(usize, Report)>,
    ) {
        let Some(way) = self.land(work) else { return };
        if let Way::Target(target) = way {
            let pool = &mut self.entries[work.entry].pools[target];
            let whole = matches!(
                ending,
                AttemptOutcome::Answered(_) | AttemptOutcome::Refused { .. }
            );
            if whole {
                pool.put(self.now, Connection::warm(()));
            } else {
                pool.release();
            }
        }
        if let Some((target, report)) = report {
            let target = Arc::clone(&self.targets[target].name);
            self.tell(work.entry, Event::Report { target, report });
        }
        let event = Event::Ended {
            id: work.id,
            attempt: work.attempt,
            outcome: ending,
        };
        self.tell(work.entry, event);
    }

    /// Takes an attempt out of those under way; `None` if it no longer is.
    pub(super) fn land(&mut self, work: &Work) -> Option<Way> {
        let out = &mut self.entries[work.entry].out;
        let at = out.binary_search_by_key(&work.attempt, |o| o.0).ok()?;
        Some(out.remove(at).2)
    }

    pub(super) fn late(&mut self, work: &Work) {
        let out = &self.entries[work.entry].out;
        if out.binary_search_by_key(&work.attempt, |o| o.0).is_err() {
            return;
        }
        self.cancel(work.entry, work.attempt);
        let event = Event::Ended {
            id: work.id,
            attempt: work.attempt,
            outcome: AttemptOutcome::TimedOut,
        };
        self.tell(work.entry, event);
    }

    pub(super) fn cancel(&mut self, entry: usize, attempt: AttemptId) {
        let id = RequestId(0);
        let work = Work { entry, id, attempt };
        if let Some(Way::Target(target)) = self.land(&work) {
            self.entries[entry].pools[target].release();
            self.after(LOCAL, Happening::Stop(target, work));
        }
    }

    pub(super) fn probed(&mut self, entry: usize, target: usize) {
        let report = (!self.targets[target].dead).then(|| self.report(target));
        let target = Arc::clone(&self.targets[target].name);
        self.tell(entry, Event::Probed { target, report });
    }
}

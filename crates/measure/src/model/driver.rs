//! What an entry instance's driver does with the engine's actions.

use core::time::Duration;
use std::sync::Arc;

use steer::connection::pool::{Connection, Taken};
use steer::process::dispatch::{Action, Ending, Event, Place, Report};
use steer::request::arrival::{Arrival, AttemptId, Fingerprint, Origin, RequestId};

use super::{FAR, Happening, LOCAL, Model, NEAR, OPEN, Request, Way, Work};

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
                place,
                budget,
            } => self.send(entry, id, attempt, &place, budget),
            Action::Cancel { attempt, .. } => self.cancel(entry, attempt),
            Action::Reply { id, answer } => self.settle(id, Ok(answer)),
            Action::Refuse { id, refusal } => self.settle(id, Err(refusal)),
            Action::Probe { target, .. } => {
                let target = self.target(&target);
                self.after(LOCAL * 2, Happening::Probed(entry, target));
            }
            Action::Borrow { .. } | Action::Lend { .. } => {}
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
        place: &Place,
        budget: Duration,
    ) {
        let work = Work { entry, id, attempt };
        self.after(budget, Happening::Late(work.clone()));
        let way = match place {
            Place::Target { name, .. } => {
                let target = self.target(name);
                let open = match self.entries[entry].pools[target].take() {
                    Taken::Open(_) => Duration::ZERO,
                    Taken::Permit | Taken::Full => OPEN,
                };
                if self.targets[target].sign.is_some() {
                    self.outcomes.drain[1] = Some(self.now);
                }
                self.after(open + LOCAL, Happening::Work(target, work));
                Way::Target(target)
            }
            Place::Member { name, .. } => {
                self.hop(&work, name, budget);
                Way::Member
            }
        };
        let out = &mut self.entries[entry].out;
        let at = out.partition_point(|o| o.0 < attempt);
        out.insert(at, (attempt, id, way));
    }

    /// Passes a request to a peer, under a number of its own there.
    pub(super) fn hop(&mut self, work: &Work, name: &str, budget: Duration) {
        let peer = self.entries.iter().position(|e| &*e.name == name);
        let peer = peer.expect("an entry instance of the model");
        let way = self.way(work.entry, peer);
        if self.entries[peer].dead {
            return self.after(
                way * 2,
                Happening::Back(work.clone(), Ending::Unreachable, None),
            );
        }
        let id = RequestId(self.requests.len() as u64);
        let service = self.request(work.id).service;
        self.requests.push(Request {
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
            home: None,
            via: None,
        };
        // The peer decides on arrival; the model lets the way there pass with
        // the way back, which no decision can tell apart.
        self.tell(peer, Event::Arrive(arrival));
    }

    pub(super) fn back(&mut self, work: &Work, ending: Ending, report: Option<(usize, Report)>) {
        let Some(way) = self.land(work) else { return };
        if let Way::Target(target) = way {
            let pool = &mut self.entries[work.entry].pools[target];
            let whole = matches!(ending, Ending::Answered(_) | Ending::Refused { .. });
            if whole {
                pool.give(self.now, Connection::warm(()));
            } else {
                pool.closed();
            }
        }
        if let Some((target, report)) = report {
            let target = Arc::clone(&self.targets[target].name);
            self.tell(work.entry, Event::Report { target, report });
        }
        let event = Event::Ended {
            id: work.id,
            attempt: work.attempt,
            ending,
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
            ending: Ending::TimedOut,
        };
        self.tell(work.entry, event);
    }

    pub(super) fn cancel(&mut self, entry: usize, attempt: AttemptId) {
        let id = RequestId(0);
        let work = Work { entry, id, attempt };
        if let Some(Way::Target(target)) = self.land(&work) {
            self.entries[entry].pools[target].closed();
            self.after(LOCAL, Happening::Stop(target, work));
        }
    }

    pub(super) fn probed(&mut self, entry: usize, target: usize) {
        let report = (!self.targets[target].dead).then(|| self.report(target));
        let target = Arc::clone(&self.targets[target].name);
        self.tell(entry, Event::Probed { target, report });
    }
}

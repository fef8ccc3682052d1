//! The baseline: plain round robin over the targets of the own failure domain.
//!
//! It queues nothing, knows no load, and sends what was refused or couldn't
//! connect to the next target, twice at most.

use std::sync::Arc;

use steer::clock::Time;
use steer::process::dispatch::{Action, AttemptOutcome, Destination, Dispatch, Event};
use steer::request::arrival::{Arrival, AttemptId, RequestId};
use steer::request::outcome::{Reason, Refusal};
use steer::version::view::{State, View};

/// Tries per request.
const TRIES: u32 = 3;

/// What the model drives.
pub trait Engine {
    /// Takes one event and appends what is to be done to `out`.
    fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>);
}

impl Engine for Dispatch {
    fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        Self::handle(self, now, event, out);
    }
}

struct Running {
    arrival: Arrival,
    until: Time,
    tries: u32,
}

/// The baseline's state.
pub struct Robin {
    domain: Arc<str>,
    view: Arc<View>,
    running: Vec<(RequestId, Running)>,
    turn: usize,
    attempts: u64,
}

impl Robin {
    /// A baseline in a failure domain.
    #[must_use]
    pub fn new(domain: Arc<str>) -> Self {
        Self {
            domain,
            view: Arc::default(),
            running: Vec::new(),
            turn: 0,
            attempts: 0,
        }
    }

    fn send(&mut self, now: Time, running: Running, out: &mut Vec<Action>) {
        let id = running.arrival.id;
        let home = self.view.domain(&self.domain);
        let service = self.view.service(&running.arrival.service);
        let fit = self.view.targets.iter().filter(|(key, data)| {
            Some(data.service) == service
                && Some(self.view.target_domain(*key)) == home
                && data.state == State::Live
        });
        let fit: Vec<_> = fit.map(|(_, data)| data).collect();
        if fit.is_empty() || running.tries >= TRIES {
            let refusal = Refusal::not_run(Reason::NoTarget, None);
            return out.push(Action::Refuse { id, refusal });
        }
        self.turn += 1;
        self.attempts += 1;
        let target = fit[self.turn % fit.len()];
        out.push(Action::Send {
            id,
            attempt: AttemptId(self.attempts),
            destination: Destination::Target {
                name: Arc::clone(&target.name),
                addr: target.addr,
            },
            budget: running.until.since(now),
        });
        let at = self.running.partition_point(|r| r.0 < id);
        let tries = running.tries + 1;
        self.running.insert(at, (id, Running { tries, ..running }));
    }
}

impl Engine for Robin {
    fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::View(view) => self.view = view,
            Event::Arrive(arrival) => {
                let until = now + arrival.deadline.unwrap_or_default();
                let tries = 0;
                self.send(
                    now,
                    Running {
                        arrival,
                        until,
                        tries,
                    },
                    out,
                );
            }
            Event::Ended {
                id,
                outcome: ending,
                ..
            } => {
                let Ok(at) = self.running.binary_search_by_key(&id, |r| r.0) else {
                    return;
                };
                let running = self.running.remove(at).1;
                match ending {
                    AttemptOutcome::Answered(answer) => out.push(Action::Reply { id, answer }),
                    AttemptOutcome::Refused { .. } | AttemptOutcome::Unreachable => {
                        self.send(now, running, out);
                    }
                    _ => {
                        let refusal = Refusal::unknown(Reason::Lost, None);
                        out.push(Action::Refuse { id, refusal });
                    }
                }
            }
            _ => {}
        }
    }
}

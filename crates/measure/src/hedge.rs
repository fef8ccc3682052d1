//! A trial of hedging: the product's dispatcher, and a second attempt on
//! another target for a request that takes long. The first answer counts.

use core::time::Duration;
use std::sync::Arc;

use steer::clock::Time;
use steer::process::dispatch::{Action, AttemptOutcome, Destination, Dispatch, Event};
use steer::request::arrival::{AttemptId, RequestId};
use steer::version::view::{State, Target, View};

use crate::robin::Engine;

/// Numbers of second attempts start here.
const SECOND: u64 = 1 << 40;

struct First {
    id: RequestId,
    attempt: AttemptId,
    target: Target,
    begun: Time,
    second: Option<AttemptId>,
}

/// A dispatcher that hedges.
pub struct Hedge {
    inner: Dispatch,
    view: Arc<View>,
    /// Deadline that marks the service whose requests are hedged.
    service: Duration,
    delay: Duration,
    firsts: Vec<First>,
    count: u64,
}

impl Hedge {
    /// Hedges the requests of the service with this deadline after `delay`.
    #[must_use]
    pub fn new(inner: Dispatch, service: Duration, delay: Duration) -> Self {
        Self {
            inner,
            view: Arc::default(),
            service,
            delay,
            firsts: Vec::new(),
            count: 0,
        }
    }

    /// Notes the first attempts among the inner actions.
    fn note(&mut self, now: Time, action: &Action, out: &mut Vec<Action>) {
        match action {
            Action::Send {
                id,
                attempt,
                destination: Destination::Target { name, .. },
                ..
            } => {
                let Some(target) = self.view.target(name) else {
                    return;
                };
                let service = self.view.targets[target].service;
                if self.view.services[service].deadline == self.service {
                    self.firsts.push(First {
                        id: *id,
                        attempt: *attempt,
                        target,
                        begun: now,
                        second: None,
                    });
                }
            }
            Action::Cancel { id, .. } => {
                self.forget(*id, out);
            }
            _ => {}
        }
    }

    /// Drops a request, and its second attempt if there is one.
    fn forget(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if let Some(at) = self.firsts.iter().position(|f| f.id == id)
            && let Some(attempt) = self.firsts.remove(at).second
        {
            out.push(Action::Cancel { id, attempt });
        }
    }

    /// Starts the second attempts that are due.
    fn hedge(&mut self, now: Time, out: &mut Vec<Action>) {
        let view = Arc::clone(&self.view);
        for first in &mut self.firsts {
            if first.second.is_some() || now.since(first.begun) < self.delay {
                continue;
            }
            let old = &view.targets[first.target];
            let other = view.targets.iter().find(|(key, data)| {
                *key != first.target
                    && data.service == old.service
                    && data.site == old.site
                    && data.state == State::Live
            });
            let Some((_, data)) = other else { continue };
            self.count += 1;
            let attempt = AttemptId(SECOND + self.count);
            first.second = Some(attempt);
            out.push(Action::Send {
                id: first.id,
                attempt,
                destination: Destination::Target {
                    name: Arc::clone(&data.name),
                    addr: data.addr,
                },
                budget: self.service,
            });
        }
    }

    /// Gives the end of a second attempt the name of the first one.
    fn rename(&mut self, event: Event, out: &mut Vec<Action>) -> Option<Event> {
        let Event::Ended {
            id,
            attempt,
            outcome: ending,
        } = event
        else {
            return Some(event);
        };
        let at = self.firsts.iter().position(|f| f.id == id);
        let Some(at) = at else {
            let event = Event::Ended {
                id,
                attempt,
                outcome: ending,
            };
            return (attempt.0 < SECOND).then_some(event);
        };
        if attempt.0 < SECOND {
            self.forget(id, out);
            return Some(Event::Ended {
                id,
                attempt,
                outcome: ending,
            });
        }
        if !matches!(ending, AttemptOutcome::Answered(_)) {
            self.firsts[at].second = None;
            return None;
        }
        let attempt = self.firsts.remove(at).attempt;
        out.push(Action::Cancel { id, attempt });
        Some(Event::Ended {
            id,
            attempt,
            outcome: ending,
        })
    }
}

impl Engine for Hedge {
    fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        if let Event::View(view) = &event {
            self.view = Arc::clone(view);
            self.firsts.clear();
        }
        let tick = matches!(event, Event::Tick);
        let Some(event) = self.rename(event, out) else {
            return;
        };
        let mut actions = Vec::new();
        self.inner.handle(now, event, &mut actions);
        for action in actions {
            self.note(now, &action, out);
            out.push(action);
        }
        if tick {
            self.hedge(now, out);
        }
    }
}

//! Carries out what the engines want done, and feeds back what comes of it.

use core::time::Duration;
use std::sync::Arc;

use steer::process::dispatch::{AttemptOutcome, Destination};
use steer::process::traffic::{Action, Event};
use steer::request::answer::Answer;
use steer::request::arrival::{AttemptId, RequestId};
use steer::request::outcome::{Outcome, Reason, Refusal};

use super::{FAR, FRAME, Happening, Job, LOCAL, NEAR, REQUEST, SIGMA, World};

impl World {
    pub(super) fn tell(&mut self, node: usize, event: Event) {
        if self.nodes[node].dead {
            return;
        }
        let mut actions = Vec::new();
        let now = self.now;
        self.nodes[node].traffic.handle(now, event, &mut actions);
        for action in actions {
            self.act(node, action);
        }
    }

    fn act(&mut self, node: usize, action: Action) {
        match action {
            Action::Send {
                id,
                attempt,
                destination,
                budget,
            } => match destination {
                Destination::Target { name, .. } => self.work(node, id, attempt, &name),
                Destination::Member { name, .. } => self.hop(node, id, attempt, &name, budget),
            },
            Action::Reply { id, answer } => self.settle(node, id, Ok(answer)),
            Action::Refuse { id, refusal } => self.settle(node, id, Err(refusal)),
            Action::Cancel { id, attempt } => {
                let hop = Some((node, id, attempt));
                if let Some(at) = self.jobs.iter().rposition(|j| j.hop == hop && !j.done) {
                    let (peer, gone) = (self.jobs[at].node, RequestId(at as u64));
                    self.jobs[at].done = true;
                    self.after(FAR, Happening::Gone(peer, gone));
                }
            }
            Action::Borrow {
                peer,
                route,
                amount,
                asked_at: asked,
            } if self.setup.loans => {
                let to = usize::from(peer.port());
                let way = self.way(node, to);
                self.after(way, Happening::Wanted(to, node, route, amount, asked));
            }
            Action::Lend { ask, amount } => {
                let at = usize::try_from(ask.0).unwrap_or(usize::MAX);
                let (from, route, asked) = self.asks[at].clone();
                let way = self.way(node, from);
                self.after(way, Happening::Borrowed(from, route, amount, asked));
            }
            Action::Ask {
                ask,
                peer,
                question,
                ..
            } => {
                let to = usize::from(peer.addr.port());
                let way = self.way(node, to);
                self.after(way, Happening::Asked(to, node, ask, question));
            }
            Action::Respond { ask, reply: word } => {
                let at = usize::try_from(ask.0).unwrap_or(usize::MAX);
                let (to, ask) = self.questions[at];
                let way = self.way(node, to);
                self.after(way, Happening::Told(to, ask, Some(word)));
            }
            _ => {}
        }
    }

    pub(super) fn way(&self, from: usize, to: usize) -> Duration {
        if self.nodes[from].region == self.nodes[to].region {
            NEAR
        } else {
            FAR
        }
    }

    fn work(&mut self, node: usize, id: RequestId, attempt: AttemptId, name: &str) {
        let target = self.setup.view.target(name).expect("a target of the view");
        let at = entity::EntityRef::index(target);
        let service = self.job(id).service;
        self.count_served(node, id);
        if self.running[at] >= self.setup.view.targets[target].slots {
            let after = Some(Duration::from_millis(10));
            let leaving = false;
            let ending = AttemptOutcome::Refused { after, leaving };
            return self.after(LOCAL * 2, Happening::Ended(node, id, attempt, ending));
        }
        self.running[at] += 1;
        let took = self.service_time(self.setup.kinds[service].mean);
        let ending = AttemptOutcome::Answered(Arc::clone(&self.answers[service]));
        let happening = Happening::Finish(at, node, id, attempt, ending);
        self.after(LOCAL + took, happening);
    }

    fn service_time(&mut self, mean: f64) -> Duration {
        let (u, v) = (1.0 - self.rng.f64(), self.rng.f64());
        let normal = (-2.0 * u.ln()).sqrt() * (core::f64::consts::TAU * v).cos();
        let factor = (SIGMA * normal - SIGMA * SIGMA / 2.0).exp();
        Duration::from_secs_f64(mean * factor)
    }

    /// Passes a request to a peer, under a number of its own there.
    fn hop(
        &mut self,
        node: usize,
        id: RequestId,
        attempt: AttemptId,
        name: &str,
        budget: Duration,
    ) {
        let found = self.nodes.iter().position(|n| *n.name == *name);
        let peer = found.expect("an instance of the view");
        let way = self.way(node, peer);
        let (here, there) = (self.nodes[node].region, self.nodes[peer].region);
        self.count_link(here, there, REQUEST + FRAME);
        let job = self.job(id).clone();
        if here != there && there != job.home {
            self.count_shift(job.service, job.home, there);
        }
        if self.nodes[peer].dead {
            let ending = AttemptOutcome::Unreachable;
            return self.after(way * 2, Happening::Ended(node, id, attempt, ending));
        }
        let passed = RequestId(self.jobs.len() as u64);
        self.jobs.push(Job {
            node: peer,
            way,
            hop: Some((node, id, attempt)),
            done: false,
            sent: false,
            ..job
        });
        let left = budget.saturating_sub(way * 2);
        self.after(way, Happening::Reach(peer, passed, Some(left)));
        let late = Happening::Ended(node, id, attempt, AttemptOutcome::TimedOut);
        self.after(budget, late);
    }

    pub(super) fn job(&self, id: RequestId) -> &Job {
        &self.jobs[usize::try_from(id.0).unwrap_or(usize::MAX)]
    }

    pub(super) fn settle(&mut self, node: usize, id: RequestId, end: Result<Arc<Answer>, Refusal>) {
        let at = usize::try_from(id.0).unwrap_or(usize::MAX);
        self.jobs[at].done = true;
        let job = self.jobs[at].clone();
        if let Some((from, id, attempt)) = job.hop {
            let (here, there) = (self.nodes[node].region, self.nodes[from].region);
            let ending = match end {
                Ok(answer) => AttemptOutcome::Answered(answer),
                Err(refusal) => AttemptOutcome::PeerRefused(refusal),
            };
            let bytes = match &ending {
                AttemptOutcome::Answered(answer) => answer.bytes(),
                _ => 0,
            };
            self.count_link(here, there, bytes + FRAME);
            return self.after(job.way, Happening::Ended(from, id, attempt, ending));
        }
        if !self.setup.measures(job.asked) {
            return;
        }
        let took = (self.now + job.way).since(job.asked);
        let figures = &mut self.figures[job.service];
        figures.asked += 1;
        match end {
            Ok(_) => {
                let took = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
                figures.latency.record(took).expect("the histogram grows");
            }
            Err(refusal) if refusal.outcome == Outcome::NotRun => {
                figures.refused += 1;
                figures.capped += u64::from(refusal.reason == Reason::Cap);
            }
            Err(_) => figures.failed += 1,
        }
    }
}

//! Callers: what they ask, where, and what becomes of it.

use core::time::Duration;
use std::sync::Arc;

use steer::clock::Time;
use steer::process::dispatch::{AttemptOutcome, Event};
use steer::request::answer::Answer;
use steer::request::arrival::{Arrival, Fingerprint, Origin, RequestId};
use steer::request::outcome::{Outcome, Refusal};

use super::fleet::region_name;
use super::{CALLER, FAR, Happening, Model, Request, WARM_UP, Work};

impl Model {
    pub(super) fn ask(&mut self, service: usize, region: usize) {
        let spec = &self.setup.deployment.services[service];
        let slots = f64::from(u32::try_from(self.targets.len()).unwrap_or(0)) * 3.0 / 4.0;
        let regions = f64::from(u32::try_from(self.regions()).unwrap_or(1));
        let rate = slots / spec.mean * self.setup.load / regions;
        let gap = -(1.0 - self.rng.f64()).ln() / rate;
        self.after(
            Duration::from_secs_f64(gap),
            Happening::Ask(service, region),
        );
        let (entry, caller) = self.look_up(region);
        let id = RequestId(self.requests.len() as u64);
        self.requests.push(Request {
            home: region,
            sent: false,
            service,
            asked: self.now,
            caller,
            entry,
            hop: None,
            done: false,
        });
        self.after(caller, Happening::Reach(id));
    }

    /// The entry instance that a caller of a region uses, and the way there. A
    /// dead one costs a round trip, then the caller takes its next choice.
    pub(super) fn look_up(&mut self, region: usize) -> (usize, Duration) {
        let domains = &self.setup.layout.domains;
        let here = |e: &&usize| domains[self.entries[**e].domain] == region;
        let all: Vec<usize> = (0..self.entries.len()).collect();
        let home: Vec<usize> = all.iter().filter(here).copied().collect();
        let chosen = home[self.rng.usize(..home.len())];
        if !self.entries[chosen].dead {
            return (chosen, CALLER);
        }
        let live = |e: &usize| !self.entries[*e].dead;
        let near: Vec<usize> = home.iter().copied().filter(live).collect();
        if !near.is_empty() {
            return (near[self.rng.usize(..near.len())], CALLER * 3);
        }
        let far: Vec<usize> = all.into_iter().filter(live).collect();
        (far[self.rng.usize(..far.len())], CALLER * 3 + FAR)
    }

    pub(super) fn reach(&mut self, id: RequestId) {
        let request = self.request(id);
        let spec = &self.setup.deployment.services[request.service];
        if self.entries[request.entry].dead {
            return;
        }
        let arrival = Arrival {
            id,
            service: Arc::from(spec.name),
            caller: Arc::from(format!("caller-{}", id.0 % 997)),
            key: None,
            fingerprint: Fingerprint(u128::from(id.0)),
            deadline: Some(Duration::from_secs(spec.deadline)),
            bytes: 500,
            origin: Origin::Caller,
            caller_region: Some(region_name(request.home)),
            peer_region: None,
        };
        self.tell(request.entry, Event::Arrive(arrival));
    }

    pub(super) fn request(&self, id: RequestId) -> Request {
        self.requests[usize::try_from(id.0).unwrap_or(usize::MAX)]
    }

    pub(super) fn settle(&mut self, id: RequestId, end: Result<Arc<Answer>, Refusal>) {
        let at = usize::try_from(id.0).unwrap_or(usize::MAX);
        let request = self.requests[at];
        self.requests[at].done = true;
        if let Some((entry, id, attempt)) = request.hop {
            if let Ok(answer) = &end {
                self.crossed(request.entry, entry, answer.bytes());
            }
            let ending = match end {
                Ok(answer) => AttemptOutcome::Answered(answer),
                Err(refusal) => AttemptOutcome::PeerRefused(refusal),
            };
            let work = Work { entry, id, attempt };
            return self.after(request.caller * 2, Happening::Back(work, ending, None));
        }
        if request.asked < Time::ZERO + WARM_UP {
            return;
        }
        let took = (self.now + request.caller).since(request.asked);
        let figures = &mut self.outcomes.services[request.service];
        figures.asked += 1;
        match end {
            Ok(_) => {
                let took = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
                figures.latency.record(took).expect("the histogram grows");
            }
            Err(refusal) if refusal.outcome == Outcome::NotRun => figures.refused += 1,
            Err(_) => figures.failed += 1,
        }
    }
}

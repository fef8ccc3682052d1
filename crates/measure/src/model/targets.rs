//! Targets: slots, a short backlog, service times, reports that lag.

use core::time::Duration;
use std::sync::Arc;

use steer::process::dispatch::{AttemptOutcome, Report};
use steer::version::view::State;

use super::{BACKLOG, COLD, Happening, LOCAL, Model, REPORT_LAG, SIGMA, Sign, WARM, Work};

impl Model {
    pub(super) fn work(&mut self, target: usize, work: Work) {
        let state = &mut self.targets[target];
        if state.dead {
            return self.after(
                LOCAL,
                Happening::Back(work, AttemptOutcome::Unreachable, None),
            );
        }
        self.outcomes.attempts += 1;
        let full = state.running.len() >= 3 && state.backlog.len() >= BACKLOG;
        let leaving = state.sign == Some(Sign::Refusal);
        if full || leaving {
            self.outcomes.shed += 1;
            let mean = self.setup.deployment.services[state.service].mean;
            let ending = AttemptOutcome::Refused {
                after: Some(Duration::from_secs_f64(mean)),
                leaving,
            };
            let report = self.report(target);
            return self.after(LOCAL, Happening::Back(work, ending, Some((target, report))));
        }
        if self.targets[target].running.len() < 3 {
            self.begin(target, work);
        } else {
            self.targets[target].backlog.push_back(work);
        }
    }

    pub(super) fn begin(&mut self, target: usize, work: Work) {
        let state = &self.targets[target];
        let mean = self.setup.deployment.services[state.service].mean;
        let (a, b) = (1.0 - self.rng.f64(), self.rng.f64());
        let normal = (-2.0 * a.ln()).sqrt() * (core::f64::consts::TAU * b).cos();
        let draw = (SIGMA * normal - SIGMA * SIGMA / 2.0).exp();
        let cold = state.born.map_or(1.0, |born| {
            let age = self.now.since(born).as_secs_f64() / WARM.as_secs_f64();
            1.0 + (COLD - 1.0) * (1.0 - age).max(0.0)
        });
        let took = Duration::from_secs_f64(mean * draw * cold * state.slow);
        self.serial += 1;
        self.targets[target].running.push((self.serial, work));
        self.after(took, Happening::Finish(target, self.serial));
    }

    pub(super) fn finish_work(&mut self, target: usize, serial: u64) {
        let Some(at) = self.targets[target]
            .running
            .iter()
            .position(|r| r.0 == serial)
        else {
            return;
        };
        let work = self.targets[target].running.remove(at).1;
        if self.targets[target].sign.is_some() {
            self.outcomes.drain[2] = Some(self.now);
        }
        let report = self.report(target);
        let ending = AttemptOutcome::Answered(Arc::clone(&self.answer));
        self.after(LOCAL, Happening::Back(work, ending, Some((target, report))));
        self.next(target);
    }

    pub(super) fn next(&mut self, target: usize) {
        if let Some(work) = self.targets[target].backlog.pop_front() {
            self.begin(target, work);
        }
    }

    /// What a target says of itself: a load that may be [`REPORT_LAG`] old.
    pub(super) fn report(&mut self, target: usize) -> Report {
        let now = self.now;
        let state = &mut self.targets[target];
        if now.since(state.sampled.0) >= REPORT_LAG {
            let load = state.running.len() + state.backlog.len();
            state.sampled = (now, u32::try_from(load).unwrap_or(u32::MAX));
        }
        Report {
            load: state.lie.unwrap_or(state.sampled.1),
            state: match state.sign {
                Some(Sign::Report) => State::Leaving,
                _ => State::Live,
            },
        }
    }

    pub(super) fn stop(&mut self, target: usize, work: &Work) {
        let same = |w: &Work| w.entry == work.entry && w.attempt == work.attempt;
        let state = &mut self.targets[target];
        state.backlog.retain(|w| !same(w));
        let before = state.running.len();
        state.running.retain(|r| !same(&r.1));
        if state.running.len() < before {
            self.next(target);
        }
    }

    pub(super) fn crash(&mut self, target: usize) {
        let state = &mut self.targets[target];
        state.dead = true;
        let cut: Vec<Work> = state.running.drain(..).map(|r| r.1).collect();
        let cut: Vec<Work> = cut.into_iter().chain(state.backlog.drain(..)).collect();
        for work in cut {
            self.after(LOCAL, Happening::Back(work, AttemptOutcome::Broken, None));
        }
    }
}

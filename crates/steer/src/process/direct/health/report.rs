//! Reports of the health of targets to other instances, and from them.
//!
//! Invariant: only bad news is reported.

use super::super::Direct;
use super::super::job::State;
use super::super::mechanisms::Mechanism;
use super::super::members::name_hash;
use super::{OVERDUE_RATIO_MIN, Observation, REPORTED_RATIO_MIN, merge_observations};
use crate::clock::Time;

impl Direct {
    /// Records a slow answer for the next heartbeat.
    pub(in crate::process::direct) fn note_slow(&mut self, id: &str, ratio: Option<f64>) {
        if let Some(ratio) = ratio.filter(|r| *r >= REPORTED_RATIO_MIN) {
            self.observations
                .push(Observation::slow(name_hash(id), ratio));
        }
    }

    /// Records a failed request for the next heartbeat.
    pub(in crate::process::direct) fn note_failed(&mut self, id: &str) {
        self.observations.push(Observation::failed(name_hash(id)));
    }

    /// Takes the observations for the next heartbeat: those recorded, and requests in
    /// flight that are long overdue. Their answers would come too late to warn other
    /// instances of the target.
    pub(in crate::process::direct) fn take_observations(&mut self, now: Time) -> Vec<Observation> {
        self.sweep_reach(now);
        // The fault may be this instance's own.
        let is_unclear = self.is_cut_off() || self.is_reach_unclear(now);
        let mut observations = core::mem::take(&mut self.observations);
        let mut overdue = Vec::new();
        for job in &self.jobs {
            if let State::InFlight {
                target,
                sent_at,
                queued: false,
                ..
            } = &job.state
            {
                let estimate = self.estimate(job);
                let ratio = now.since(*sent_at).as_secs_f64() / estimate.not_warm;
                if estimate.is_reliable && ratio >= OVERDUE_RATIO_MIN && !is_unclear {
                    overdue.push((target.clone(), ratio));
                }
            }
        }
        for (id, ratio) in overdue {
            observations.push(Observation::slow(name_hash(&id), ratio));
            if let Some(target) = self.roster.get_mut(&id) {
                target.health.record_slowness(now, ratio);
            }
        }
        merge_observations(observations)
    }

    /// Records the observations of another instance, sorted by target hash.
    pub(in crate::process::direct) fn receive_observations(
        &mut self,
        now: Time,
        observations: &[Observation],
    ) {
        if observations.is_empty() || !self.mechanisms.has(Mechanism::SharedHealth) {
            return;
        }
        for observation in observations {
            let Some(target) = self.roster.target_by_hash(observation.target_hash) else {
                continue;
            };
            for _ in 0..observation.failures {
                target.health.record_failure(now);
            }
            if let Some(ratio) = observation.ratio() {
                target.health.record_slowness(now, ratio);
            }
        }
    }
}

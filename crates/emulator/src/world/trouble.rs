//! What goes wrong, when it begins and when it ends.

use core::time::Duration;

use super::instance::LAPSE;
use super::{Event, Micros, World, micros};
use crate::plan::{Part, What};

impl World<'_> {
    pub(super) fn begin(&mut self, number: usize) {
        self.active[number] = true;
        let trouble = &self.plan.faults[number];
        let span = micros(trouble.span);
        match &trouble.what {
            What::Crash(part) => {
                for place in self.some(number, *part) {
                    self.crash(place, span);
                }
            }
            What::Replace(part) => {
                for place in self.some(number, *part) {
                    self.crash(place, 1);
                }
            }
            What::Cold(part) => {
                for place in self.some(number, *part) {
                    self.chill(place);
                }
                self.tell_all(0);
            }
            What::Announce(part) => {
                for place in self.some(number, *part) {
                    self.targets[place].is_leaving = true;
                }
            }
            What::Kill { share, domain } => self.kill_some(number, *share, *domain, span),
            What::Unlink { share, domain } => {
                for instance in self.some_instances(number, *share, *domain) {
                    self.break_links(instance);
                }
            }
            What::Evacuate { .. } => self.tell_all(0),
            _ => self.harm(),
        }
    }

    pub(super) fn finish(&mut self, number: usize) {
        self.active[number] = false;
        match &self.plan.faults[number].what {
            What::Announce(part) => {
                for place in self.some(number, *part) {
                    self.crash(place, 1);
                }
            }
            What::Evacuate { .. } | What::Store | What::Cut { .. } => self.tell_all(0),
            What::Kill { .. } => {
                for instance in 0..self.instances.len() {
                    self.unlist_members(instance);
                }
            }
            _ => self.harm(),
        }
    }

    /// Sets what the troubles that last make of each target.
    fn harm(&mut self) {
        for target in &mut self.targets {
            target.slow = 1.0;
            target.shed = 0.0;
            target.backoff = 0;
            target.fail = 0.0;
            target.lose = 0.0;
        }
        for number in 0..self.plan.faults.len() {
            if !self.active[number] {
                continue;
            }
            let (What::Slow(part, x)
            | What::Shed(part, x)
            | What::Backoff(part, x)
            | What::Fail(part, x)
            | What::Lose(part, x)) = self.plan.faults[number].what
            else {
                continue;
            };
            for place in self.some(number, part) {
                let target = &mut self.targets[place];
                match self.plan.faults[number].what {
                    What::Slow(..) => target.slow *= x,
                    What::Shed(..) => target.shed = target.shed.max(x),
                    What::Backoff(..) => target.backoff = micros(Duration::from_secs_f64(x)),
                    What::Fail(..) => target.fail = target.fail.max(x),
                    _ => target.lose = target.lose.max(x),
                }
            }
        }
    }

    /// Targets that a trouble is about: the same at its beginning and its end.
    fn some(&self, number: usize, part: Part) -> Vec<usize> {
        let fits = |place: &usize| {
            let target = &self.targets[*place];
            part.service.is_none_or(|s| s == target.service)
                && part.domain.is_none_or(|d| d == target.domain)
        };
        let mut fit: Vec<usize> = (0..self.targets.len()).filter(fits).collect();
        let mut rng = fastrand::Rng::with_seed(number as u64 * 7919 + 1);
        rng.shuffle(&mut fit);
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "targets are few"
        )]
        let count = (part.share * fit.len() as f64).ceil() as usize;
        fit.truncate(count);
        fit
    }

    fn chill(&mut self, place: usize) {
        let cold = micros(self.plan.services[self.targets[place].service].cold);
        let target = &mut self.targets[place];
        target.forget();
        target.cold_until = self.now + cold;
    }

    /// Instances that a trouble is about: the same at its beginning and its end.
    fn some_instances(&self, number: usize, share: f64, domain: Option<usize>) -> Vec<usize> {
        let fits = |n: &usize| domain.is_none_or(|d| self.instances[*n].domain == d);
        let mut fit: Vec<usize> = (0..self.instances.len()).filter(fits).collect();
        let mut rng = fastrand::Rng::with_seed(number as u64 * 104_729 + 1);
        rng.shuffle(&mut fit);
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "instances are few"
        )]
        let count = (share * fit.len() as f64).ceil() as usize;
        fit.truncate(count);
        fit
    }

    /// Whether an instance reaches no target.
    pub(super) fn is_unlinked(&self, instance: usize) -> bool {
        let faults = self.plan.faults.iter().enumerate();
        let mut active = faults.filter(|(number, _)| self.active[*number]);
        active.any(|(number, trouble)| match trouble.what {
            What::Unlink { share, domain } => self
                .some_instances(number, share, domain)
                .contains(&instance),
            _ => false,
        })
    }

    fn kill_some(&mut self, number: usize, share: f64, domain: Option<usize>, span: Micros) {
        for instance in self.some_instances(number, share, domain) {
            self.kill(instance);
            self.after(span, Event::Restart(instance));
        }
        // Rows that aren't written again by then are gone.
        if span > LAPSE {
            self.tell_all(LAPSE);
        }
    }

    /// Whether what one region sends to another is lost.
    pub(super) fn is_cut(&self, from: usize, to: usize) -> bool {
        if from == to {
            return false;
        }
        let faults = self.plan.faults.iter().enumerate();
        let mut cuts = faults.filter_map(|(number, trouble)| match &trouble.what {
            What::Cut { region, one_way } if self.active[number] => Some((region, *one_way)),
            _ => None,
        });
        cuts.any(|(region, one_way)| {
            self.regions[from] == *region || (!one_way && self.regions[to] == *region)
        })
    }

    /// Whether the store doesn't answer a region's instances.
    pub(super) fn is_store_away(&self, region: usize) -> bool {
        let faults = self.plan.faults.iter().enumerate();
        let mut away = faults.filter(|(number, _)| self.active[*number]);
        away.any(|(_, trouble)| match &trouble.what {
            What::Store => true,
            What::Cut { region: cut, .. } => self.regions[region] == *cut,
            _ => false,
        })
    }
}

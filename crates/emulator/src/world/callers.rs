//! Callers: when they come, for what, and what they do with what they are told.

use fastrand::Rng;
use steer::process::direct::hash;

use super::{End, Event, LEAD, Micros, Request, World, micros};
use crate::plan::{Callers, Plan, What};

/// The callers of one domain.
#[derive(Clone, Debug)]
pub(super) struct Crowd {
    callers: Callers,
    rng: Rng,
}

/// All callers of a plan.
pub(super) fn all(plan: &Plan, seed: u64) -> Vec<Crowd> {
    let crowd = |(number, callers): (usize, &Callers)| Crowd {
        callers: callers.clone(),
        rng: Rng::with_seed(seed.wrapping_mul(31) ^ number as u64),
    };
    plan.callers.iter().enumerate().map(crowd).collect()
}

/// Shortest pause before a caller comes again.
const PAUSE: Micros = 20_000;

/// Part of the time left that a caller waits at most before it comes again.
const PATIENCE: Micros = 3;

/// Time after which a caller that can't connect tries another instance.
const NO_INSTANCE: Micros = 200_000;

impl Crowd {
    fn rate(&self, at: f64) -> f64 {
        let callers = &self.callers;
        let turn = at / callers.period.as_secs_f64() + callers.phase;
        let wave = 1.0 + callers.swing * (turn * core::f64::consts::TAU).sin();
        callers.rate * wave
    }
}

impl World<'_> {
    /// The next caller of a crowd comes, and the one after it is set.
    pub(super) fn call(&mut self, number: usize) {
        let span = micros(self.plan.span);
        let since = self.now - LEAD;
        if since >= span {
            return;
        }
        #[allow(clippy::cast_precision_loss, reason = "microseconds of an hour")]
        let at = since as f64 / 1e6;
        let domain = self.crowds[number].callers.domain;
        let x = self.burst(domain);
        let crowd = &mut self.crowds[number];
        let rate = crowd.rate(at) * x;
        if rate > 0.01 {
            let wait = -(1.0 - crowd.rng.f64()).ln() / rate;
            #[allow(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "microseconds of a short wait"
            )]
            let wait = (wait * 1e6) as Micros;
            self.after(wait.max(1), Event::Call(number));
            self.ask(number, domain);
        } else {
            self.after(100_000, Event::Call(number));
        }
    }

    fn burst(&self, domain: usize) -> f64 {
        let mut x = 1.0;
        for (number, trouble) in self.plan.faults.iter().enumerate() {
            if let What::Burst {
                x: more,
                domain: only,
            } = &trouble.what
                && self.active[number]
                && only.is_none_or(|only| only == domain)
            {
                x *= more;
            }
        }
        x
    }

    fn ask(&mut self, number: usize, domain: usize) {
        let total: f64 = self.plan.kinds.iter().map(|k| k.part).sum();
        let rng = &mut self.crowds[number].rng;
        let mut draw = rng.f64() * total;
        let mut kind = 0;
        for (place, known) in self.plan.kinds.iter().enumerate() {
            kind = place;
            draw -= known.part;
            if draw <= 0.0 {
                break;
            }
        }
        // Some send ahead: the mean rate stays, in groups.
        let ahead = self.plan.kinds[kind].ahead;
        if ahead > 1 && self.crowds[number].rng.usize(0..ahead) > 0 {
            return;
        }
        let mut behind = None;
        for _ in 0..ahead {
            behind = Some(self.one(number, domain, kind, behind));
        }
    }

    fn one(&mut self, number: usize, domain: usize, kind: usize, behind: Option<usize>) -> usize {
        let known = &self.plan.kinds[kind];
        let region = self.region_of[domain];
        let rng = &mut self.crowds[number].rng;
        let object = pick(rng, known.objects, known.skew);
        let key = format!("{} {region} {object}", known.name);
        let request = self.requests.len();
        let (mut at, mut hasty, mut leaves) = (domain, false, None);
        for (place, trouble) in self.plan.faults.iter().enumerate() {
            if !self.active[place] {
                continue;
            }
            let rng = &mut self.crowds[number].rng;
            match &trouble.what {
                What::Shift { share, from, to } if *from == domain && rng.f64() < *share => {
                    at = *to;
                }
                What::Again { share, .. } => hasty |= rng.f64() < *share,
                What::Leave { share } if rng.f64() < *share => {
                    leaves = Some(rng.u64(20_000..micros(known.goal).max(30_000)));
                }
                _ => {}
            }
        }
        self.requests.push(Request {
            kind,
            domain,
            begun: self.now,
            until: self.now + micros(known.limit),
            end: None,
            far: false,
            rejected: 0,
            object: hash(key.as_bytes()),
            at,
            tries: 0,
            hasty,
            behind,
            current: 0,
        });
        let way = micros(self.plan.delays.caller);
        self.after(
            way,
            Event::Come {
                request,
                current: 0,
            },
        );
        if let Some(span) = leaves {
            self.after(span, Event::Leave(request));
        }
        request
    }

    /// Nobody answers where a caller connects.
    pub(super) fn unanswered(&mut self, request: usize) {
        let current = self.requests[request].current;
        if self.now + NO_INSTANCE < self.requests[request].until {
            self.after(NO_INSTANCE, Event::Come { request, current });
        } else {
            self.end(request, End::Failed);
        }
    }

    /// A caller is told that its request has not run; it comes again if it may.
    pub(super) fn rejected(&mut self, request: usize, after: Micros) {
        self.requests[request].rejected += 1;
        self.come_again(request, after, End::Rejected);
    }

    /// A caller is told of a failure.
    pub(super) fn failed(&mut self, request: usize) {
        if self.kind(request).idempotent {
            self.come_again(request, PAUSE, End::Failed);
        } else {
            self.end(request, End::Failed);
        }
    }

    fn come_again(&mut self, request: usize, after: Micros, end: End) {
        let way = micros(self.plan.delays.caller);
        let kind = self.kind(request);
        let known = &mut self.requests[request];
        if known.end.is_some() {
            return;
        }
        let left = known.until.saturating_sub(self.now);
        let wait = if known.hasty {
            PAUSE
        } else {
            after.clamp(PAUSE, (left / PATIENCE).max(PAUSE))
        };
        let most = if known.hasty {
            kind.retries * 3
        } else {
            kind.retries
        };
        if known.tries >= most || wait + 2 * way >= left {
            self.end(request, end);
            return;
        }
        known.tries += 1;
        known.current += 1;
        let current = known.current;
        self.after(wait + 2 * way, Event::Come { request, current });
    }

    /// A request has its answer, its turn on its connection considered.
    pub(super) fn answered(&mut self, request: usize, far: bool) {
        self.requests[request].far = far;
        self.end(request, End::Answered);
    }

    pub(super) fn end(&mut self, request: usize, end: End) {
        let way = micros(self.plan.delays.caller);
        let mut at = self.now + way;
        // Answers of one connection come in the order of its requests.
        if let Some(ahead) = self.requests[request].behind {
            match self.requests[ahead].end {
                Some((_, before)) if before < Micros::MAX => at = at.max(before),
                _ if self.now < self.requests[request].until => {
                    let known = &mut self.requests[request];
                    known.end = Some((end, Micros::MAX));
                    self.after(1_000, Event::Look(request));
                    return;
                }
                _ => {}
            }
        }
        let known = &mut self.requests[request];
        known.current += 1;
        if known.end.is_none() {
            known.end = Some((end, at));
        }
    }

    /// Looks whether the answer ahead of one that waits for its turn is out.
    pub(super) fn look(&mut self, request: usize) {
        let Some((end, Micros::MAX)) = self.requests[request].end else {
            return;
        };
        self.requests[request].end = None;
        self.end(request, end);
    }

    /// A caller leaves before its time.
    pub(super) fn leave(&mut self, request: usize) {
        if self.requests[request].end.is_some() {
            return;
        }
        self.requests[request].end = Some((End::Left, self.now));
        self.requests[request].current += 1;
        self.forget(request);
    }
}

/// A number below `count`, the n-th by the weight n to minus `skew`.
fn pick(rng: &mut Rng, count: usize, skew: f64) -> usize {
    if count < 2 {
        return 0;
    }
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "objects are few"
    )]
    // The inverse of the weights' integral, for any skew but 1.
    let draw = {
        let power = 1.0 - skew.clamp(0.0, 0.99);
        (rng.f64().powf(1.0 / power) * count as f64) as usize
    };
    draw.min(count - 1)
}

//! The ceiling and the baselines: one place that knows everything and decides
//! for all regions.
//!
//! The ceiling keeps one queue. It sends the most urgent request to the free
//! slot where it is answered soonest, counting work in vain against it, or lets
//! it wait where a target that holds its object will be free soon enough; it
//! rejects what no target can answer in time.

use steer::process::direct::AttemptOutcome;

use super::target::Target;
use super::{Event, Micros, Sent, WINDOW, World, micros};
use crate::brain::Brain;
use crate::plan::What;

/// What work in vain counts over what it costs the request itself.
const VAIN: f64 = 2.0;

/// Part of the operator's bound that the ceiling uses: the rest is for counting
/// by whole requests.
const USED: f64 = 0.8;

/// Longest queue at a target that a baseline sends to at all.
const RETRY: Micros = 300_000;

#[derive(Clone, Debug)]
struct Waiting {
    request: usize,
    /// The instance that its caller talks to, and falls with.
    instance: usize,
    current: u32,
    attempts: usize,
    limit: Micros,
}

/// Requests that the ceiling looks at each time something changes: the most
/// urgent ones. Under an overload of thousands the rest has no hope now.
const LOOKED_AT: usize = 48;

/// Its state.
#[derive(Clone, Debug)]
pub(super) struct Central {
    /// By service.
    waiting: Vec<Vec<Waiting>>,
    /// Targets by service.
    targets: Vec<Vec<usize>>,
    turn: usize,
    /// Attempts of each request that is under way: (request, attempts, limit).
    flying: Vec<Waiting>,
    /// For each region: its last window, with requests sent and elsewhere, and
    /// the same of the one before.
    windows: Vec<Share>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Share {
    window: Micros,
    sent: f64,
    far: f64,
    before: Option<f64>,
}

impl Central {
    pub fn new(regions: usize, services: usize, targets: &[Target]) -> Self {
        let mut own = vec![Vec::new(); services];
        for (place, target) in targets.iter().enumerate() {
            own[target.service].push(place);
        }
        Self {
            waiting: vec![Vec::new(); services],
            targets: own,
            turn: 0,
            flying: Vec::new(),
            windows: vec![Share::default(); regions],
        }
    }
}

/// A place for a request.
#[derive(Clone, Copy)]
struct Choice {
    target: usize,
    /// Seconds until the answer.
    cost: f64,
    rank: f64,
    free: bool,
}

impl World<'_> {
    pub(super) fn central_come(&mut self, request: usize, current: u32, instance: usize) {
        let timeout = micros(self.kind(request).timeout);
        let limit = (self.now + timeout).min(self.requests[request].until);
        let waiting = Waiting {
            request,
            instance,
            current,
            attempts: 0,
            limit,
        };
        match self.brain {
            Brain::Least | Brain::Turn => self.central_plain(waiting),
            _ => self.central_wait(waiting),
        }
    }

    fn central_wait(&mut self, waiting: Waiting) {
        let service = self.kind(waiting.request).service;
        let limit = waiting.limit.max(self.now);
        self.central.waiting[service].push(waiting);
        self.at(limit, Event::Expire(service));
        self.central_look(service);
    }

    /// A baseline sends at once, whatever waits there.
    fn central_plain(&mut self, waiting: Waiting) {
        let service = self.kind(waiting.request).service;
        let region = self.region_of[self.requests[waiting.request].at];
        let fits = |n: &usize| {
            let t = &self.targets[*n];
            t.service == service && t.region == region && t.up && !self.is_emptied(t.domain)
        };
        let fit: Vec<usize> = (0..self.targets.len()).filter(fits).collect();
        self.central.turn += 1;
        let target = if matches!(self.brain, Brain::Turn) {
            fit.get(self.central.turn % fit.len().max(1)).copied()
        } else {
            fit.into_iter().min_by_key(|n| self.targets[*n].load())
        };
        match target {
            Some(target) => self.central_send(waiting, target),
            None => self.rejected(waiting.request, RETRY),
        }
    }

    fn is_emptied(&self, domain: usize) -> bool {
        let faults = self.plan.faults.iter().enumerate();
        let mut active = faults.filter(|(number, _)| self.active[*number]);
        active.any(|(_, t)| matches!(t.what, What::Evacuate { domain: d } if d == domain))
    }

    /// Looks at what waits for a service, if anything there is free.
    pub(super) fn central_look(&mut self, service: usize) {
        if !matches!(self.brain, Brain::Ceiling { .. }) {
            return;
        }
        let mut own = self.central.targets[service].iter();
        if own.any(|t| self.targets[*t].up && self.targets[*t].has_slot()) {
            self.central_place(service);
        }
    }

    /// Rejects what can't be answered any more.
    pub(super) fn central_expire(&mut self, service: usize) {
        let over = |w: &Waiting| w.limit <= self.now;
        let gone: Vec<Waiting> = self.central.waiting[service]
            .extract_if(.., |w| over(w))
            .collect();
        for waiting in gone {
            if self.requests[waiting.request].current == waiting.current {
                self.rejected(waiting.request, RETRY);
            }
        }
    }

    fn central_place(&mut self, service: usize) {
        let mut order: Vec<(u32, bool, Micros, usize)> = Vec::new();
        for (at, waiting) in self.central.waiting[service].iter().enumerate() {
            let kind = self.kind(waiting.request);
            let goal = self.requests[waiting.request].begun + micros(kind.goal);
            order.push((kind.priority, self.now > goal, goal, at));
        }
        order.sort_unstable();
        let mut gone = Vec::new();
        for (_, _, _, at) in order.into_iter().take(LOOKED_AT) {
            let waiting = self.central.waiting[service][at].clone();
            let known = &self.requests[waiting.request];
            if known.current != waiting.current || known.end.is_some() {
                gone.push(at);
                continue;
            }
            match self.choose(&waiting) {
                Some(choice) if choice.free => {
                    gone.push(at);
                    self.central_send(waiting, choice.target);
                }
                Some(choice) if self.now + seconds(choice.cost) < waiting.limit => {}
                _ => {
                    gone.push(at);
                    self.rejected(waiting.request, RETRY);
                }
            }
        }
        gone.sort_unstable();
        for at in gone.into_iter().rev() {
            self.central.waiting[service].remove(at);
        }
    }

    fn choose(&self, waiting: &Waiting) -> Option<Choice> {
        let known = &self.requests[waiting.request];
        let kind = &self.plan.kinds[known.kind];
        let region = self.region_of[known.at];
        let (may_stay, may_go) = self.sides(region);
        let mut best: Option<Choice> = None;
        for &place in &self.central.targets[kind.service] {
            let target = &self.targets[place];
            let far = target.region != region;
            let usable = target.up
                && !self.is_emptied(target.domain)
                && !self.is_cut(region, target.region)
                && !self.is_cut(target.region, region)
                && if far { may_go } else { may_stay };
            if !usable {
                continue;
            }
            let service = &self.plan.services[target.service];
            let full = kind.work.as_secs_f64() * target.slowness();
            let warm = full * (1.0 - kind.gain);
            let mut work = if target.holds(known.object) {
                warm
            } else {
                full
            };
            if self.now < target.cold_until {
                work *= service.cold_x;
            }
            // What is turned away, failed or lost comes again elsewhere.
            let ill = target.shed.max(target.fail).max(target.lose);
            let wait = target.next_free(self.now) - self.now;
            let way = 2 * self.way(known.at, target.domain);
            let way = if kind.idempotent { way } else { way * 2 };
            let goal = kind.goal.as_secs_f64();
            let cost = float(wait + way) + work;
            // Late is worth a fraction: as bad as an objective more.
            let begun = float(self.now - known.begun);
            let late = if begun + cost > goal { goal } else { 0.0 };
            let rank = cost + late + (work - warm).max(0.0) * VAIN + ill * goal * 2.0;
            if best.is_none_or(|b| rank < b.rank) {
                best = Some(Choice {
                    target: place,
                    cost,
                    rank,
                    free: target.has_slot(),
                });
            }
        }
        best
    }

    /// Whether the next request of a region may stay, and may go elsewhere.
    fn sides(&self, region: usize) -> (bool, bool) {
        if matches!(self.brain, Brain::Ceiling { bound: false }) {
            return (true, true);
        }
        let share = &self.central.windows[region];
        if share.window != self.now / WINDOW {
            return (true, true);
        }
        let Some(before) = share.before else {
            return (true, true);
        };
        let most = self.plan.bounds.shift_max * USED;
        // As the window would end if the rest of it were like the one before.
        let sent = share.sent + 1.0;
        let go = (share.far + 1.0) / sent.max(8.0) <= before + most;
        let stay = share.far / sent >= before - most;
        (stay || !go, go || !stay)
    }

    fn central_send(&mut self, mut waiting: Waiting, target: usize) {
        let known = &self.requests[waiting.request];
        let (at, region) = (known.at, self.region_of[known.at]);
        let place = &self.targets[target];
        let (domain, there, born) = (place.domain, place.region, place.born);
        let share = &mut self.central.windows[region];
        let window = self.now / WINDOW;
        if share.window != window {
            let full = share.sent > 0.0 && share.window + 1 == window;
            share.before = full.then(|| share.far / share.sent);
            share.window = window;
            share.sent = 0.0;
            share.far = 0.0;
        }
        share.sent += 1.0;
        share.far += f64::from(u8::from(there != region));
        self.note_sent(region, there != region);
        waiting.attempts += 1;
        let sent = Sent {
            request: waiting.request,
            current: waiting.current,
            target,
            born,
            from: None,
            region,
            until: waiting.limit,
        };
        self.central.flying.push(waiting);
        if matches!(self.brain, Brain::Ceiling { .. }) {
            // It knows what it has just sent: the slot is taken at once, and the
            // way there is counted with the way back.
            self.land(sent);
        } else {
            let way = self.way(at, domain) * self.legs(sent.request);
            self.after(way, Event::Land(sent));
        }
    }

    /// How many times the way to a target is gone until it has a request: one
    /// that must not repeat opens a connection first.
    fn legs(&self, request: usize) -> Micros {
        if self.kind(request).idempotent { 1 } else { 3 }
    }

    /// Time until an answer is back where the request came to.
    pub(super) fn central_way(&self, sent: &Sent) -> Micros {
        let way = self.way(
            self.requests[sent.request].at,
            self.targets[sent.target].domain,
        );
        match self.brain {
            Brain::Ceiling { .. } => way * (1 + self.legs(sent.request)),
            _ => way,
        }
    }

    pub(super) fn central_back(&mut self, sent: &Sent, ending: AttemptOutcome) {
        let found = self
            .central
            .flying
            .iter()
            .position(|w| w.request == sent.request && w.current == sent.current);
        let Some(found) = found else {
            return;
        };
        let waiting = self.central.flying.swap_remove(found);
        if self.requests[sent.request].current != sent.current {
            return;
        }
        let kind = self.kind(sent.request);
        let not_run = ending.is_not_run();
        let again = waiting.attempts < kind.attempts && self.now < waiting.limit;
        match ending {
            AttemptOutcome::Answered => {
                let far = self.targets[sent.target].region != sent.region;
                self.answered(sent.request, far);
            }
            _ if again && (not_run || kind.idempotent) => {
                if matches!(self.brain, Brain::Ceiling { .. }) {
                    self.central_wait(waiting);
                } else {
                    self.central_plain(waiting);
                }
            }
            _ if not_run => self.rejected(sent.request, RETRY),
            _ => self.failed(sent.request),
        }
    }

    /// An instance has ended, and with it what came by it.
    pub(super) fn central_kill(&mut self, instance: usize) {
        let mut gone: Vec<Waiting> = Vec::new();
        for waiting in &mut self.central.waiting {
            gone.extend(waiting.extract_if(.., |w| w.instance == instance));
        }
        gone.extend(
            self.central
                .flying
                .extract_if(.., |w| w.instance == instance),
        );
        for waiting in gone {
            for place in 0..self.targets.len() {
                self.cancel(place, waiting.request, waiting.current);
            }
            if self.requests[waiting.request].current == waiting.current {
                self.failed(waiting.request);
            }
        }
    }

    pub(super) fn central_forget(&mut self, request: usize) {
        let service = self.kind(request).service;
        self.central.waiting[service].retain(|w| w.request != request);
        let flying = &mut self.central.flying;
        if let Some(at) = flying.iter().position(|w| w.request == request) {
            let waiting = flying.swap_remove(at);
            for place in 0..self.targets.len() {
                self.cancel(place, request, waiting.current);
            }
        }
    }
}

#[allow(clippy::cast_precision_loss, reason = "microseconds of a day")]
fn float(span: Micros) -> f64 {
    span as f64 / 1e6
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "seconds of a request"
)]
fn seconds(span: f64) -> Micros {
    (span * 1e6) as Micros
}

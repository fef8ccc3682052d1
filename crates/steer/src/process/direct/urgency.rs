//! Urgent work first: the order of waiting requests, the slots that less urgent ones
//! leave free, and which of them are rejected, while a mixed service is short.
//!
//! Answers the load in which requests of several priorities arrive faster than a
//! region's slots can serve them. Without these rules each request is sent when it is
//! nearly late, and long less urgent work takes the slots and the targets' queues just
//! before urgent work arrives.
//!
//! Invariants: without a short service there is no [`Contention`] and nothing changes; an
//! contention holds for one step only; the most urgent requests are never held back.

use core::time::Duration;
use std::sync::Arc;

use super::Direct;
use super::job::{Job, State};
use super::mechanisms::Mechanism;
use super::message::{Rejection, Ticket};
use super::mix::Priority;
use super::place::Place;
use crate::clock::Time;

/// Time in seconds whose urgent arrivals find a free slot. Loads of other instances are
/// known about as late.
const RESERVE_SECONDS: f64 = 0.05;

/// Least number of reserved slots.
const RESERVE_MIN: f64 = 1.0;

/// Largest part of the region's slots that is reserved.
const RESERVE_RATIO_MAX: f64 = 0.1;

/// Time for which a count of the instances that share the region's arrivals is used:
/// the interval of heartbeats, by which it changes.
const SHARERS_TIME: Duration = Duration::from_millis(250);

/// Position of a request among those that wait: priority, whether its objective can't be
/// met any more, objective, arrival.
pub(super) type Rank = (Priority, bool, Time, Ticket);

/// Slots of a service's usable targets in this region.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Slots {
    /// Number of slots.
    pub all: f64,
    /// Slots that are free by the estimated loads.
    pub free: f64,
}

/// Waiting requests of one priority.
#[derive(Clone, Copy, Debug)]
struct Level {
    priority: Priority,
    count: u32,
}

/// Expected wait of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    /// Seconds until the requests ahead of it are served.
    pub seconds: f64,
    /// Part of that in which more urgent requests are served.
    pub urgent_seconds: f64,
}

/// Competition for the slots of one short service in one step.
#[derive(Clone, Debug)]
pub struct Contention {
    service: Arc<str>,
    /// Recent priorities with the requests of each or a more urgent one that wait at
    /// other instances; the most urgent first.
    elsewhere: Vec<Level>,
    /// Requests that this step has left waiting, by priority, sorted.
    ahead: Vec<Level>,
    slots: Slots,
    /// Slots that less urgent requests leave free.
    reserve: f64,
    /// Mean work of the service's requests, in seconds.
    work: f64,
}

impl Contention {
    /// Creates the contention of a service at the start of a step. `elsewhere` lists its
    /// recent priorities, the most urgent first, each with the number of requests of it
    /// or a more urgent one that wait at other instances; `arrivals` is the region's
    /// rate a second of the most urgent requests and `work` the mean work in seconds.
    #[must_use]
    pub fn new(
        service: Arc<str>,
        elsewhere: &[(Priority, u32)],
        slots: Slots,
        arrivals: f64,
        work: f64,
    ) -> Self {
        let level = |&(priority, count): &(Priority, u32)| Level { priority, count };
        let reserve_max = (slots.all * RESERVE_RATIO_MAX).floor();
        Self {
            service,
            elsewhere: elsewhere.iter().map(level).collect(),
            ahead: Vec::new(),
            slots,
            reserve: (arrivals * RESERVE_SECONDS)
                .ceil()
                .max(RESERVE_MIN)
                .min(reserve_max),
            work,
        }
    }

    /// Name of the service.
    #[must_use]
    pub const fn service(&self) -> &Arc<str> {
        &self.service
    }

    /// Its slots in this region.
    #[must_use]
    pub const fn slots(&self) -> Slots {
        self.slots
    }

    /// Slots that less urgent requests leave free.
    #[must_use]
    pub const fn reserve(&self) -> f64 {
        self.reserve
    }

    /// Requests that the step has left waiting for a slot of this region.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.ahead.iter().map(|l| l.count).sum()
    }

    /// Whether requests of a priority may take reserved slots.
    #[must_use]
    pub fn is_urgent(&self, priority: Priority) -> bool {
        self.elsewhere
            .first()
            .is_none_or(|l| priority <= l.priority)
    }

    /// Whether a request of a priority may take a slot in this region.
    #[must_use]
    pub fn may_take_slot(&self, priority: Priority) -> bool {
        self.reserve <= 0.0 || self.is_urgent(priority) || self.slots.free >= self.reserve + 1.0
    }

    /// Expected wait of a request of a priority behind those that the step has left
    /// waiting, and those that wait elsewhere; `None` if the region has no slots.
    #[must_use]
    pub fn forecast(&self, priority: Priority) -> Option<Forecast> {
        if self.slots.all <= 0.0 {
            return None;
        }
        let elsewhere = self.elsewhere.iter().rev();
        let elsewhere = elsewhere.skip_while(|l| l.priority > priority);
        let counts = |is_counted: &dyn Fn(Priority) -> bool| {
            let here = self.ahead.iter().filter(|l| is_counted(l.priority));
            let mut elsewhere = elsewhere.clone().filter(|l| is_counted(l.priority));
            let here: u32 = here.map(|l| l.count).sum();
            here.saturating_add(elsewhere.next().map_or(0, |l| l.count))
        };
        let seconds = |count: u32| f64::from(count) * self.work / self.slots.all;
        Some(Forecast {
            seconds: seconds(counts(&|_| true)),
            urgent_seconds: seconds(counts(&|other| other < priority)),
        })
    }

    /// Records that the step sends a request to a free slot in this region.
    pub fn record_sent(&mut self) {
        self.slots.free = (self.slots.free - 1.0).max(0.0);
    }

    /// Records that the step leaves a request waiting for a slot in this region.
    pub fn record_waiting(&mut self, priority: Priority) {
        match self.ahead.binary_search_by_key(&priority, |l| l.priority) {
            Ok(at) => self.ahead[at].count += 1,
            Err(at) => self.ahead.insert(at, Level { priority, count: 1 }),
        }
    }
}

/// Contentions of the last step, and what they rest on for longer.
#[derive(Debug, Default)]
pub(super) struct Urgency {
    /// Sorted by service.
    contentions: Vec<Contention>,
    /// Instances that share the region's arrivals, and when they were counted.
    sharers: Option<(f64, Time)>,
}

impl Urgency {
    fn of(&self, service: &str) -> Option<&Contention> {
        let at = self.find(service)?;
        Some(&self.contentions[at])
    }

    fn of_mut(&mut self, service: &str) -> Option<&mut Contention> {
        let at = self.find(service)?;
        Some(&mut self.contentions[at])
    }

    fn find(&self, service: &str) -> Option<usize> {
        let found = self
            .contentions
            .binary_search_by(|o| (*o.service).cmp(service));
        found.ok()
    }
}

impl Direct {
    /// Contentions of the last step on services that are still short, sorted by service.
    pub fn contentions(&self, now: Time) -> impl Iterator<Item = &Contention> {
        let contentions = self.urgency.contentions.iter();
        contentions.filter(move |o| self.is_short(now, &o.service))
    }

    /// Replaces the contentions by those on the services that are short now.
    pub(super) fn update_contentions(&mut self, now: Time) {
        self.urgency.contentions.clear();
        let has = |mechanism| self.mechanisms.has(mechanism);
        if !has(Mechanism::Urgency) || !has(Mechanism::Priority) {
            return;
        }
        let short: Vec<Arc<str>> = self.short_services(now).map(Arc::clone).collect();
        for service in short {
            let Some(most_urgent) = self.mix.most_urgent(&service) else {
                continue;
            };
            let Some(work) = self.mean_work(&service) else {
                continue;
            };
            let arrivals = self.mix.rate_up_to(&service, most_urgent) * self.sharers(now);
            let elsewhere: Vec<(Priority, u32)> = self
                .mix
                .priorities(&service)
                .map(|p| (p, self.waiting_elsewhere(now, &service, p)))
                .collect();
            let slots = self.local_slots(now, &service);
            let contention = Contention::new(service, &elsewhere, slots, arrivals, work);
            self.urgency.contentions.push(contention);
        }
    }

    /// Position of a waiting request among the others.
    pub(super) fn rank(&self, now: Time, job: &Job) -> Rank {
        let objective = job.objective();
        let priority = if self.mechanisms.has(Mechanism::Priority) {
            job.request.priority()
        } else {
            (0, 0)
        };
        // A request that is sent just before its objective passes is late all the same.
        let work = match self.urgency.of(&job.service) {
            Some(_) => Duration::from_secs_f64(self.estimate(job).warm),
            None => Duration::ZERO,
        };
        let is_late = now + work > objective;
        (priority, is_late, objective, job.ticket)
    }

    /// Whether a request may take the slot at a place that has room.
    pub(super) fn may_take_slot(&self, job: &Job, place: &Place) -> bool {
        let contention = self.local_contention(job, place);
        contention.is_none_or(|o| o.may_take_slot(job.request.priority()))
    }

    /// Expected wait of a request for a slot of this region; `None` if it is to run in
    /// another one or its service isn't short.
    pub(super) fn forecast(&self, job: &Job) -> Option<Forecast> {
        let contention = self.urgency.of(&job.service);
        let runs_here = job.is_remote == Some(false) && job.request.allows(&self.identity.region);
        let contention = contention.filter(|_| runs_here);
        contention?.forecast(job.request.priority())
    }

    /// Time at which a waiting request is expected to be answered after its forecast wait.
    pub(super) fn forecast_finish(&self, now: Time, job: &Job, forecast: Forecast) -> Time {
        now + Duration::from_secs_f64(forecast.seconds + self.estimate(job).warm)
    }

    /// Reason for the rejection of a request that is expected to be answered at
    /// `finish`, past its time.
    pub(super) fn overload_reason(&self, job: &Job, finish: Time) -> Rejection {
        let urgent = self.forecast(job).map_or(0.0, |f| f.urgent_seconds);
        if urgent > 0.0 && finish - Duration::from_secs_f64(urgent) <= job.time_limit {
            Rejection::Yields
        } else {
            Rejection::Overload
        }
    }

    /// Records that a request is sent to a place.
    pub(super) fn record_urgency_sent(&mut self, at: usize, place: &Place) {
        if place.wait <= 0.0 && self.local_contention(&self.jobs[at], place).is_some() {
            let service = Arc::clone(&self.jobs[at].service);
            if let Some(contention) = self.urgency.of_mut(&service) {
                contention.record_sent();
            }
        }
    }

    /// Records that a request waits for a place.
    pub(super) fn record_urgency_waiting(&mut self, at: usize, place: &Place) {
        if self.local_contention(&self.jobs[at], place).is_some() {
            let job = &self.jobs[at];
            let priority = job.request.priority();
            if let Some(contention) = self.urgency.of_mut(&job.service) {
                contention.record_waiting(priority);
            }
        }
    }

    /// The contention on a request's service if the place is in this region.
    fn local_contention(&self, job: &Job, place: &Place) -> Option<&Contention> {
        let contention = self.urgency.of(&job.service)?;
        let region = &self.roster.all()[place.index].region;
        (*region == self.identity.region).then_some(contention)
    }

    /// Slots of a service's usable targets in this region.
    fn local_slots(&self, now: Time, service: &str) -> Slots {
        let mut slots = Slots::default();
        for (_, target) in self.roster.of(service, Some(&self.identity.region)) {
            let is_usable = target.is_available()
                && !target.is_ejected(now)
                && !self.roster.is_evacuated(&target.entry.domain)
                && !target.backs_off(now);
            if is_usable {
                let count = f64::from(target.entry.slots);
                let load = self.load(now, target) - f64::from(target.reserved);
                slots.all += count;
                slots.free += (count - load).max(0.0);
            }
        }
        slots
    }

    /// Mean work in seconds of a service's requests here: expected work of those at
    /// targets, and warm work of those that wait. `None` if none waits.
    fn mean_work(&self, service: &str) -> Option<f64> {
        let (mut sum, mut count, mut is_waiting) = (0.0, 0.0, false);
        for job in self.jobs.iter().filter(|j| *j.service == *service) {
            sum += match &job.state {
                State::Waiting => self.estimate(job).warm,
                State::InFlight { service_time, .. } => *service_time,
            };
            count += 1.0;
            is_waiting |= matches!(job.state, State::Waiting);
        }
        is_waiting.then(|| sum / count)
    }

    /// Instances that share the region's arrivals, this one included.
    fn sharers(&mut self, now: Time) -> f64 {
        if let Some((count, counted_at)) = self.urgency.sharers
            && now.since(counted_at) < SHARERS_TIME
        {
            return count;
        }
        let region = Arc::clone(&self.identity.region);
        let count = u32::try_from(self.referred(now, &region).len()).unwrap_or(u32::MAX);
        let count = f64::from(count.max(1));
        self.urgency.sharers = Some((count, now));
        count
    }
}

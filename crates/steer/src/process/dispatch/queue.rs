//! Queues of requests that wait for an endpoint.
//!
//! Invariant: a class fills no more than its share of the queue; the lowest
//! class is evicted first, and still gets a small share of what is sent.

use core::time::Duration;

use crate::clock::Time;
use crate::process::dispatch::Dispatch;
use crate::process::dispatch::job::Job;
use crate::process::dispatch::message::Action;
use crate::process::safeguard::Safeguard;
use crate::request::outcome::Reason;

/// One in this many requests sent from the queue is the one that has waited
/// longest, whatever its class.
const OLDEST_FIRST_INTERVAL: u64 = 16;

/// Time after which a queue that was never empty counts as overload.
const STANDING_QUEUE_AGE: Duration = Duration::from_millis(500);

/// Divisor of the maximum expected wait in such a queue.
const STANDING_QUEUE_DIVISOR: u32 = 4;

/// Divisor of the queue's size: the number of waiting requests of a class that
/// are not evicted for higher classes.
const KEPT_QUEUE_DIVISOR: usize = 16;

impl Dispatch {
    /// Returns whether the limits of the instance and of the service let one
    /// more request be in flight.
    pub(super) fn has_room(&self, service: usize) -> bool {
        let limits = self.tuning.limits;
        let is_on = self.tuning.safeguards.has(Safeguard::ServiceLimit);
        let max = limits.in_flight * limits.service_percent / 100;
        let running = self.services[service].in_flight;
        self.running.len() < limits.in_flight && (!is_on || running < max.max(1))
    }

    /// Returns whether the class of a service is below its share of the queue.
    pub(super) fn has_queue_share(&self, service: usize) -> bool {
        let (class, share) = (
            self.services[service].class,
            self.services[service].queue_share,
        );
        let max = self.tuning.limits.queue * share / 100;
        let is_on = self.tuning.safeguards.has(Safeguard::ClassShare);
        let max = if is_on {
            max.max(1)
        } else {
            self.tuning.limits.queue
        };
        self.waiting_of(class) < max
    }

    fn waiting_of(&self, class: usize) -> usize {
        let same = self.services.iter().filter(|s| s.class == class);
        same.map(|s| s.queue.len()).sum()
    }

    /// Returns whether the queue has room. If it is full, evicts the last request
    /// in the queue of a service, of the lowest class below that of `service`
    /// that has more than its kept number waiting, and refuses it at once.
    pub(super) fn make_room(&mut self, service: usize, out: &mut Vec<Action>) -> bool {
        if self.waiting() < self.tuning.limits.queue {
            return true;
        }
        let class = self.services[service].class;
        let kept_max = self.tuning.limits.queue / KEPT_QUEUE_DIVISOR;
        let mut lower = self.class_order.iter().rev().copied();
        let evicted = lower.find(|&s| {
            let other = &self.services[s];
            let is_kept = self.waiting_of(other.class) <= kept_max;
            other.class > class && !other.queue.is_empty() && !is_kept
        });
        let Some(evicted) = evicted else { return false };
        let wait = self.services[evicted].estimate().wait();
        if let Some(job) = self.services[evicted].queue.pop_back() {
            self.refuse_job(&job, Reason::Overloaded, wait, out);
        }
        true
    }

    /// Maximum of the expected wait for which a request is queued.
    ///
    /// A queue evens out bursts. One that has not been empty for
    /// [`STANDING_QUEUE_AGE`] is overload: as many requests are refused however
    /// long it is, and all that it adds is latency. It is then kept short.
    pub(super) fn wait_limit(&self, now: Time, service: usize) -> Duration {
        let state = &self.services[service];
        let is_standing =
            !state.queue.is_empty() && now.since(state.queued_since) > STANDING_QUEUE_AGE;
        let wait = self.tuning.limits.wait_max;
        let is_on = self.tuning.safeguards.has(Safeguard::ShortQueue);
        if is_on && is_standing {
            wait / STANDING_QUEUE_DIVISOR
        } else {
            wait
        }
    }

    /// Queues a job; one that was sent before goes to the front.
    pub(super) fn enqueue(&mut self, now: Time, service: usize, job: Job) {
        let state = &mut self.services[service];
        if state.queue.is_empty() {
            state.queued_since = now;
        }
        let queue = &mut state.queue;
        if job.tried.is_empty() {
            queue.push_back(job);
        } else {
            queue.push_front(job);
        }
    }

    /// Sends waiting requests as long as one of them has a target.
    pub(super) fn send_queued(&mut self, now: Time, out: &mut Vec<Action>) {
        while self.waiting() > 0 {
            if !self.send_next_queued(now, out) {
                return;
            }
        }
    }

    fn send_next_queued(&mut self, now: Time, out: &mut Vec<Action>) -> bool {
        let enabled = self.tuning.safeguards;
        let is_turn = self.stats.dequeued % OLDEST_FIRST_INTERVAL == OLDEST_FIRST_INTERVAL - 1;
        if is_turn && enabled.has(Safeguard::Guarantee) {
            let heads = (0..self.services.len()).filter(|&s| !self.services[s].queue.is_empty());
            let mut heads: Vec<usize> = heads.collect();
            heads.sort_by_key(|&s| self.services[s].queue[0].arrived_at);
            if heads.into_iter().any(|s| self.send_first_of(now, s, out)) {
                return true;
            }
        }
        (0..self.class_order.len()).any(|at| self.send_first_of(now, self.class_order[at], out))
    }

    /// Sends the first waiting request of a service that has a target. A
    /// suspect that waits for an empty target, or a retry that has no target
    /// left, does not hold up those behind it.
    fn send_first_of(&mut self, now: Time, service: usize, out: &mut Vec<Action>) -> bool {
        let mut at = 0;
        while self.has_room(service) && at < self.services[service].queue.len() {
            let Some(job) = self.services[service].queue.remove(at) else {
                return false;
            };
            let is_suspect = self.is_suspect(&job);
            if let Some(pick) = self.pick_target(now, service, &job, is_suspect) {
                self.stats.dequeued += 1;
                self.send(now, service, job, pick, out);
                return true;
            }
            let is_last = !is_suspect && job.tried.is_empty();
            self.services[service].queue.insert(at, job);
            if is_last {
                return false;
            }
            at += 1;
        }
        false
    }
}

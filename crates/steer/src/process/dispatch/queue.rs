//! Requests that wait for a place.
//!
//! Invariant: a class fills no more than its share; the lowest class gives way
//! first, and still gets a small share of what is picked.

use core::time::Duration;

use crate::clock::Time;
use crate::process::dispatch::Dispatch;
use crate::process::dispatch::job::Job;
use crate::process::dispatch::message::Action;
use crate::process::safeguard::Safeguard;
use crate::request::outcome::Reason;

/// One in so many picks goes to whoever waits longest, whatever its class.
const OLDEST_FIRST_INTERVAL: u64 = 16;

/// Time after which a queue that was never empty means overload.
const STANDING_QUEUE_AGE: Duration = Duration::from_millis(500);

/// By how much such a queue is kept shorter.
const STANDING_QUEUE_DIVISOR: u32 = 4;

/// Part of the queue, one in so many places, that each class keeps against
/// higher classes.
const KEPT_QUEUE_DIVISOR: usize = 16;

impl Dispatch {
    /// Whether a request of a service may be in flight beside the others.
    pub(super) fn has_room(&self, service: usize) -> bool {
        let limits = self.tuning.limits;
        let on = self.tuning.safeguards.has(Safeguard::ServiceLimit);
        let most = limits.in_flight * limits.service_percent / 100;
        let running = self.services[service].in_flight;
        self.running.len() < limits.in_flight && (!on || running < most.max(1))
    }

    /// Whether the class of a service has a place in the queue left.
    pub(super) fn has_queue_share(&self, service: usize) -> bool {
        let (class, share) = (
            self.services[service].class,
            self.services[service].queue_share,
        );
        let most = self.tuning.limits.queue * share / 100;
        let on = self.tuning.safeguards.has(Safeguard::ClassShare);
        let most = if on {
            most.max(1)
        } else {
            self.tuning.limits.queue
        };
        self.waiting_of(class) < most
    }

    fn waiting_of(&self, class: usize) -> usize {
        let same = self.services.iter().filter(|s| s.class == class);
        same.map(|s| s.queue.len()).sum()
    }

    /// Whether the whole queue has a place; if it is full, the newest request
    /// of the lowest class gives way to a higher one, with its answer at once.
    pub(super) fn make_room(&mut self, service: usize, out: &mut Vec<Action>) -> bool {
        if self.waiting() < self.tuning.limits.queue {
            return true;
        }
        let class = self.services[service].class;
        let keep = self.tuning.limits.queue / KEPT_QUEUE_DIVISOR;
        let mut lower = self.class_order.iter().rev().copied();
        let yields = lower.find(|&s| {
            let other = &self.services[s];
            let kept = self.waiting_of(other.class) <= keep;
            other.class > class && !other.queue.is_empty() && !kept
        });
        let Some(yields) = yields else { return false };
        let wait = self.services[yields].outlook().wait();
        if let Some(job) = self.services[yields].queue.pop_back() {
            self.refuse_job(&job, Reason::Overloaded, wait, out);
        }
        true
    }

    /// Longest expected wait for which a request is taken in.
    ///
    /// A queue evens out bursts. One that hasn't been empty for [`STANDING_QUEUE_AGE`] is
    /// no burst but overload: as many are refused however long it is, and all
    /// that it adds is latency. It is then kept short.
    pub(super) fn wait_limit(&self, now: Time, service: usize) -> Duration {
        let state = &self.services[service];
        let standing =
            !state.queue.is_empty() && now.since(state.queued_since) > STANDING_QUEUE_AGE;
        let wait = self.tuning.limits.wait_max;
        let on = self.tuning.safeguards.has(Safeguard::ShortQueue);
        if on && standing {
            wait / STANDING_QUEUE_DIVISOR
        } else {
            wait
        }
    }

    /// Lets a job wait; one that was sent before goes to the front.
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

    /// Sends what can be sent of what waits.
    pub(super) fn send_queued(&mut self, now: Time, out: &mut Vec<Action>) {
        while self.waiting() > 0 {
            if !self.send_next_queued(now, out) {
                return;
            }
        }
    }

    fn send_next_queued(&mut self, now: Time, out: &mut Vec<Action>) -> bool {
        let on = self.tuning.safeguards;
        let turn = self.stats.dequeued % OLDEST_FIRST_INTERVAL == OLDEST_FIRST_INTERVAL - 1;
        if turn && on.has(Safeguard::Guarantee) {
            let heads = (0..self.services.len()).filter(|&s| !self.services[s].queue.is_empty());
            let mut heads: Vec<usize> = heads.collect();
            heads.sort_by_key(|&s| self.services[s].queue[0].arrived_at);
            if heads.into_iter().any(|s| self.send_first_of(now, s, out)) {
                return true;
            }
        }
        (0..self.class_order.len()).any(|at| self.send_first_of(now, self.class_order[at], out))
    }

    /// Sends the first request of a service that has a place. A suspect that
    /// waits for an empty target doesn't hold up those behind it.
    fn send_first_of(&mut self, now: Time, service: usize, out: &mut Vec<Action>) -> bool {
        let mut at = 0;
        while self.has_room(service) && at < self.services[service].queue.len() {
            let Some(job) = self.services[service].queue.remove(at) else {
                return false;
            };
            let suspect = self.is_suspect(&job);
            if let Some(pick) = self.pick_target(now, service, &job, suspect) {
                self.stats.dequeued += 1;
                self.send(now, service, job, pick, out);
                return true;
            }
            let last = !suspect && job.tried.is_empty();
            self.services[service].queue.insert(at, job);
            if last {
                return false;
            }
            at += 1;
        }
        false
    }
}

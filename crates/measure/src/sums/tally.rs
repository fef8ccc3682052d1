//! What targets saw in a run, compared with the bounds.

use core::time::Duration;

use steer::clock::Time;
use steer::process::direct::Bounds;

use super::Use;

/// A process of an instance: the instance's number, and which of its processes.
pub type Process = (usize, u64);

/// Backoff that a target asked a process for.
#[derive(Clone, Copy, Debug)]
pub struct BackoffRequest {
    /// Process that was asked.
    pub process: Process,
    /// Target that asked.
    pub target: usize,
    /// Time of the answer.
    pub at: Time,
    /// End of the backoff.
    pub until: Time,
}

/// First answer of a target to an instance that announced that it is about to stop.
#[derive(Clone, Copy, Debug)]
pub struct Notice {
    /// The instance.
    pub process: Process,
    /// The target.
    pub target: usize,
    /// Time at which the answer was passed on.
    pub at: Time,
}

/// One request that reached a target.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Process that sent it.
    pub process: Process,
    /// Time at which its caller sent it.
    pub submitted_at: Time,
    /// Time at which the process sent it.
    pub sent_at: Time,
    /// Time of arrival.
    pub at: Time,
    /// The target.
    pub target: usize,
    /// Whether it was sent before, to another.
    pub is_repeat: bool,
    /// Whether the target was cold.
    pub is_cold: bool,
    /// The limit that it named, in requests a second.
    pub limit: Option<f64>,
    /// Whether it had told the instance's callers of it for [`NOTICE`].
    pub is_told: bool,
}

/// Request of a caller.
#[derive(Clone, Copy, Debug)]
pub struct CallerRequest {
    /// Time of arrival.
    pub at: Time,
    /// Region of the instance that took it.
    pub region: usize,
    /// Whether it ran in another region; `None` if it was rejected.
    pub elsewhere: Option<bool>,
}

/// Span over which requests to a cold target are counted.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// Span over which requests to a target that names a limit are counted; what it
/// may get in it over what the limit allows, and requests besides.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
const LIMIT_FACTOR: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;

/// Time after an instance has passed on an answer with a limit from which it counts
/// as told.
pub const NOTICE: Duration = Duration::from_millis(500);

/// Time after a target asked for a backoff in which requests on their way
/// may still arrive, and requests that may arrive later.
const BACKOFF_NOTICE: Duration = Duration::from_millis(500);
const BACKOFF_SLACK: f64 = 2.0;

/// Time after the first announcement of a stop from which callers' requests must not
/// reach the target.
const DRAIN: Duration = Duration::from_millis(2_500);

/// Step by which the windows of retries slide.
const REPEATS_STEP: Duration = Duration::from_millis(50);

/// Windows between which the share of a region is compared.
const SHIFT_WINDOW: Duration = Duration::from_secs(2);

/// Step by which these windows slide.
const SHIFT_STEP: Duration = Duration::from_millis(100);

/// Requests of a region in a span below which one request alone is more than a
/// fifth of the bound: nothing can be said of a share then.
const SHARE_REQUESTS_MIN: usize = 34;

/// Records of one run.
#[derive(Debug)]
pub struct Tally {
    /// The bounds.
    pub bounds: Bounds,
    /// Requests a second that a cold target bears.
    pub cold_rate: f64,
    /// Whether shares of regions are judged: not while instances come and go.
    pub is_steady: bool,
    /// Requests that were answered.
    pub answered: usize,
    /// In order of arrival.
    pub arrivals: Vec<Arrival>,
    /// In order of time.
    pub backoffs: Vec<BackoffRequest>,
    /// One for each process and target.
    pub notices: Vec<Notice>,
    /// In order of time.
    pub requests: Vec<CallerRequest>,
}

impl Tally {
    /// Requests that callers sent.
    #[must_use]
    pub const fn requests(&self) -> usize {
        self.requests.len()
    }

    /// Those that never reached a target.
    #[must_use]
    pub fn rejected(&self) -> usize {
        let requests = self.requests.iter();
        requests.filter(|r| r.elsewhere.is_none()).count()
    }

    /// Repeats that reached targets.
    #[must_use]
    pub fn repeats(&self) -> usize {
        self.arrivals.iter().filter(|a| a.is_repeat).count()
    }

    /// Requests that reached cold targets.
    #[must_use]
    pub fn cold(&self) -> usize {
        self.arrivals.iter().filter(|a| a.is_cold).count()
    }

    /// Requests that reached targets while they named a limit.
    #[must_use]
    pub fn limited(&self) -> usize {
        self.arrivals.iter().filter(|a| a.limit.is_some()).count()
    }

    /// Largest use of each bound.
    #[must_use]
    pub fn max_use(&self) -> Use {
        Use {
            repeats: self.max_repeats(),
            cold: self.max_cold(),
            shift: if self.is_steady {
                self.max_shift()
            } else {
                0.0
            },
            limit: self.max_limited(),
            backoff: self.max_in_backoff(),
            leaving: self.sent_after_drain(),
        }
    }

    /// Records an answer by which a target announced to an instance that it is about to
    /// stop.
    pub fn announce(&mut self, process: Process, target: usize, at: Time) {
        let is_known = |n: &Notice| n.process == process && n.target == target;
        if !self.notices.iter().any(is_known) {
            self.notices.push(Notice {
                process,
                target,
                at,
            });
        }
    }

    fn max_in_backoff(&self) -> f64 {
        let within = |backoff: &BackoffRequest| {
            let from = backoff.at + BACKOFF_NOTICE;
            let is_counted = |a: &&Arrival| {
                a.process == backoff.process
                    && a.target == backoff.target
                    && a.at >= from
                    && a.at < backoff.until
            };
            number(self.arrivals.iter().filter(is_counted).count())
        };
        self.backoffs.iter().map(within).fold(0.0, f64::max) / BACKOFF_SLACK
    }

    fn sent_after_drain(&self) -> f64 {
        let after = |notice: &Notice| {
            let is_late = |a: &&Arrival| {
                a.process == notice.process
                    && a.target == notice.target
                    && a.submitted_at > notice.at + DRAIN
            };
            self.arrivals.iter().filter(is_late).count()
        };
        number(self.notices.iter().map(after).sum())
    }

    fn max_repeats(&self) -> f64 {
        let rule = self.bounds.retries;
        let received: Vec<Time> = self.requests.iter().map(|r| r.at).collect();
        let repeats: Vec<Time> = self
            .arrivals
            .iter()
            .filter(|a| a.is_repeat)
            .map(|a| a.at)
            .collect();
        let within = |times: &[Time], from: Time| {
            let before = |end: Time| times.partition_point(|at| *at < end);
            before(from + rule.window) - before(from)
        };
        // The operator counts the requests of this window, of the one before or of the one
        // half a window before, whichever has most.
        let use_from = |from: Time| {
            let back = [Duration::ZERO, rule.window / 2, rule.window];
            let counted = back.map(|back| within(&received, from - back));
            let counted = counted.into_iter().max().unwrap_or_default();
            number(within(&repeats, from)) / (rule.ratio * number(counted) + rule.slack)
        };
        let Some(&last) = repeats.last() else {
            return 0.0;
        };
        let mut most = 0.0_f64;
        let mut from = Time::ZERO;
        while from <= last {
            most = most.max(use_from(from));
            from = from + REPEATS_STEP;
        }
        most
    }

    fn max_cold(&self) -> f64 {
        let bound = self.cold_rate * self.bounds.cold_factor + self.bounds.cold_slack;
        let cold: Vec<&Arrival> = self.arrivals.iter().filter(|a| a.is_cold).collect();
        let within = |first: &Arrival| {
            let inside = |a: &&&Arrival| {
                a.target == first.target
                    && a.sent_at >= first.sent_at
                    && a.at < first.sent_at + COLD_WINDOW
            };
            number(cold.iter().filter(inside).count())
        };
        let most = cold.iter().map(|first| within(first)).fold(0.0, f64::max);
        most / bound
    }

    fn max_limited(&self) -> f64 {
        let limited: Vec<&Arrival> = self.arrivals.iter().filter(|a| a.is_told).collect();
        let mut most = 0.0_f64;
        for (at, first) in limited.iter().enumerate() {
            let Some(limit) = first.limit else { continue };
            let bound = limit * LIMIT_WINDOW.as_secs_f64() * LIMIT_FACTOR + LIMIT_SLACK;
            let later = limited[at..].iter();
            let window = later.take_while(|a| a.at.since(first.at) < LIMIT_WINDOW);
            let same = window.filter(|a| a.target == first.target);
            most = most.max(number(same.count()) / bound);
        }
        most
    }

    fn max_shift(&self) -> f64 {
        let Some(last) = self.requests.last() else {
            return 0.0;
        };
        let regions = self
            .requests
            .iter()
            .map(|r| r.region)
            .max()
            .unwrap_or_default();
        let mut most = 0.0_f64;
        for region in 0..=regions {
            let mut start = Time::ZERO;
            while start + SHIFT_WINDOW * 2 <= last.at {
                let shares = (
                    self.share(region, start),
                    self.share(region, start + SHIFT_WINDOW),
                );
                if let (Some(one), Some(other)) = shares {
                    most = most.max((one - other).abs() / self.bounds.shift_max);
                }
                start = start + SHIFT_STEP;
            }
        }
        most
    }

    fn share(&self, region: usize, from: Time) -> Option<f64> {
        let here = self.requests.iter().filter(|r| r.region == region);
        let within = here.filter(|r| r.at >= from && r.at < from + SHIFT_WINDOW);
        let run: Vec<bool> = within.filter_map(|r| r.elsewhere).collect();
        let elsewhere = run.iter().filter(|e| **e).count();
        (run.len() >= SHARE_REQUESTS_MIN).then(|| number(elsewhere) / number(run.len()))
    }
}

#[allow(clippy::cast_precision_loss, reason = "counts of a run are small")]
fn number(count: usize) -> f64 {
    count as f64
}

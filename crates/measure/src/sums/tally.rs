//! What targets saw, held against the bounds.

use core::time::Duration;

use steer::clock::Time;
use steer::process::direct::Bounds;

use super::Use;

/// A process of an instance: the instance's number, and which of its processes.
pub type Process = (usize, u64);

/// A target's answer that asked an instance for time without requests.
#[derive(Clone, Copy, Debug)]
pub struct Pause {
    /// The instance.
    pub by: Process,
    /// The target.
    pub target: usize,
    /// When the target answered.
    pub at: Time,
    /// End of that time.
    pub until: Time,
}

/// First answer of a target to an instance that announced that it is about to stop.
#[derive(Clone, Copy, Debug)]
pub struct Notice {
    /// The instance.
    pub by: Process,
    /// The target.
    pub target: usize,
    /// When it was passed on.
    pub at: Time,
}

/// One request that reached a target.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// The instance that sent it.
    pub from: Process,
    /// When its caller sent it.
    pub asked: Time,
    /// When it was sent.
    pub sent: Time,
    /// When it arrived.
    pub at: Time,
    /// The target.
    pub target: usize,
    /// Whether it was sent before, to another.
    pub repeat: bool,
    /// Whether the target was cold.
    pub cold: bool,
    /// The limit that it named, in requests a second.
    pub limit: Option<f64>,
    /// Whether it had told the instance's callers of it for [`NOTICE`].
    pub told: bool,
}

/// One request of a caller that was sent.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// When it came.
    pub at: Time,
    /// Region of the instance that took it.
    pub region: usize,
    /// Whether it ran in another region; `None` if it was rejected.
    pub elsewhere: Option<bool>,
}

/// Span over which requests to a cold target are counted.
const SECOND: Duration = Duration::from_secs(1);

/// Span over which requests to a target that names a limit are counted; what it
/// may get in it over what the limit allows, and requests besides.
const LIMITED: Duration = Duration::from_secs(4);
const LIMIT_FACTOR: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;

/// Time after an instance has passed on an answer with a limit from which it counts
/// as told.
pub const NOTICE: Duration = Duration::from_millis(500);

/// Time after a target asked for time without requests in which those on their way
/// may still arrive, and requests that may arrive later.
const PAUSE_NOTICE: Duration = Duration::from_millis(500);
const PAUSE_SLACK: f64 = 2.0;

/// Time after the first announcement of a stop from which callers' requests must not
/// reach the target.
const DRAIN: Duration = Duration::from_millis(2_500);

/// Spans between which the share of a region is compared.
const SPAN: Duration = Duration::from_secs(2);

/// Step by which these slide.
const STEP: Duration = Duration::from_millis(100);

/// Requests of a region in a span below which one request alone is more than a
/// fifth of the bound: nothing can be said of a share then.
const LEAST: usize = 34;

/// All that was seen of one run.
#[derive(Debug)]
pub struct Tally {
    /// The bounds.
    pub bounds: Bounds,
    /// Requests a second that a cold target bears.
    pub cold_rate: f64,
    /// Whether shares of regions are judged: not while instances come and go.
    pub steady: bool,
    /// Requests that were answered.
    pub answered: usize,
    /// In order of arrival.
    pub arrivals: Vec<Arrival>,
    /// In order of time.
    pub pauses: Vec<Pause>,
    /// One for each process and target.
    pub notices: Vec<Notice>,
    /// In order of time.
    pub requests: Vec<Sent>,
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
        self.arrivals.iter().filter(|a| a.repeat).count()
    }

    /// Requests that reached cold targets.
    #[must_use]
    pub fn cold(&self) -> usize {
        self.arrivals.iter().filter(|a| a.cold).count()
    }

    /// Requests that reached targets while they named a limit.
    #[must_use]
    pub fn limited(&self) -> usize {
        self.arrivals.iter().filter(|a| a.limit.is_some()).count()
    }

    /// Largest use of each bound.
    #[must_use]
    pub fn most(&self) -> Use {
        Use {
            repeats: self.most_repeats(),
            cold: self.most_cold(),
            shift: if self.steady { self.most_shift() } else { 0.0 },
            limit: self.most_limited(),
            backoff: self.most_in_pause(),
            leaving: self.after_drain(),
        }
    }

    /// Records an answer by which a target announced to an instance that it is about to
    /// stop.
    pub fn announce(&mut self, by: Process, target: usize, at: Time) {
        let is_known = |n: &Notice| n.by == by && n.target == target;
        if !self.notices.iter().any(is_known) {
            self.notices.push(Notice { by, target, at });
        }
    }

    fn most_in_pause(&self) -> f64 {
        let within = |pause: &Pause| {
            let from = pause.at + PAUSE_NOTICE;
            let is_counted = |a: &&Arrival| {
                a.from == pause.by && a.target == pause.target && a.at >= from && a.at < pause.until
            };
            number(self.arrivals.iter().filter(is_counted).count())
        };
        self.pauses.iter().map(within).fold(0.0, f64::max) / PAUSE_SLACK
    }

    fn after_drain(&self) -> f64 {
        let after = |notice: &Notice| {
            let is_late = |a: &&Arrival| {
                a.from == notice.by && a.target == notice.target && a.asked > notice.at + DRAIN
            };
            self.arrivals.iter().filter(is_late).count()
        };
        number(self.notices.iter().map(after).sum())
    }

    fn most_repeats(&self) -> f64 {
        let rule = self.bounds.retries;
        let came: Vec<Time> = self.requests.iter().map(|r| r.at).collect();
        let repeats: Vec<Time> = self
            .arrivals
            .iter()
            .filter(|a| a.repeat)
            .map(|a| a.at)
            .collect();
        let mut most = 0.0_f64;
        for (i, &end) in repeats.iter().enumerate() {
            let seen = repeats[..=i]
                .iter()
                .filter(|at| end.since(**at) < rule.window);
            // The operator counts the requests of this window, of the one
            // before or of the one half a window before, whichever has most.
            let within = |back: Duration| {
                let upto = end.since(Time::ZERO).saturating_sub(back);
                let from = upto.saturating_sub(rule.window);
                came.iter()
                    .filter(|at| (from..=upto).contains(&at.since(Time::ZERO)))
                    .count()
            };
            let counted = [Duration::ZERO, rule.window / 2, rule.window].map(within);
            let counted = counted.into_iter().max().unwrap_or_default();
            let bound = rule.ratio * number(counted) + rule.slack;
            most = most.max(number(seen.count()) / bound);
        }
        most
    }

    fn most_cold(&self) -> f64 {
        let bound = self.cold_rate * self.bounds.cold_factor + self.bounds.cold_slack;
        let cold: Vec<&Arrival> = self.arrivals.iter().filter(|a| a.cold).collect();
        let within = |first: &Arrival| {
            let inside = |a: &&&Arrival| {
                a.target == first.target && a.sent >= first.sent && a.at < first.sent + SECOND
            };
            number(cold.iter().filter(inside).count())
        };
        let most = cold.iter().map(|first| within(first)).fold(0.0, f64::max);
        most / bound
    }

    fn most_limited(&self) -> f64 {
        let limited: Vec<&Arrival> = self.arrivals.iter().filter(|a| a.told).collect();
        let mut most = 0.0_f64;
        for (at, first) in limited.iter().enumerate() {
            let Some(limit) = first.limit else { continue };
            let bound = limit * LIMITED.as_secs_f64() * LIMIT_FACTOR + LIMIT_SLACK;
            let later = limited[at..].iter();
            let window = later.take_while(|a| a.at.since(first.at) < LIMITED);
            let same = window.filter(|a| a.target == first.target);
            most = most.max(number(same.count()) / bound);
        }
        most
    }

    fn most_shift(&self) -> f64 {
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
            while start + SPAN * 2 <= last.at {
                let shares = (self.share(region, start), self.share(region, start + SPAN));
                if let (Some(one), Some(other)) = shares {
                    most = most.max((one - other).abs() / self.bounds.shift_max);
                }
                start = start + STEP;
            }
        }
        most
    }

    fn share(&self, region: usize, from: Time) -> Option<f64> {
        let here = self.requests.iter().filter(|r| r.region == region);
        let within = here.filter(|r| r.at >= from && r.at < from + SPAN);
        let run: Vec<bool> = within.filter_map(|r| r.elsewhere).collect();
        let elsewhere = run.iter().filter(|e| **e).count();
        (run.len() >= LEAST).then(|| number(elsewhere) / number(run.len()))
    }
}

#[allow(clippy::cast_precision_loss, reason = "counts of a run are small")]
fn number(count: usize) -> f64 {
    count as f64
}

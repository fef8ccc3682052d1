//! Rate of callers' requests at this instance, and those that others report.
//!
//! Answers a region's load, which no single instance sees.
//!
//! Invariants: a report is used for at most [`RATE_TTL`]; one that is not newer than the
//! last from its sender changes nothing.

use core::time::Duration;
use std::sync::Arc;

use crate::clock::Time;

/// Time for which a reported rate is used: two reports in a row may be lost.
const RATE_TTL: Duration = Duration::from_secs(3);

/// Whole seconds over which requests are averaged, so that single bursts don't count as
/// demand.
const AVERAGED_SECONDS: u64 = 3;

/// Counters of a [`RateMeter`]: the averaged seconds and the present one.
const COUNTERS: usize = 4;

/// Rate of callers' requests at an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerRate {
    /// Name of the sender.
    pub name: Arc<str>,
    /// Distinguishes processes of the same name.
    pub incarnation: u64,
    /// Counts the reports of this incarnation.
    pub seq: u64,
    /// Requests a second.
    pub rate: f64,
}

/// Counts requests by the second.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateMeter([(u64, u32); COUNTERS]);

impl RateMeter {
    /// Counts a request.
    pub fn record(&mut self, now: Time) {
        let second = second(now);
        let at = usize::try_from(second % COUNTERS as u64).unwrap_or_default();
        let counter = &mut self.0[at];
        if counter.0 != second {
            *counter = (second, 0);
        }
        counter.1 = counter.1.saturating_add(1);
    }

    /// Requests a second over the last whole seconds; 0 in the first second of the
    /// process.
    #[must_use]
    pub fn rate(&self, now: Time) -> f64 {
        let end = second(now);
        let begin = end.saturating_sub(AVERAGED_SECONDS);
        let counters = self.0.iter().filter(|c| (begin..end).contains(&c.0));
        let sum: f64 = counters.map(|c| f64::from(c.1)).sum();
        let seconds = u32::try_from(end - begin).unwrap_or(u32::MAX);
        sum / f64::from(seconds.max(1))
    }
}

const fn second(now: Time) -> u64 {
    now.as_micros() / 1_000_000
}

/// Last report of an instance.
#[derive(Clone, Debug)]
struct Report {
    content: CallerRate,
    received_at: Time,
}

/// Last reports of other instances, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct Reports(Vec<Report>);

impl Reports {
    /// Takes a report unless it is not newer than the last one of its sender.
    pub fn receive(&mut self, now: Time, content: CallerRate) {
        let found = self
            .0
            .binary_search_by(|r| r.content.name.cmp(&content.name));
        let report = Report {
            content,
            received_at: now,
        };
        match found {
            Ok(at) => {
                let last = &self.0[at].content;
                let is_newer =
                    last.incarnation != report.content.incarnation || last.seq < report.content.seq;
                if is_newer {
                    self.0[at] = report;
                }
            }
            Err(at) => self.0.insert(at, report),
        }
    }

    /// Rate of an instance, if it has reported one recently.
    #[must_use]
    pub fn rate(&self, now: Time, name: &str) -> Option<f64> {
        let at = self.0.binary_search_by(|r| (*r.content.name).cmp(name));
        let report = &self.0[at.ok()?];
        (now.since(report.received_at) < RATE_TTL).then_some(report.content.rate)
    }

    /// Drops the reports of instances that are no longer known. Others are kept although
    /// they have expired, to recognize late datagrams.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.0.retain(|r| is_known(&r.content.name));
    }
}

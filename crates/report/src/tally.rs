//! Counts by route, region, instance and time.

use std::sync::Arc;

use serde::Serialize;

use crate::log::Log;
use crate::trace::{Cause, End, Request, Trace};

/// What became of a group of requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Tally {
    /// Requests taken.
    pub taken: usize,
    /// Answered within their objective.
    pub in_time: usize,
    /// Answered later.
    pub late: usize,
    /// Rejected: not run.
    pub rejected: usize,
    /// Failed, or of unknown fate.
    pub failed: usize,
    /// Run in another region.
    pub elsewhere: usize,
    /// Run where their object was known to be.
    pub warm: usize,
    /// Sent anywhere.
    pub sent: usize,
    /// Held for an eighth of their objective or longer before they were sent.
    pub held: usize,
    /// Taken up while another of their connection was unanswered.
    pub piped: usize,
    /// Of those late or rejected: an allowed region had a free slot.
    pub room: usize,
}

impl Tally {
    fn add(&mut self, request: &Request, held: bool) {
        self.taken += 1;
        match request.end {
            End::InTime => self.in_time += 1,
            End::Late => self.late += 1,
            End::Rejected(_) => self.rejected += 1,
            End::Failed => self.failed += 1,
        }
        self.elsewhere += usize::from(request.is_elsewhere());
        self.warm += usize::from(request.warm);
        self.sent += usize::from(request.attempts > 0);
        self.held += usize::from(held);
        self.piped += usize::from(request.piped);
        self.room += usize::from(!request.room.is_empty());
    }
}

/// Tallies by a name, in its order.
#[derive(Clone, Debug, Serialize)]
pub struct Group {
    /// The names.
    pub names: Vec<Arc<str>>,
    /// A tally for each.
    pub tallies: Vec<Tally>,
}

impl Group {
    fn of<'a>(
        requests: impl Iterator<Item = &'a Request>,
        name: impl Fn(&Request) -> Arc<str>,
        held: impl Fn(&Request) -> bool,
    ) -> Self {
        let mut group = Self {
            names: Vec::new(),
            tallies: Vec::new(),
        };
        for request in requests {
            let name = name(request);
            let at = match group.names.binary_search(&name) {
                Ok(at) => at,
                Err(at) => {
                    group.names.insert(at, name);
                    group.tallies.insert(at, Tally::default());
                    at
                }
            };
            group.tallies[at].add(request, held(request));
        }
        group
    }
}

/// Counts by two names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Cross {
    /// Names of lines, sorted.
    pub lines: Vec<String>,
    /// Names of columns, sorted.
    pub columns: Vec<String>,
    /// Counts, line by line.
    pub counts: Vec<Vec<usize>>,
}

impl Cross {
    fn of(pairs: impl Iterator<Item = (String, String)>) -> Self {
        let pairs: Vec<_> = pairs.collect();
        let sorted = |names: &mut dyn Iterator<Item = &String>| {
            let mut names: Vec<String> = names.cloned().collect();
            names.sort();
            names.dedup();
            names
        };
        let lines = sorted(&mut pairs.iter().map(|p| &p.0));
        let columns = sorted(&mut pairs.iter().map(|p| &p.1));
        let mut counts = vec![vec![0; columns.len()]; lines.len()];
        for (line, column) in &pairs {
            if let (Ok(l), Ok(c)) = (lines.binary_search(line), columns.binary_search(column)) {
                counts[l][c] += 1;
            }
        }
        Self {
            lines,
            columns,
            counts,
        }
    }
}

/// A span of time.
#[derive(Clone, Debug, Serialize)]
pub struct Span {
    /// Its start in seconds.
    pub from: f64,
    /// Requests that arrived in it.
    pub tally: Tally,
    /// Requests in flight and slots in its middle, for each place.
    pub usage: Vec<(usize, usize)>,
    /// Rejections, for each cause in the order of [`Report::rejected`].
    pub rejected: Vec<usize>,
}

/// What a region sends elsewhere.
#[derive(Clone, Debug, Serialize)]
pub struct Share {
    /// The region.
    pub region: Arc<str>,
    /// For each span, requests that were sent, and those of them elsewhere.
    pub counts: Vec<(usize, usize)>,
}

/// The whole account.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Lines that hold no event.
    pub unread: usize,
    /// Lines that instances left out.
    pub left_out: u64,
    /// Everything.
    pub all: Tally,
    /// By route.
    pub routes: Group,
    /// By the region of the instance that took them.
    pub regions: Group,
    /// By instance.
    pub instances: Group,
    /// Rejections by cause and region.
    pub rejected: Cross,
    /// Late answers by what they lost their objective by, and route.
    pub late: Cross,
    /// Late or rejected though an allowed region had a free slot: by route and
    /// region taken, against the regions that had one.
    pub missed: Cross,
    /// Services and regions of [`Span::usage`].
    pub places: Vec<(Arc<str>, Arc<str>)>,
    /// In order.
    pub spans: Vec<Span>,
    /// By region.
    pub shares: Vec<Share>,
}

/// Part of an objective for which a request may be held unremarked.
const HELD: f64 = 0.125;

impl Report {
    /// Counts, in spans of `span` seconds.
    #[must_use]
    pub fn of(log: &Log, trace: &Trace, span: f64) -> Self {
        let held = |r: &Request| {
            let goal = trace.route(&r.route).map_or(u64::MAX, |r| r.goal_ms);
            #[allow(clippy::cast_precision_loss, reason = "milliseconds of a request")]
            let held = r.held_ms as f64 >= goal as f64 * HELD;
            r.attempts > 0 && held
        };
        let group = |name: fn(&Request) -> Arc<str>| Group::of(trace.requests.iter(), name, held);
        let mut all = Tally::default();
        for request in &trace.requests {
            all.add(request, held(request));
        }
        let rejected = Cross::of(trace.requests.iter().filter_map(|r| match &r.end {
            End::Rejected(why) => Some((why.to_string(), r.region.to_string())),
            _ => None,
        }));
        let spans = spans(trace, span, &rejected.lines, held);
        Self {
            unread: log.unread,
            left_out: log.left_out,
            all,
            routes: group(|r| Arc::clone(&r.route)),
            regions: group(|r| Arc::clone(&r.region)),
            instances: group(|r| Arc::clone(&r.instance)),
            rejected,
            late: Cross::of(trace.requests.iter().filter_map(|r| match r.end {
                End::Late => Some((r.route.to_string(), word(r.cause).to_owned())),
                _ => None,
            })),
            missed: missed(trace),
            places: trace.load.places(),
            shares: shares(trace, &spans, span),
            spans,
        }
    }
}

fn word(cause: Cause) -> &'static str {
    match cause {
        Cause::Again => "sent-again",
        Cause::Held => "held",
        Cause::FarCold => "far-and-cold",
        Cause::Cold => "cold",
        Cause::Slow => "queue-or-slow",
        Cause::Else => "else",
    }
}

fn missed(trace: &Trace) -> Cross {
    Cross::of(trace.requests.iter().flat_map(|r| {
        let what = match r.end {
            End::Rejected(_) => "rejected",
            _ => "late",
        };
        let line = format!("{} {} {what}", r.route, r.region);
        r.room
            .iter()
            .map(move |room| (line.clone(), room.to_string()))
    }))
}

fn spans(
    trace: &Trace,
    span: f64,
    causes: &[String],
    held: impl Fn(&Request) -> bool,
) -> Vec<Span> {
    let mut spans: Vec<Span> = Vec::new();
    let Some(first) = trace.requests.first() else {
        return spans;
    };
    let start = (first.arrived / span).floor() * span;
    let places = trace.load.places();
    for request in &trace.requests {
        let at = index(request.arrived - start, span);
        while spans.len() <= at {
            #[allow(clippy::cast_precision_loss, reason = "spans are few")]
            let from = start + spans.len() as f64 * span;
            let usage = places.iter().map(|(service, region)| {
                let usage = trace.load.usage(service, region, from + span / 2.0);
                (usage.flying, usage.slots)
            });
            spans.push(Span {
                from,
                tally: Tally::default(),
                usage: usage.collect(),
                rejected: vec![0; causes.len()],
            });
        }
        if let End::Rejected(why) = &request.end
            && let Ok(cause) = causes.binary_search_by(|c| (**c).cmp(why))
        {
            spans[at].rejected[cause] += 1;
        }
        spans[at].tally.add(request, held(request));
    }
    spans
}

fn shares(trace: &Trace, spans: &[Span], span: f64) -> Vec<Share> {
    let mut shares: Vec<Share> = Vec::new();
    let start = spans.first().map_or(0.0, |s| s.from);
    for request in trace.requests.iter().filter(|r| r.attempts > 0) {
        let at = match shares.binary_search_by(|s| s.region.cmp(&request.region)) {
            Ok(at) => at,
            Err(at) => {
                let share = Share {
                    region: Arc::clone(&request.region),
                    counts: vec![(0, 0); spans.len()],
                };
                shares.insert(at, share);
                at
            }
        };
        let count = &mut shares[at].counts[index(request.arrived - start, span)];
        count.0 += 1;
        count.1 += usize::from(request.is_elsewhere());
    }
    shares
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "spans are few, and none is before the first"
)]
fn index(since: f64, span: f64) -> usize {
    (since / span).floor().max(0.0) as usize
}

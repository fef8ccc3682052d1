//! Checks of second attempts: their number over all instances, and the time that targets
//! are told is left.

use std::time::{Duration, Instant};

use platform_standin::target::Arrival;

use super::invariants::Exchange;
use super::links::Links;
use super::proxy::Proxy;

/// Second attempts that the operator allows.
#[derive(Clone, Copy, Debug)]
pub struct Rule {
    /// For each request.
    pub ratio: f64,
    /// Besides.
    pub slack: f64,
}

impl Rule {
    /// The usual rule, or for every second seed one that is used up soon.
    pub const fn of(seed: u64) -> Self {
        if seed.is_multiple_of(2) {
            Self {
                ratio: 0.02,
                slack: 4.0,
            }
        } else {
            Self {
                ratio: 0.2,
                slack: 58.0,
            }
        }
    }
}

/// Window over which both are counted.
const WINDOW: Duration = Duration::from_secs(10);

/// Time that callers wait for an answer.
const CALLER_DEADLINE: Duration = Duration::from_millis(2_500);

/// Time by which a target may be told too much.
const TOLERANCE: Duration = Duration::from_millis(500);

/// Longest time for which a proxy holds bytes back.
const HELD_MAX: Duration = Duration::from_secs(2);

/// One arrival of a request at a target.
struct Send<'a> {
    id: &'a str,
    at: Instant,
    deadline: Option<Duration>,
    proxy: &'a Proxy,
}

/// What lies between instances and targets.
pub struct Paths<'a> {
    /// Proxy to each target.
    pub proxies: &'a [Proxy],
    pub links: &'a Links,
}

/// Returns the windows in which targets got more second attempts than allowed, and the
/// requests that were sent with more time than their callers had left. `exchanges` are
/// sorted by id.
pub fn violations(
    rule: Rule,
    exchanges: &[Exchange],
    arrivals: &[(String, Vec<Arrival>)],
    paths: &Paths<'_>,
) -> Vec<String> {
    let mut sends = Vec::new();
    for ((_, arrivals), proxy) in arrivals.iter().zip(paths.proxies) {
        // Requests that only ask whether an instance serves share an id.
        let is_counted = |a: &&Arrival| exchanges.binary_search_by(|e| e.id.cmp(&a.id)).is_ok();
        sends.extend(arrivals.iter().filter(is_counted).map(|a| Send {
            id: &a.id,
            at: a.at,
            deadline: a.deadline,
            proxy,
        }));
    }
    sends.sort_by_key(|s| (s.id, s.at));
    let mut violations: Vec<String> = too_many(rule, exchanges, &sends).into_iter().collect();
    for send in &sends {
        let Ok(at) = exchanges.binary_search_by(|e| (*e.id).cmp(send.id)) else {
            continue;
        };
        let first = &sends[sends.partition_point(|s| s.id < send.id)];
        violations.extend(too_long(&exchanges[at], first, send, paths.links));
    }
    violations
}

/// The window with the most second attempts beyond the bound.
fn too_many(rule: Rule, exchanges: &[Exchange], sends: &[Send<'_>]) -> Option<String> {
    let pairs = sends.windows(2).filter(|pair| pair[0].id == pair[1].id);
    let repeats: Vec<Instant> = pairs.map(|pair| pair[1].at).collect();
    let is_routed = |e: &&Exchange| e.answer.as_ref().is_none_or(|a| a.status != 404);
    let requests: Vec<Instant> = exchanges
        .iter()
        .filter(is_routed)
        .map(|e| e.sent_at)
        .collect();
    let count = |times: &[Instant], from: Instant| {
        let is_within = |at: &&Instant| (from..from + WINDOW).contains(*at);
        u32::try_from(times.iter().filter(is_within).count()).expect("it is small")
    };
    let excess = |from: &Instant| {
        let counted = [Duration::ZERO, WINDOW / 2, WINDOW]
            .iter()
            .filter_map(|before| Some(count(&requests, from.checked_sub(*before)?)))
            .max();
        let bound = rule.ratio * f64::from(counted.unwrap_or_default()) + rule.slack;
        let found = count(&repeats, *from);
        (f64::from(found) > bound).then(|| format!("{found} second attempts in 10 s, {bound}"))
    };
    repeats.iter().find_map(excess)
}

/// A send whose target was told that more time is left than its caller has.
fn too_long(
    exchange: &Exchange,
    first: &Send<'_>,
    send: &Send<'_>,
    links: &Links,
) -> Option<String> {
    let Some(deadline) = send.deadline else {
        return Some(format!("{} was sent without a deadline", send.id));
    };
    let first_end = first.at + first.deadline.unwrap_or_default();
    let end = send.at + deadline;
    let latest = first_end.max(exchange.sent_at + CALLER_DEADLINE) + TOLERANCE;
    let is_late = send.at > first.at + TOLERANCE && end > latest;
    let held_since = send.at.checked_sub(HELD_MAX)?;
    let is_held_up =
        send.proxy.is_faulty_within(held_since, send.at) || links.may_hold_up(None, send.at);
    if deadline > CALLER_DEADLINE + TOLERANCE || is_late && !is_held_up {
        return Some(format!("{} was sent with {deadline:?} left", send.id));
    }
    None
}

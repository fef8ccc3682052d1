//! Checks that what targets ask of an instance in their answers is kept. Targets record
//! requests and when they arrived; the instances' log lines tell which process sent each.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use platform_standin::target::Arrival;

use super::links::Links;

/// One process of an instance.
pub struct Process {
    /// Number of the instance.
    pub instance: usize,
    /// Its log lines.
    pub lines: Arc<Mutex<Vec<String>>>,
    /// Time at which it was started.
    pub started_at: Instant,
    /// Time at which it was told to end, or killed.
    pub ended_at: Option<Instant>,
    /// Times at which it was frozen.
    pub frozen_at: Vec<Instant>,
}

/// Time after a target's answer in which requests on their way may still arrive.
const NOTICE: Duration = Duration::from_millis(500);

/// Requests that may arrive later in a backoff.
const SLACK: usize = 2;

/// Time after the first announcement of a stop from which no request may arrive.
const DRAIN: Duration = Duration::from_millis(2_500);

/// A request that arrived at a target, with the process that sent it.
struct Request {
    process: usize,
    /// Whether the process got the target's answer; faults on the way lose some.
    is_answered: bool,
    arrival: Arrival,
}

/// Returns all cases in which a process sent requests to a target in a backoff that the
/// target had asked it for, or long after the target had announced its stop. Requests of
/// a process that was frozen meanwhile are left out, as are those without a log line, those
/// that a cut link may have held up, and answers that didn't arrive.
pub fn violations(
    arrivals: Vec<(String, Vec<Arrival>)>,
    processes: &[Process],
    links: &Links,
) -> Vec<String> {
    let senders = senders(processes);
    let mut violations = Vec::new();
    for (target, arrivals) in arrivals {
        let sender = |arrival: Arrival| {
            let key = (arrival.id.clone(), target.clone());
            let at = senders.binary_search_by(|s| s.0.cmp(&key)).ok()?;
            let (_, process, is_answered) = senders[at];
            Some(Request {
                process,
                is_answered,
                arrival,
            })
        };
        let requests: Vec<Request> = arrivals.into_iter().filter_map(sender).collect();
        let asking = requests.iter().enumerate().filter(|(_, r)| r.is_answered);
        for (at, request) in asking {
            let frozen_at = &processes[request.process].frozen_at;
            let later = requests[at + 1..].iter().filter(|later| {
                let span = request.arrival.at..=later.arrival.at;
                let instance = processes[later.process].instance;
                later.process == request.process
                    && !frozen_at.iter().any(|f| span.contains(f))
                    && !links.may_hold_up(Some(instance), later.arrival.at)
            });
            let after: Vec<Duration> = later.map(|l| l.arrival.at - request.arrival.at).collect();
            if let Some(backoff) = request.arrival.backoff {
                let count = after
                    .iter()
                    .filter(|a| (NOTICE..backoff).contains(a))
                    .count();
                if count > SLACK {
                    violations.push(format!(
                        "{count} requests to {target} in a backoff of {backoff:?} after {}",
                        request.arrival.id
                    ));
                }
            }
            if request.arrival.is_leaving && after.iter().any(|a| *a > DRAIN) {
                violations.push(format!(
                    "a request to {target} that announced its stop to {}: {after:?}",
                    request.arrival.id
                ));
            }
        }
    }
    violations
}

/// Process that sent each request to a target, and whether it got an answer, sorted by
/// request id and target. Of a relayed request that is the relay.
pub fn senders(processes: &[Process]) -> Vec<((String, String), usize, bool)> {
    let mut senders = Vec::new();
    for (process, record) in processes.iter().enumerate() {
        let lines = record.lines.lock().expect("the lock is not poisoned");
        let is_attempt = |l: &&String| {
            l.contains(r#""event":"attempt""#) && !l.contains(r#""relay":"#) || is_relayed(l)
        };
        for line in lines.iter().filter(is_attempt) {
            let fields: serde_json::Value = serde_json::from_str(line).expect("a line is JSON");
            let text = |name: &str| fields[name].as_str().unwrap_or_default().to_owned();
            let ending = text("ending");
            if ending != "withdrawn" {
                let is_answered = match fields["status"].as_u64() {
                    Some(status) => status != 0,
                    None => ["answered", "failed", "not-run"].contains(&&*ending),
                };
                senders.push(((text("request"), text("target")), process, is_answered));
            }
        }
    }
    senders.sort();
    senders
}

fn is_relayed(line: &str) -> bool {
    line.contains(r#""event":"relayed""#)
}

/// Number of attempts that instances made for others.
pub fn relayed(processes: &[Process]) -> usize {
    let count = |process: &Process| {
        let lines = process.lines.lock().expect("the lock is not poisoned");
        lines.iter().filter(|l| is_relayed(l)).count()
    };
    processes.iter().map(count).sum()
}

/// Versions of the configuration that a process has installed, and when.
pub fn installed(process: &Process) -> Vec<(u64, Instant)> {
    let lines = process.lines.lock().expect("the lock is not poisoned");
    let configs = lines.iter().filter(|l| l.contains(r#""event":"config""#));
    let read = |line: &String| {
        let fields: serde_json::Value = serde_json::from_str(line).expect("a line is JSON");
        let number = |name: &str| fields[name].as_u64().unwrap_or_default();
        let at = process.started_at + Duration::from_millis(number("at_ms"));
        (number("version"), at)
    };
    configs.map(read).collect()
}

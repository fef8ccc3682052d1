//! Log events of single requests: attempts at targets, and answers that this system
//! gave itself.

use std::net::IpAddr;
use std::time::Duration;

use pool::ConnectFault;
use serde::Serialize;
use steer::clock::Time;
use steer::process::direct::Withheld;
use steer::process::direct::budget::Grant;
use steer::process::direct::target::Feedback;
use steer::request::arrival::Fingerprint;

use super::{millis, write};
use crate::direct::Shared;

/// Caller of a request, its position on its connection, and how it arrived.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Origin {
    /// Address of the caller.
    pub caller: IpAddr,
    /// Number of the connection, among those of callers.
    pub connection: u64,
    /// Unanswered requests ahead of it on the connection when its handling began.
    pub ahead: usize,
    /// Milliseconds from its first byte until its handling began.
    pub read_ms: u64,
}

/// Fields of event `attempt`.
#[derive(Serialize)]
struct AttemptFields<'a> {
    request: &'a str,
    route: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    team: Option<&'a str>,
    #[serde(flatten)]
    origin: Origin,
    target: &'a str,
    /// Instance that was to send it, if this one is cut off from all targets.
    #[serde(skip_serializing_if = "Option::is_none")]
    relay: Option<&'a str>,
    attempt: usize,
    held_ms: u64,
    took_ms: u64,
    /// Time that the target was told is left, in milliseconds.
    left_ms: u64,
    ending: &'a str,
    status: u16,
    /// Why it was not sent, of a request that was withdrawn.
    #[serde(skip_serializing_if = "Option::is_none")]
    withheld: Option<&'a str>,
    /// Why no connection to the target could be opened, if none could.
    #[serde(skip_serializing_if = "Option::is_none")]
    connect: Option<&'a str>,
    /// Load of the target as estimated when the request was sent.
    believed: f64,
    /// Age of the target's last load report at that time, in milliseconds.
    believed_ms: u64,
    /// Requests at the target, as its answer reports.
    load: u32,
    /// Time that work takes on its machine, as a multiple of the usual one, as its answer
    /// reports.
    #[serde(skip_serializing_if = "Option::is_none")]
    slowdown: Option<f64>,
    /// That figure as last reported before the request was sent, and its age.
    #[serde(skip_serializing_if = "Option::is_none")]
    slowdown_known: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    slowdown_known_ms: Option<u64>,
    /// Requests per second that the target accepts, as its answer states.
    #[serde(skip_serializing_if = "Option::is_none")]
    limit: Option<f64>,
    /// That limit as known when the request was sent.
    #[serde(skip_serializing_if = "Option::is_none")]
    limit_known: Option<f64>,
    /// Time for which the target asks for no requests, as its answer states.
    #[serde(skip_serializing_if = "Option::is_none")]
    backoff_ms: Option<u64>,
    /// Remaining time of such a backoff as known when the request was sent.
    #[serde(skip_serializing_if = "Option::is_none")]
    backoff_known_ms: Option<u64>,
    /// Whether the target reports in its answer that it is about to stop.
    #[serde(skip_serializing_if = "is_false")]
    leaving: bool,
    /// Time since it first did so, as known when the request was sent.
    #[serde(skip_serializing_if = "Option::is_none")]
    leaving_known_ms: Option<u64>,
    warm: bool,
    expected_ms: f64,
    object: u64,
    /// Fingerprint that repeats of the request share.
    fingerprint: String,
    /// Strikes against it as a suspect of crashing targets when it was sent.
    #[serde(skip_serializing_if = "is_zero")]
    strikes: u8,
    /// How it was allowed, if it is a retry.
    #[serde(flatten, skip_serializing_if = "Option::is_none")]
    retry: Option<RetryFields>,
    /// Version of the configuration it was decided by.
    config: u64,
    /// Largest possible age of what was known of targets then, in milliseconds; null if
    /// unknown.
    stale_ms: Option<u64>,
}

/// How a retry was allowed.
#[derive(Serialize)]
struct RetryFields {
    /// Milliseconds from the decision to allow it until it was sent.
    allowed_ms: u64,
    /// Requests of its service in the operator's window that ended with that decision.
    window_requests: usize,
    /// Retries in the same window.
    window_retries: usize,
    /// Instances among which the bound was divided.
    sharing: usize,
}

impl RetryFields {
    fn new(grant: &Grant, started: Time) -> Self {
        Self {
            allowed_ms: millis(started.since(grant.at)),
            window_requests: grant.used.requests,
            window_retries: grant.used.retries,
            sharing: grant.instances,
        }
    }
}

/// An attempt that has ended.
pub struct Attempt<'a> {
    /// The request's id.
    pub request: &'a str,
    /// Name of its route.
    pub route: &'a str,
    /// Name of the team that sent it.
    pub team: Option<&'a str>,
    /// Its connection and arrival.
    pub origin: Origin,
    /// Id of the target.
    pub target: &'a str,
    /// Number of the attempt, from 1.
    pub number: usize,
    /// Start of the attempt.
    pub started: Time,
    /// Milliseconds from the request's arrival to the start of this attempt.
    pub held_ms: u64,
    /// Duration of the attempt in milliseconds.
    pub took_ms: u64,
    /// Time that the target was told is left of the request's, in milliseconds.
    pub left_ms: u64,
    /// Name of the outcome.
    pub outcome: &'a str,
    /// Status code of the target's answer; 0 if there is none.
    pub status: u16,
    /// Why it was not sent, if it was withdrawn.
    pub withheld: Option<Withheld>,
    /// Why no connection to the target could be opened, if none could.
    pub connect_fault: Option<ConnectFault>,
    /// What the target's answer reports of the target.
    pub feedback: Feedback,
    /// The decision to send it there, with the estimates it was based on.
    pub assignment: &'a steer::process::direct::Assignment,
    /// Hash of the object that the request concerns; 0 if it names none.
    pub object: u64,
}

/// Logs the end of an attempt and counts it in the metrics.
pub fn attempt_ended(shared: &Shared, a: &Attempt<'_>) {
    let metrics = &shared.metrics;
    metrics.attempts.with_label_values(&[a.outcome]).inc();
    metrics.hold_time.observe(seconds(a.held_ms));
    metrics.attempt_time.observe(seconds(a.took_ms));
    if a.assignment.relay.is_some() {
        let labels = ["sender", a.outcome];
        metrics.relayed.with_label_values(&labels).inc();
    }
    if a.assignment.limit.is_some() {
        metrics.limited_attempts.inc();
    }
    if let Some(fault) = a.connect_fault {
        let counter = metrics.connect_faults.with_label_values(&[fault.name()]);
        counter.inc();
    }
    if let Some(slowdown) = a.feedback.slowdown {
        metrics.slowdown.observe(slowdown);
    }
    let fields = AttemptFields {
        request: a.request,
        route: a.route,
        team: a.team,
        origin: a.origin,
        target: a.target,
        relay: a.assignment.relay.as_ref().map(|r| &*r.name),
        attempt: a.number,
        held_ms: a.held_ms,
        took_ms: a.took_ms,
        left_ms: a.left_ms,
        ending: a.outcome,
        status: a.status,
        withheld: a.withheld.map(Withheld::name),
        connect: a.connect_fault.map(ConnectFault::name),
        believed: a.assignment.load,
        believed_ms: millis(a.assignment.load_age),
        load: a.feedback.load.unwrap_or_default(),
        slowdown: a.feedback.slowdown,
        slowdown_known: a.assignment.slowdown.map(|(factor, _)| factor),
        slowdown_known_ms: a.assignment.slowdown.map(|(_, age)| millis(age)),
        limit: a.feedback.limit,
        limit_known: a.assignment.limit,
        backoff_ms: a.feedback.backoff.map(millis),
        backoff_known_ms: a.assignment.backoff_left.map(millis),
        leaving: a.feedback.is_leaving,
        leaving_known_ms: a.assignment.leaving_age.map(millis),
        warm: a.assignment.is_warm,
        expected_ms: a.assignment.expected_work * 1000.0,
        object: a.object,
        fingerprint: a.assignment.fingerprint.to_string(),
        strikes: a.assignment.strikes,
        retry: a
            .assignment
            .grant
            .as_deref()
            .map(|grant| RetryFields::new(grant, a.started)),
        config: a.assignment.version,
        stale_ms: a.assignment.staleness.map(millis),
    };
    write(shared, "attempt", fields);
}

/// Fields of event `own-answer`.
#[derive(Serialize)]
struct OwnAnswerFields<'a> {
    request: &'a str,
    route: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    team: Option<&'a str>,
    #[serde(flatten)]
    origin: Origin,
    /// Fingerprint that repeats of the request share; none before it is routed.
    #[serde(skip_serializing_if = "Option::is_none")]
    fingerprint: Option<String>,
    status: u16,
    why: &'a str,
    held_ms: u64,
    /// Expected wait for a slot of a request that its service has too few for.
    #[serde(skip_serializing_if = "Option::is_none")]
    forecast_ms: Option<u64>,
    waiting: usize,
    /// Version of the configuration in force.
    config: u64,
    /// Milliseconds since the store's last answer; null before the first.
    store_ms: Option<u64>,
    /// Milliseconds since the store's content was last known in full, which bounds
    /// the use of keys; null before the first answer.
    stale_ms: Option<u64>,
}

/// An answer that this system gave itself, without one of a target.
pub struct OwnAnswer<'a> {
    /// The request's id.
    pub request: &'a str,
    /// Name of its route; empty if it has none.
    pub route: &'a str,
    /// Name of the team that sent it, if known.
    pub team: Option<&'a str>,
    /// Its connection and arrival.
    pub origin: Origin,
    /// Fingerprint that its repeats share, once it is routed.
    pub fingerprint: Option<Fingerprint>,
    /// Status code of the answer.
    pub status: u16,
    /// Short name of the cause.
    pub reason: &'a str,
    /// Milliseconds from the request's arrival to the answer.
    pub held_ms: u64,
    /// Expected wait for a slot, if it was rejected by it or while its service was short.
    pub forecast: Option<Duration>,
}

/// Logs an answer that no target gave and counts it in the metrics.
pub fn own_answer(shared: &Shared, answer: &OwnAnswer<'_>) {
    let OwnAnswer {
        request,
        route,
        team,
        origin,
        fingerprint,
        status,
        reason,
        held_ms,
        forecast,
    } = *answer;
    let labels = [&*status.to_string(), reason];
    shared.metrics.own_answers.with_label_values(&labels).inc();
    let (waiting, config, store, stale) = shared.read(|now, d| {
        (
            d.waiting_count(),
            d.version(),
            d.store_age(now),
            d.staleness(now),
        )
    });
    let fields = OwnAnswerFields {
        request,
        route,
        team,
        origin,
        fingerprint: fingerprint.map(|f| f.to_string()),
        status,
        why: reason,
        held_ms,
        forecast_ms: forecast.map(millis),
        waiting,
        config,
        store_ms: store.map(millis),
        stale_ms: stale.map(millis),
    };
    write(shared, "own-answer", fields);
}

#[allow(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_false(value: &bool) -> bool {
    !*value
}

#[allow(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_zero(value: &u8) -> bool {
    *value == 0
}

fn seconds(millis: u64) -> f64 {
    Duration::from_millis(millis).as_secs_f64()
}

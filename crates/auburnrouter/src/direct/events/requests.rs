//! Lines about single requests: attempts at targets, and answers that no target
//! gave.

use std::time::Duration;

use serde::Serialize;
use steer::process::direct::target::Word;

use super::{millis, write};
use crate::direct::Shared;

/// Where a request came from.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Origin {
    /// Number of its connection in this process.
    pub connection: u64,
    /// Requests ahead of it there that were unanswered when it was taken up.
    pub ahead: usize,
    /// Milliseconds from its first byte until it was taken up.
    pub read_ms: u64,
}

#[derive(Serialize)]
struct Attempted<'a> {
    request: &'a str,
    route: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    team: Option<&'a str>,
    #[serde(flatten)]
    origin: Origin,
    target: &'a str,
    attempt: usize,
    held_ms: u64,
    took_ms: u64,
    ending: &'a str,
    status: u16,
    /// Requests believed there when it was sent, and by the target's own word.
    believed: f64,
    /// Age of the target's own last word on them.
    believed_ms: u64,
    load: u32,
    /// Requests a second that the target takes, by its answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    limit: Option<f64>,
    /// The same as known when it was sent.
    #[serde(skip_serializing_if = "Option::is_none")]
    limit_known: Option<f64>,
    warm: bool,
    expected_ms: f64,
    object: u64,
    /// Version of the configuration.
    config: u64,
}

/// What is known of an attempt when it ends.
pub struct Attempt<'a> {
    /// The request's id.
    pub request: &'a str,
    /// Name of its route.
    pub route: &'a str,
    /// Name of the team whose it is.
    pub team: Option<&'a str>,
    /// Where it came from.
    pub origin: Origin,
    /// Name of the target.
    pub target: &'a str,
    /// Which attempt, from 1.
    pub number: usize,
    /// Milliseconds from the request's arrival to this attempt.
    pub held: u64,
    /// Milliseconds that it took.
    pub took: u64,
    /// How it ended.
    pub ending: &'a str,
    /// The target's status; 0 if there is none.
    pub status: u16,
    /// What the target says of itself.
    pub word: Word,
    /// What decided it.
    pub go: &'a steer::process::direct::Assignment,
    /// The object's hash; 0 if it names none.
    pub object: u64,
}

/// An attempt has ended.
pub fn attempt(shared: &Shared, a: &Attempt<'_>) {
    let metrics = &shared.metrics;
    metrics.attempts.with_label_values(&[a.ending]).inc();
    metrics.held.observe(seconds(a.held));
    metrics.took.observe(seconds(a.took));
    if a.go.limit.is_some() {
        metrics.limited.inc();
    }
    let fields = Attempted {
        request: a.request,
        route: a.route,
        team: a.team,
        origin: a.origin,
        target: a.target,
        attempt: a.number,
        held_ms: a.held,
        took_ms: a.took,
        ending: a.ending,
        status: a.status,
        believed: a.go.load,
        believed_ms: millis(a.go.age),
        load: a.word.load.unwrap_or_default(),
        limit: a.word.limit,
        limit_known: a.go.limit,
        warm: a.go.warm,
        expected_ms: a.go.work * 1000.0,
        object: a.object,
        config: a.go.version,
    };
    write(shared, "attempt", fields);
}

#[derive(Serialize)]
struct Own<'a> {
    request: &'a str,
    route: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    team: Option<&'a str>,
    #[serde(flatten)]
    origin: Origin,
    status: u16,
    why: &'a str,
    held_ms: u64,
    waiting: usize,
    /// Version of the configuration in force.
    config: u64,
    /// Age of the store's last answer; null before the first.
    store_ms: Option<u64>,
    /// Time since all that the store held is known, as it bounds the use of keys; null
    /// before the first answer.
    stale_ms: Option<u64>,
}

/// What is known of an answer of this system's own.
pub struct Given<'a> {
    /// The request's id.
    pub request: &'a str,
    /// Name of its route; empty if it has none.
    pub route: &'a str,
    /// Name of the team whose it is, if that is known.
    pub team: Option<&'a str>,
    /// Where it came from.
    pub origin: Origin,
    /// The answer's status.
    pub status: u16,
    /// Why.
    pub why: &'a str,
    /// Milliseconds from the request's arrival.
    pub held_ms: u64,
}

/// An answer of this system's own was given.
pub fn own(shared: &Shared, given: &Given<'_>) {
    let Given {
        request,
        route,
        team,
        origin,
        status,
        why,
        held_ms,
    } = *given;
    let labels = [&*status.to_string(), why];
    shared.metrics.own.with_label_values(&labels).inc();
    let (waiting, config, store, stale) =
        shared.read(|now, d| (d.waiting(), d.version(), d.store_age(now), d.staleness(now)));
    let fields = Own {
        request,
        route,
        team,
        origin,
        status,
        why,
        held_ms,
        waiting,
        config,
        store_ms: store.map(millis),
        stale_ms: stale.map(millis),
    };
    write(shared, "own-answer", fields);
}

fn seconds(millis: u64) -> f64 {
    Duration::from_millis(millis).as_secs_f64()
}

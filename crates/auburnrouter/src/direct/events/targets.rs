//! Log events of targets: changes of their entries, and what they report of themselves
//! in answers.

use std::time::Duration;

use serde::Serialize;
use steer::process::direct::roster::Change;
use steer::process::direct::target::Entry;

use super::{millis, write};
use crate::direct::Shared;

#[derive(Serialize)]
struct TargetFields<'a> {
    target: &'a str,
    service: &'a str,
    domain: &'a str,
    region: &'a str,
    slots: u32,
    state: &'a str,
    /// What the entry was taken for.
    change: &'a str,
    /// Start of the target's process by its own clock, and number of its report since.
    incarnation: u64,
    seq: u64,
    cold_ms: u64,
    /// Time since the store accepted the entry, at most, in milliseconds; null if unknown.
    stale_ms: Option<u64>,
}

/// Logs a target that is newly listed or has changed.
pub fn target_changed(shared: &Shared, entry: &Entry, change: Change) {
    let domains = &shared.settings.domains;
    let region = domains.iter().find(|d| d.0 == entry.domain);
    let fields = TargetFields {
        target: &entry.id,
        service: &entry.service,
        domain: &entry.domain,
        region: region.map_or("", |d| &d.1),
        slots: entry.slots,
        state: state(entry),
        change: change.name(),
        incarnation: entry.incarnation,
        seq: entry.seq,
        cold_ms: millis(entry.cold),
        stale_ms: staleness(shared),
    };
    write(shared, "target", fields);
}

#[derive(Serialize)]
struct LateReportFields<'a> {
    target: &'a str,
    state: &'a str,
    incarnation: u64,
    seq: u64,
    /// Revision of the store at which it was written.
    revision: u64,
}

/// Logs a report that a target made before another one that counts: the store carried out
/// its write late.
pub fn target_report_late(shared: &Shared, entry: &Entry, revision: u64) {
    let fields = LateReportFields {
        target: &entry.id,
        state: state(entry),
        incarnation: entry.incarnation,
        seq: entry.seq,
        revision,
    };
    shared.metrics.late_reports.inc();
    write(shared, "target-report-late", fields);
}

fn state(entry: &Entry) -> &'static str {
    if entry.draining { "leaving" } else { "ready" }
}

#[derive(Serialize)]
struct TargetGoneFields<'a> {
    target: &'a str,
    /// Time since the entry was removed from the store, at most, in milliseconds; null if
    /// unknown.
    stale_ms: Option<u64>,
}

/// Logs the removal of a target.
pub fn target_gone(shared: &Shared, target: &str) {
    let fields = TargetGoneFields {
        target,
        stale_ms: staleness(shared),
    };
    write(shared, "target-gone", fields);
}

/// Largest possible age of what this instance knows of the store, in milliseconds.
fn staleness(shared: &Shared) -> Option<u64> {
    shared.read(|now, d| d.staleness(now)).map(millis)
}

#[derive(Serialize)]
struct BackoffFields<'a> {
    target: &'a str,
    /// Time that it asks for, in milliseconds.
    backoff_ms: u64,
    /// Id of the request whose answer asked for it.
    request: &'a str,
}

/// Logs that a target asks this instance to send it nothing for a time.
pub fn backoff_asked(shared: &Shared, target: &str, backoff: Duration, request: &str) {
    let fields = BackoffFields {
        target,
        backoff_ms: millis(backoff),
        request,
    };
    write(shared, "target-backoff", fields);
}

#[derive(Serialize)]
struct TargetAnswerFields<'a> {
    target: &'a str,
    /// Id of the request whose answer reports it.
    request: &'a str,
}

/// Logs that a target has reported in an answer that it is about to stop.
pub fn target_leaving(shared: &Shared, target: &str, request: &str) {
    let fields = TargetAnswerFields { target, request };
    write(shared, "target-leaving", fields);
}

#[derive(Serialize)]
struct UnknownHeaderFields<'a> {
    target: &'a str,
    header: &'a str,
    /// Id of the first request whose answer had it.
    request: &'a str,
}

/// Logs the first answer of a target with a header that this release doesn't know.
pub fn unknown_header(shared: &Shared, target: &str, header: &str, request: &str) {
    let fields = UnknownHeaderFields {
        target,
        header,
        request,
    };
    write(shared, "unknown-header", fields);
}

#[derive(Serialize)]
struct UnreadValueFields<'a> {
    target: &'a str,
    header: &'a str,
    value: &'a str,
    /// Id of the request whose answer had it.
    request: &'a str,
}

/// Length up to which a value that can't be read is logged.
const LOGGED_VALUE_BYTES_MAX: usize = 64;

/// Logs a header of a target's answer with a value of which not all is read.
pub fn unread_value(shared: &Shared, target: &str, header: &str, value: &[u8], request: &str) {
    let value = &value[..value.len().min(LOGGED_VALUE_BYTES_MAX)];
    let fields = UnreadValueFields {
        target,
        header,
        value: &String::from_utf8_lossy(value),
        request,
    };
    write(shared, "unread-value", fields);
}

#[derive(Serialize)]
struct LimitFields<'a> {
    target: &'a str,
    /// Requests per second from all instances together; null if it states no limit.
    rate: Option<f64>,
    /// Id of the request whose answer stated it.
    request: &'a str,
}

/// Logs a target's request limit, when it states a new one or none any more.
pub fn limit_changed(shared: &Shared, target: &str, rate: Option<f64>, request: &str) {
    let fields = LimitFields {
        target,
        rate,
        request,
    };
    write(shared, "target-limit", fields);
}

//! Requests at an instance that was told to stop.

use core::time::Duration;

use steer::process::direct::{AttemptOutcome, Decision, Rejection};
use steer::version::routes::Route;

use super::bench::{Bench, MS, at, entry, route};

/// All slots are taken by long requests when the process is told to stop. A request
/// that still waited at its end would get no answer. It must be rejected in time, so
/// that the caller can try another instance.
#[test]
fn reject_who_still_waits() {
    let patient = Route {
        timeout: Duration::from_secs(20),
        ..route()
    };
    let mut bench = Bench::new(patient, &[entry("t1", "near-a")]);
    bench.serve(at(0), 1, 900 * MS);
    for _ in 0..4 {
        bench.send(at(1_000), Some(1));
    }
    bench.direct.stop(at(2_500));
    bench.submit_until(at(1_100), Some(1), at(21_000));
    let mut rejected = None;
    for millis in (1_100..2_500).step_by(25) {
        if let Some(Decision::Reject { reason, .. }) = bench.decide(at(millis)) {
            assert_eq!(reason, Rejection::Overload);
            rejected.get_or_insert(millis);
        }
    }
    assert!(
        rejected.is_some(),
        "the request still waits when the process ends"
    );
}

/// A slot is free, but the request would take longer than the process lasts.
#[test]
fn reject_what_outlasts_process() {
    let mut bench = Bench::new(route(), &[entry("t1", "near-a")]);
    bench.serve(at(0), 1, 900 * MS);
    bench.direct.stop(at(2_500));
    let sent = bench.send(at(1_000), Some(1));
    bench
        .direct
        .finish_attempt(at(1_900), sent.ticket, AttemptOutcome::Answered);
    bench.submit(at(2_000), Some(1));
    let decision = bench.decide(at(2_000));
    assert!(
        matches!(decision, Some(Decision::Reject { .. })),
        "{decision:?}"
    );
}

/// The caller's deadline still holds if it comes before the end of the process.
#[test]
fn keep_callers_limit() {
    let mut bench = Bench::new(route(), &[entry("t1", "near-a")]);
    bench.direct.stop(at(60_000));
    let ticket = bench.submit_until(at(1_000), None, at(2_000));
    let limit = bench.direct.time_limit(ticket);
    assert!(limit.is_some_and(|l| l <= at(2_000) && l > at(2_000) - Duration::from_millis(100)));
}

//! Which requests are sent again after an attempt failed.

use rstest::rstest;
use steer::process::direct::{AttemptOutcome, Decision, FollowUp, Rejection};
use steer::version::routes::Route;

use super::bench::{Bench, at, entry, route};

fn after(is_idempotent: bool, ending: AttemptOutcome) -> (Bench, FollowUp) {
    let targets = ["t1", "t2", "t3"].map(|id| entry(id, "near-a"));
    let route = Route {
        is_idempotent,
        ..route()
    };
    let mut bench = Bench::new(route, &targets);
    let go = bench.send(at(0), Some(1));
    let next = bench.direct.finish_attempt(at(10), go.ticket, ending);
    (bench, next)
}

/// A lodgement whose attempt may have run is never sent again, and its caller is
/// told that its fate is unknown; only what proves that it wasn't run allows
/// another target.
#[rstest]
#[case::not_run(AttemptOutcome::NotRun, FollowUp::Retry)]
#[case::elsewhere(AttemptOutcome::WrongTarget, FollowUp::Retry)]
#[case::unreached(AttemptOutcome::NotSent, FollowUp::Retry)]
#[case::withdrawn(AttemptOutcome::Withdrawn, FollowUp::Retry)]
#[case::failed(AttemptOutcome::Failed, FollowUp::Settled)]
#[case::broken(AttemptOutcome::ConnectionLost, FollowUp::Settled)]
#[case::garbled(AttemptOutcome::InvalidResponse, FollowUp::Settled)]
#[case::late(AttemptOutcome::TimedOut, FollowUp::Settled)]
fn repeat_unsafe(#[case] ending: AttemptOutcome, #[case] expected: FollowUp) {
    let (mut bench, next) = after(false, ending);
    assert_eq!(next, expected);
    let sent = matches!(bench.order(at(10)), Some(Decision::Send(_)));
    assert_eq!(sent, expected == FollowUp::Retry);
}

#[rstest]
#[case::not_run(AttemptOutcome::NotRun)]
#[case::failed(AttemptOutcome::Failed)]
#[case::broken(AttemptOutcome::ConnectionLost)]
#[case::garbled(AttemptOutcome::InvalidResponse)]
fn repeat_idempotent_elsewhere(#[case] ending: AttemptOutcome) {
    let (mut bench, next) = after(true, ending);
    assert_eq!(next, FollowUp::Retry);
    let Some(Decision::Send(go)) = bench.order(at(10)) else {
        panic!("another target is free");
    };
    assert_eq!(go.attempt, 2);
    let last = bench.direct.finish_attempt(at(20), go.ticket, ending);
    assert_ne!(last, FollowUp::Retry, "its route allows two targets");
}

/// Two rejections by targets, after an attempt that may have run: the answer
/// must not say "not run".
#[test]
fn stay_in_doubt_after_doubt() {
    let (mut bench, next) = after(true, AttemptOutcome::ConnectionLost);
    assert_eq!(next, FollowUp::Retry);
    let Some(Decision::Send(go)) = bench.order(at(10)) else {
        panic!("another target is free");
    };
    let last = bench
        .direct
        .finish_attempt(at(20), go.ticket, AttemptOutcome::NotRun);
    assert_eq!(last, FollowUp::Settled);
}

/// The caller leaves while its request waits: it is never sent.
#[test]
fn forget_request_of_caller_that_left() {
    let mut bench = Bench::new(route(), &[entry("t1", "near-a")]);
    let held: Vec<_> = (0..4).map(|_| bench.send(at(0), None)).collect();
    let ticket = bench.submit(at(1), None);
    assert_eq!(bench.order(at(1)), None);
    bench.direct.cancel(at(20), ticket);
    bench
        .direct
        .finish_attempt(at(50), held[0].ticket, AttemptOutcome::Answered);
    assert_eq!(bench.order(at(50)), None);
    assert_eq!(bench.direct.request_count(), 3);
}

/// A look-up's target gives no answer, and then no other is left that could take
/// it. It may have run: its caller must not hear "not run".
#[test]
fn stay_in_doubt_without_room() {
    let targets = [entry("t1", "near-a"), entry("t2", "near-a")];
    let mut bench = Bench::new(route(), &targets);
    let go = bench.send(at(0), Some(1));
    let next = bench
        .direct
        .finish_attempt(at(900), go.ticket, AttemptOutcome::InvalidResponse);
    assert_eq!(next, FollowUp::Retry);
    for id in ["t1", "t2"] {
        assert!(bench.direct.unlist(at(900), id));
    }
    let Some(Decision::Reject { why, .. }) = bench.order(at(1_000)) else {
        panic!("no target is left");
    };
    assert_eq!(why, Rejection::OutcomeUnknown);
}

/// A request crashes each target that begins to run it, and its caller sends it
/// again and again, at any instance. Two targets are lost, not all of them.
#[test]
fn refuse_request_that_crashes_targets() {
    let targets = ["t1", "t2", "t3", "t4"].map(|id| entry(id, "near-a"));
    let mut bench = Bench::new(route(), &targets);
    let first = bench.send(at(0), Some(1));
    assert_eq!(
        bench
            .direct
            .finish_attempt(at(50), first.ticket, AttemptOutcome::ConnectionLost),
        FollowUp::Retry
    );
    let Some(Decision::Send(second)) = bench.order(at(50)) else {
        panic!("another target is free");
    };
    assert_eq!(
        bench
            .direct
            .finish_attempt(at(90), second.ticket, AttemptOutcome::ConnectionLost),
        FollowUp::Settled
    );
    let told = bench.direct.heartbeat(at(100), false).suspects;
    assert_eq!(told, [(1, 2)]);
    let ask = steer::process::direct::Request {
        route: std::sync::Arc::clone(&bench.route),
        authorized: None,
        object: Some(1),
        deadline: at(5_000),
        fingerprint: steer::request::arrival::Fingerprint(1),
    };
    assert_eq!(
        bench.direct.submit(at(200), ask.clone()),
        Err(Rejection::Poison)
    );
    // Another instance hears of it.
    let mut other = Bench::new(route(), &targets);
    let heartbeat = steer::process::direct::members::Heartbeat {
        suspects: told,
        ..super::bench::heartbeat("near-2", 1)
    };
    other.direct.receive_heartbeat(at(0), heartbeat);
    assert_eq!(other.direct.submit(at(10), ask), Err(Rejection::Poison));
}

/// A target loses answers but goes on: requests that were there before are
/// answered after. The one that it broke under is no culprit.
#[test]
fn acquit_request_whose_target_goes_on() {
    let targets = [entry("t1", "near-a")];
    let mut bench = Bench::new(route(), &targets);
    let lost = bench.send(at(0), Some(1));
    let kept = bench.send(at(1), Some(1));
    bench
        .direct
        .finish_attempt(at(50), lost.ticket, AttemptOutcome::ConnectionLost);
    bench
        .direct
        .finish_attempt(at(60), kept.ticket, AttemptOutcome::Answered);
    assert!(bench.direct.heartbeat(at(70), false).suspects.is_empty());
}

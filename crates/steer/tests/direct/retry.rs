//! Retries after failed attempts, and what a caller is told about the outcome.

use rstest::rstest;
use steer::process::direct::{AttemptOutcome, Decision, FollowUp, Rejection};
use steer::version::routes::Route;

use super::bench::{Bench, at, entry, route};

/// Sends a request to one of three targets, where the attempt ends as given.
fn send_and_finish(is_idempotent: bool, outcome: AttemptOutcome) -> (Bench, FollowUp) {
    let targets = ["t1", "t2", "t3"].map(|id| entry(id, "near-a"));
    let route = Route {
        is_idempotent,
        ..route()
    };
    let mut bench = Bench::new(route, &targets);
    let assignment = bench.send(at(0), Some(1));
    let follow_up = bench
        .direct
        .finish_attempt(at(10), assignment.ticket, outcome);
    (bench, follow_up)
}

/// A request that isn't idempotent and may have run must never be sent again; its
/// caller is told that the outcome is unknown. Only an outcome that proves that it
/// wasn't run allows another target.
#[rstest]
#[case::not_run(AttemptOutcome::NotRun, FollowUp::Retry)]
#[case::wrong_target(AttemptOutcome::WrongTarget, FollowUp::Retry)]
#[case::not_sent(AttemptOutcome::NotSent, FollowUp::Retry)]
#[case::withdrawn(AttemptOutcome::Withdrawn, FollowUp::Retry)]
#[case::failed(AttemptOutcome::Failed, FollowUp::Settled)]
#[case::connection_lost(AttemptOutcome::ConnectionLost, FollowUp::Settled)]
#[case::invalid_response(AttemptOutcome::InvalidResponse, FollowUp::Settled)]
#[case::timed_out(AttemptOutcome::TimedOut, FollowUp::Settled)]
#[case::no_memory(AttemptOutcome::NoMemory, FollowUp::Settled)]
fn retry_unsafe(#[case] outcome: AttemptOutcome, #[case] expected: FollowUp) {
    let (mut bench, follow_up) = send_and_finish(false, outcome);
    assert_eq!(follow_up, expected);
    let is_sent = matches!(bench.decide(at(10)), Some(Decision::Send(_)));
    assert_eq!(is_sent, expected == FollowUp::Retry);
}

#[rstest]
#[case::not_run(AttemptOutcome::NotRun)]
#[case::failed(AttemptOutcome::Failed)]
#[case::connection_lost(AttemptOutcome::ConnectionLost)]
#[case::invalid_response(AttemptOutcome::InvalidResponse)]
fn retry_idempotent_elsewhere(#[case] outcome: AttemptOutcome) {
    let (mut bench, follow_up) = send_and_finish(true, outcome);
    assert_eq!(follow_up, FollowUp::Retry);
    let Some(Decision::Send(assignment)) = bench.decide(at(10)) else {
        panic!("another target is free");
    };
    assert_eq!(assignment.attempt, 2);
    let last = bench
        .direct
        .finish_attempt(at(20), assignment.ticket, outcome);
    assert_ne!(last, FollowUp::Retry, "its route allows two targets");
}

/// Answers for which an instance had no memory were asked for once more, and their targets
/// counted as failing.
#[test]
fn give_up_answer_without_memory() {
    let (bench, follow_up) = send_and_finish(true, AttemptOutcome::NoMemory);
    assert_eq!(follow_up, FollowUp::Settled);
    for target in bench.direct.roster.all() {
        assert!(target.health.failure_rate(at(10)) < 0.01);
    }
}

/// A target refuses the retry of a request whose first attempt may have run. The
/// answer must not say that it wasn't run.
#[test]
fn keep_outcome_unknown_after_refusal() {
    let (mut bench, follow_up) = send_and_finish(true, AttemptOutcome::ConnectionLost);
    assert_eq!(follow_up, FollowUp::Retry);
    let Some(Decision::Send(assignment)) = bench.decide(at(10)) else {
        panic!("another target is free");
    };
    let last = bench
        .direct
        .finish_attempt(at(20), assignment.ticket, AttemptOutcome::NotRun);
    assert_eq!(last, FollowUp::Settled);
}

/// A request whose caller leaves while it waits must never be sent.
#[test]
fn forget_request_of_caller_that_left() {
    let mut bench = Bench::new(route(), &[entry("t1", "near-a")]);
    let in_flight: Vec<_> = (0..4).map(|_| bench.send(at(0), None)).collect();
    let ticket = bench.submit(at(1), None);
    assert_eq!(bench.decide(at(1)), None);
    bench.direct.cancel(at(20), ticket);
    bench
        .direct
        .finish_attempt(at(50), in_flight[0].ticket, AttemptOutcome::Answered);
    assert_eq!(bench.decide(at(50)), None);
    assert_eq!(bench.direct.request_count(), 3);
}

/// An attempt that may have run fails, and no target is left for a retry. The caller
/// must not be told that the request wasn't run.
#[test]
fn keep_outcome_unknown_without_target() {
    let targets = [entry("t1", "near-a"), entry("t2", "near-a")];
    let mut bench = Bench::new(route(), &targets);
    let assignment = bench.send(at(0), Some(1));
    let follow_up =
        bench
            .direct
            .finish_attempt(at(900), assignment.ticket, AttemptOutcome::InvalidResponse);
    assert_eq!(follow_up, FollowUp::Retry);
    for id in ["t1", "t2"] {
        assert!(bench.direct.unlist(at(900), id));
    }
    let Some(Decision::Reject { reason, .. }) = bench.decide(at(1_000)) else {
        panic!("no target is left");
    };
    assert_eq!(reason, Rejection::OutcomeUnknown);
}

/// A request crashes every target that runs it, and its caller sends it again and
/// again, to any instance. It must be refused after three crashes, also by the other
/// instances.
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
    let Some(Decision::Send(second)) = bench.decide(at(50)) else {
        panic!("another target is free");
    };
    assert_eq!(
        bench
            .direct
            .finish_attempt(at(90), second.ticket, AttemptOutcome::ConnectionLost),
        FollowUp::Settled
    );
    let third = bench.send(at(91), Some(1));
    bench
        .direct
        .finish_attempt(at(95), third.ticket, AttemptOutcome::ConnectionLost);
    let suspects = bench.direct.heartbeat(at(100), false).suspects;
    assert_eq!(suspects, [(1, 3)]);
    let request = steer::process::direct::Request {
        route: std::sync::Arc::clone(&bench.route),
        authorized: None,
        object: Some(1),
        deadline: at(5_000),
        fingerprint: steer::request::arrival::Fingerprint(1),
    };
    assert_eq!(
        bench.direct.submit(at(200), request.clone()),
        Err(Rejection::Poison)
    );
    // Another instance learns of it by a heartbeat.
    let mut other = Bench::new(route(), &targets);
    let heartbeat = steer::process::direct::members::Heartbeat {
        suspects,
        ..super::bench::heartbeat("near-2", 1)
    };
    other.direct.receive_heartbeat(at(0), heartbeat);
    assert_eq!(other.direct.submit(at(10), request), Err(Rejection::Poison));
}

/// A connection to a target breaks, but the target still answers a request that was
/// sent before. The request on the broken connection can't have crashed it and must
/// be cleared, unless the target may have answered before it crashed.
#[rstest]
#[case::survived(1_060, 0)]
#[case::answered_before_crash(90, 1)]
fn clear_request_whose_target_survives(#[case] answered: u64, #[case] suspects: usize) {
    let targets = [entry("t1", "near-a")];
    let mut bench = Bench::new(route(), &targets);
    let lost = bench.send(at(0), Some(1));
    let other = bench.request(Some(2), at(5_000));
    let fingerprint = steer::request::arrival::Fingerprint(2);
    let other = steer::process::direct::Request {
        fingerprint,
        ..other
    };
    let kept = bench.direct.submit(at(1), other).expect("it is accepted");
    bench.decide(at(1));
    bench
        .direct
        .finish_attempt(at(50), lost.ticket, AttemptOutcome::ConnectionLost);
    bench
        .direct
        .finish_attempt(at(answered), kept, AttemptOutcome::Answered);
    assert_eq!(bench.direct.suspect_counts().0, suspects);
}

/// Requests that could not be retried spent from the retry budget.
#[rstest]
#[case::may_have_run(false, 1)]
#[case::attempts_spent(true, 2)]
fn spend_only_for_retries(#[case] is_idempotent: bool, #[case] attempts: usize) {
    let (mut bench, mut follow_up) = send_and_finish(is_idempotent, AttemptOutcome::Failed);
    for _ in 1..attempts {
        let Some(Decision::Send(assignment)) = bench.decide(at(10)) else {
            panic!("another target is free");
        };
        let ticket = assignment.ticket;
        let failed = AttemptOutcome::Failed;
        follow_up = bench.direct.finish_attempt(at(20), ticket, failed);
    }
    assert_eq!(follow_up, FollowUp::Settled);
    let retries = bench.direct.budget_uses(at(20)).map(|(_, u)| u);
    let counts: Vec<_> = retries.map(|u| (u.retries, u.refused)).collect();
    assert_eq!(counts, [(attempts - 1, 0)]);
}

/// A retry tells when it was allowed, by what use of the budget, and among how many
/// instances the bound was divided; a first attempt has no such permission.
#[test]
fn tell_how_retry_was_allowed() {
    let (mut bench, _) = send_and_finish(true, AttemptOutcome::Failed);
    let Some(Decision::Send(retry)) = bench.decide(at(30)) else {
        panic!("another target is free");
    };
    let grant = retry.grant.expect("a retry was allowed");
    assert_eq!((grant.at, grant.instances), (at(10), 1));
    assert_eq!((grant.used.requests, grant.used.retries), (1, 0));
    assert!(bench.send(at(40), Some(2)).grant.is_none());
}

//! Health observations that instances exchange about slow and failing targets.

use core::time::Duration;

use rstest::rstest;
use steer::process::direct::health::Observation;
use steer::process::direct::members::{Heartbeat, name_hash};
use steer::process::direct::{AttemptOutcome, Decision};
use steer::version::routes::Route;

use super::bench::{Bench, MS, at, entry, heartbeat, route};

const OBJECT: u64 = 5;

/// Milliseconds between the requests of one instance to one target in a large fleet.
const REQUEST_INTERVAL: u64 = 20_000;

/// Sets up six targets with reliable latency estimates. Also returns the target where
/// [`OBJECT`] is warm.
fn warmed_up(route: Route) -> (Bench, String) {
    let targets = ["t1", "t2", "t3", "t4", "t5", "t6"].map(|id| entry(id, "near-a"));
    let mut bench = Bench::new(route, &targets);
    bench.direct.store_answered(at(0), 1);
    let first = bench.learn(OBJECT);
    (bench, first)
}

/// Delivers a heartbeat of another instance with these observations.
fn receive(bench: &mut Bench, millis: u64, seq: u64, observations: &[Observation]) {
    let heartbeat = Heartbeat {
        observations: observations.to_vec(),
        ..heartbeat("near-2", seq)
    };
    bench.direct.receive_heartbeat(at(millis), heartbeat);
}

fn unsafe_route() -> Route {
    Route {
        is_idempotent: false,
        ..route()
    }
}

/// The object's target fails requests of other instances, whose outcome is unknown.
/// This instance has sent nothing there meanwhile. It must avoid the target by their
/// observations, not by a failure of its own.
#[test]
fn avoid_target_that_fails_others() {
    let (mut bench, first) = warmed_up(unsafe_route());
    for seq in 1..=4 {
        let seen = [Observation::failed(name_hash(&first))];
        receive(&mut bench, 21_000 + seq * 250, seq, &seen);
    }
    let assignment = bench.send(at(24_200), Some(OBJECT));
    assert_ne!(*assignment.target, *first);
}

/// The object's target has become many times slower. Requests of other instances are
/// overdue there, and the answers that would show it take seconds to come.
#[rstest]
#[case::twelve_times(12.0)]
#[case::twenty_times(20.0)]
fn avoid_target_slow_to_others(#[case] ratio: f64) {
    let (mut bench, first) = warmed_up(route());
    for seq in 1..=12 {
        let seen = [Observation::slow(name_hash(&first), ratio)];
        receive(&mut bench, 21_000 + seq * 250, seq, &seen);
    }
    let assignment = bench.send(at(24_200), Some(OBJECT));
    assert_ne!(*assignment.target, *first);
}

/// One request in hundreds fails at any target. A single failure must not move an
/// object, which would be cold at another target.
#[test]
fn stay_after_single_failure() {
    let (mut bench, first) = warmed_up(route());
    receive(
        &mut bench,
        21_000,
        1,
        &[Observation::failed(name_hash(&first))],
    );
    let assignment = bench.send(at(21_100), Some(OBJECT));
    assert_eq!(*assignment.target, *first);
}

/// A target has recovered, but no instance sends requests to it and could notice.
/// The observations must decay, so that its objects return.
#[test]
fn return_when_observations_decay() {
    let (mut bench, first) = warmed_up(route());
    for seq in 1..=12 {
        let seen = [Observation::slow(name_hash(&first), 12.0)];
        receive(&mut bench, 21_000 + seq * 250, seq, &seen);
    }
    let assignment = bench.send(at(45_000), Some(OBJECT));
    assert_eq!(*assignment.target, *first);
}

/// A request is in flight for far longer than one for a cold object takes. Other
/// instances must be warned before its answer comes.
#[test]
fn report_overdue_request() {
    let (mut bench, first) = warmed_up(route());
    let now = at(REQUEST_INTERVAL + 2_000);
    bench.send(now, Some(OBJECT));
    let seen = bench.direct.heartbeat(now + 500 * MS, false).observations;
    assert_eq!(seen, [], "the object may be cold there");
    let seen = bench
        .direct
        .heartbeat(now + Duration::from_secs(3), false)
        .observations;
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].target_hash, name_hash(&first));
    assert!(seen[0].ratio_eighths > 16, "{seen:?}");
}

/// A failure must be reported in one heartbeat only; a second would count it twice.
#[rstest]
#[case::connection_lost(AttemptOutcome::ConnectionLost)]
#[case::failed(AttemptOutcome::Failed)]
#[case::timed_out(AttemptOutcome::TimedOut)]
fn report_failure_once(#[case] outcome: AttemptOutcome) {
    let (mut bench, first) = warmed_up(unsafe_route());
    let now = at(REQUEST_INTERVAL + 2_000);
    let assignment = bench.send(now, Some(OBJECT));
    bench
        .direct
        .finish_attempt(now + 100 * MS, assignment.ticket, outcome);
    let seen = bench.direct.heartbeat(now + 200 * MS, false).observations;
    assert_eq!(seen, [Observation::failed(name_hash(&first))]);
    assert_eq!(
        bench.direct.heartbeat(now + 450 * MS, false).observations,
        []
    );
}

/// A target refuses requests because it is full or for another reason. It still serves
/// others, and its objects are warm nowhere else, so that no object must move.
#[test]
fn report_no_refusals() {
    let (mut bench, first) = warmed_up(route());
    let now = at(REQUEST_INTERVAL + 2_000);
    let assignment = bench.send(now, Some(OBJECT));
    bench
        .direct
        .finish_attempt(now + 100 * MS, assignment.ticket, AttemptOutcome::NotRun);
    assert_eq!(
        bench.direct.heartbeat(now + 200 * MS, false).observations,
        []
    );
    let Some(Decision::Send(_)) = bench.decide(now + 200 * MS) else {
        panic!("a refused request is sent again");
    };
    let next = bench.send(now + 500 * MS, Some(OBJECT));
    assert_eq!(*next.target, *first);
}

/// All targets of a service fail requests alike. No other target is better, so that
/// objects must stay where they are warm.
#[test]
fn stay_if_all_degraded() {
    let (mut bench, first) = warmed_up(route());
    let ids = ["t1", "t2", "t3", "t4", "t5", "t6"];
    for seq in 1..=4 {
        let mut seen = ids.map(|id| Observation::failed(name_hash(id)));
        seen.sort_unstable();
        receive(&mut bench, 21_000 + seq * 250, seq, &seen);
    }
    let assignment = bench.send(at(24_200), Some(OBJECT));
    assert_eq!(*assignment.target, *first);
}

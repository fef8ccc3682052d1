//! What instances tell each other of targets that are slow or fail.

use core::time::Duration;

use rstest::rstest;
use steer::process::direct::health::Observation;
use steer::process::direct::members::{Heartbeat, name_hash};
use steer::process::direct::{AttemptOutcome, Decision};
use steer::version::routes::Route;

use super::bench::{Bench, MS, at, entry, heartbeat, route};

const OBJECT: u64 = 5;

/// Times between the requests of one instance to one target in a large fleet.
const SELDOM: u64 = 20_000;

/// Six targets; one holds the object, and times are known well.
fn served(route: Route) -> (Bench, String) {
    let targets = ["t1", "t2", "t3", "t4", "t5", "t6"].map(|id| entry(id, "near-a"));
    let mut bench = Bench::new(route, &targets);
    let first = bench.learn(OBJECT);
    (bench, first)
}

fn tell(bench: &mut Bench, millis: u64, seq: u64, observations: &[Observation]) {
    let told = Heartbeat {
        observations: observations.to_vec(),
        ..heartbeat("near-2", seq)
    };
    bench.direct.receive_heartbeat(at(millis), told);
}

fn unsafe_route() -> Route {
    Route {
        is_idempotent: false,
        ..route()
    }
}

/// The target that holds the object begins to lose answers. Callers of other
/// instances are told that nobody knows whether their payments ran; this one has
/// sent nothing there meanwhile, and its next caller must not learn it anew.
#[test]
fn avoid_target_that_fails_others() {
    let (mut bench, first) = served(unsafe_route());
    for seq in 1..=4 {
        let seen = [Observation::failed(name_hash(&first))];
        tell(&mut bench, 21_000 + seq * 250, seq, &seen);
    }
    let go = bench.send(at(24_200), Some(OBJECT));
    assert_ne!(*go.target, *first);
}

/// The target that holds the object has become many times slower. The requests of
/// others there are overdue; the answers that would tell come in seconds.
#[rstest]
#[case::twelve_times(12.0)]
#[case::twenty_times(20.0)]
fn avoid_target_slow_to_others(#[case] ratio: f64) {
    let (mut bench, first) = served(route());
    for seq in 1..=12 {
        let seen = [Observation::slow(name_hash(&first), ratio)];
        tell(&mut bench, 21_000 + seq * 250, seq, &seen);
    }
    let go = bench.send(at(24_200), Some(OBJECT));
    assert_ne!(*go.target, *first);
}

/// One request in hundreds fails at any target. That moves no object: it would
/// begin cold elsewhere.
#[test]
fn stay_after_single_failure() {
    let (mut bench, first) = served(route());
    tell(
        &mut bench,
        21_000,
        1,
        &[Observation::failed(name_hash(&first))],
    );
    let go = bench.send(at(21_100), Some(OBJECT));
    assert_eq!(*go.target, *first);
}

/// The target is well again. Nobody sends to it, so nobody could tell: what was
/// told fades, and its objects come home.
#[test]
fn come_back_when_told_no_more() {
    let (mut bench, first) = served(route());
    for seq in 1..=12 {
        let seen = [Observation::slow(name_hash(&first), 12.0)];
        tell(&mut bench, 21_000 + seq * 250, seq, &seen);
    }
    let go = bench.send(at(45_000), Some(OBJECT));
    assert_eq!(*go.target, *first);
}

/// A request is at a target for far longer than even an object that isn't held
/// there would take. Others are told while it is still there.
#[test]
fn tell_of_overdue_request() {
    let (mut bench, first) = served(route());
    let now = at(SELDOM + 2_000);
    bench.send(now, Some(OBJECT));
    let seen = bench.direct.heartbeat(now + 500 * MS, false).observations;
    assert_eq!(seen, [], "it may only be cold there");
    let seen = bench
        .direct
        .heartbeat(now + Duration::from_secs(3), false)
        .observations;
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].target_hash, name_hash(&first));
    assert!(seen[0].ratio_eighths > 16, "{seen:?}");
}

/// What failed is told by one heartbeat: the next would count it twice.
#[rstest]
#[case::lost(AttemptOutcome::ConnectionLost)]
#[case::failed(AttemptOutcome::Failed)]
#[case::late(AttemptOutcome::TimedOut)]
fn tell_failure_once(#[case] ending: AttemptOutcome) {
    let (mut bench, first) = served(unsafe_route());
    let now = at(SELDOM + 2_000);
    let go = bench.send(now, Some(OBJECT));
    bench
        .direct
        .finish_attempt(now + 100 * MS, go.ticket, ending);
    let seen = bench.direct.heartbeat(now + 200 * MS, false).observations;
    assert_eq!(seen, [Observation::failed(name_hash(&first))]);
    assert_eq!(
        bench.direct.heartbeat(now + 450 * MS, false).observations,
        []
    );
}

/// A target turns requests away, being full or for another reason. It still
/// serves others, and the objects that it holds are warm nowhere else.
#[test]
fn keep_refusals_to_oneself() {
    let (mut bench, first) = served(route());
    let now = at(SELDOM + 2_000);
    let go = bench.send(now, Some(OBJECT));
    bench
        .direct
        .finish_attempt(now + 100 * MS, go.ticket, AttemptOutcome::NotRun);
    assert_eq!(
        bench.direct.heartbeat(now + 200 * MS, false).observations,
        []
    );
    let Some(Decision::Send(_)) = bench.order(now + 200 * MS) else {
        panic!("what wasn't run is sent again");
    };
    let again = bench.send(now + 500 * MS, Some(OBJECT));
    assert_eq!(*again.target, *first);
}

/// All targets of a service turn requests away alike. There is nowhere better,
/// and objects stay where they are held.
#[test]
fn stay_if_all_do_poorly() {
    let (mut bench, first) = served(route());
    let ids = ["t1", "t2", "t3", "t4", "t5", "t6"];
    for seq in 1..=4 {
        let mut seen = ids.map(|id| Observation::failed(name_hash(id)));
        seen.sort_unstable();
        tell(&mut bench, 21_000 + seq * 250, seq, &seen);
    }
    let go = bench.send(at(24_200), Some(OBJECT));
    assert_eq!(*go.target, *first);
}

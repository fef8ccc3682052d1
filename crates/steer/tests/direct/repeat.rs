//! Which requests are sent again after an attempt failed.

use rstest::rstest;
use steer::process::direct::{Ending, Next, Order, Why};
use steer::version::routes::Route;

use super::bench::{Bench, at, entry, route};

fn after(idempotent: bool, ending: Ending) -> (Bench, Next) {
    let targets = ["t1", "t2", "t3"].map(|id| entry(id, "near-a"));
    let route = Route {
        idempotent,
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
#[case::not_run(Ending::NotRun, Next::Again)]
#[case::elsewhere(Ending::Elsewhere, Next::Again)]
#[case::unreached(Ending::Unreached, Next::Again)]
#[case::withdrawn(Ending::Withdrawn, Next::Again)]
#[case::failed(Ending::Failed, Next::Settled)]
#[case::broken(Ending::Broken, Next::Settled)]
#[case::garbled(Ending::Garbled, Next::Settled)]
#[case::late(Ending::Late, Next::Settled)]
fn repeat_unsafe(#[case] ending: Ending, #[case] expected: Next) {
    let (mut bench, next) = after(false, ending);
    assert_eq!(next, expected);
    let sent = matches!(bench.order(at(10)), Some(Order::Go(_)));
    assert_eq!(sent, expected == Next::Again);
}

#[rstest]
#[case::not_run(Ending::NotRun)]
#[case::failed(Ending::Failed)]
#[case::broken(Ending::Broken)]
#[case::garbled(Ending::Garbled)]
fn repeat_idempotent_elsewhere(#[case] ending: Ending) {
    let (mut bench, next) = after(true, ending);
    assert_eq!(next, Next::Again);
    let Some(Order::Go(go)) = bench.order(at(10)) else {
        panic!("another target is free");
    };
    assert_eq!(go.attempt, 2);
    let last = bench.direct.finish_attempt(at(20), go.ticket, ending);
    assert_ne!(last, Next::Again, "its route allows two targets");
}

/// Two rejections by targets, after an attempt that may have run: the answer
/// must not say "not run".
#[test]
fn stay_in_doubt_after_doubt() {
    let (mut bench, next) = after(true, Ending::Broken);
    assert_eq!(next, Next::Again);
    let Some(Order::Go(go)) = bench.order(at(10)) else {
        panic!("another target is free");
    };
    let last = bench
        .direct
        .finish_attempt(at(20), go.ticket, Ending::NotRun);
    assert_eq!(last, Next::Settled);
}

/// The caller leaves while its request waits: it is never sent.
#[test]
fn forget_request_of_caller_that_left() {
    let mut bench = Bench::new(route(), &[entry("t1", "near-a")]);
    let held: Vec<_> = (0..4).map(|_| bench.send(at(0), None)).collect();
    let ticket = bench.arrive(at(1), None);
    assert_eq!(bench.order(at(1)), None);
    bench.direct.cancel(at(20), ticket);
    bench
        .direct
        .finish_attempt(at(50), held[0].ticket, Ending::Answered);
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
        .finish_attempt(at(900), go.ticket, Ending::Garbled);
    assert_eq!(next, Next::Again);
    for id in ["t1", "t2"] {
        assert!(bench.direct.unlist(at(900), id));
    }
    let Some(Order::Reject { why, .. }) = bench.order(at(1_000)) else {
        panic!("no target is left");
    };
    assert_eq!(why, Why::Doubt);
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
            .finish_attempt(at(50), first.ticket, Ending::Broken),
        Next::Again
    );
    let Some(Order::Go(second)) = bench.order(at(50)) else {
        panic!("another target is free");
    };
    assert_eq!(
        bench
            .direct
            .finish_attempt(at(90), second.ticket, Ending::Broken),
        Next::Settled
    );
    let told = bench.direct.beat(at(100), false).struck;
    assert_eq!(told, [(1, 2)]);
    let ask = steer::process::direct::Ask {
        route: std::sync::Arc::clone(&bench.route),
        pass: None,
        object: Some(1),
        deadline: at(5_000),
        print: steer::request::arrival::Fingerprint(1),
    };
    assert_eq!(bench.direct.arrive(at(200), ask.clone()), Err(Why::Poison));
    // Another instance hears of it.
    let mut other = Bench::new(route(), &targets);
    let beat = steer::process::direct::members::Beat {
        struck: told,
        ..super::bench::beat("near-2", 1)
    };
    other.direct.hear(at(0), beat);
    assert_eq!(other.direct.arrive(at(10), ask), Err(Why::Poison));
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
        .finish_attempt(at(50), lost.ticket, Ending::Broken);
    bench
        .direct
        .finish_attempt(at(60), kept.ticket, Ending::Answered);
    assert!(bench.direct.beat(at(70), false).struck.is_empty());
}

//! Which requests are sent again after an attempt failed.

use rstest::rstest;
use steer::process::direct::{Ending, Next, Order};
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
    let next = bench.direct.ended(at(10), go.ticket, ending);
    (bench, next)
}

/// A lodgement whose attempt may have run is never sent again, and its caller is
/// told that its fate is unknown; only what proves that it wasn't run allows
/// another target.
#[rstest]
#[case::not_run(Ending::NotRun, Next::Again)]
#[case::elsewhere(Ending::Elsewhere, Next::Again)]
#[case::unreached(Ending::Unreached, Next::Again)]
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
    let last = bench.direct.ended(at(20), go.ticket, ending);
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
    let last = bench.direct.ended(at(20), go.ticket, Ending::NotRun);
    assert_eq!(last, Next::Settled);
}

/// The caller leaves while its request waits: it is never sent.
#[test]
fn forget_request_of_caller_that_left() {
    let mut bench = Bench::new(route(), &[entry("t1", "near-a")]);
    let held: Vec<_> = (0..4).map(|_| bench.send(at(0), None)).collect();
    let ticket = bench.arrive(at(1), None);
    assert_eq!(bench.order(at(1)), None);
    bench.direct.leave(ticket);
    bench.direct.ended(at(50), held[0].ticket, Ending::Answered);
    assert_eq!(bench.order(at(50)), None);
    assert_eq!(bench.direct.count(), 3);
}

//! Which target a request is sent to.

use core::time::Duration;
use std::sync::Arc;

use rstest::rstest;
use steer::process::direct::{AttemptOutcome, Decision, FollowUp, Rejection};
use steer::version::routes::Route;

use super::bench::{Bench, MS, at, entry, route};

/// Callers ask for the same sheet again and again. A target that has handled it
/// takes a third of the time; spread over all targets, each request would begin
/// from nothing.
#[test]
fn keep_object_at_its_target() {
    let targets = ["t1", "t2", "t3", "t4"].map(|id| entry(id, "near-a"));
    let mut bench = Bench::new(route(), &targets);
    let first = bench.serve(at(0), 5, 900 * MS);
    for i in 1..20 {
        let go = bench.serve(at(i * 1_000), 5, 300 * MS);
        assert_eq!(go.target, first.target);
        assert!(go.warm);
    }
}

/// The target that holds the sheet is full for a moment and others are idle. A
/// short wait beats three times the work, for this request and for those that
/// would find the other target's slots taken.
#[test]
fn wait_for_warm_target() {
    let targets = ["t1", "t2"].map(|id| entry(id, "near-a"));
    let mut bench = Bench::new(route(), &targets);
    let warm = bench.serve(at(0), 5, 900 * MS).target;
    bench.serve(at(1_000), 5, 300 * MS);
    let mut held = Vec::new();
    for _ in 0..4 {
        held.push(bench.send(at(2_000), Some(5)));
    }
    assert!(held.iter().all(|go| go.target == warm));
    bench.submit(at(2_010), Some(5));
    assert_eq!(bench.order(at(2_010)), None, "it waits for its target");
    bench
        .direct
        .finish_attempt(at(2_100), held[0].ticket, AttemptOutcome::Answered);
    let Some(Decision::Send(go)) = bench.order(at(2_100)) else {
        panic!("a slot is free");
    };
    assert_eq!(go.target, warm);
}

/// One sheet is asked for more often than a target can bear, and others stand
/// idle. All instances send what doesn't fit to the same second target: it is
/// cold there once, instead of at each instance's own choice.
#[test]
fn spill_to_same_second_target() {
    const SENT: u64 = 16;
    let ids = ["t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8"];
    let targets = ids.map(|id| entry(id, "near-a"));
    let used = |name: &str| {
        let mut bench = Bench::named(name, route(), &targets);
        bench.learn(5);
        for _ in 0..SENT {
            bench.submit(at(21_000), Some(5));
        }
        let mut used = Vec::new();
        for order in bench.direct.step(at(21_000)) {
            if let Decision::Send(go) = order
                && !used.contains(&go.target)
            {
                used.push(go.target);
            }
        }
        used
    };
    let one = used("near-1");
    assert_eq!(one.len(), 2, "{one:?}");
    assert_eq!(used("near-2"), one);
}

#[rstest]
#[case::leaving("leaving")]
#[case::gone("gone")]
#[case::evacuated("evacuated")]
fn avoid_target(#[case] why: &str) {
    let targets = [entry("t1", "near-a"), entry("t2", "near-b")];
    let mut bench = Bench::new(route(), &targets);
    let now = at(1_000);
    match why {
        "leaving" => {
            let leaving = steer::process::direct::target::Entry {
                draining: true,
                seq: 2,
                ..entry("t1", "near-a")
            };
            bench.direct.roster.put(now, leaving);
        }
        "gone" => assert!(bench.direct.unlist(now, "t1")),
        _ => bench.direct.evacuate(now, vec!["near-a".into()]),
    }
    for i in 0..8 {
        let go = bench.send(at(1_000 + i), Some(i));
        assert_eq!(&*go.target, "t2");
        bench
            .direct
            .finish_attempt(at(1_001 + i), go.ticket, AttemptOutcome::Answered);
    }
}

/// A request waits here for a target whose domain is then evacuated: it must
/// not be sent there when the slot becomes free.
#[test]
fn evacuate_under_waiting_request() {
    let mut bench = Bench::new(route(), &[entry("t1", "near-a"), entry("t2", "near-b")]);
    bench.direct.evacuate(at(0), vec!["near-b".into()]);
    let held: Vec<_> = (0..4).map(|_| bench.send(at(0), Some(1))).collect();
    bench.submit(at(10), Some(1));
    assert_eq!(bench.order(at(10)), None);
    let both = vec!["near-a".into(), "near-b".into()];
    bench.direct.evacuate(at(20), both);
    bench
        .direct
        .finish_attempt(at(30), held[0].ticket, AttemptOutcome::Answered);
    let order = bench.order(at(30));
    assert!(!matches!(order, Some(Decision::Send(_))), "{order:?}");
}

#[test]
fn stay_in_home_regions() {
    let home_regions: Vec<Arc<str>> = vec!["near".into()];
    let only_far = [entry("t1", "far-a")];
    let mut bench = Bench::new(
        Route {
            home_regions,
            ..route()
        },
        &only_far,
    );
    bench.submit(at(0), None);
    assert_eq!(bench.order(at(0)), None);
    let Some(Decision::Reject { why, .. }) = bench.order(at(100)) else {
        panic!("nothing can serve it");
    };
    assert_eq!(why, Rejection::NoTarget);
}

#[test]
fn leave_region_without_targets() {
    let mut bench = Bench::new(route(), &[entry("t1", "far-a")]);
    assert_eq!(&*bench.send(at(0), Some(1)).target, "t1");
}

/// All slots are taken for longer than the caller waits: it is rejected at
/// once, with a time to come back, and not when its time is over.
#[test]
fn reject_hopeless_at_once() {
    let mut bench = Bench::new(route(), &[entry("t1", "near-a")]);
    for i in 0..3 {
        bench.serve(at(i * 2_000), 1, 1_500 * MS);
    }
    let mut rejected = 0;
    for _ in 0..20 {
        bench.submit(at(10_000), Some(1));
        for order in bench.direct.step(at(10_000)) {
            if let Decision::Reject { after, why, .. } = order {
                assert_eq!(why, Rejection::Overload);
                assert!(after >= Duration::from_millis(100));
                rejected += 1;
            }
        }
    }
    assert!(rejected >= 8, "only {rejected} of 20");
}

/// The caller returns after an outage with 20 ms of its time left. A slot is
/// free, but the answer takes 300 ms: sent all the same, the request would
/// occupy the slot in vain, and its caller couldn't be told that it hasn't run.
#[test]
fn reject_hopeless_despite_free_slot() {
    let mut bench = Bench::new(route(), &[entry("t1", "near-a")]);
    for i in 0..3 {
        bench.serve(at(i * 2_000), 1, 300 * MS);
    }
    bench.submit_until(at(10_000), Some(1), at(10_050));
    let order = bench.order(at(10_000));
    assert!(
        matches!(
            order,
            Some(Decision::Reject {
                why: Rejection::Overload,
                ..
            })
        ),
        "{order:?}"
    );
    bench.submit_until(at(10_000), Some(1), at(10_250));
    let order = bench.order(at(10_000));
    assert!(matches!(order, Some(Decision::Send(_))), "{order:?}");
}

/// The more urgent of two that wait goes first, whichever came first.
#[test]
fn prefer_urgent_request() {
    let mut bench = Bench::new(route(), &[entry("t1", "near-a")]);
    let held: Vec<_> = (0..4).map(|_| bench.send(at(0), None)).collect();
    let patient = bench.submit(at(1), None);
    assert_eq!(bench.order(at(1)), None);
    let usual = Arc::clone(&bench.route);
    bench.route = Arc::new(Route {
        name: "urgent".into(),
        priority: 0,
        ..(*usual).clone()
    });
    let urgent = bench.submit(at(2), None);
    assert_eq!(bench.order(at(2)), None);
    bench
        .direct
        .finish_attempt(at(50), held[0].ticket, AttemptOutcome::Answered);
    let Some(Decision::Send(go)) = bench.order(at(50)) else {
        panic!("a slot is free");
    };
    assert_eq!(go.ticket, urgent);
    assert_ne!(go.ticket, patient);
}

/// A request is decided on, and its target announces that it leaves before an
/// instance that is a second behind has sent it. It must not be sent any more,
/// and goes to another target, whether it may be repeated or not.
#[rstest]
#[case::idempotent(true)]
#[case::once(false)]
fn withdraw_from_leaving_target(#[case] is_idempotent: bool) {
    let targets = [entry("t1", "near-a"), entry("t2", "near-b")];
    let route = Route {
        is_idempotent,
        ..route()
    };
    let mut bench = Bench::new(route, &targets);
    let go = bench.send(at(1_000), Some(5));
    assert!(bench.direct.may_send(&go.target));
    let left = targets.iter().find(|t| t.id == go.target);
    let leaving = steer::process::direct::target::Entry {
        draining: true,
        seq: 2,
        ..left.expect("it was sent to one of them").clone()
    };
    bench.direct.roster.put(at(1_200), leaving);
    assert!(!bench.direct.may_send(&go.target));
    let next = bench
        .direct
        .finish_attempt(at(2_400), go.ticket, AttemptOutcome::Withdrawn);
    assert_eq!(next, FollowUp::Retry);
    let Some(Decision::Send(again)) = bench.order(at(2_400)) else {
        panic!("there is another target");
    };
    assert_ne!(again.target, go.target);
    assert!(bench.direct.may_send(&again.target));
}

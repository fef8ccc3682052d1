//! Choice of the target for a request, queueing at the instance and rejection.

use core::time::Duration;
use std::sync::Arc;

use rstest::rstest;
use steer::process::direct::{AttemptOutcome, Decision, FollowUp, Rejection, Withheld};
use steer::version::routes::Route;

use super::bench::{Bench, MS, at, entry, route};

/// Guards against spreading the requests for an object over all targets: each
/// target would start cold, where a warm one takes a third of the time.
#[test]
fn keep_object_at_its_target() {
    let targets = ["t1", "t2", "t3", "t4"].map(|id| entry(id, "near-a"));
    let mut bench = Bench::new(route(), &targets);
    let first = bench.serve(at(0), 5, 900 * MS);
    for i in 1..20 {
        let assignment = bench.serve(at(i * 1_000), 5, 300 * MS);
        assert_eq!(assignment.target, first.target);
        assert!(assignment.is_warm);
    }
}

/// Guards against sending an object to an idle cold target when its warm target is
/// full for a moment. The short wait beats three times the service time, for this
/// request and for those that would find the slots of the other target taken.
#[test]
fn wait_for_warm_target() {
    let targets = ["t1", "t2"].map(|id| entry(id, "near-a"));
    let mut bench = Bench::new(route(), &targets);
    let warm = bench.serve(at(0), 5, 900 * MS).target;
    bench.serve(at(1_000), 5, 300 * MS);
    let mut in_flight = Vec::new();
    for _ in 0..4 {
        in_flight.push(bench.send(at(2_000), Some(5)));
    }
    assert!(in_flight.iter().all(|assignment| assignment.target == warm));
    bench.submit(at(2_010), Some(5));
    assert_eq!(
        bench.decide(at(2_010)),
        None,
        "it waits for its warm target"
    );
    bench
        .direct
        .finish_attempt(at(2_100), in_flight[0].ticket, AttemptOutcome::Answered);
    let Some(Decision::Send(assignment)) = bench.decide(at(2_100)) else {
        panic!("a slot is free");
    };
    assert_eq!(assignment.target, warm);
}

/// One object is requested more often than a target can serve, and other targets
/// are idle. All instances must send the excess to the same second target, where the
/// object is cold only once, and not each to a target of its own choice.
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
        for decision in bench.direct.step(at(21_000)) {
            if let Decision::Send(assignment) = decision
                && !used.contains(&assignment.target)
            {
                used.push(assignment.target);
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
            let draining = steer::process::direct::target::Entry {
                draining: true,
                seq: 2,
                ..entry("t1", "near-a")
            };
            bench.direct.roster.put(now, draining);
        }
        "gone" => assert!(bench.direct.unlist(now, "t1")),
        _ => bench.direct.evacuate(now, vec!["near-a".into()]),
    }
    for i in 0..8 {
        let assignment = bench.send(at(1_000 + i), Some(i));
        assert_eq!(&*assignment.target, "t2");
        bench
            .direct
            .finish_attempt(at(1_001 + i), assignment.ticket, AttemptOutcome::Answered);
    }
}

/// A request waits for a target whose domain is then evacuated. It must not be sent
/// there when a slot becomes free.
#[test]
fn evacuate_under_waiting_request() {
    let mut bench = Bench::new(route(), &[entry("t1", "near-a"), entry("t2", "near-b")]);
    bench.direct.evacuate(at(0), vec!["near-b".into()]);
    let in_flight: Vec<_> = (0..4).map(|_| bench.send(at(0), Some(1))).collect();
    bench.submit(at(10), Some(1));
    assert_eq!(bench.decide(at(10)), None);
    let both = vec!["near-a".into(), "near-b".into()];
    bench.direct.evacuate(at(20), both);
    bench
        .direct
        .finish_attempt(at(30), in_flight[0].ticket, AttemptOutcome::Answered);
    let decision = bench.decide(at(30));
    assert!(!matches!(decision, Some(Decision::Send(_))), "{decision:?}");
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
    assert_eq!(bench.decide(at(0)), None);
    let Some(Decision::Reject { reason, .. }) = bench.decide(at(100)) else {
        panic!("nothing can serve it");
    };
    assert_eq!(reason, Rejection::NoTarget);
}

#[test]
fn leave_region_without_targets() {
    let mut bench = Bench::new(route(), &[entry("t1", "far-a")]);
    assert_eq!(&*bench.send(at(0), Some(1)).target, "t1");
}

/// All slots are taken for longer than the caller waits. It must be rejected at once,
/// with a time to come back, and not when its deadline passes.
#[test]
fn reject_hopeless_at_once() {
    let mut bench = Bench::new(route(), &[entry("t1", "near-a")]);
    for i in 0..3 {
        bench.serve(at(i * 2_000), 1, 1_500 * MS);
    }
    let mut rejected = 0;
    for _ in 0..20 {
        bench.submit(at(10_000), Some(1));
        for decision in bench.direct.step(at(10_000)) {
            if let Decision::Reject {
                retry_after,
                reason,
                ..
            } = decision
            {
                assert_eq!(reason, Rejection::Overload);
                assert!(retry_after >= Duration::from_millis(100));
                rejected += 1;
            }
        }
    }
    assert!(rejected >= 8, "only {rejected} of 20");
}

/// A caller retries after an outage with 20 ms of its time left. A slot is free, but
/// the answer takes 300 ms. If the request were sent, it would waste the slot, and
/// its caller couldn't be told that it hasn't run.
#[test]
fn reject_hopeless_despite_free_slot() {
    let mut bench = Bench::new(route(), &[entry("t1", "near-a")]);
    for i in 0..3 {
        bench.serve(at(i * 2_000), 1, 300 * MS);
    }
    bench.submit_until(at(10_000), Some(1), at(10_050));
    let decision = bench.decide(at(10_000));
    assert!(
        matches!(
            decision,
            Some(Decision::Reject {
                reason: Rejection::Overload,
                ..
            })
        ),
        "{decision:?}"
    );
    bench.submit_until(at(10_000), Some(1), at(10_250));
    let decision = bench.decide(at(10_000));
    assert!(matches!(decision, Some(Decision::Send(_))), "{decision:?}");
}

/// The more urgent of two waiting requests goes first, in whatever order they came.
#[test]
fn prefer_urgent_request() {
    let mut bench = Bench::new(route(), &[entry("t1", "near-a")]);
    let in_flight: Vec<_> = (0..4).map(|_| bench.send(at(0), None)).collect();
    let patient = bench.submit(at(1), None);
    assert_eq!(bench.decide(at(1)), None);
    let base = Arc::clone(&bench.route);
    bench.route = Arc::new(Route {
        name: "urgent".into(),
        priority: 0,
        ..(*base).clone()
    });
    let urgent = bench.submit(at(2), None);
    assert_eq!(bench.decide(at(2)), None);
    bench
        .direct
        .finish_attempt(at(50), in_flight[0].ticket, AttemptOutcome::Answered);
    let Some(Decision::Send(assignment)) = bench.decide(at(50)) else {
        panic!("a slot is free");
    };
    assert_eq!(assignment.ticket, urgent);
    assert_ne!(assignment.ticket, patient);
}

/// A target announces that it is draining after a request was assigned to it and
/// before an overloaded instance has sent the request, a second later. The request
/// must not be sent there, and goes to another target whether idempotent or not.
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
    let assignment = bench.send(at(1_000), Some(5));
    assert_eq!(bench.direct.withheld(at(1_100), &assignment), None);
    let target = targets.iter().find(|t| t.id == assignment.target);
    let draining = steer::process::direct::target::Entry {
        draining: true,
        seq: 2,
        ..target.expect("it was sent to one of them").clone()
    };
    bench.direct.roster.put(at(1_200), draining);
    let withheld = bench.direct.withheld(at(1_300), &assignment);
    assert_eq!(withheld, Some(Withheld::Leaving));
    let follow_up =
        bench
            .direct
            .finish_attempt(at(2_400), assignment.ticket, AttemptOutcome::Withdrawn);
    assert_eq!(follow_up, FollowUp::Retry);
    let Some(Decision::Send(retry)) = bench.decide(at(2_400)) else {
        panic!("there is another target");
    };
    assert_ne!(retry.target, assignment.target);
    assert_eq!(bench.direct.withheld(at(2_400), &retry), None);
}

/// Instances that knew of no load all sent requests without an object to the first target
/// by name.
#[test]
fn spread_instances_over_equal_targets() {
    let names: Vec<String> = (0..40).map(|n| format!("t{n:02}")).collect();
    let targets: Vec<_> = names.iter().map(|name| entry(name, "near-a")).collect();
    let first = |n: u32| {
        let mut bench = Bench::named(&format!("near-{n}"), route(), &targets);
        bench.send(at(2_000), None).target
    };
    let mut chosen: Vec<_> = (0..40).map(first).collect();
    chosen.sort_unstable();
    let most = chosen.chunk_by(|a, b| a == b).map(<[_]>::len).max();
    assert!(most.is_some_and(|most| most <= 8), "{chosen:?}");
}

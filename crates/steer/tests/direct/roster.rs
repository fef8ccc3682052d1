//! Targets listed by service discovery, and the effects of the store's outages on them.

use core::time::Duration;

use rstest::rstest;
use steer::process::direct::StoreContact;
use steer::process::direct::roster::Change;
use steer::process::direct::target::Entry;

use super::bench::{Bench, MS, at, entry, route};

/// Entries expired while the store was unreachable for five seconds. Live targets renew
/// theirs within two seconds; dropped at once, the whole service would have none. A
/// target that stays missing is dropped.
#[test]
fn keep_lapsed_targets_for_a_moment() {
    let mut bench = Bench::new(route(), &[entry("t1", "near-a"), entry("t2", "near-a")]);
    bench.direct.store_answered(at(0), 10);
    bench.direct.store_answered(at(5_000), 11);
    assert!(!bench.direct.unlist(at(5_010), "t1"));
    assert!(!bench.direct.unlist(at(5_010), "t2"));
    assert!(bench.direct.sweep(at(6_000)).is_empty());
    bench.direct.roster.put(at(6_500), entry("t1", "near-a"));
    let dropped = bench.direct.sweep(at(7_300));
    assert_eq!(dropped, ["t2".into()]);
    assert!(
        bench
            .direct
            .roster
            .get_mut("t1")
            .is_some_and(|t| t.is_available())
    );
}

/// An instance whose upstream was partitioned took that for an outage of the store and
/// kept sending to targets that had left.
#[rstest]
#[case::store_answered_all_the_while(10_000, true)]
#[case::store_was_away(800, false)]
fn drop_at_once_if_only_upstream_was_away(#[case] span: u64, #[case] dropped: bool) {
    let mut bench = Bench::new(route(), &[entry("t1", "near-a")]);
    bench.direct.store_answered(at(1_000), 10);
    let contact = StoreContact {
        age: Some(MS * 300),
        span: Some(Duration::from_millis(span)),
    };
    bench.direct.peer_answered(at(5_000), contact, 11);
    assert_eq!(bench.direct.unlist(at(5_010), "t1"), dropped);
}

/// A gap of this instance alone does not shorten the span that other instances report.
#[test]
fn keep_contact_span_through_own_gap() {
    let mut bench = Bench::new(route(), &[]);
    bench.direct.store_answered(at(1_000), 10);
    let contact = StoreContact {
        age: Some(MS * 300),
        span: Some(Duration::from_secs(10)),
    };
    bench.direct.peer_answered(at(6_000), contact, 11);
    assert_eq!(bench.direct.store_contact(at(6_000)).span, Some(MS * 5_000));
    bench.direct.store_answered(at(10_000), 12);
    assert_eq!(
        bench.direct.store_contact(at(10_000)).span,
        Some(Duration::ZERO)
    );
}

#[test]
fn drop_at_once_in_touch() {
    let mut bench = Bench::new(route(), &[entry("t1", "near-a")]);
    bench.direct.store_answered(at(0), 10);
    bench.direct.store_answered(at(2_000), 11);
    assert!(bench.direct.unlist(at(2_010), "t1"));
}

/// A report from before a target began to drain arrives late. Applied, it would send
/// requests to a target that is about to end.
#[test]
fn stay_leaving_on_older_report() {
    let mut bench = Bench::new(route(), &[entry("t1", "near-a")]);
    let leaving = Entry {
        draining: true,
        seq: 4,
        ..entry("t1", "near-a")
    };
    bench.direct.roster.put(at(10), leaving);
    let late = Entry {
        seq: 4,
        ..entry("t1", "near-a")
    };
    bench.direct.roster.put(at(20), late);
    assert!(
        bench
            .direct
            .roster
            .get_mut("t1")
            .is_some_and(|t| !t.is_available())
    );
}

/// A late report of a target that leaves was taken for a restart, and it got requests again.
#[rstest]
#[case::earlier(Entry { seq: 2, ..entry("t1", "near-a") })]
#[case::earlier_elsewhere(Entry { seq: 2, addr: "127.0.0.1:9".parse().expect("it is one"), ..entry("t1", "near-a") })]
#[case::later_elsewhere(Entry { seq: 6, addr: "127.0.0.1:9".parse().expect("it is one"), ..entry("t1", "near-a") })]
fn stay_leaving_within_incarnation(#[case] report: Entry) {
    let mut bench = Bench::new(route(), &[]);
    let leaving = Entry {
        draining: true,
        seq: 5,
        incarnation: 1,
        ..entry("t1", "near-a")
    };
    bench.direct.roster.put(at(10), leaving);
    let report = Entry {
        incarnation: 1,
        ..report
    };
    bench.direct.roster.put(at(20), report);
    let target = bench.direct.roster.get("t1");
    assert!(target.is_some_and(|t| !t.is_available()));
}

/// A target that restarts under its old name holds none of its former objects.
#[test]
fn forget_what_old_incarnation_held() {
    let mut bench = Bench::new(route(), &[entry("t1", "near-a")]);
    bench.serve(at(0), 5, super::bench::MS * 100);
    let restarted = Entry {
        incarnation: 2,
        ..entry("t1", "near-a")
    };
    let change = bench.direct.roster.put(at(500), restarted);
    assert_eq!(change, Change::Restarted);
    assert!(!bench.send(at(600), Some(5)).is_warm);
}

/// Targets appear, change their service under the same name, and leave; at each step
/// the lookup by service returns the right ones.
#[test]
fn find_targets_of_service() {
    let mut bench = Bench::new(route(), &[]);
    let of = |bench: &Bench, service: &str| -> Vec<String> {
        let found = bench.direct.roster.of_service(service);
        found.map(|(_, t)| t.entry.id.as_ref().to_owned()).collect()
    };
    for id in ["t3", "t1", "t2"] {
        bench.direct.roster.put(at(0), entry(id, "near-a"));
    }
    assert_eq!(of(&bench, "sheets"), ["t1", "t2", "t3"]);
    let moved = Entry {
        service: "bills".into(),
        incarnation: 2,
        ..entry("t2", "near-a")
    };
    bench.direct.roster.put(at(10), moved);
    assert_eq!(of(&bench, "sheets"), ["t1", "t3"]);
    assert_eq!(of(&bench, "bills"), ["t2"]);
    let busy = bench.send(at(20), None);
    bench.direct.unlist(at(30), "t1");
    bench.direct.unlist(at(30), "t3");
    bench.direct.finish_attempt(
        at(40),
        busy.ticket,
        steer::process::direct::AttemptOutcome::Answered,
    );
    bench.direct.sweep(at(50));
    assert!(of(&bench, "sheets").is_empty());
    assert_eq!(of(&bench, "bills"), ["t2"]);
    assert!(of(&bench, "none").is_empty());
}

/// A target that starts again in another region was taken for one of the region it left.
#[test]
fn follow_restarted_target_to_other_region() {
    let mut bench = Bench::new(route(), &[entry("t1", "near-a")]);
    let moved = Entry {
        incarnation: 2,
        ..entry("t1", "far-a")
    };
    bench.direct.roster.put(at(10), moved);
    let regions: Vec<_> = bench
        .direct
        .roster
        .all()
        .iter()
        .map(|t| &*t.region)
        .collect();
    assert_eq!(regions, ["far"]);
}

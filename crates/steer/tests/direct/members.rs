//! Presence of other instances, and what they learn from each other's heartbeats.

use rstest::rstest;
use steer::process::direct::StoreContact;
use steer::process::direct::members::{Heartbeat, Members, name_hash};

use super::bench::{Bench, MS, at, entry, heartbeat, registration, route};

fn names(members: &Members, millis: u64, store: bool) -> Vec<String> {
    let present = members.present(at(millis), store);
    present.map(|(name, _)| name.as_ref().to_owned()).collect()
}

#[rstest]
#[case::listed_and_store_in_touch(true, None, true, true)]
#[case::listed_but_store_away(true, None, false, false)]
#[case::heard_though_unlisted(false, Some(0), true, true)]
#[case::heard_while_store_away(true, Some(0), false, true)]
#[case::silent_and_unlisted(false, Some(4_000), true, false)]
#[case::silent_while_store_away(true, Some(4_000), false, false)]
#[case::silent_but_listed(true, Some(4_000), true, true)]
fn count_as_present(
    #[case] listed: bool,
    #[case] silent: Option<u64>,
    #[case] store: bool,
    #[case] expected: bool,
) {
    let mut members = Members::default();
    members.add(at(0), "a", registration("near"));
    if !listed {
        members.unlist(at(10_000), "a");
    }
    if silent.is_some() {
        members.receive(at(10_000), heartbeat("a", 1));
    }
    let now = 10_000 + silent.unwrap_or_default();
    assert_eq!(!names(&members, now, store).is_empty(), expected);
}

/// An older heartbeat arrives after the one that says its sender leaves. Callers must
/// not be sent to it again.
#[test]
fn stay_gone_on_older_heartbeat() {
    let mut members = Members::default();
    members.add(at(0), "a", registration("near"));
    members.receive(at(0), heartbeat("a", 1));
    let leaving = Heartbeat {
        is_leaving: true,
        ..heartbeat("a", 3)
    };
    members.receive(at(10), leaving);
    members.receive(at(20), heartbeat("a", 2));
    assert!(names(&members, 30, true).is_empty());
    let restarted = Heartbeat {
        incarnation: 8,
        ..heartbeat("a", 1)
    };
    members.receive(at(40), restarted);
    assert_eq!(names(&members, 50, true), ["a"]);
}

/// An instance that can't read the store learns that another knows a later version.
#[test]
fn read_from_peer_that_is_ahead() {
    let mut bench = Bench::new(route(), &[]);
    bench
        .direct
        .peer_answered(at(0), StoreContact::default(), 5);
    bench.direct.receive_heartbeat(
        at(0),
        Heartbeat {
            revision: 5,
            ..heartbeat("a", 1)
        },
    );
    assert_eq!(bench.direct.peer_ahead(at(10)), None);
    bench.direct.receive_heartbeat(
        at(20),
        Heartbeat {
            revision: 9,
            ..heartbeat("b", 1)
        },
    );
    assert!(bench.direct.peer_ahead(at(30)).is_some());
    assert_eq!(
        bench.direct.peer_ahead(at(9_000)),
        None,
        "its last heartbeat is too old"
    );
}

/// Two instances are partitioned while the store is unreachable, or one starts then and
/// knows the other only through a third. If each sent heartbeats only to those it hears
/// from, they would never hear from each other again.
#[test]
fn send_heartbeats_to_silent_members() {
    let mut bench = Bench::new(route(), &[]);
    bench
        .direct
        .peer_answered(at(0), StoreContact::default(), 5);
    bench
        .direct
        .set_member(at(0), "near-2", Some(registration("near")));
    let recipient_count = |now| {
        let to = bench.direct.recipients(at(now));
        to.local.len() + to.region.len() + to.remote.len()
    };
    assert_eq!(recipient_count(0), 1);
    assert_eq!(
        recipient_count(20_000),
        1,
        "neither heard from nor confirmed by the store"
    );
    assert_eq!(bench.direct.others(at(20_000)).count(), 0, "for callers");
}

/// One instance of each region reads the store, and calls are paid for: with more
/// regions the pause between reads grows, up to a bound, so that changes still come in
/// time. More instances in a region change nothing.
#[rstest]
#[case::alone(0, 1, 300)]
#[case::three_regions(3, 1, 300)]
#[case::many_regions(26, 1, 675)]
#[case::crowded(1_499, 500, 300)]
#[case::no_end(1_499, 1, 800)]
fn read_pause_by_regions(#[case] others: usize, #[case] each: usize, #[case] millis: u32) {
    let mut bench = Bench::new(route(), &[]);
    for i in 0..others {
        let registration = registration(&format!("region-{}", i / each));
        bench
            .direct
            .set_member(at(0), &format!("i{i}"), Some(registration));
    }
    bench.direct.store_answered(at(0), 1);
    assert_eq!(bench.direct.read_pause(at(0)), MS * millis);
}

/// Requests that other instances have at a shared target count as its load.
#[test]
fn count_requests_of_others() {
    let targets = [entry("t1", "near-a"), entry("t2", "near-a")];
    let mut bench = Bench::new(route(), &targets);
    let busy = Heartbeat {
        in_flight: vec![(name_hash("t1"), 4)],
        ..heartbeat("near-2", 1)
    };
    bench.direct.receive_heartbeat(at(0), busy);
    for i in 0..4 {
        assert_eq!(&*bench.send(at(1 + i), None).target, "t2");
    }
}

/// An object is sent again to the target that another instance of the region sent it
/// to, instead of starting cold. Reports learned from others are not passed on, or they
/// would never expire.
#[test]
fn learn_where_objects_are() {
    let targets = ["t1", "t2", "t3", "t4"].map(|id| entry(id, "near-a"));
    let mut one = Bench::new(route(), &targets);
    let mut other = Bench::new(route(), &targets);
    let object = 0x1234_5678_0000_0001;
    let target = one.serve(at(0), object, MS * 900).target;
    let report = one.direct.heartbeat(at(1_000), false);
    assert_eq!(report.warm_objects.len(), 1);
    other.direct.receive_heartbeat(
        at(1_000),
        Heartbeat {
            warm_objects: report.warm_objects,
            ..heartbeat("near-2", 1)
        },
    );
    let assignment = other.send(at(1_010), Some(object));
    assert_eq!((assignment.target, assignment.is_warm), (target, true));
    assert!(
        other
            .direct
            .heartbeat(at(1_020), false)
            .warm_objects
            .is_empty()
    );
    // Known objects are reported in turn, for instances that have just started.
    assert_eq!(one.direct.heartbeat(at(2_000), false).warm_objects.len(), 1);
}

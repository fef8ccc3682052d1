//! Choice of the instances that send requests for one that is cut off from all targets.

use core::net::SocketAddr;
use std::sync::Arc;

use rstest::rstest;
use steer::process::direct::members::Registration;
use steer::process::direct::{Assignment, AttemptOutcome, Decision, FollowUp, Rejection};
use steer::version::routes::Route;

use super::bench::{Bench, at, entry, registration, route};

/// Name of an instance, and its registration in a region, with this port for calls.
fn instance(name: &str, region: &str, port: usize) -> (String, Registration) {
    let port = u16::try_from(port).expect("it is small");
    let peers: SocketAddr = ([127, 0, 0, 1], port).into();
    let registration = Registration {
        peers,
        ..registration(region)
    };
    (name.to_owned(), registration)
}

/// An instance of region `near` that is cut off at 1 s and knows these instances.
fn cut_off(name: &str, route: Route, instances: &[(String, Registration)]) -> Bench {
    let targets = ["near-a", "near-b", "far-a", "far-b"];
    let targets = [0, 1, 2, 3].map(|i| entry(&format!("t{i}"), targets[i]));
    let mut bench = Bench::named(name, route, &targets);
    bench.direct.store_answered(at(900), 1);
    let known = instances.iter();
    let known = known.map(|(name, registration)| (&**name, Some(registration.clone())));
    bench.direct.set_members(at(900), known.collect());
    for (ticket, failed) in [(1, 1_000), (2, 1_000)] {
        let assignment = bench.send(at(failed), Some(ticket));
        bench.finish(at(failed), &assignment, AttemptOutcome::Unreachable);
        bench.direct.cancel(at(failed), assignment.ticket);
    }
    let probes = bench.direct.begin_probes(at(1_000));
    let change = bench.direct.finish_probes(at(1_000), 0, probes.len());
    assert!(change.expect("no probe succeeds").is_cut);
    bench
}

fn relay(assignment: &Assignment) -> &Arc<str> {
    &assignment.relay.as_ref().expect("it is cut off").name
}

/// A relay of the own region costs no bytes between regions.
#[test]
fn prefer_relay_of_own_region() {
    let instances = [instance("far-1", "far", 1), instance("near-2", "near", 2)];
    let mut bench = cut_off("near-1", route(), &instances);
    for object in 0..8 {
        let assignment = bench.send(at(1_100), Some(object));
        assert_eq!(&**relay(&assignment), "near-2");
        bench.finish(at(1_100), &assignment, AttemptOutcome::Answered);
    }
}

/// With the whole region cut off, targets beside the relay save two ways between regions.
#[test]
fn place_beside_relay_of_other_region() {
    let mut bench = cut_off("near-1", route(), &[instance("far-1", "far", 1)]);
    let assignment = bench.send(at(1_100), Some(1));
    assert_eq!(&**relay(&assignment), "far-1");
    let target = bench.direct.roster.get(&assignment.target);
    assert_eq!(&*target.expect("it is listed").region, "far");
}

/// The body of a request goes to no instance outside its home regions.
#[rstest]
#[case::own("near", "near-2")]
#[case::other("far", "far-1")]
fn relay_within_home_regions(#[case] home: &str, #[case] expected: &str) {
    let instances = [instance("far-1", "far", 1), instance("near-2", "near", 2)];
    let at_home = Route {
        home_regions: vec![home.into()],
        ..route()
    };
    let mut bench = cut_off("near-1", at_home, &instances);
    assert_eq!(&**relay(&bench.send(at(1_100), Some(1))), expected);
}

/// With nobody left, callers are told at once when to come back.
#[rstest]
#[case::alone(&[])]
#[case::away_from_home(&["far"])]
fn reject_at_once_without_relay(#[case] regions: &[&str]) {
    let instances: Vec<(String, Registration)> = regions
        .iter()
        .map(|region| instance(&format!("{region}-1"), region, 1))
        .collect();
    let at_home = Route {
        home_regions: vec!["near".into()],
        ..route()
    };
    let mut bench = cut_off("near-1", at_home, &instances);
    bench.submit(at(1_100), Some(1));
    let decision = bench.decide(at(1_100));
    let Some(Decision::Reject { reason, .. }) = decision else {
        panic!("not rejected: {decision:?}");
    };
    assert_eq!(reason, Rejection::CutOff);
}

/// Two instances that are cut off must not send to each other in turn.
#[test]
fn ask_next_when_relay_refuses() {
    let instances = [instance("near-2", "near", 2), instance("near-3", "near", 3)];
    let mut bench = cut_off("near-1", route(), &instances);
    let first = bench.send(at(1_100), Some(1));
    let next = bench.finish(at(1_110), &first, AttemptOutcome::RelayRefused);
    assert_eq!(next, FollowUp::Retry);
    let Some(Decision::Send(second)) = bench.decide(at(1_110)) else {
        panic!("the other one is asked");
    };
    assert_ne!(relay(&first), relay(&second));
    assert_eq!(second.attempt, 1, "nothing was sent before");
    bench.finish(at(1_120), &second, AttemptOutcome::RelayRefused);
    assert!(matches!(
        bench.decide(at(1_120)),
        Some(Decision::Reject { .. })
    ));
}

/// A caller must not wait for one connect timeout after the other.
#[test]
fn give_up_after_some_relays() {
    let instances: Vec<_> = (2..9)
        .map(|i| instance(&format!("near-{i}"), "near", i))
        .collect();
    let mut bench = cut_off("near-1", route(), &instances);
    let ticket = bench.submit(at(1_100), Some(1));
    let mut tries = 0;
    while let Some(Decision::Send(assignment)) = bench.decide(at(1_100)) {
        assert_eq!(assignment.ticket, ticket);
        tries += 1;
        bench
            .direct
            .finish_attempt(at(1_100), ticket, AttemptOutcome::RelayRefused);
    }
    assert_eq!(tries, 3);
}

/// Requests of many instances that are cut off must not all go to one, at any size: none has
/// more than two of them send.
#[rstest]
#[case::three_of_7(7, 3)]
#[case::twelve_of_120(120, 12)]
#[case::hundred_of_985(985, 100)]
fn spread_over_relays(#[case] instances: usize, #[case] cut: usize) {
    const REQUESTS: usize = 20;
    let name = |i: usize| format!("near-{i}");
    let others: Vec<(String, Registration)> = (cut..instances)
        .map(|i| instance(&name(i), "near", i + 1))
        .collect();
    let mut counts = vec![0_usize; instances];
    for i in 0..cut {
        let mut bench = cut_off(&name(i), route(), &others);
        let mut used = Vec::new();
        for object in 0..REQUESTS as u64 {
            let now = at(1_100 + object);
            let assignment = bench.send(now, Some(object));
            let port = assignment
                .relay
                .as_ref()
                .expect("it is cut off")
                .addr
                .port();
            counts[usize::from(port) - 1] += 1;
            used.push(port);
            bench.finish(now, &assignment, AttemptOutcome::Answered);
        }
        used.sort_unstable();
        used.dedup();
        assert!(used.len() <= 4, "each needs a connection: {used:?}");
    }
    let total: usize = counts.iter().sum();
    let busy = counts.iter().filter(|c| **c > 0).count();
    let most = counts.iter().max().copied().unwrap_or_default();
    println!("{total} requests over {busy} relays, the busiest has {most}");
    assert!(busy * 2 >= (instances - cut).min(4 * cut), "{busy} relays");
    assert!(most <= 2 * REQUESTS, "{most} of {total} at one");
}

//! Work of an instance in deployments of two sizes, counted in visited entries of the
//! roster: what happens often must not grow with the number of targets.

use std::sync::Arc;

use rstest::rstest;
use steer::process::direct::health::Observation;
use steer::process::direct::roster::Change;
use steer::process::direct::target::Entry;
use steer::process::direct::{AttemptOutcome, Decision, short_hash};

use super::bench::{Bench, at, entry, heartbeat, route};

/// Sizes of the compared deployments, in targets.
const SIZES: [usize; 2] = [1_000, 10_000];

/// Targets of a service in four failure domains of two regions, in an order unlike that
/// of their names.
fn targets(count: usize) -> Vec<Entry> {
    let domains = ["near-a", "near-b", "far-a", "far-b"];
    let order = (0..count).map(|n| (n * 7_919) % count);
    let name = |n: usize| format!("t{n:05}");
    order.map(|n| entry(&name(n), domains[n % 4])).collect()
}

fn fleet(count: usize) -> Bench {
    let mut bench = Bench::new(route(), &[]);
    bench.direct.roster.put_all(at(0), targets(count));
    assert_eq!(bench.direct.roster.all().len(), count);
    bench
}

/// Visits that an action causes in a deployment of each size.
fn visits(action: impl Fn(&mut Bench)) -> [u64; 2] {
    SIZES.map(|count| {
        let mut bench = fleet(count);
        // One contacted target, as in a fleet with few requests for each instance.
        bench.send(at(2_000), Some(1));
        let before = bench.direct.roster.visits();
        action(&mut bench);
        bench.direct.roster.visits() - before
    })
}

/// A start took seconds: each of thousands of targets moved those that sort after it.
#[rstest]
#[case::all_at_once(1)]
#[case::in_eight_batches(8)]
fn add_targets_of_start_in_few_passes(#[case] batches: usize) {
    for count in SIZES {
        let mut bench = Bench::new(route(), &[]);
        let all = targets(count);
        for batch in all.chunks(count.div_ceil(batches)) {
            bench.direct.roster.put_all(at(0), batch.to_vec());
        }
        let visits = bench.direct.roster.visits();
        let most = 3 * count as u64 * batches as u64;
        assert!(visits <= most, "{visits} visits for {count} targets");
        let names = bench.direct.roster.listed();
        assert_eq!(names.len(), count);
        assert!(names.is_sorted());
    }
}

/// The loss of a failure domain rebuilt the indexes once for each of its targets.
#[test]
fn remove_targets_of_domain_in_few_passes() {
    for count in SIZES {
        let mut bench = fleet(count);
        let before = bench.direct.roster.visits();
        let names = bench.direct.roster.listed();
        let lost: Vec<&str> = names.iter().step_by(4).map(|n| &**n).collect();
        let listed = bench.direct.unlist_all(at(10), &lost);
        assert!(listed.iter().all(|was_listed| *was_listed));
        let visits = bench.direct.roster.visits() - before;
        assert!(visits <= 3 * count as u64, "{visits} for {count} targets");
        assert_eq!(bench.direct.roster.all().len(), count - lost.len());
    }
}

/// What an instance does several times a second went over all targets of the deployment.
#[rstest]
#[case::sweep(|b: &mut Bench| { b.direct.sweep(at(2_200)); })]
#[case::heartbeat(|b: &mut Bench| { b.direct.heartbeat(at(2_200), true); })]
#[case::notices(|b: &mut Bench| { b.direct.target_notices(at(2_200)); })]
#[case::received_heartbeat(|b: &mut Bench| b.direct.receive_heartbeat(at(2_200), report(b)))]
fn visit_few_targets_whatever_their_number(#[case] action: fn(&mut Bench)) {
    let [small, large] = visits(action);
    assert_eq!(small, large);
    assert!(large <= 20, "{large} visits");
}

/// A heartbeat with requests in flight, a warm object and an observation.
fn report(bench: &Bench) -> steer::process::direct::members::Heartbeat {
    let hash = bench.direct.roster.all()[7].short_hash();
    let mut heartbeat = heartbeat("near-2", 1);
    heartbeat.in_flight = vec![(hash, 2)];
    heartbeat.warm_objects = vec![(hash, short_hash(9 << 32))];
    heartbeat.observations = vec![Observation::failed(hash)];
    heartbeat
}

/// A decision on a request that is in time at home visited the targets of all regions,
/// in every pass.
#[test]
fn visit_targets_of_own_region_for_decision() {
    for count in SIZES {
        let mut bench = fleet(count);
        bench.submit(at(2_000), Some(1));
        let before = bench.direct.roster.visits();
        let decision = bench.decide(at(2_000));
        assert!(matches!(decision, Some(Decision::Send(_))), "{decision:?}");
        let visits = bench.direct.roster.visits() - before;
        // Half of the targets are at home: one pass for the load there, and two each to
        // choose region and target. The slots of all are counted once for a service.
        let most = 5 * (count as u64 / 2) + count as u64 + 10;
        assert!(visits <= most, "{visits} visits for {count} targets");
    }
}

/// Contacts of an instance would add up to all targets of its region over time.
#[test]
fn forget_contacts_that_hold_nothing() {
    let mut bench = fleet(SIZES[0]);
    for n in 0..50 {
        let now = at(2_000 + n);
        let sent = bench.send(now, None);
        let outcome = AttemptOutcome::NotRun;
        bench.direct.finish_attempt(now, sent.ticket, outcome);
        bench.direct.cancel(now, sent.ticket);
    }
    bench.direct.sweep(at(70_000));
    let before = bench.direct.roster.visits();
    bench.direct.sweep(at(70_200));
    assert_eq!(bench.direct.roster.visits() - before, 0);
}

/// An entry may be told twice in one update; the later one counts.
#[test]
fn apply_last_of_repeated_entries() {
    let mut bench = Bench::new(route(), &[]);
    let draining = Entry {
        draining: true,
        seq: 2,
        ..entry("t1", "near-a")
    };
    let both = vec![entry("t1", "near-a"), draining];
    let changed = bench.direct.roster.put_all(at(0), both);
    assert_eq!(changed, [Change::Listed, Change::Reported]);
    let listed: Vec<Arc<str>> = bench.direct.roster.listed();
    assert_eq!(listed, ["t1".into()]);
    assert!(!bench.direct.roster.all()[0].is_available());
}

//! Instances that are cut off from all targets: how they find out, and how they return.

use rstest::rstest;
use steer::clock::Time;
use steer::process::direct::members::Heartbeat;
use steer::process::direct::reach::ReachChange;
use steer::process::direct::{Assignment, AttemptOutcome, Decision, FollowUp, Ticket, Withheld};
use steer::request::arrival::Fingerprint;
use steer::version::routes::Route;

use super::bench::{Bench, at, entry, heartbeat, registration, route};

const DOMAINS: [&str; 4] = ["near-a", "near-b", "far-a", "far-b"];

/// Instance `near-1`, which hears instance `near-2`, with two targets in each domain.
fn bench(route: Route) -> Bench {
    let targets = (0..8).map(|i| entry(&format!("t{i}"), DOMAINS[i % 4]));
    let targets: Vec<_> = targets.collect();
    let mut bench = Bench::new(route, &targets);
    bench
        .direct
        .receive_heartbeat(at(0), heartbeat("near-2", 1));
    bench
}

/// Decides on the only waiting request, which must be sent.
fn sent(bench: &mut Bench, now: Time) -> Assignment {
    match bench.decide(now) {
        Some(Decision::Send(assignment)) => assignment,
        other => panic!("not sent: {other:?}"),
    }
}

/// A request that reaches neither of two targets.
fn fail_twice(bench: &mut Bench, now: Time) -> Ticket {
    let mut assignment = bench.send(now, None);
    for _ in 0..2 {
        let next = bench.finish(now, &assignment, AttemptOutcome::Unreachable);
        assert_eq!(next, FollowUp::Retry);
        match bench.decide(now) {
            Some(Decision::Send(next)) => assignment = next,
            _ => break,
        }
    }
    assignment.ticket
}

/// Runs a round of probes of which `reached` succeed.
fn probe(bench: &mut Bench, now: Time, reached: usize) -> Option<ReachChange> {
    let probes = bench.direct.begin_probes(now);
    assert!(!probes.is_empty(), "a round is due");
    bench.direct.finish_probes(now, reached, probes.len())
}

/// Cuts the instance off at 1 s.
fn cut_off(bench: &mut Bench) -> Ticket {
    let ticket = fail_twice(bench, at(1_000));
    let change = probe(bench, at(1_000), 0).expect("no probe succeeds");
    assert!(change.is_cut);
    ticket
}

/// An instance took each target that it could not reach for the one at fault, and rejected
/// requests after two.
#[test]
fn send_by_relay_when_no_target_is_reached() {
    let mut bench = bench(route());
    fail_twice(&mut bench, at(1_000));
    assert!(bench.decide(at(1_000)).is_none(), "the probes come first");
    let change = probe(&mut bench, at(1_000), 0).expect("no probe succeeds");
    assert!(change.is_cut && !change.failed.is_empty(), "{change:?}");
    let assignment = sent(&mut bench, at(1_000));
    let relay = assignment.relay.as_ref().expect("it is cut off");
    assert_eq!(&*relay.name, "near-2");
    assert_eq!(bench.direct.withheld(at(1_000), &assignment), None);
}

/// Targets of a whole domain that fail are no reason to send by others.
#[test]
fn stay_direct_when_some_target_is_reached() {
    let mut bench = bench(route());
    fail_twice(&mut bench, at(1_000));
    assert_eq!(probe(&mut bench, at(1_000), 1), None);
    assert!(!bench.direct.is_cut_off());
    assert!(sent(&mut bench, at(1_000)).relay.is_none());
    // The next round is not due at once.
    fail_twice(&mut bench, at(1_100));
    assert!(!bench.direct.is_probe_due(at(1_100)));
}

#[test]
fn probe_all_domains_in_each_round() {
    let mut bench = bench(route());
    cut_off(&mut bench);
    let mut seen = Vec::new();
    for round in 1..=3 {
        let now = at(1_000 + round * 500);
        let probes = bench.direct.begin_probes(now);
        let domain = |id: &str| {
            let target = bench.direct.roster.get(id).expect("it is listed");
            target.entry.domain.clone()
        };
        let mut domains: Vec<_> = probes.iter().map(|p| domain(&p.target)).collect();
        domains.sort();
        domains.dedup();
        assert_eq!(domains.len(), 4, "{probes:?}");
        seen.extend(probes.iter().map(|p| p.target.clone()));
        bench.direct.finish_probes(now, 0, probes.len());
    }
    seen.sort();
    seen.dedup();
    assert_eq!(seen.len(), 8, "all targets in turn");
}

/// A round whose result never comes must not keep requests waiting.
#[test]
fn end_round_without_result() {
    let mut bench = bench(route());
    fail_twice(&mut bench, at(1_000));
    assert!(!bench.direct.begin_probes(at(1_000)).is_empty());
    assert!(bench.decide(at(1_100)).is_none());
    assert!(bench.direct.is_probe_due(at(2_100)));
    assert_eq!(bench.direct.finish_probes(at(2_100), 0, 4), None);
    assert!(!bench.direct.is_cut_off());
}

/// Targets were set aside, called ill to others and requests called suspects because of
/// the instance's own links.
#[test]
fn hold_nothing_against_targets_and_requests() {
    let mut bench = bench(route());
    let first = bench.send(at(1_000), Some(1));
    let second = bench.send(at(1_000), Some(2));
    bench.finish(at(1_010), &first, AttemptOutcome::ConnectionLost);
    bench.finish(at(1_020), &second, AttemptOutcome::Unreachable);
    assert_eq!(bench.direct.suspect_counts().0, 1);
    probe(&mut bench, at(1_030), 0).expect("no probe succeeds");
    assert_eq!(bench.direct.suspect_counts().0, 0);
    let beat = bench.direct.heartbeat(at(1_040), false);
    assert!(beat.observations.is_empty(), "{beat:?}");
    for target in bench.direct.roster.all() {
        assert!(!target.is_ejected(at(1_040)));
        assert!(target.health.failure_rate(at(1_040)) < 0.01);
    }
}

/// A target at which requests broke twice before the probes told kept its first strike.
#[test]
fn withdraw_all_strikes_at_one_target() {
    let mut bench = bench(route());
    let sent = [0, 1, 2].map(|object| bench.send(at(1_000), Some(object)));
    let first = sent.iter().find(|a| {
        let same = sent.iter().filter(|b| b.target == a.target);
        same.count() > 1
    });
    let target = &first
        .expect("three requests share two targets of the domain")
        .target;
    for (number, broken) in sent.iter().filter(|a| a.target == *target).enumerate() {
        let now = at(1_010 + 10 * number as u64);
        bench.finish(now, broken, AttemptOutcome::ConnectionLost);
    }
    assert_eq!(bench.direct.suspects().count(), 1);
    probe(&mut bench, at(1_040), 0).expect("no probe succeeds");
    assert_eq!(bench.direct.suspects().count(), 0);
}

/// Breaks that follow while the instance is cut off are no crashes either.
#[test]
fn hold_later_breaks_against_nobody() {
    let mut bench = bench(route());
    let early = bench.send(at(900), Some(1));
    cut_off(&mut bench);
    let _ = bench.direct.step(at(1_100));
    bench.finish(at(1_200), &early, AttemptOutcome::ConnectionLost);
    assert_eq!(bench.direct.suspect_counts().0, 0);
    let target = bench
        .direct
        .roster
        .get(&early.target)
        .expect("it is listed");
    assert!(!target.is_ejected(at(1_200)));
}

/// What was decided on before is not sent on a link that is cut.
#[test]
fn withhold_direct_attempts() {
    let mut bench = bench(route());
    let early = bench.send(at(900), Some(1));
    cut_off(&mut bench);
    let withheld = bench.direct.withheld(at(1_000), &early);
    assert_eq!(withheld, Some(Withheld::CutOff));
}

/// Look-ups that hang on links that are cut go on by a relay; what must not repeat
/// doesn't.
#[rstest]
#[case::idempotent(true)]
#[case::not(false)]
fn give_up_overdue_requests(#[case] is_idempotent: bool) {
    let mut bench = bench(Route {
        is_idempotent,
        ..route()
    });
    let hanging = bench.send(at(900), Some(1));
    cut_off(&mut bench);
    let decisions = bench.direct.step(at(2_600));
    let given_up = |d: &Decision| {
        *d == Decision::GiveUp {
            ticket: hanging.ticket,
        }
    };
    assert_eq!(decisions.iter().any(given_up), is_idempotent);
    assert!(!bench.direct.step(at(2_610)).iter().any(given_up), "once");
    let next = bench.finish(at(2_620), &hanging, AttemptOutcome::GivenUp);
    assert_eq!(next == FollowUp::Retry, is_idempotent);
}

/// Requests that hang at several targets without a sign begin a round of probes; a slow one
/// alone, or slow ones beside others that are answered, don't.
#[rstest]
#[case::alone(1, false, false)]
#[case::silent(2, false, true)]
#[case::answered(2, true, false)]
fn doubt_silence(#[case] slow: u64, #[case] is_answered: bool, #[case] expected: bool) {
    let mut bench = bench(Route {
        has_affinity: false,
        ..route()
    });
    for _ in 0..slow {
        bench.send(at(1_000), None);
    }
    if is_answered {
        let other = bench.send(at(1_000), None);
        bench.finish(at(2_400), &other, AttemptOutcome::Answered);
    }
    bench.direct.sweep(at(2_500));
    assert_eq!(bench.direct.is_probe_due(at(2_500)), expected);
}

/// Work that takes long must not have targets probed all the time.
#[test]
fn probe_seldom_for_silence() {
    let mut bench = bench(route());
    for object in 1..4 {
        bench.send(at(1_000), Some(object));
    }
    let mut rounds = 0;
    for now in (2_500..10_500).step_by(200) {
        bench.direct.sweep(at(now));
        let probes = bench.direct.begin_probes(at(now)).len();
        rounds += usize::from(probes > 0);
        bench.direct.finish_probes(at(now), probes, probes);
    }
    assert_eq!(rounds, 2);
}

/// While one domain or every second link is back, requests go on by relays.
#[test]
fn return_once_most_probes_succeed() {
    let mut bench = bench(route());
    cut_off(&mut bench);
    let waiting = sent(&mut bench, at(1_000));
    bench.finish(at(1_100), &waiting, AttemptOutcome::Answered);
    for (round, reached) in [1, 3, 2, 3, 0, 6].into_iter().enumerate() {
        let now = at(1_500 + 500 * round as u64);
        assert_eq!(probe(&mut bench, now, reached), None, "round {round}");
        assert!(bench.direct.is_cut_off());
        let beat = heartbeat("near-2", 2 + round as u64);
        bench.direct.receive_heartbeat(now, beat);
        let relayed = bench.send(now, Some(9));
        bench.finish(now, &relayed, AttemptOutcome::Answered);
    }
    let change = probe(&mut bench, at(4_500), 5).expect("most succeed again");
    assert!(!change.is_cut);
    assert_eq!(change.span, Some(at(4_500).since(at(1_000))));
    assert!(bench.send(at(4_600), Some(9)).relay.is_none());
}

/// After an outage of all targets nobody relays, and most of them may not come back.
#[test]
fn return_to_any_target_when_nobody_relays() {
    let mut bench = bench(route());
    cut_off(&mut bench);
    let refused = sent(&mut bench, at(1_000));
    bench.finish(at(1_010), &refused, AttemptOutcome::RelayRefused);
    assert_eq!(probe(&mut bench, at(1_500), 0), None);
    let change = probe(&mut bench, at(2_000), 1).expect("a target is reached");
    assert!(!change.is_cut);
}

/// Others name it to callers only if there is nobody else.
#[test]
fn tell_others_that_callers_are_better_elsewhere() {
    let mut bench = bench(route());
    assert!(!bench.direct.heartbeat(at(900), false).is_stale);
    cut_off(&mut bench);
    let beat = bench.direct.heartbeat(at(1_050), true);
    assert!(beat.is_stale);
    let mut other = Bench::named("near-2", route(), &[]);
    other.direct.receive_heartbeat(at(1_100), beat);
    assert_eq!(other.direct.serving(at(1_100)).count(), 0);
}

/// A target that the relay must not send to isn't tried again for the same request, and
/// isn't blamed.
#[test]
fn try_another_target_when_relay_withholds() {
    let mut bench = bench(route());
    cut_off(&mut bench);
    let first = sent(&mut bench, at(1_000));
    let next = bench.finish(at(1_010), &first, AttemptOutcome::RelayWithheld);
    assert_eq!(next, FollowUp::Retry);
    let second = sent(&mut bench, at(1_010));
    assert_ne!(second.target, first.target);
    let target = bench
        .direct
        .roster
        .get(&first.target)
        .expect("it is listed");
    assert!(!target.is_ejected(at(1_010)));
}

/// A relay that gives no answer may have sent the request.
#[rstest]
#[case::idempotent(true, FollowUp::Retry)]
#[case::not(false, FollowUp::Settled)]
fn count_lost_relay_as_sent(#[case] is_idempotent: bool, #[case] expected: FollowUp) {
    let mut bench = bench(Route {
        is_idempotent,
        ..route()
    });
    let far = Heartbeat {
        registration: Some(registration("far")),
        ..heartbeat("far-1", 1)
    };
    bench.direct.receive_heartbeat(at(900), far);
    cut_off(&mut bench);
    let first = sent(&mut bench, at(1_000));
    let next = bench.finish(at(1_010), &first, AttemptOutcome::RelayLost);
    assert_eq!(next, expected);
    assert_eq!(bench.direct.suspect_counts().0, 0);
    if expected == FollowUp::Retry {
        let relay = sent(&mut bench, at(1_010)).relay.expect("it is cut off");
        assert_eq!(&*relay.name, "far-1", "the other one failed");
    }
}

/// A target that breaks off at the relay may have crashed.
#[test]
fn keep_strikes_of_relayed_requests() {
    let mut bench = bench(route());
    cut_off(&mut bench);
    let first = sent(&mut bench, at(1_000));
    bench.finish(at(1_010), &first, AttemptOutcome::ConnectionLost);
    let strikes: Vec<_> = bench.direct.suspects().collect();
    assert_eq!(strikes, [(Fingerprint(1), 1)]);
}

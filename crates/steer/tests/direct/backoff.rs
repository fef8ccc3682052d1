//! Targets that ask an instance for a time without requests.

use core::time::Duration;

use rstest::rstest;
use steer::clock::Time;
use steer::process::direct::target::{Entry, Feedback};
use steer::process::direct::{
    Assignment, AttemptOutcome, Bounds, Decision, FollowUp, Rejection, Withheld,
};

use super::bench::{Bench, MS, at, entry, route};

const SECOND: Duration = Duration::from_secs(1);

fn wide(id: &str, domain: &str) -> Entry {
    Entry {
        slots: 100,
        ..entry(id, domain)
    }
}

/// An instance with two targets of its region.
fn two_targets() -> Bench {
    Bench::new(route(), &[wide("t1", "near-a"), wide("t2", "near-b")])
}

/// An instance with a single target.
fn one_target() -> Bench {
    Bench::new(route(), &[wide("t1", "near-a")])
}

/// Head of an answer by which a target asks for a backoff.
fn asking(span: Duration) -> Feedback {
    Feedback {
        backoff: Some(span),
        ..Feedback::default()
    }
}

fn ask(bench: &mut Bench, now: Time, target: &str, span: Duration) {
    bench.direct.apply_feedback(now, target, 1, asking(span));
}

/// Lets a target turn a request away and ask for a backoff.
fn turn_away(bench: &mut Bench, now: Time, sent: &Assignment, span: Duration) -> FollowUp {
    ask(bench, now, &sent.target, span);
    bench
        .direct
        .finish_attempt(now, sent.ticket, AttemptOutcome::NotRun)
}

/// Submits a request every 50 ms and returns the times of those sent to a target, all of
/// which are answered at once.
fn sent_to(bench: &mut Bench, target: &str, from: u64, until: u64) -> Vec<u64> {
    let mut times = Vec::new();
    for now in (from..until).step_by(50) {
        bench.submit(at(now), Some(now % 400));
        for decision in bench.direct.step(at(now)) {
            if let Decision::Send(sent) = decision {
                if *sent.target == *target {
                    times.push(now);
                }
                bench
                    .direct
                    .finish_attempt(at(now), sent.ticket, AttemptOutcome::Answered);
            }
        }
    }
    times
}

/// A target that had asked for 3 s without requests got four of an instance in them.
#[test]
fn send_nothing_during_backoff() {
    let mut bench = one_target();
    assert!(!sent_to(&mut bench, "t1", 1_000, 2_000).is_empty());
    ask(&mut bench, at(2_000), "t1", 3 * SECOND);
    let times = sent_to(&mut bench, "t1", 2_000, 8_000);
    assert!(times.first().is_some_and(|t| *t >= 5_000), "{times:?}");
    assert!(times.first().is_some_and(|t| *t <= 5_600), "{times:?}");
}

/// A later, shorter backoff ended a longer one.
#[test]
fn keep_longest_backoff() {
    let mut bench = two_targets();
    ask(&mut bench, at(1_000), "t1", 4 * SECOND);
    ask(&mut bench, at(1_100), "t1", SECOND / 2);
    let times = sent_to(&mut bench, "t1", 1_200, 5_000);
    assert!(times.is_empty(), "{times:?}");
}

/// Something else that a target reported ended its backoff.
#[rstest]
#[case::good_answer(|bench: &mut Bench, sent: &Assignment| {
    bench.direct.apply_feedback(at(1_200), &sent.target, 1, Feedback::default());
    bench.direct.finish_attempt(at(1_200), sent.ticket, AttemptOutcome::Answered);
})]
#[case::load_report(|bench: &mut Bench, sent: &Assignment| {
    let feedback = Feedback { load: Some(0), ..Feedback::default() };
    bench.direct.apply_feedback(at(1_200), &sent.target, 1, feedback);
})]
#[case::limit_lifted(|bench: &mut Bench, sent: &Assignment| {
    for limit in [Some(0.5), None] {
        let feedback = Feedback { limit, ..Feedback::default() };
        bench.direct.apply_feedback(at(1_200), &sent.target, 1, feedback);
    }
})]
#[case::listed_again(|bench: &mut Bench, sent: &Assignment| {
    let entry = Entry { seq: 2, ..wide(&sent.target, "near-a") };
    bench.direct.roster.put(at(1_200), entry);
})]
#[case::unlisted_and_listed_again(|bench: &mut Bench, sent: &Assignment| {
    bench.direct.finish_attempt(at(1_150), sent.ticket, AttemptOutcome::NotRun);
    bench.direct.unlist(at(1_200), &sent.target);
    let entry = wide(&sent.target, "near-a");
    bench.direct.roster.put(at(1_220), entry);
})]
#[case::may_have_run(|bench: &mut Bench, sent: &Assignment| {
    bench.direct.finish_attempt(at(1_200), sent.ticket, AttemptOutcome::Failed);
})]
fn keep_backoff_despite(#[case] event: fn(&mut Bench, &Assignment)) {
    let mut bench = one_target();
    let sent = bench.send(at(1_000), Some(5));
    ask(&mut bench, at(1_100), &sent.target, 3 * SECOND);
    event(&mut bench, &sent);
    let times = sent_to(&mut bench, &sent.target, 1_250, 4_100);
    assert!(times.is_empty(), "{times:?}");
}

/// A target that had started anew was held to the backoff of its earlier incarnation.
#[test]
fn forget_backoff_with_incarnation() {
    let mut bench = one_target();
    let sent = bench.send(at(1_000), Some(5));
    ask(&mut bench, at(1_100), "t1", 30 * SECOND);
    let restarted = Entry {
        incarnation: 2,
        ..wide("t1", "near-a")
    };
    bench.direct.roster.put(at(1_200), restarted);
    turn_away(&mut bench, at(1_300), &sent, 30 * SECOND);
    assert!(!sent_to(&mut bench, "t1", 1_400, 1_600).is_empty());
}

#[test]
fn ignore_backoff_of_no_time() {
    let mut bench = two_targets();
    ask(&mut bench, at(1_000), "t1", Duration::ZERO);
    assert!(!sent_to(&mut bench, "t1", 1_000, 2_000).is_empty());
}

/// A target that asked for years was shut out for good.
#[test]
fn bound_longest_backoff() {
    let bounds = |bounds| Bounds {
        backoff_max: 5 * SECOND,
        ..bounds
    };
    let mut bench = Bench::bounded(route(), &[wide("t1", "near-a")], bounds);
    ask(&mut bench, at(1_000), "t1", Duration::MAX);
    assert!(sent_to(&mut bench, "t1", 1_000, 6_000).is_empty());
    assert!(!sent_to(&mut bench, "t1", 6_000, 8_000).is_empty());
}

/// A request that was decided on before the backoff left for the target after it. It
/// goes elsewhere, and none of its attempts is used up.
#[test]
fn withdraw_from_target_that_backs_off() {
    let mut bench = two_targets();
    let first = bench.send(at(1_000), Some(5));
    let second = bench.send(at(1_000), Some(5));
    assert_eq!(first.target, second.target);
    turn_away(&mut bench, at(1_001), &first, 3 * SECOND);
    let withheld = bench.direct.withheld(at(1_002), &second);
    assert_eq!(withheld, Some(Withheld::Backoff));
    let follow_up =
        bench
            .direct
            .finish_attempt(at(1_002), second.ticket, AttemptOutcome::Withdrawn);
    assert_eq!(follow_up, FollowUp::Retry);
    for decision in bench.direct.step(at(1_002)) {
        let Decision::Send(sent) = decision else {
            panic!("there is another target");
        };
        assert_ne!(sent.target, first.target);
        assert_eq!(
            sent.attempt,
            if sent.ticket == first.ticket { 2 } else { 1 }
        );
        assert_eq!(bench.direct.withheld(at(1_003), &sent), None);
    }
}

/// Callers waited in vain while all targets were known to take nothing, and came back
/// too early. They are rejected at once and told when the first target is back.
#[test]
fn reject_at_once_while_all_back_off() {
    let mut bench = two_targets();
    ask(&mut bench, at(1_000), "t1", 5 * SECOND);
    ask(&mut bench, at(1_000), "t2", 3 * SECOND);
    let mut all = Vec::new();
    for _ in 0..20 {
        bench.submit(at(2_000), Some(5));
        match bench.decide(at(2_000)) {
            Some(Decision::Reject {
                reason: Rejection::BackingOff,
                retry_after,
                ..
            }) => all.push(retry_after),
            other => panic!("not rejected at once: {other:?}"),
        }
    }
    all.sort_unstable();
    all.dedup();
    let bounds = (all.first().copied(), all.last().copied());
    assert!(bounds.0.is_some_and(|a| a >= 2 * SECOND), "{bounds:?}");
    assert!(bounds.1.is_some_and(|a| a <= 3 * SECOND), "{bounds:?}");
    assert!(all.len() > 10, "callers return at the same time: {all:?}");
}

/// A request that its last target turned away was told to come back at once.
#[test]
fn name_end_of_backoff_after_last_attempt() {
    let mut bench = one_target();
    let sent = bench.send(at(1_000), Some(5));
    match turn_away(&mut bench, at(1_001), &sent, 3 * SECOND) {
        FollowUp::Reject { retry_after } => assert!(retry_after >= 3 * SECOND),
        other => panic!("there is no other target: {other:?}"),
    }
}

/// A request is held for a backoff that ends before it would be rejected.
#[test]
fn hold_for_short_backoff() {
    let mut bench = one_target();
    ask(&mut bench, at(1_000), "t1", 20 * MS);
    bench.submit(at(1_000), Some(5));
    assert_eq!(bench.decide(at(1_010)), None);
}

/// Requests of a region all of whose targets backed off were held, although other
/// regions had room.
#[test]
fn run_elsewhere_while_home_backs_off() {
    let targets = [wide("t1", "near-a"), wide("t9", "far-a")];
    let mut bench = Bench::new(route(), &targets);
    ask(&mut bench, at(1_000), "t1", 3 * SECOND);
    assert_eq!(&*bench.send(at(1_500), Some(5)).target, "t9");
}

/// Everything held for a target left for it at the end of its backoff.
#[test]
fn try_one_request_after_backoff() {
    let mut bench = one_target();
    ask(&mut bench, at(1_000), "t1", SECOND);
    for _ in 0..10 {
        bench.submit(at(2_300), None);
    }
    let sent: Vec<Decision> = bench.direct.step(at(2_300));
    let [Decision::Send(first)] = &sent[..] else {
        panic!("not a single request: {sent:?}");
    };
    bench
        .direct
        .finish_attempt(at(2_310), first.ticket, AttemptOutcome::Answered);
    assert_eq!(bench.direct.step(at(2_310)).len(), 9);
}

/// Instances returned to a target at the same moment, and as soon after it had turned
/// them away again.
#[test]
fn spread_returns_over_instances() {
    let returns = |rounds: u64| -> Vec<u64> {
        let first_sent = |number: u64| {
            let target = wide("t1", "near-a");
            let mut bench = Bench::named(&format!("near-{number}"), route(), &[target]);
            let mut now = 1_000;
            for _ in 0..rounds {
                ask(&mut bench, at(now), "t1", 3 * SECOND);
                now += 3_000;
            }
            let times = sent_to(&mut bench, "t1", now, now + 5_000);
            times.first().map_or(u64::MAX, |t| t - now)
        };
        let mut all: Vec<u64> = (0..20).map(first_sent).collect();
        all.sort_unstable();
        all
    };
    let (once, again) = (returns(1), returns(4));
    let span = |all: &[u64]| all[all.len() - 1] - all[0];
    assert!(span(&once) >= 100, "{once:?}");
    assert!(span(&again) > 2 * span(&once), "{once:?} {again:?}");
    assert!(again[again.len() - 1] <= 3_000, "{again:?}");
}

/// Objects didn't return to a target after its backoff.
#[test]
fn return_objects_home_after_backoff() {
    let mut bench = two_targets();
    let home = bench.learn(5);
    ask(&mut bench, at(20_000), &home, SECOND);
    let away = bench.serve(at(20_500), 5 + (1 << 32), 300 * MS).target;
    assert_ne!(*away, *home);
    let back = bench.serve(at(22_000), 5, 300 * MS).target;
    assert_eq!(*back, *home);
}

/// Whatever the order of answers, no request leaves for a target in its backoff.
#[rstest]
fn keep_backoff_in_any_order(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let names = ["t1", "t2", "t3"];
    let domains = ["near-a", "near-b", "far-a"];
    let targets: Vec<Entry> = (0..3).map(|i| wide(names[i], domains[i])).collect();
    let mut bench = Bench::new(route(), &targets);
    let mut ends = [Time::ZERO; 3];
    let mut held: Vec<Assignment> = Vec::new();
    for step in 0..4_000_u64 {
        let now = at(1_000 + step * 10);
        let index = rng.usize(0..3);
        match rng.u8(0..8) {
            0..4 => {
                bench.submit(now, Some(rng.u64(0..20)));
            }
            4 => {
                let span = MS * rng.u32(0..900);
                ask(&mut bench, now, names[index], span);
                ends[index] = ends[index].max(now + span);
            }
            5 => {
                bench
                    .direct
                    .apply_feedback(now, names[index], 1, Feedback::default());
            }
            _ => {
                if !held.is_empty() {
                    let sent = held.swap_remove(rng.usize(0..held.len()));
                    let outcome = match bench.direct.withheld(now, &sent) {
                        Some(_) => AttemptOutcome::Withdrawn,
                        None => AttemptOutcome::Answered,
                    };
                    if outcome == AttemptOutcome::Answered {
                        let index = names.iter().position(|n| **n == *sent.target);
                        assert!(index.is_some_and(|i| now >= ends[i]), "{sent:?} at {now:?}");
                    }
                    bench.direct.finish_attempt(now, sent.ticket, outcome);
                }
            }
        }
        for decision in bench.direct.step(now) {
            if let Decision::Send(sent) = decision {
                let index = names.iter().position(|n| **n == *sent.target);
                assert!(index.is_some_and(|i| now >= ends[i]), "{sent:?} at {now:?}");
                held.push(sent);
            }
        }
    }
}

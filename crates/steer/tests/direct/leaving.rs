//! Targets that announce in their answers that they are about to stop.

use core::time::Duration;

use rstest::rstest;
use steer::clock::Time;
use steer::process::direct::target::{Entry, Feedback};
use steer::process::direct::{AttemptOutcome, Bounds, Decision, FollowUp, Withheld};

use super::bench::{Bench, at, entry, route};

fn announce(bench: &mut Bench, now: Time, target: &str) {
    let feedback = Feedback {
        is_leaving: true,
        ..Feedback::default()
    };
    bench.direct.apply_feedback(now, target, 1, feedback);
}

/// An instance whose targets serve for 2.5 s after they announce a stop.
fn bench(targets: &[Entry]) -> Bench {
    let bounds = |bounds| Bounds {
        drain: Duration::from_millis(2_500),
        ..bounds
    };
    Bench::bounded(route(), targets, bounds)
}

/// Submits a request every 100 ms and returns the targets of those sent.
fn targets_of(bench: &mut Bench, from: u64, until: u64) -> Vec<String> {
    let mut targets = Vec::new();
    for now in (from..until).step_by(100) {
        bench.submit(at(now), Some(now % 700));
        for decision in bench.direct.step(at(now)) {
            if let Decision::Send(sent) = decision {
                assert_eq!(bench.direct.withheld(at(now), &sent), None);
                targets.push(sent.target.as_ref().to_owned());
                bench
                    .direct
                    .finish_attempt(at(now), sent.ticket, AttemptOutcome::Answered);
            }
        }
    }
    targets
}

/// A target that had announced its stop got requests until the store's list said so,
/// whatever it answered or the list said in between.
#[rstest]
#[case::nothing_else(|_: &mut Bench| ())]
#[case::answer_without_it(|bench: &mut Bench| {
    bench.direct.apply_feedback(at(1_100), "t1", 1, Feedback::default());
})]
#[case::listed_as_ready(|bench: &mut Bench| {
    let late = Entry { seq: 2, ..entry("t1", "near-a") };
    bench.direct.roster.put(at(1_100), late);
})]
#[case::unlisted_and_listed_again(|bench: &mut Bench| {
    bench.direct.unlist(at(1_100), "t1");
    bench.direct.roster.put(at(1_200), entry("t1", "near-a"));
})]
#[case::lapsed_and_listed_again(|bench: &mut Bench| {
    bench.direct.roster.mark_missing("t1", at(1_900));
    bench.direct.roster.put(at(1_200), entry("t1", "near-a"));
})]
fn avoid_target_that_announced_stop(#[case] event: fn(&mut Bench)) {
    let mut alone = bench(&[entry("t1", "near-a")]);
    announce(&mut alone, at(1_000), "t1");
    event(&mut alone);
    let targets = targets_of(&mut alone, 3_100, 6_000);
    assert!(targets.is_empty(), "{targets:?}");
    let mut two = bench(&[entry("t1", "near-a"), entry("t2", "near-b")]);
    announce(&mut two, at(1_000), "t1");
    event(&mut two);
    let targets = targets_of(&mut two, 1_300, 6_000);
    assert!(targets.iter().all(|t| t == "t2"), "{targets:?}");
    assert_eq!(targets.len(), 47);
}

/// Requests without another target were rejected in the time for which a target still
/// served.
#[test]
fn use_leaving_target_as_last_resort() {
    let mut bench = bench(&[entry("t1", "near-a")]);
    announce(&mut bench, at(1_000), "t1");
    assert_eq!(targets_of(&mut bench, 1_000, 3_000).len(), 20);
    let none = targets_of(&mut bench, 3_000, 9_000);
    assert!(none.is_empty(), "{none:?}");
}

/// A target that serves for no time after its announcement is no last resort.
#[test]
fn avoid_leaving_target_without_drain() {
    let mut bench = Bench::bounded(route(), &[entry("t1", "near-a")], |bounds| Bounds {
        drain: Duration::ZERO,
        ..bounds
    });
    announce(&mut bench, at(1_000), "t1");
    assert!(targets_of(&mut bench, 1_000, 3_000).is_empty());
}

/// A target that had started anew was taken for its earlier incarnation, which was about
/// to stop.
#[test]
fn forget_announcement_with_incarnation() {
    let mut bench = bench(&[entry("t1", "near-a")]);
    announce(&mut bench, at(1_000), "t1");
    let restarted = Entry {
        incarnation: 2,
        ..entry("t1", "near-a")
    };
    bench.direct.roster.put(at(4_000), restarted);
    announce(&mut bench, at(4_100), "t1");
    assert_eq!(targets_of(&mut bench, 7_000, 8_000).len(), 10);
}

/// An overloaded instance sent a request long after the target had announced its stop.
/// It goes elsewhere, and none of its attempts is used up.
#[test]
fn withdraw_from_target_after_its_drain() {
    let targets = [entry("t1", "near-a"), entry("t2", "near-b")];
    let mut bench = Bench::bounded(route(), &targets, |bounds| Bounds {
        drain: Duration::from_millis(1_500),
        ..bounds
    });
    let sent = bench.send(at(1_000), Some(5));
    announce(&mut bench, at(1_050), &sent.target);
    assert_eq!(bench.direct.withheld(at(1_100), &sent), None);
    let withheld = bench.direct.withheld(at(2_100), &sent);
    assert_eq!(withheld, Some(Withheld::Leaving));
    let follow_up = bench
        .direct
        .finish_attempt(at(2_100), sent.ticket, AttemptOutcome::Withdrawn);
    assert_eq!(follow_up, FollowUp::Retry);
    let Some(Decision::Send(retry)) = bench.decide(at(2_100)) else {
        panic!("there is another target");
    };
    assert_ne!(retry.target, sent.target);
    assert_eq!(retry.attempt, 1);
}

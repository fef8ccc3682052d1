//! The bench itself: one seed gives one result, and the model has the failures
//! that the decisions are measured against.

use core::time::Duration;

use measure::model::deployment::{self, Layout};
use measure::model::{self, Fault, Kind, Outcomes, Setup, Sign};
use measure::sums;
use rstest::rstest;
use steer::process::dispatch::tuning::Tuning;

/// The first target of `sheetview`.
const STRUCK: usize = 36;

fn run(kind: Kind, load: f64, faults: Vec<(Duration, Fault)>) -> Outcomes {
    model::run(Setup {
        deployment: &deployment::BLUESTONE,
        layout: Layout::today(),
        kind,
        load,
        seed: 1,
        span: model::WARM_UP + Duration::from_secs(3),
        faults,
    })
}

fn refused(outcomes: &Outcomes) -> u64 {
    outcomes.services.iter().map(|s| s.refused).sum()
}

#[test]
fn seed_repeats() {
    let once = run(Kind::Steer(Tuning::default()), 0.9, vec![]);
    let again = run(Kind::Steer(Tuning::default()), 0.9, vec![]);
    assert_eq!(once.attempts, again.attempts);
    for (a, b) in once.services.iter().zip(&again.services) {
        assert_eq!(a.asked, b.asked);
        assert_eq!(a.latency, b.latency);
    }
}

/// Callers of a busy region see refusals while its other domain has room. The
/// baseline keeps to its own targets; the dispatcher passes the surplus on.
#[test]
fn surplus_moves() {
    let robin = run(Kind::Robin, 0.9, vec![]);
    let steer = run(Kind::Steer(Tuning::default()), 0.9, vec![]);
    assert!(refused(&steer) * 4 < refused(&robin));
}

/// A target says that it leaves; the list shows it three seconds later. New
/// work must have stopped within three seconds of the first sign, whichever.
#[rstest]
#[case::report(Sign::Report, 100)]
#[case::refusal(Sign::Refusal, 100)]
#[case::list(Sign::List, 3000)]
#[case::operator(Sign::Operator, 1000)]
fn leaving_drains(#[case] sign: Sign, #[case] most: u64) {
    let faults = vec![(model::WARM_UP, Fault::Leave(STRUCK, sign))];
    let steer = run(Kind::Steer(Tuning::default()), 0.7, faults);
    let [begun, sent, _] = steer.drain;
    let begun = begun.expect("the target leaves");
    let span = sent.map_or(Duration::ZERO, |sent| sent.since(begun));
    assert!(span <= Duration::from_millis(most), "{span:?}");
}

/// Seven instances and twelve targets, with cold targets, repeats and
/// instances that come and go: what targets see, over all instances, stays
/// within the operator's bounds on repeats and on cold targets.
#[rstest]
#[case::cold_targets("cold")]
#[case::replaced("replaced")]
#[case::all_at_once("all-at-once")]
#[case::added("added")]
fn keep_sums(#[case] plan: &str) {
    for line in sums::lines(1, 2, 25, plan, &[7]) {
        let max = line.max;
        assert!(line.cold > 0, "nothing was seen: {line:?}");
        assert!(max.cold <= 1.0 && max.repeats <= 1.0, "{line:?}");
    }
}

/// Waves of callers earned retries together that no window of the operator allows.
#[rstest]
#[case::waves("turned-away")]
#[case::restarts_and_cuts("turned-away-restarts")]
fn keep_retry_budget_in_waves(#[case] plan: &str, #[values(3, 7)] size: usize) {
    let line = sums::line(1, 1, 40, plan, size).expect("it is a plan");
    assert!(line.repeats > 0, "nothing was seen: {line:?}");
    assert!(line.max.repeats <= 1.0, "{line:?}");
}

/// Targets named a limit and each instance went on sending as before.
#[rstest]
#[case::calm("limit")]
#[case::bursts("limit-waves")]
#[case::replaced("limit-churn")]
#[case::added("limit-growth")]
fn keep_named_limits(#[case] plan: &str, #[values(3, 7, 27)] size: usize) {
    let line = sums::line(1, 2, 22, plan, size).expect("it is a plan");
    assert!(line.limited > 0, "nothing was seen: {line:?}");
    assert!(line.max.limit <= 1.0, "{line:?}");
}

/// Targets asked instances for time without requests and got as many as before.
#[rstest]
#[case::calm("backoff")]
#[case::bursts("backoff-waves")]
#[case::all_targets("backoff-all")]
#[case::replaced("backoff-churn")]
fn keep_asked_backoffs(#[case] plan: &str, #[values(3, 7, 27)] size: usize) {
    let line = sums::line(1, 2, 26, plan, size).expect("it is a plan");
    assert!(line.asked > 0, "nothing was seen: {line:?}");
    assert!(line.max.backoff <= 1.0, "{line:?}");
}

/// Targets announced that they were about to stop and got requests until they were gone
/// from the store's list.
#[rstest]
#[case::some_targets("leaving")]
#[case::all_targets("leaving-all")]
#[case::cut_off("leaving-cut")]
fn drain_targets_that_announce_stop(#[case] plan: &str, #[values(3, 7, 27)] size: usize) {
    let line = sums::line(1, 2, 26, plan, size).expect("it is a plan");
    assert!(line.asked > 0, "nothing was seen: {line:?}");
    assert!(line.max.leaving <= 0.0, "{line:?}");
}

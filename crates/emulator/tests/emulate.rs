//! The emulator itself: its files, its runs, its figures.

use core::time::Duration;

use emulator::brain::Brain;
use emulator::plan::{Plan, Set};
use emulator::score::Score;
use emulator::trial::{Mean, Trial};
use emulator::world::{End, World};
use rstest::rstest;
use steer::process::direct::mechanisms::Mechanisms;

const PRODUCT: Brain = Brain::Product(Mechanisms::ALL);

const SMALL: &str = r#"{
  // Two regions of one domain each.
  "span_s": 6,
  "domains": [
    {"name": "a", "region": "near", "instances": 2},
    {"name": "b", "region": "far", "instances": 1}
  ],
  "services": [
    {"name": "board", "targets": {"a": 2, "b": 2}, "slots": 3, "queue": 9, "keeps": 10,
     "cold_s": 2, "cold_x": 2, "cold_rate": 6}
  ],
  "kinds": [
    {"name": "look-up", "service": "board", "part": 1, "idempotent": true, "goal_ms": 400,
     "limit_ms": 3000, "timeout_ms": 1500, "worth": 1, "late": 0.2, "priority": 1,
     "work_ms": 300, "gain": 0.7, "objects": 8}
  ],
  "callers": [{"domain": "a", "rate": 12}, {"domain": "b", "rate": 6}],
  "faults": [],
  "delays_ms": {"domain": 0.1, "region": 0.5, "far": 35, "caller": 1, "store": 500},
  "bounds": {"retry_ratio": 0.2, "retry_slack": 20, "retry_window_s": 10, "cold_factor": 1.5,
             "cold_slack": 5, "shift": 0.15},
  "weights": {"whole": 1, "domain": 0, "served": 0, "windows": 0, "kind": 0, "prices": 0}
}"#;

fn plan(sets: &[&str]) -> Plan {
    let sets: Vec<Set> = sets
        .iter()
        .map(|s| s.parse().expect("a replacement"))
        .collect();
    Plan::parse("small", SMALL, &sets).expect("it is sound")
}

fn with_fault(fault: &str) -> Plan {
    let text = SMALL.replace("\"faults\": []", &format!("\"faults\": [{fault}]"));
    Plan::parse("small", &text, &[]).unwrap_or_else(|faults| panic!("{faults:?}"))
}

fn score(plan: &Plan, brain: Brain, seed: u64) -> Score {
    Score::of(plan, &World::play(plan, brain, seed))
}

/// Every fault of a file is named with its place and a remedy.
#[rstest]
#[case::unknown_service(
    "\"service\": \"board\"",
    "\"service\": \"bord\"",
    "nothing is called \"bord\""
)]
#[case::unknown_domain("{\"domain\": \"a\"", "{\"domain\": \"c\"", "nothing is called \"c\"")]
#[case::range("\"rate\": 12", "\"rate\": -1", "\"rate\" is a number out of range")]
#[case::type_of(
    "\"rate\": 12",
    "\"rate\": \"many\"",
    "\"rate\" is a string out of range"
)]
#[case::missing("\"work_ms\": 300, ", "", "\"work_ms\" is missing")]
#[case::field("\"gain\"", "\"gian\"", "unknown field \"gian\"")]
#[case::doubled("\"name\": \"b\"", "\"name\": \"a\"", "\"a\" stands twice")]
#[case::trouble(
    "\"faults\": []",
    "\"faults\": [{\"what\": \"brust\", \"at_s\": 1}]",
    "\"brust\""
)]
fn name_faults(#[case] from: &str, #[case] to: &str, #[case] message: &str) {
    let text = SMALL.replacen(from, to, 1);
    assert_ne!(text, SMALL);
    let faults = Plan::parse("small", &text, &[]).expect_err("it has a fault");
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    let named = lines
        .iter()
        .any(|l| l.contains(message) && l.starts_with("small:"));
    assert!(named, "{lines:#?}");
}

#[test]
fn name_all_faults() {
    let text = SMALL
        .replace("\"rate\": 12", "\"rate\": -1")
        .replace("\"goal_ms\"", "\"goal\"");
    let faults = Plan::parse("small", &text, &[]).expect_err("it has three faults");
    assert_eq!(faults.len(), 3, "{faults:#?}");
}

#[test]
fn replace_figures() {
    let changed = plan(&["callers.0.rate=40", "kinds.0.idempotent=false"]);
    assert!((changed.callers[0].rate - 40.0).abs() < 1e-9);
    assert!(!changed.kinds[0].idempotent);
    let set: Set = "callers.7.rate=40".parse().expect("a replacement");
    let faults = Plan::parse("small", SMALL, &[set]).expect_err("there is no such place");
    assert!(
        faults[0].to_string().contains("callers.7.rate"),
        "{faults:?}"
    );
    assert!("callers".parse::<Set>().is_err());
}

/// Callers of instances that reach no target are served by the one that does.
#[rstest]
#[case::one(0.3)]
#[case::all_but_one(0.6)]
fn serve_callers_of_unlinked_instances(#[case] share: f64) {
    let text = SMALL.replace("\"span_s\": 6", "\"span_s\": 12");
    let fault = format!(r#"{{"what": "unlink", "at_s": 2, "for_s": 8, "share": {share}}}"#);
    let harmed = text.replace("\"faults\": []", &format!("\"faults\": [{fault}]"));
    let served = |text: &str| {
        let plan = Plan::parse("small", text, &[]).expect("it is sound");
        let shares = (1..=4).map(|seed| score(&plan, PRODUCT, seed).served);
        shares.sum::<f64>() / 4.0
    };
    let (calm, harmed) = (served(&text), served(&harmed));
    println!("served {calm:.3} on a calm day, {harmed:.3} with the cut");
    // Two thirds from the moment at which they must know.
    assert!(
        harmed >= calm * (1.0 - 8.0 / 12.0 * share / 3.0),
        "{harmed} of {calm}"
    );
}

/// One seed gives one run; another gives another.
#[rstest]
#[case::product(PRODUCT)]
#[case::ceiling(Brain::Ceiling { bound: true })]
#[case::least(Brain::Least)]
fn repeat_by_seed(#[case] brain: Brain) {
    let plan = plan(&[]);
    let ends = |seed| {
        let outcome = World::play(&plan, brain, seed);
        let ends = outcome.requests.iter().map(|r| (r.begun, r.end));
        ends.collect::<Vec<_>>()
    };
    assert_eq!(ends(3), ends(3));
    assert_ne!(ends(3), ends(4));
}

/// With room for all, all are answered, at home, and most in time.
#[test]
fn serve_calm() {
    let score = score(&plan(&[]), PRODUCT, 1);
    assert!(score.served > 0.999, "{score:?}");
    assert!(score.in_time > 0.8, "{score:?}");
}

/// Without affinity more runs begin cold, targets fill, and more are late.
#[test]
fn lose_by_missing_mechanism() {
    let plan = plan(&["callers.0.rate=30", "kinds.0.objects=16"]);
    let without: Brain = "product-affinity-first".parse().expect("they are known");
    let all = Trial::play("all", &plan, PRODUCT, 1, 4, |_| ());
    let some = Trial::play("some", &plan, without, 1, 4, |_| ());
    let gain = all.over(&some);
    assert!(gain.mean - gain.sure > 0.0, "{gain:?}");
    assert!("product-nothing".parse::<Brain>().is_err());
}

/// Each fault is seen in what callers get.
#[rstest]
#[case::crash(r#"{"what": "crash", "at_s": 1, "for_s": 3, "domain": "a"}"#)]
#[case::slow(r#"{"what": "slow", "at_s": 1, "for_s": 4, "x": 6}"#)]
#[case::shed(r#"{"what": "shed", "at_s": 1, "for_s": 4, "x": 0.9}"#)]
#[case::backoff(r#"{"what": "backoff", "at_s": 1, "for_s": 4, "share": 0.9, "x": 1.5}"#)]
#[case::announce(r#"{"what": "announce", "at_s": 1, "for_s": 2}"#)]
#[case::fail(r#"{"what": "fail", "at_s": 1, "for_s": 4, "x": 0.8}"#)]
#[case::lose(r#"{"what": "lose", "at_s": 1, "for_s": 4, "x": 0.8}"#)]
#[case::replace(r#"{"what": "replace", "at_s": 2}"#)]
#[case::cold(r#"{"what": "cold", "at_s": 2}"#)]
#[case::kill(r#"{"what": "kill", "at_s": 2, "for_s": 2}"#)]
#[case::burst(r#"{"what": "burst", "at_s": 1, "for_s": 4, "x": 6}"#)]
#[case::evacuate(r#"{"what": "evacuate", "at_s": 1, "for_s": 4, "domain": "a"}"#)]
fn see_fault(#[case] fault: &str) {
    let (calm, harmed) = (plan(&[]), with_fault(fault));
    let mean = |plan: &Plan| {
        Trial::play("", plan, PRODUCT, 1, 4, |_| ())
            .mean(|s| s.worth)
            .mean
    };
    let (before, after) = (mean(&calm), mean(&harmed));
    assert!(after < before - 0.005, "{after} of {before}");
}

/// An instance that starts while its region is cut off finds neither the store
/// nor another region's instances, and its callers are told to come back. The
/// other of its region still serves: so both are ended.
#[test]
fn know_nothing_behind_cut() {
    let kill = r#"{"what": "kill", "at_s": 1.5, "for_s": 0.5, "domain": "a"}"#;
    let cut = r#"{"what": "cut", "at_s": 1, "for_s": 4, "region": "near"}"#;
    let mean = |plan: &Plan| {
        Trial::play("", plan, PRODUCT, 1, 4, |_| ())
            .mean(|s| s.worth)
            .mean
    };
    let (alone, both) = (
        mean(&with_fault(kill)),
        mean(&with_fault(&format!("{cut}, {kill}"))),
    );
    assert!(both < alone - 0.05, "{both} of {alone}");
}

/// Callers that leave are owed nothing, and their requests leave the targets.
#[test]
fn owe_nothing_to_who_left() {
    let plan = with_fault(r#"{"what": "leave", "at_s": 0, "for_s": 6, "share": 0.5}"#);
    let outcome = World::play(&plan, PRODUCT, 1);
    let left = outcome
        .requests
        .iter()
        .filter(|r| matches!(r.end, Some((End::Left, _))))
        .count();
    // Half want to; those whose answer was there before are not counted.
    assert!(left > 0, "{left} of {}", outcome.requests.len());
    let score = Score::of(&plan, &outcome);
    assert!(score.served > 0.99, "{score:?}");
}

/// Answers of one connection come in the order of its requests.
#[test]
fn keep_order_of_pipeline() {
    let plan = plan(&["kinds.0.ahead=4"]);
    let outcome = World::play(&plan, PRODUCT, 2);
    for group in outcome.requests.chunks(4) {
        let ends: Vec<u64> = group.iter().filter_map(|r| r.end).map(|e| e.1).collect();
        assert!(ends.is_sorted(), "{group:?}");
    }
}

#[test]
fn bound_shift_of_ceiling() {
    let plan = plan(&["callers.0.rate=60", "span_s=20"]);
    let bound = score(&plan, Brain::Ceiling { bound: true }, 1);
    let free = score(&plan, Brain::Ceiling { bound: false }, 1);
    assert!(
        bound.shift <= plan.bounds.shift_max + 0.05,
        "{}",
        bound.shift
    );
    assert!(bound.shift <= free.shift);
}

#[test]
fn tell_mean_and_spread() {
    let mean = Mean::of(&[1.0, 2.0, 3.0, 4.0]);
    assert!((mean.mean - 2.5).abs() < 1e-9);
    assert!((mean.spread - 1.290_99).abs() < 1e-4);
    assert!((mean.sure - 3.18 * 1.290_99 / 2.0).abs() < 1e-2);
    assert!(plan(&[]).span == Duration::from_secs(6));
}

//! Bounded exploration of the real decisions, with fixed seeds.

use explorer::{exhaust, lease, random, report, world};
use rstest::rstest;
use steer::process::gate;

/// Most steps of a random run before it settles.
const STEPS: usize = 120;

/// Runs that have to be clean.
const RUNS: u64 = 8_000;

/// Runs in which the rarest planted fault is found a dozen times. The search
/// stops at the first.
const PLANTED: u64 = 60_000;

// Callers send copies of their requests to any entry instance, while messages
// are lost, delayed and doubled, processes freeze, die, are replaced and
// forget, and clocks run apart. No key may run twice, nobody may be told "not
// run" of a key that runs, and every caller that waits gets its own answer.
#[rstest]
#[case(1)]
#[case(100_000)]
fn random_runs_keep_promises(#[case] first: u64) {
    println!("seeds {first} to {}", first + RUNS - 1);
    for seed in first..first + RUNS {
        let report = random::run(seed, STEPS, gate::Safeguards::ALL);
        if let Some(violation) = report.violation {
            panic!("seed {seed}:\n{violation}");
        }
    }
}

// The same as above with one safeguard taken out: the explorer has to find a
// key that ran twice or against a "not run". Otherwise it is blind to the
// failure that the safeguard is there for.
#[rstest]
fn random_runs_find_each_missing_safeguard(
    #[values(
        "wait-word",
        "stay-given-up",
        "seal-window",
        "claim-window",
        "keep-window",
        "not-run-final",
        "own-only",
        "unknown-away",
        "hop-final"
    )]
    name: &str,
) {
    let safe = report::without(name).expect("the name is listed");
    println!("{name} off, seeds 1 to {PLANTED}");
    let found = (1..=PLANTED).find_map(|seed| {
        let violation = random::run(seed, STEPS, safe).violation?;
        Some((seed, violation))
    });
    let (seed, violation) = found.expect("some run breaks a promise");
    println!("seed {seed}:\n{violation}");
    let word = violation.fault.as_str();
    assert!(matches!(word, "ran-twice" | "false-not-run"), "{word}");
}

#[test]
fn safeguards_listed_cover_all() {
    assert_eq!(
        report::names(),
        "wait-word, stay-given-up, seal-window, claim-window, keep-window, not-run-final, \
         own-only, unknown-away, hop-final"
    );
}

fn case(
    (sources, plans): (&'static [world::Source], &'static [world::Plan]),
    depth: usize,
) -> exhaust::Case<'static> {
    exhaust::Case {
        processes: 3,
        sources,
        plans,
        safe: gate::Safeguards::ALL,
        depth,
        menu: report::any,
    }
}

// Two copies of one key; one fault of any kind before each single step.
#[rstest]
#[case(report::ISSUED)]
#[case(report::CHOSEN)]
fn every_single_fault_keeps_promises(
    #[case] copies: (&'static [world::Source], &'static [world::Plan]),
) {
    let report = exhaust::explore(&case(copies, 1), true);
    println!("{} runs", report.runs);
    assert!(report.runs > 300);
    assert!(report.first.is_none(), "{}", report.first.unwrap());
}

// Two copies of one key; the owner, its witness or the network fails in any two
// places. Clocks and further entries are left to the longer command
// (`cargo run --release -p explorer -- --depth 2`).
#[rstest]
#[case(report::ISSUED)]
#[case(report::CHOSEN)]
fn every_pair_of_crashes_and_losses_keeps_promises(
    #[case] copies: (&'static [world::Source], &'static [world::Plan]),
) {
    let mut case = case(copies, 2);
    case.menu = |step| {
        matches!(
            step,
            world::Step::Kill(0..=1)
                | world::Step::Freeze(0..=1)
                | world::Step::Lose(..)
                | world::Step::Hold(_)
        )
    };
    let report = exhaust::explore(&case, true);
    println!("{} runs", report.runs);
    assert!(report.first.is_none(), "{}", report.first.unwrap());
}

// The owner is killed after it sent but before its witness had recorded the
// key. The caller's resend reaches another entry, the witness seals the key,
// and the caller is told "not run" of a request that a target is running. The
// exhaustive search finds this in a moment when the owner does not wait.
#[test]
fn owner_that_does_not_wait_is_found() {
    let mut case = case(report::ISSUED, 2);
    case.safe = report::without("wait-word").expect("the name is listed");
    case.menu = |step| matches!(step, world::Step::Kill(_) | world::Step::Lose(..));
    let report = exhaust::explore(&case, true);
    println!("{} runs", report.runs);
    let violation = report.first.expect("some run breaks a promise");
    println!("{violation}");
    assert_eq!(violation.fault.as_str(), "false-not-run");
}

// A holder checks its lease and is frozen before it sends. The lease lapses,
// another process takes it over and runs the caller's resend; the first holder
// wakes and sends too. Targets check no fencing token, so the request runs
// twice. This is why ownership by lease was ruled out.
#[test]
fn leased_ownership_runs_twice() {
    let found = lease::double_runs();
    for path in &found {
        let words: Vec<String> = path.iter().map(ToString::to_string).collect();
        println!("{}", words.join("; "));
    }
    let frozen_holder = [
        lease::Step::Check,
        lease::Step::Lapse,
        lease::Step::TakeOver,
        lease::Step::SendOther,
        lease::Step::Send,
    ];
    assert!(found.iter().any(|path| *path == frozen_holder));
}

//! Storms of a few fixed seeds; `cargo run -p scenarios --bin storm -- --seed N
//! --seconds S --count C` runs others.

use std::path::Path;
use std::time::Duration;

use rstest::rstest;
use scenarios::storm::{self, Plan};

/// How long things go wrong in each storm here.
const SPAN: Duration = Duration::from_secs(16);

// Processes die, freeze, are replaced and lie while callers send lodgements.
// Whatever comes in whatever order, a key runs at most once, every "not run" is
// true, everybody gets the answer to their own request, and once all is mended
// the instances agree and have nothing left to do.
#[rstest]
#[case(1)]
#[case(2)]
fn storm_of_seed(#[case] seed: u64) {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("storm-{seed}"));
    let actor = Path::new(env!("CARGO_BIN_EXE_actor"));
    let report = storm::run(actor, &dir, Plan { seed, span: SPAN }).expect("a storm can be run");
    println!("{}", report.summary(seed));
    let trace = report.trace.join("\n");
    assert!(report.faults.is_empty(), "storm of seed {seed}:\n{trace}");
    assert!(report.tries[1] > 0, "nothing ran:\n{trace}");
}

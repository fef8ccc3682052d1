//! Load patterns, each against a ceiling that knows everything at once: what
//! callers lose by what instances can't know must stay within a tenth. The
//! files tell what callers see.
//!
//! More seeds: `cargo run --release -p emulator -- ceiling
//! deploy/emulator/patterns/*.jsonc --seeds 20`.

use std::fs;
use std::path::PathBuf;

use emulator::brain::Brain;
use emulator::plan::Plan;
use emulator::trial::Trial;
use rstest::rstest;
use steer::process::direct::mechanisms::Mechanisms;

/// Part of the ceiling's worth that is aimed at.
const AIM: f64 = 0.9;

const SEEDS: usize = 4;

fn load(path: &PathBuf) -> Plan {
    let text = fs::read_to_string(path).expect("the pattern is committed");
    let plan = Plan::parse(&path.display().to_string(), &text, &[]);
    plan.unwrap_or_else(|faults| panic!("{faults:?}"))
}

#[rstest]
fn earn_part_of_ceiling(#[files("../../deploy/emulator/patterns/*.jsonc")] path: PathBuf) {
    let plan = load(&path);
    let product = Trial::play(
        "product",
        &plan,
        Brain::Product(Mechanisms::ALL),
        1,
        SEEDS,
        |_| (),
    );
    let ceiling = Trial::play(
        "ceiling",
        &plan,
        Brain::Ceiling { bound: true },
        1,
        SEEDS,
        |_| (),
    );
    let (earned, most) = (
        product.mean(|s| s.worth).mean,
        ceiling.mean(|s| s.worth).mean,
    );
    println!(
        "seeds 1 to {SEEDS}: {earned:.3} of {most:.3}, {:.3}",
        earned / most
    );
    assert!(earned >= most * AIM, "{earned:.3} of {most:.3}");
}

/// The same of whole days in the shape of the users' deployments is read.
#[rstest]
fn read_days(#[files("../../deploy/emulator/*.jsonc")] path: PathBuf) {
    load(&path);
}

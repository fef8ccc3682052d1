//! The runs behind `docs/measurements/steering.md`. All in virtual time.

use core::fmt::Write;
use core::time::Duration;

use steer::clock::Time;
use steer::process::dispatch::tuning::Tuning;
use steer::process::safeguard::{Safeguard, Safeguards};
use steer::process::target::choose::Policy;

use crate::model::deployment::{self, Deployment, Layout};
use crate::model::meter::Meter;
use crate::model::{self, Fault, Figures, Kind, Outcomes, Setup, Sign};

/// Targets that faults strike: the first of the first service that callers
/// wait for (`sheetview`, `stock`), in the first failure domain.
const STRUCK: usize = 36;
/// When faults begin.
const BEGIN: Duration = Duration::from_secs(10);

/// Engines that are compared.
fn engines(deployment: &Deployment) -> Vec<(&'static str, Kind)> {
    vec![
        ("round-robin", Kind::Robin),
        ("steer", Kind::Steer(tuning(deployment))),
    ]
}

fn tuning(deployment: &Deployment) -> Tuning {
    let mut tuning = Tuning::default();
    tuning.limits.wait_max = deployment.wait;
    tuning
}

/// A case's name, its load as a share of capacity, and what strikes when.
type Case = (&'static str, f64, Vec<(Duration, Fault)>);

/// Latency and refusals of both engines under load and faults.
#[must_use]
pub fn steer(deployment: &'static Deployment, seed: u64, seconds: u64, only: &str) -> String {
    let mut out = format!(
        "virtual time; deployment {}, seed {seed}, {seconds} s measured after {} s\n\n",
        deployment.name,
        model::WARM_UP.as_secs()
    );
    let span = Duration::from_secs(seconds) + model::WARM_UP;
    let back = BEGIN + Duration::from_secs(10);
    let cases: Vec<Case> = vec![
        ("load-0.5", 0.5, vec![]),
        ("load-0.9", 0.9, vec![]),
        ("load-1.2", 1.2, vec![]),
        ("load-2.0", 2.0, vec![]),
        (
            "slow-1-of-12",
            0.7,
            vec![(BEGIN, Fault::Slow(STRUCK, 10.0))],
        ),
        (
            "lying-idle-slow",
            0.7,
            vec![
                (BEGIN, Fault::Lie(STRUCK, 0)),
                (BEGIN, Fault::Slow(STRUCK, 3.0)),
            ],
        ),
        ("lying-busy", 0.7, vec![(BEGIN, Fault::Lie(STRUCK, 99))]),
        (
            "crashed-10s",
            0.7,
            vec![
                (BEGIN, Fault::Crash(STRUCK)),
                (back, Fault::Restart(STRUCK)),
            ],
        ),
        ("domain-lost", 0.6, vec![(BEGIN, Fault::LoseDomain(2))]),
        ("region-lost", 0.6, vec![(BEGIN, Fault::LoseRegion(2))]),
    ];
    for (name, load, faults) in cases.iter().filter(|c| c.0.contains(only)) {
        for (engine, kind) in engines(deployment) {
            let outcomes = model::run(Setup {
                deployment,
                layout: Layout::today(),
                kind,
                load: *load,
                seed,
                span,
                faults: faults.clone(),
            });
            rows(&mut out, deployment, &format!("{name} {engine}"), &outcomes);
            crossings(&mut out, &outcomes);
        }
    }
    if "drain".contains(only) {
        drains(&mut out, deployment, seed);
    }
    out
}

/// How long a leaving target still gets new work, and works, by sign.
fn drains(out: &mut String, deployment: &'static Deployment, seed: u64) {
    let signs = [
        ("report", Sign::Report),
        ("refusal", Sign::Refusal),
        ("list (3 s late)", Sign::List),
        ("operator (1 s late)", Sign::Operator),
    ];
    line(
        out,
        "drain at 0.7                   | last new work after | finished after",
    );
    for (name, sign) in signs {
        for (engine, kind) in engines(deployment) {
            let outcomes = model::run(Setup {
                deployment,
                layout: Layout::today(),
                kind,
                load: 0.7,
                seed,
                span: Duration::from_secs(20),
                faults: vec![(BEGIN, Fault::Leave(STRUCK, sign))],
            });
            let [begun, sent, done] = outcomes.drain;
            let label = format!("{name} {engine}");
            let text = format!(
                "{label:30} | {:>16} | {:>14}",
                gap(begun, sent),
                gap(begun, done)
            );
            line(out, &text);
        }
    }
}

/// Milliseconds between two points, if both were.
fn gap(from: Option<Time>, to: Option<Time>) -> String {
    match (from, to) {
        (Some(from), Some(to)) => format!("{} ms", to.since(from).as_millis()),
        _ => "none".to_owned(),
    }
}

/// Ways to choose among 12 targets that several instances share.
#[must_use]
pub fn policies(seed: u64, seconds: u64) -> String {
    let deployment = &deployment::BLUESTONE;
    let mut out = format!(
        "virtual time; 12 targets of 3 slots shared, seed {seed}, {seconds} s measured\n\n"
    );
    let ways = [
        ("least", Policy::LowestScore),
        ("two", Policy::TwoChoices),
        ("weighted", Policy::Weighted),
    ];
    let span = Duration::from_secs(seconds) + model::WARM_UP;
    for entries in [1, 2, 7, 22] {
        for (load, word) in [(0.5, "0.5"), (0.7, "0.7"), (0.9, "0.9"), (1.2, "1.2")] {
            let mut kinds: Vec<(&str, Kind)> = vec![("round-robin", Kind::Robin)];
            for (name, policy) in ways {
                let mut tuning = tuning(deployment);
                tuning.policy = policy;
                kinds.push((name, Kind::Steer(tuning)));
            }
            let mut reports = tuning(deployment);
            reports.safeguards = Safeguards::ALL.without(Safeguard::OwnCount);
            kinds.push(("reports-only", Kind::Steer(reports)));
            for (name, kind) in kinds {
                let outcomes = model::run(Setup {
                    deployment,
                    layout: Layout::shared(entries),
                    kind,
                    load,
                    seed,
                    span,
                    faults: vec![],
                });
                let label = format!("{entries:2} instances {word} {name}");
                one(&mut out, &label, &outcomes, 3);
            }
        }
    }
    out
}

/// What a second attempt after the 95th percentile gains and costs.
#[must_use]
pub fn hedge(seed: u64, seconds: u64) -> String {
    let deployment = &deployment::BLUESTONE;
    let mut out = format!("virtual time; sheetview, seed {seed}, {seconds} s measured\n\n");
    let tuning = tuning(deployment);
    let delay = Duration::from_millis(45);
    let kinds = [
        ("plain", Kind::Steer(tuning)),
        ("hedged", Kind::Hedge(tuning, delay)),
    ];
    let slow = vec![(Duration::ZERO, Fault::Slow(STRUCK, 10.0))];
    let cases: [Case; 5] = [
        ("load 0.5", 0.5, vec![]),
        ("load 0.7", 0.7, vec![]),
        ("load 0.9", 0.9, vec![]),
        ("load 1.2", 1.2, vec![]),
        ("slow 1 of 12, load 0.7", 0.7, slow),
    ];
    for (name, load, faults) in cases {
        for (kind_name, kind) in kinds {
            let outcomes = model::run(Setup {
                deployment,
                layout: Layout::today(),
                kind,
                load,
                seed,
                span: Duration::from_secs(seconds) + model::WARM_UP,
                faults: faults.clone(),
            });
            one(&mut out, &format!("{name} {kind_name}"), &outcomes, 3);
            let asked: u64 = outcomes.services.iter().map(|s| s.asked).sum();
            line(
                &mut out,
                &format!("  attempts {} asked {asked}", outcomes.attempts),
            );
        }
    }
    out
}

fn rows(out: &mut String, deployment: &Deployment, label: &str, outcomes: &Outcomes) {
    line(
        out,
        &format!("{label:28} | p50 ms | p99 ms | p99.9 ms | refused % | failed % | shed %"),
    );
    for (at, spec) in deployment.services.iter().enumerate() {
        let label = format!("  {} (class {})", spec.name, spec.class);
        one(out, &label, outcomes, at);
    }
}

/// What crossed between regions, and by how much it passed the caps.
fn crossings(out: &mut String, outcomes: &Outcomes) {
    let most = |meters: &[Meter]| meters.iter().map(Meter::most).max().unwrap_or(0);
    let over = |meters: &[Meter]| meters.iter().map(Meter::over).max().unwrap_or(0);
    let (shifts, links) = (&outcomes.shifts, &outcomes.links);
    let text = format!(
        "  shifted at most {}/s, over a cap by {}; link at most {} kB/s, over by {}",
        most(shifts),
        over(shifts),
        most(links) / 1000,
        over(links),
    );
    line(out, &text);
}

fn one(out: &mut String, label: &str, outcomes: &Outcomes, service: usize) {
    let figures = &outcomes.services[service];
    let text = format!(
        "{label:28} | {:>6} | {:>6} | {:>8} | {:>9} | {:>8} | {:>6}",
        quantile(figures, 0.5),
        quantile(figures, 0.99),
        quantile(figures, 0.999),
        share(figures.refused, figures.asked),
        share(figures.failed, figures.asked),
        share(outcomes.shed, outcomes.attempts),
    );
    line(out, &text);
}

fn line(out: &mut String, text: &str) {
    writeln!(out, "{}", text.trim_end()).expect("a string takes all");
}

/// Milliseconds with one digit.
fn quantile(figures: &Figures, at: f64) -> String {
    let tenths = figures.latency.value_at_quantile(at) / 100;
    format!("{}.{}", tenths / 10, tenths % 10)
}

/// Percent with two digits.
fn share(part: u64, whole: u64) -> String {
    let hundredths = (part * 10_000).checked_div(whole).unwrap_or(0);
    format!("{}.{:02}", hundredths / 100, hundredths % 100)
}

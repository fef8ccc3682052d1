//! Tests of the bound on second attempts over all instances.

use std::time::{Duration, Instant};

use platform_standin::Target;
use platform_standin::target::Behavior;
use rstest::rstest;

use super::harness::{self, Entry, Harness, MS};

/// Second attempts allowed for each request.
const RATIO: f64 = 0.01;

/// Second attempts allowed besides.
const SLACK: f64 = 24.0;

/// Window of the bound.
const WINDOW: Duration = Duration::from_secs(10);

const INSTANCES: usize = 3;

fn start(harness: &Harness, number: usize) -> Entry {
    let name = format!("i{number}");
    let settings = platform_standin::settings(&name, "near-a", harness.store.addr(), &[]);
    Entry::start_with(&harness::with_retries(&settings, RATIO, SLACK))
}

/// Arrivals at targets beyond the first of each request, in order.
fn repeats(targets: &[Target]) -> Vec<Instant> {
    let arrivals = targets.iter().flat_map(Target::arrivals);
    let mut arrivals: Vec<_> = arrivals.map(|a| (a.id, a.at)).collect();
    arrivals.sort();
    let later = arrivals.windows(2).filter(|pair| pair[0].0 == pair[1].0);
    let mut repeats: Vec<Instant> = later.map(|pair| pair[1].1).collect();
    repeats.sort();
    repeats
}

/// Instances that were started anew spent the retry budget of their predecessors once more.
#[rstest]
#[case::all_at_once(true)]
#[case::in_turn(false)]
fn keep_retry_budget_through_restarts(#[case] all_at_once: bool) {
    const ROUNDS: usize = 4;
    const REQUESTS: usize = 12;
    let harness = Harness::start(6);
    for target in &harness.targets {
        target.set(Behavior::Fail, MS);
    }
    let mut entries: Vec<Entry> = (0..INSTANCES).map(|n| start(&harness, n)).collect();
    let mut sent = 0;
    for round in 0..ROUNDS {
        for entry in &entries {
            entry.await_ready();
        }
        for (number, entry) in entries.iter_mut().enumerate() {
            for _ in 0..REQUESTS {
                sent += 1;
                let path = format!("/view/{sent}");
                entry.send("GET", &path, &format!("r{sent}"), "");
            }
            if !all_at_once && round + 1 < ROUNDS {
                *entry = start(&harness, number);
                entry.await_ready();
            }
        }
        if all_at_once && round + 1 < ROUNDS {
            entries.clear();
            entries.extend((0..INSTANCES).map(|n| start(&harness, n)));
        }
    }
    let repeats = repeats(&harness.targets);
    let within = |from: &Instant| {
        let is_within = |at: &&Instant| (*from..*from + WINDOW).contains(*at);
        repeats.iter().filter(is_within).count()
    };
    let most = repeats.iter().map(within).max().unwrap_or_default();
    let requests = f64::from(u32::try_from(sent).expect("it is small"));
    println!("{most} of {} second attempts in a window", repeats.len());
    assert!(f64::from(u32::try_from(most).expect("it is small")) <= RATIO * requests + SLACK);
}

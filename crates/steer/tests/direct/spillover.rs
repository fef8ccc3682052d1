//! Control of the share of requests that runs in other regions.

use rstest::rstest;
use steer::process::direct::spillover::Spillover;
use steer::process::direct::target::Entry;
use steer::process::direct::{AttemptOutcome, Decision};

use super::bench::{Bench, at, entry, route};

const BOUND: f64 = 0.15;

/// Runs 50 requests per second for 40 s, which would be better off elsewhere between
/// 5 and 15 s. Returns for each whether it ran elsewhere. The positions of its
/// objects repeat every 24 requests.
fn run(share: f64) -> Vec<bool> {
    let mut spillover = Spillover::new(BOUND, share);
    (0..2_000_u64)
        .map(|i| {
            let millis = i * 20;
            let pressure = (5_000..15_000).contains(&millis);
            let position = f64::from(u32::try_from(i * 7 % 24).unwrap_or_default()) / 24.0;
            spillover.choose_remote(at(millis), pressure, 0.0, position)
        })
        .collect()
}

/// A burst begins and ends abruptly. From any two seconds to the next, the share that
/// runs elsewhere must not change by more than the operator's bound.
#[rstest]
#[case::from_nothing(0.0)]
#[case::from_a_share(0.4)]
fn change_slowly(#[case] share: f64) {
    let picks = run(share);
    let window = 100;
    let count = |from: usize| picks[from..from + window].iter().filter(|p| **p).count();
    for start in 0..picks.len() - 2 * window {
        let change = count(start).abs_diff(count(start + window));
        assert!(change <= 15, "{change} of {window} at {start}");
    }
}

/// The share must rise under pressure and fall to nearly nothing after it.
#[test]
fn follow_pressure() {
    let picks = run(0.0);
    let last = picks[650..750].iter().filter(|p| **p).count();
    assert!(
        last >= 15,
        "only {last} of 100 after ten seconds of pressure"
    );
    let end = picks[1_900..].iter().filter(|p| **p).count();
    assert!(end <= 5, "still {end} of 100 23 s after them");
}

/// No request is late locally because half of them run elsewhere; all together would
/// fill the region. A share that fell would soon rise again, and objects would be cold
/// after each move. It must fall only if the local region has room for all requests.
#[rstest]
#[case::no_room(0.5, 0.45)]
#[case::room(0.25, 0.0)]
fn fall_if_home_has_room(#[case] utilization: f64, #[case] share_min: f64) {
    let mut spillover = Spillover::new(BOUND, 0.5);
    for i in 0..1_000_u64 {
        let position = f64::from(u32::try_from(i * 7 % 24).unwrap_or_default()) / 24.0;
        // Requests that run locally again take slots there.
        let utilization = utilization * (1.0 - spillover.share()) / 0.5;
        spillover.choose_remote(at(i * 20), false, utilization, position);
    }
    let share = spillover.share();
    assert!(
        share >= share_min && share <= share_min + 0.1,
        "the share is {share:.2}"
    );
}

/// A region with a third of the callers and a sixth of the targets: half of its requests
/// fit locally, and the excess there is late. A share proportional to the late part would settle where as many requests are late as run
/// elsewhere. It must rise until only a few are late.
#[test]
fn rise_until_few_are_late() {
    let fits = 0.5;
    let mut spillover = Spillover::new(BOUND, 0.0);
    let mut late = 0;
    for i in 0..2_000_u64 {
        // The excess of the requests locally is late, evenly spread.
        let local = 1.0 - spillover.share();
        let late_ratio = ((local - fits) / local).max(0.0);
        let pressure =
            (f64::from(u32::try_from(i * 61 % 100).unwrap_or_default()) / 100.0) < late_ratio;
        let position = f64::from(u32::try_from(i * 7 % 24).unwrap_or_default()) / 24.0;
        let is_remote = spillover.choose_remote(at(i * 20), pressure, local, position);
        late += usize::from(i >= 1_500 && pressure && !is_remote);
    }
    assert!(late <= 50, "{late} of the last 500 are late locally");
    let share = spillover.share();
    assert!((0.4..0.6).contains(&share), "the share is {share:.2}");
}

/// In a burst the home region turned most requests away, while as many of all requests as
/// before ran elsewhere: of those that ran, their share jumped.
#[test]
fn change_share_of_requests_that_run_slowly() {
    const WINDOW: u64 = 2_000;
    const STEP: u64 = 5;
    const WORK: u64 = 200;
    const BURST: core::ops::Range<u64> = 10_000..11_500;
    let target = |id, domain, slots| Entry {
        slots,
        ..entry(id, domain)
    };
    let targets = [target("t1", "near-a", 45), target("t2", "far-a", 55)];
    let mut bench = Bench::new(route(), &targets);
    bench.direct.store_answered(at(0), 1);
    let mut running = Vec::new();
    let mut runs = Vec::new();
    for millis in (0..14_000).step_by(usize::try_from(STEP).expect("it is small")) {
        let now = at(millis);
        while running.first().is_some_and(|(end, _)| *end <= millis) {
            let (_, ticket) = running.remove(0);
            let answered = AttemptOutcome::Answered;
            bench.direct.finish_attempt(now, ticket, answered);
        }
        let count = if BURST.contains(&millis) { 10 } else { 1 };
        for i in 0..count {
            bench.submit(now, Some(millis + i));
        }
        for decision in bench.direct.step(now) {
            if let Decision::Send(sent) = decision {
                runs.push((millis, &*sent.target == "t2"));
                running.push((millis + WORK, sent.ticket));
            }
        }
    }
    let share = |from: u64| {
        let within = |r: &&(u64, bool)| (from..from + WINDOW).contains(&r.0);
        let all = runs.iter().filter(within).count();
        let elsewhere = runs.iter().filter(within).filter(|r| r.1).count();
        100 * elsewhere / all.max(1)
    };
    for start in (2_000..10_000).step_by(100) {
        let change = share(start).abs_diff(share(start + WINDOW));
        assert!(change <= 15, "{change} in 100 from {start}");
    }
}

//! The share of requests that runs in other regions.

use rstest::rstest;
use steer::process::direct::spillover::Spillover;

use super::bench::at;

const BOUND: f64 = 0.15;

/// Requests of one instance, 50 a second for 40 s, that would be better off
/// elsewhere between 5 and 15 s; true where one does. Objects stand as their
/// numbers fall.
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

/// A burst begins and ends at once. The caller's region must not see its
/// requests jump between regions by more than the operator's bound from any
/// two seconds to the next, neither when the burst begins nor when it ends.
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

#[test]
fn follow_wishes() {
    let picks = run(0.0);
    let last = picks[650..750].iter().filter(|p| **p).count();
    assert!(
        last >= 15,
        "only {last} of 100 after ten seconds of pressure"
    );
    let end = picks[1_900..].iter().filter(|p| **p).count();
    assert!(end <= 5, "still {end} of 100 23 s after them");
}

/// Nobody is late at home, since half of the requests run elsewhere: all
/// together would fill the region. A share that falls then sends them away
/// again a moment later, and their objects begin cold each time. It falls only
/// where there is room for all.
#[rstest]
#[case::no_room(0.5, 0.45)]
#[case::room(0.25, 0.0)]
fn fall_if_home_has_room(#[case] used: f64, #[case] least: f64) {
    let mut spillover = Spillover::new(BOUND, 0.5);
    for i in 0..1_000_u64 {
        let position = f64::from(u32::try_from(i * 7 % 24).unwrap_or_default()) / 24.0;
        // As requests come home they take their slots there.
        let used = used * (1.0 - spillover.share()) / 0.5;
        spillover.choose_remote(at(i * 20), false, used, position);
    }
    let share = spillover.share();
    assert!(
        share >= least && share <= least + 0.1,
        "the share is {share:.2}"
    );
}

/// A region has a third of the callers and a sixth of the targets: as many of its
/// requests as don't fit at home are late there. A share that only follows the
/// part that is late stays where as many are late as run elsewhere. It must rise
/// until but a few are.
#[test]
fn rise_until_few_are_late() {
    let fits = 0.5;
    let mut spillover = Spillover::new(BOUND, 0.0);
    let mut late = 0;
    for i in 0..2_000_u64 {
        // What stays beyond what fits is late, evenly spread.
        let home = 1.0 - spillover.share();
        let part = ((home - fits) / home).max(0.0);
        let pressure = (f64::from(u32::try_from(i * 61 % 100).unwrap_or_default()) / 100.0) < part;
        let position = f64::from(u32::try_from(i * 7 % 24).unwrap_or_default()) / 24.0;
        let elsewhere = spillover.choose_remote(at(i * 20), pressure, home, position);
        late += usize::from(i >= 1_500 && pressure && !elsewhere);
    }
    assert!(late <= 50, "{late} of the last 500 are late at home");
    let share = spillover.share();
    assert!((0.4..0.6).contains(&share), "the share is {share:.2}");
}

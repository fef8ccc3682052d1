//! The share of requests that runs in other regions.

use rstest::rstest;
use steer::process::direct::pace::Pace;

use super::bench::at;

const BOUND: f64 = 0.15;

/// Requests of one instance, 50 a second, that wish to run elsewhere between 5
/// and 15 s; true where one does. Objects lean as their numbers fall.
fn run(share: f64) -> Vec<bool> {
    let mut pace = Pace::new(BOUND, share);
    (0..1_500_u64)
        .map(|i| {
            let millis = i * 20;
            let wish = (5_000..15_000).contains(&millis);
            let lean = f64::from(u32::try_from(i * 7 % 24).unwrap_or_default()) / 24.0;
            pace.next(at(millis), wish, lean)
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
    assert!(last >= 15, "only {last} of 100 after ten seconds of wishes");
    let end = picks[1_400..].iter().filter(|p| **p).count();
    assert!(end <= 5, "still {end} of 100 fifteen seconds after them");
}

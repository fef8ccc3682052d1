//! What each way costs and is worth, in virtual time.

use core::time::Duration;

use explorer::cost;
use rstest::rstest;

const fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[rstest]
#[case("owner only", 0, 0, 0)]
#[case("witness in the region", 2, 0, 1)]
#[case("witness in another region", 2, 0, 70)]
#[case("claim in the store, from its region", 0, 1, 1)]
#[case("claim in the store, from another region", 0, 1, 70)]
fn first_run_costs(
    #[case] name: &str,
    #[case] messages: u32,
    #[case] calls: u32,
    #[case] latency: u64,
) {
    let way = cost::WAYS
        .iter()
        .find(|w| w.name == name)
        .expect("a known way");
    let cost = cost::Cost {
        messages,
        calls,
        latency: millis(latency),
    };
    assert_eq!(cost::first_run(way), cost);
}

// The owner dies somewhere between the caller's send and the target's answer,
// and the caller sends again to another entry. Without a witness that entry can
// never tell; with one it can for the time before the claim.
#[rstest]
#[case("owner only", 0)]
#[case("witness in the region", 8)]
#[case("claim in the store, from its region", 8)]
fn certain_time_of_resends(#[case] name: &str, #[case] certain: u64) {
    let way = cost::WAYS
        .iter()
        .find(|w| w.name == name)
        .expect("a known way");
    let worth = cost::worth(way);
    assert_eq!(worth.answer + worth.not_run, millis(certain));
    assert!(worth.unknown >= cost::SERVICE);
}

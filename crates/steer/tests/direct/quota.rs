//! Quotas over all instances: the sum stays within the quota, and a team below its
//! quota is not affected.

use proptest::prelude::{ProptestConfig, prop_assert, proptest};
use rstest::rstest;
use steer::version::teams::Quota;

use super::quota_fleet::{Faults, Fleet, RULE, STEP_MS};

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "small and positive"
)]
fn bound(quota: &Quota) -> usize {
    ((quota.rate * 5.0 + quota.burst) * (1.0 + RULE.excess) + RULE.slack) as usize
}

fn quota(rate: f64) -> Quota {
    Quota { rate, burst: rate }
}

/// Floods all instances, then two of them, while messages are lost and instances are
/// partitioned and killed.
fn flood(faults: Faults, count: usize, rate: f64, seed: u64) -> Fleet {
    let all: Vec<usize> = (0..count).collect();
    let mut fleet = Fleet::new(count, quota(rate), faults, seed);
    fleet.run(6_000, &all, rate * 0.6);
    fleet.run(10_000, &all, rate * 6.0);
    fleet.run(14_000, &all[..2], rate * 6.0);
    fleet.run(18_000, &all, rate * 0.6);
    fleet
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn sum_stays_within_quota(
        seed in 0_u64..1 << 40,
        count in 3_usize..14,
        rate in 4_u32..200,
        loss_ratio in 0.0..0.4_f64,
        duplicate_ratio in 0.0..0.3_f64,
        cross_delay in 0_u64..400,
        partition in proptest::option::of((6_000_u64..12_000, 500_u64..6_000, proptest::bool::ANY)),
        restart_interval in proptest::option::of(1_000_u64..5_000),
    ) {
        let faults = Faults {
            loss_ratio,
            duplicate_ratio,
            region_delay: cross_delay,
            cross_delay,
            partition: partition.map(|(start, span, both)| (start, start + span, both)),
            restart_interval: restart_interval.map(|every| every / STEP_MS * STEP_MS),
            is_rolling: false,
            lowered_at: None,
        };
        let fleet = flood(faults, count, f64::from(rate), seed);
        let (max, bound) = (fleet.max_in_window(0, 18_000), bound(&fleet.quota));
        prop_assert!(max <= bound, "{max} of {bound}");
    }
}

/// Without a pool, each instance took its own region for the one that gets most of a
/// team's bucket, and the sum exceeded the quota.
#[rstest]
#[case::few(7, 30.0)]
#[case::many(34, 4.0)]
#[case::hundred(119, 30.0)]
fn sum_stays_within_quota_without_pool(#[case] count: usize, #[case] rate: f64) {
    let faults = Faults {
        loss_ratio: 1.0,
        region_delay: 3,
        cross_delay: 70,
        ..Faults::default()
    };
    let mut fleet = Fleet::new(count, quota(rate), faults, 1);
    let all: Vec<usize> = (0..count).collect();
    fleet.run(10_000, &all, rate * 20.0);
    fleet.run(40_000, &all, 0.0);
    fleet.run(50_000, &all, rate * 20.0);
    let (max, bound) = (fleet.max_in_window(0, 50_000), bound(&fleet.quota));
    assert!(max <= bound, "{max} of {bound}");
}

/// A lowered quota is enforced one window later.
#[rstest]
fn lowered_quota_binds_after_window(#[values(1, 2, 3, 4)] seed: u64) {
    let faults = Faults {
        lowered_at: Some(8_000),
        region_delay: 3,
        cross_delay: 70,
        ..Faults::default()
    };
    let fleet = flood(faults, 8, 60.0, seed);
    let lower = quota(12.0);
    let max = fleet.max_in_window(8_000, 18_000);
    assert!(max <= bound(&lower), "{max} of {}", bound(&lower));
}

/// A team below its quota is neither refused nor delayed, whether its requests come
/// through all instances or through two.
#[rstest]
#[case::all_instances(34, 34, 60.0)]
#[case::two_instances(34, 2, 60.0)]
#[case::small_team(34, 34, 10.0)]
#[case::small_fleet(7, 7, 30.0)]
#[case::hundred_instances(119, 119, 200.0)]
#[case::three_hundred_instances(300, 300, 400.0)]
fn admit_team_below_quota(
    #[case] count: usize,
    #[case] by: usize,
    #[case] rate: f64,
    #[values(1, 2)] seed: u64,
) {
    let faults = Faults {
        region_delay: 3,
        cross_delay: 70,
        ..Faults::default()
    };
    let mut fleet = Fleet::new(count, quota(rate), faults, seed);
    let all: Vec<usize> = (0..by).collect();
    fleet.run(5_000, &all, 0.0);
    fleet.run(15_000, &all, rate * 0.62);
    let (refused, requests) = (fleet.refused.len(), fleet.request_count);
    assert!(refused * 100 <= requests, "{refused} refused of {requests}");
    fleet.waits.sort_unstable();
    let wait = fleet.waits[fleet.waits.len() * 9 / 10];
    assert!(wait <= 30, "one in ten waited {wait} ms");
}

/// A team that floods is still served up to its quota.
#[rstest]
fn serve_flood_up_to_quota(#[values(1, 2)] seed: u64) {
    let faults = Faults {
        region_delay: 3,
        cross_delay: 70,
        ..Faults::default()
    };
    let mut fleet = Fleet::new(34, quota(60.0), faults, seed);
    let all: Vec<usize> = (0..34).collect();
    fleet.run(5_000, &all, 0.0);
    fleet.run(15_000, &all, 400.0);
    let served = fleet.admitted.len();
    assert!(served >= 630, "{served} of the 700 that windows allow");
}

/// The instance that runs the pool is killed, and the team's requests are still
/// admitted.
#[rstest]
fn survive_pool_restarts(#[values(1, 2, 3)] seed: u64) {
    let faults = Faults {
        region_delay: 3,
        cross_delay: 40,
        restart_interval: Some(1_500),
        ..Faults::default()
    };
    let mut fleet = Fleet::new(6, quota(60.0), faults, seed);
    let all: Vec<usize> = (0..6).collect();
    fleet.run(3_000, &all, 0.0);
    fleet.run(23_000, &all, 60.0 * 0.62);
    let (refused, requests) = (fleet.refused.len(), fleet.request_count);
    assert!(refused * 20 <= requests, "{refused} refused of {requests}");
    assert!(fleet.restarts >= 12, "{} restarts", fleet.restarts);
}

/// Instances are restarted in turn, including those that run the pools.
#[rstest]
fn survive_rolling_restart(#[values(1, 2)] seed: u64, #[values(30.0, 400.0)] rate: f64) {
    let faults = Faults {
        region_delay: 3,
        cross_delay: 70,
        is_rolling: true,
        ..Faults::default()
    };
    let mut fleet = Fleet::new(34, quota(rate), faults, seed);
    let all: Vec<usize> = (0..34).collect();
    fleet.run(2_000, &all, 0.0);
    fleet.run(32_000, &all, rate * 0.62);
    let (refused, requests) = (fleet.refused.len(), fleet.request_count);
    assert!(refused * 20 <= requests, "{refused} refused of {requests}");
    let long = fleet.waits.iter().filter(|wait| **wait > 40).count();
    let all = fleet.waits.len();
    assert!(long * 10 <= all, "{long} of {all} waited for long");
}

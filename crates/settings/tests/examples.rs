//! The deployments' example settings are good and state the defaults, but for
//! the one limit that weighs latency against refusals.

use std::time::Duration;

use rstest::rstest;
use settings::Settings;
use settings::limits::Limits;

/// Name of the limit that the deployments choose for themselves.
const CHOSEN: &str = "wait_ms";

#[rstest]
#[case::latency(include_str!("../../../deploy/bluestone/seq-1-a.settings.jsonc"), 100)]
#[case::headroom(include_str!("../../../deploy/tesfaye/amhara-1-a.settings.jsonc"), 500)]
fn parse_example(#[case] text: &str, #[case] wait: u64) {
    let settings = Settings::parse("settings", text).unwrap();
    assert_eq!(settings.limits.wait_max(), Duration::from_millis(wait));
    for (stated, default) in settings.limits.named().zip(Limits::default().named()) {
        if stated.0 != CHOSEN {
            assert_eq!(stated, default);
        }
    }
}

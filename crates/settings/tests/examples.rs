//! The example settings of the deployments are valid and state the default limits,
//! except the limit that trades latency against refusals.

use std::time::Duration;

use rstest::rstest;
use settings::Settings;
use settings::limits::Limits;

/// Name of the limit that each deployment sets to a value of its own.
const SITE_LIMIT: &str = "wait_ms";

#[rstest]
#[case::latency(include_str!("../../../deploy/bluestone/seq-1-a.settings.jsonc"), 100)]
#[case::headroom(include_str!("../../../deploy/tesfaye/amhara-1-a.settings.jsonc"), 500)]
fn parse_example(#[case] text: &str, #[case] wait_ms: u64) {
    let settings = Settings::parse("settings", text).unwrap();
    assert_eq!(settings.limits.wait_max(), Duration::from_millis(wait_ms));
    for (stated, default) in settings.limits.named().zip(Limits::default().named()) {
        if stated.0 != SITE_LIMIT {
            assert_eq!(stated, default);
        }
    }
}

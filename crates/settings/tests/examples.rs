//! The deployments' example settings are good and state the defaults.

use rstest::rstest;
use settings::Settings;
use settings::limits::Limits;

#[rstest]
#[case(include_str!("../../../deploy/bluestone/seq-1-a.settings.jsonc"))]
#[case(include_str!("../../../deploy/tesfaye/amhara-1-a.settings.jsonc"))]
fn parse_example(#[case] text: &str) {
    let settings = Settings::parse("settings", text).unwrap();
    assert_eq!(settings.limits, Limits::default());
}

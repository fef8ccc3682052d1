//! Edits of lists keep comments and layout.

use jsonc::edit;
use rstest::rstest;

#[rstest]
#[case::empty("{}", "{\n  \"drain\": {\n    \"sites\": [\"s1\"]\n  }\n}")]
#[case::present(
    "{ \"drain\": { \"sites\": [\"s1\"] } } // end",
    "{ \"drain\": { \"sites\": [\"s1\"] } } // end"
)]
#[case::appended(
    "{ /* a */ \"drain\": { \"sites\": [\"s0\"] } }",
    "{ /* a */ \"drain\": { \"sites\": [\"s0\", \"s1\"] } }"
)]
fn add_name(#[case] text: &str, #[case] expected: &str) {
    let edited = edit::list_add(text, "drain", "sites", "s1").expect("the text is well formed");
    assert_eq!(edited, expected);
}

#[rstest]
#[case::only("{\"drain\":{\"sites\":[\"s1\"]}}", "{\"drain\":{\"sites\":[]}}")]
#[case::absent("{} // nothing", "{} // nothing")]
#[case::twice(
    "{\"drain\":{\"sites\":[\"s1\", \"s2\", \"s1\"]}}",
    "{\"drain\":{\"sites\":[ \"s2\"]}}"
)]
fn remove_name(#[case] text: &str, #[case] expected: &str) {
    let edited = edit::list_remove(text, "drain", "sites", "s1").expect("the text is well formed");
    assert_eq!(edited, expected);
}

#[rstest]
#[case::syntax("{")]
#[case::object("{\"drain\": 3}")]
#[case::list("{\"drain\": {\"sites\": true}}")]
fn add_rejected(#[case] text: &str) {
    assert!(edit::list_add(text, "drain", "sites", "s1").is_err());
}

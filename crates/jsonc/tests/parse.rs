//! Places of parsed values and faults, and texts that the parser must reject without a
//! panic.

use jsonc::fault::Kind;
use jsonc::{nearest, parse, read};
use rstest::rstest;

#[test]
fn place_counts_characters() {
    let node = parse("f", "{\n  \"ä\": /* é */ 1,\n \"b\": [2]\n}").unwrap();
    assert_eq!(node.get("ä").unwrap().place.to_string(), "f:2:16");
    assert_eq!(node.get("b").unwrap().place.to_string(), "f:3:7");
}

#[rstest]
#[case::empty("", "f:1:1")]
#[case::comma("{\"a\": 1\n \"b\": 2}", "f:1:8")]
#[case::open("{\n\"a\": [", "f:2:6")]
#[case::two("{} {}", "f:1:4")]
fn syntax_fault_has_place(#[case] text: &str, #[case] place: &str) {
    let fault = parse("f", text).unwrap_err();
    assert_eq!(fault.kind, Kind::Syntax);
    assert_eq!(fault.place.to_string(), place);
}

#[test]
fn deep_nesting_is_rejected() {
    let text = "[".repeat(100_000);
    assert_eq!(parse("f", &text).unwrap_err().kind, Kind::Syntax);
}

#[test]
fn object_reports_every_duplicate() {
    let node = parse("f", r#"{"a": 1, "b": 2, "a": 3, "a": 4}"#).unwrap();
    let mut faults = Vec::new();
    read::object(&node, &mut faults);
    assert_eq!(faults.len(), 2);
}

#[rstest]
#[case("sheetveiw", Some("sheetview"))]
#[case("zzz", None)]
fn nearest_cases(#[case] name: &str, #[case] found: Option<&str>) {
    let names = ["sheetview", "billing"];
    assert_eq!(nearest::nearest(name, names), found);
}

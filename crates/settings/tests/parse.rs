//! Parsing, checks and printing of settings files.

use rstest::rstest;
use settings::secret::{self, Secret};
use settings::{Settings, limits};

const VALID_TEXT: &str = r#"{
  // the entry instance of seq-1
  "name": "seq-1-a",
  "domain": "seq-1",
  "listen": { "callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "operators": "127.0.0.1:0" },
  "store": ["127.0.0.1:2379"],
  "secret": "a-secret-of-sixteen",
  "limits": { "queue": 8 },
}"#;

#[test]
fn parse_complete() {
    let settings = Settings::parse("s.jsonc", VALID_TEXT).unwrap();
    assert_eq!(&*settings.name, "seq-1-a");
    assert_eq!(settings.limits.queue(), 8);
    assert_eq!(settings.limits.head_bytes(), 16_384);
    assert!(settings.seeds.is_empty());
}

#[test]
fn print_without_secret() {
    let settings = Settings::parse("s.jsonc", VALID_TEXT).unwrap();
    let printed = format!("{settings} {settings:?}");
    assert!(!printed.contains("a-secret-of-sixteen"), "{printed}");
}

/// Guards against faults that hide others: a file with six mistakes must report all
/// of them at once, with their places. The misspelt name counts as unknown and as
/// missing.
#[test]
fn parse_six_faults() {
    let text = r#"{
  "nmae": "seq-1-a",
  "domain": 7,
  "listen": { "callers": "127.0.0.1:0", "peers": "127.0.0.1", "operators": "127.0.0.1:0" },
  "store": [],
  "secret": "short",
  "limits": { "threads": 0 }
}"#;
    let faults = Settings::parse("s.jsonc", text).unwrap_err();
    let printed: Vec<String> = faults.iter().map(ToString::to_string).collect();
    let expected = [
        "s.jsonc:1:1: \"name\" is missing; add \"name\" to this object",
        "s.jsonc:2:3: unknown field \"nmae\"; write \"name\"?",
        "s.jsonc:3:13: found a number; write a string",
        "s.jsonc:4:50: \"127.0.0.1\" is not an address with a port: invalid socket address syntax; write it like \"192.0.2.7:8080\"",
        "s.jsonc:5:12: no address of the key-value service; list at least one, like \"192.0.2.7:2379\"",
        "s.jsonc:6:13: the secret has 5 bytes; use 16 to 256",
        "s.jsonc:7:26: 0 is out of range; use a whole number from 1 to 256",
    ];
    assert_eq!(printed, expected);
}

#[rstest]
#[case::own(0o100_600, true)]
#[case::read_only(0o100_400, true)]
#[case::group(0o100_640, false)]
#[case::world(0o100_604, false)]
fn mode_fault_cases(#[case] mode: u32, #[case] is_valid: bool) {
    assert_eq!(secret::mode_fault(mode).is_none(), is_valid);
}

#[test]
fn secret_trims_line_end() {
    let secret = Secret::new("0123456789abcdef\n").unwrap();
    assert_eq!(secret.bytes(), b"0123456789abcdef");
}

#[test]
fn bounds_hold_defaults() {
    for bound in limits::LIMIT_DEFS {
        assert!(bound.range.contains(&bound.default), "{}", bound.name);
    }
}

//! Settings of an instance that sends requests directly to targets.

use rstest::rstest;
use settings::direct::Settings;

const VALID_TEXT: &str = r#"{
  // filled in by the platform
  "name": "near-1", "domain": "near-a", "region": "near",
  "domains": { "near-b": "near", "near-a": "near" },
  "listen": { "callers": "127.0.0.1:1", "ready": "127.0.0.1:2", "directory": "127.0.0.1:3",
              "peers": "127.0.0.1:4", "beats": "127.0.0.1:5", "operators": "127.0.0.1:6" },
  "store": "127.0.0.1:7", "seeds": ["127.0.0.1:8"],
  "memory_mb": 260, "descriptors": 4100,
  "bounds": { "contact_s": 4, "grace_s": 6, "lifetime_s": 5, "retry_ratio": 0.2,
              "retry_window_s": 10, "retry_slack": 58, "cold_factor": 1.5, "cold_slack": 5,
              "shift": 0.15 }
}"#;

#[test]
fn read_settings() {
    let settings = Settings::parse("own", VALID_TEXT).expect("the settings are valid");
    assert_eq!(&*settings.name, "near-1");
    assert_eq!(&*settings.domains[0].0, "near-a");
    assert!((settings.bounds.retry_ratio - 0.2).abs() < 1e-9);
}

#[rstest]
#[case::share(r#""shift": 0.15"#, r#""shift": 1.5"#, "shift")]
#[case::text(r#""grace_s": 6"#, r#""grace_s": "6""#, "grace_s")]
#[case::null(r#""store": "127.0.0.1:7""#, r#""store": null"#, "string")]
#[case::unknown(r#""memory_mb""#, r#""memory_gb""#, "memory_mb")]
#[case::address(r#""127.0.0.1:8""#, r#""here""#, "address")]
#[case::cores(
    r#""memory_mb""#,
    r#""processor": { "share": 0.5, "cores": 0 }, "memory_mb""#,
    "cores"
)]
#[case::value_bytes(r#""memory_mb""#, r#""value_bytes": 0, "memory_mb""#, "from 1024")]
#[case::part(r#""memory_mb""#, r#""parts": { "load": true }, "memory_mb""#, "loads")]
#[case::listed(
    r#""memory_mb""#,
    r#""translate": { "here": "127.0.0.1:9" }, "memory_mb""#,
    "here"
)]
#[case::reached(
    r#""memory_mb""#,
    r#""translate": { "127.0.0.1:9": "there" }, "memory_mb""#,
    "there"
)]
fn refuse_settings(#[case] valid: &str, #[case] invalid: &str, #[case] named: &str) {
    let faults = Settings::parse("own", &VALID_TEXT.replacen(valid, invalid, 1))
        .expect_err("the settings are invalid");
    let text: String = faults.iter().map(ToString::to_string).collect();
    assert!(text.contains(named), "{text}");
    assert!(text.starts_with("own:"), "{text}");
}

#[test]
fn read_sizes_and_parts() {
    let settings = Settings::parse("own", VALID_TEXT).expect("the settings are valid");
    assert_eq!((settings.processor, settings.link_mbps), (None, None));
    assert_eq!(settings.value_bytes, 1_048_576);
    assert_eq!(
        settings.parts.to_string(),
        "referral, loads, urgency, regions"
    );
    let sizes = r#""processor": { "share": 0.25, "cores": 2 }, "link_mbps": 200,
        "parts": { "loads": false, "regions": true }, "memory_mb""#;
    let text = VALID_TEXT.replacen(r#""memory_mb""#, sizes, 1);
    let settings = Settings::parse("own", &text).expect("the settings are valid");
    assert_eq!(
        (settings.processor, settings.link_mbps),
        (Some(0.5), Some(200.0))
    );
    assert_eq!(settings.parts.to_string(), "referral, urgency, regions");
}

#[test]
fn read_translations() {
    let table = r#""translate": { "127.0.0.1:9": "127.0.0.2:9", "127.0.0.1:8": "127.0.0.2:8" }, "memory_mb""#;
    let text = VALID_TEXT.replacen(r#""memory_mb""#, table, 1);
    let settings = Settings::parse("own", &text).expect("the settings are valid");
    let addr = |text: &str| text.parse().expect("it is an address");
    let sorted = ["8", "9"].map(|port| {
        let (listed, reached) = (format!("127.0.0.1:{port}"), format!("127.0.0.2:{port}"));
        (addr(&listed), addr(&reached))
    });
    assert_eq!(settings.translations, sorted);
}

#[test]
fn report_all_faults() {
    let text = VALID_TEXT
        .replacen("\"region\"", "\"regoin\"", 1)
        .replacen("4100", "0", 1);
    let faults = Settings::parse("own", &text).expect_err("the settings are invalid");
    assert_eq!(faults.len(), 3, "{faults:?}");
}

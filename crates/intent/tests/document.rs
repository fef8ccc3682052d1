//! Configurations as documents: there and back, and what a change sends.

use std::fmt::Write;
use std::net::Ipv4Addr;
use std::sync::Arc;

use intent::bundle::{Blocks, Bundle, File};
use intent::document::{self, Body, Error, Hash, Manifest, chunk};
use rstest::rstest;
use steer::version::view::Version;

const BASE: &str = include_str!("../../../deploy/bluestone/base.jsonc");
const REGIONS: [&str; 3] = ["seq", "cq", "fnq"];

fn file(name: &str, text: &str) -> File {
    File {
        name: name.into(),
        text: text.into(),
    }
}

/// `count` blocks, two in every three /24, spread over the addresses from 10.0.0.0.
fn lines(count: u32) -> Vec<String> {
    let line = |i: u32| {
        let addr = Ipv4Addr::from(0x0a00_0000 + ((i * 0x180) & !0xff));
        format!("{addr}/24 {}", REGIONS[i as usize % REGIONS.len()])
    };
    (0..count).map(line).collect()
}

fn bundle(lines: &[String]) -> Bundle {
    let text = lines.iter().fold(String::new(), |mut text, line| {
        writeln!(text, "{line}").unwrap();
        text
    });
    Bundle {
        base: file(
            "base.jsonc",
            &BASE.replace("\"drain\"", "\"block_files\": [\"b.txt\"], \"drain\""),
        ),
        overlays: vec![file("x.jsonc", "{ \"site\": \"cq-1\" }")],
        blocks: Blocks::Files(vec![file("b.txt", &text)]),
    }
}

fn hashes(bodies: &[Body]) -> Vec<Hash> {
    let mut hashes: Vec<Hash> = bodies.iter().map(|b| b.reference.hash).collect();
    hashes.sort();
    hashes
}

fn find(bodies: &[Body], hash: Hash) -> Option<Arc<str>> {
    let body = bodies.iter().find(|b| b.reference.hash == hash)?;
    Some(Arc::clone(&body.text))
}

#[test]
fn bodies_make_same_plan() {
    let bundle = bundle(&lines(5_000));
    let bodies = document::bodies(&bundle).unwrap();
    let manifest = Manifest::new(Version(6), "change-1", &bodies).unwrap();
    let read = Manifest::from_json(&manifest.to_json()).unwrap();
    assert_eq!(read, manifest);
    assert_eq!(read.version, Version(7));
    let back = document::bundle(&read, |hash| find(&bodies, hash)).unwrap();
    assert_eq!(back.check().unwrap().base, bundle.check().unwrap().base);
    assert_eq!(document::bodies(&back).unwrap(), bodies);
}

/// One block of 20,000 gets another region, one is added, one removed. The
/// writer sends one chunk each time: cuts lie by address, not by count, so that
/// no other chunk's lines move.
#[rstest]
#[case::altered(|lines: &mut Vec<String>| lines[7_001] = lines[7_001].replace("fnq", "cq").replace("seq", "cq"))]
#[case::added(|lines: &mut Vec<String>| lines.push("10.20.2.0/24 cq".into()))]
#[case::removed(|lines: &mut Vec<String>| drop(lines.remove(7_000)))]
fn change_sends_one_chunk(#[case] change: impl Fn(&mut Vec<String>)) {
    let mut lines = lines(20_000);
    let before = document::bodies(&bundle(&lines)).unwrap();
    change(&mut lines);
    let after = document::bodies(&bundle(&lines)).unwrap();
    let manifest = Manifest::new(Version(1), "c", &after).unwrap();
    let have = hashes(&before);
    let missing = manifest.missing(&have);
    let names: Vec<&str> = missing.map(|m| &*m.name).collect();
    assert_eq!(names.len(), 1, "{names:?}");
    assert!(names[0].starts_with(document::BLOCKS));
}

#[test]
fn chunks_stay_small() {
    let bodies = document::bodies(&bundle(&lines(20_000))).unwrap();
    let largest = bodies.iter().map(|b| b.text.lines().count()).max();
    assert!(largest <= Some(chunk::CHUNK_LINES));
    assert!(bodies.iter().all(|b| b.text.len() < document::BODY_MAX));
}

#[test]
fn bodies_refuse_large_file() {
    let mut bundle = bundle(&[]);
    bundle.base.text = " ".repeat(document::BODY_MAX + 1).into();
    let error = document::bodies(&bundle).unwrap_err();
    assert!(matches!(error, Error::TooLarge { .. }));
}

/// A peer or the store hands over a body that isn't the one named. It counts as
/// missing, so that a damaged or stale body is fetched again and never applied.
#[test]
fn bundle_refuses_wrong_body() {
    let bodies = document::bodies(&bundle(&lines(10))).unwrap();
    let manifest = Manifest::new(Version(0), "c", &bodies).unwrap();
    let wrong = document::bundle(&manifest, |_| Some("{}".into()));
    assert!(matches!(wrong, Err(Error::Missing(..))));
}

#[rstest]
#[case::noise("{", "not a manifest")]
#[case::version(r#"{"version":3,"change":"c","parent":1,"files":[]}"#, "can't follow")]
#[case::change(r#"{"version":2,"change":"","parent":1,"files":[]}"#, "change id")]
#[case::overflow(
    r#"{"version":0,"change":"c","parent":18446744073709551615,"files":[]}"#,
    "can't follow"
)]
#[case::base(r#"{"version":2,"change":"c","parent":1,"files":[]}"#, "no base")]
#[case::hash(
    r#"{"version":2,"change":"c","parent":1,"files":[{"name":"base","hash":"00"}]}"#,
    "no hash"
)]
fn from_json_refuses(#[case] text: &str, #[case] message: &str) {
    let error = Manifest::from_json(text).unwrap_err().to_string();
    assert!(error.contains(message), "{error}");
}

//! Configurations as documents: there and back, and what a change sends.

use std::fmt::Write;
use std::net::Ipv4Addr;
use std::sync::Arc;

use intent::bundle::{Bundle, File};
use intent::document::install::{self, Refusal};
use intent::document::{self, Document, Error, chunk, wire};
use rstest::rstest;
use steer::process::config::{Change, File as Reference, Hash, Head};
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
        base: file("base.jsonc", BASE),
        overlays: vec![file(
            "x.jsonc",
            "{ \"site\": \"cq-1\", \"services\": { \"billing\": { \"deadline_ms\": 9 } } }",
        )],
        blocks: vec![file("b.txt", &text)],
    }
}

/// The head of the changes `ids`, newest first.
fn head(ids: &[&str], documents: &[Document]) -> Head {
    let version = Version(ids.len() as u64);
    let versions = (0..).map(|age| Version(version.0 - age));
    let change = |(version, id): (Version, &&str)| Change {
        version,
        id: (*id).into(),
    };
    let file = |document: &Document| Reference {
        name: Arc::clone(&document.name),
        hash: document.hash,
    };
    Head {
        version,
        recent: versions.zip(ids).map(change).collect(),
        files: documents.iter().map(file).collect(),
    }
}

fn find(documents: &[Document], hash: Hash) -> Option<Arc<[u8]>> {
    let found = documents.iter().find(|d| d.hash == hash)?;
    Some(found.text.as_bytes().into())
}

#[test]
fn documents_make_same_plan() {
    let bundle = bundle(&lines(5_000));
    let documents = document::documents(&bundle).unwrap();
    let second = head(&["change-2", "change-1"], &documents);
    let read = wire::from_json(&wire::to_json(&second)).unwrap();
    assert_eq!(*read, second);
    assert_eq!(read.version, Version(2));
    assert_eq!(&*read.recent[1].id, "change-1");
    let back = document::bundle(&read.files, |hash| find(&documents, hash)).unwrap();
    let plan = bundle.check().unwrap().base;
    assert_eq!(back.check().unwrap().base, plan);
    assert_eq!(document::documents(&back).unwrap(), documents);
    let installed = install::plan(&read.files, "seq-1", |hash| find(&documents, hash)).unwrap();
    assert_eq!(installed, *plan);
}

/// An entry instance installs a head while other sites' overlays are not there.
/// It needs its own only, and its own it must have.
#[test]
fn install_reads_own_overlay() {
    let bundle = bundle(&lines(10));
    let documents = document::documents(&bundle).unwrap();
    let head = head(&["c"], &documents);
    let rest: Vec<Document> = documents
        .iter()
        .filter(|d| !d.name.starts_with(document::OVERLAY))
        .cloned()
        .collect();
    let plan = |domain: &str| install::plan(&head.files, domain, |hash| find(&rest, hash));
    assert!(plan("seq-1").is_ok());
    assert!(matches!(
        plan("cq-1"),
        Err(Refusal::Document(Error::Missing(..)))
    ));
    let whole = install::plan(&head.files, "cq-1", |hash| find(&documents, hash)).unwrap();
    assert_eq!(whole, *bundle.check().unwrap().plan_in("cq-1"));
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
    let before = document::documents(&bundle(&lines)).unwrap();
    let parent = head(&["c"], &before);
    change(&mut lines);
    let after = document::documents(&bundle(&lines)).unwrap();
    let unsent = document::unsent(&after, Some(&parent));
    let names: Vec<&str> = unsent.map(|d| &*d.name).collect();
    assert_eq!(names.len(), 1, "{names:?}");
    assert!(names[0].starts_with(document::BLOCKS));
}

#[test]
fn chunks_stay_small() {
    let documents = document::documents(&bundle(&lines(20_000))).unwrap();
    let largest = documents.iter().map(|d| d.text.lines().count()).max();
    assert!(largest <= Some(chunk::CHUNK_LINES));
    assert!(documents.iter().all(|d| d.text.len() < document::BODY_MAX));
}

#[test]
fn documents_refuse_large_file() {
    let mut bundle = bundle(&[]);
    bundle.base.text = " ".repeat(document::BODY_MAX + 1).into();
    let error = document::documents(&bundle).unwrap_err();
    assert!(matches!(error, Error::TooLarge { .. }));
}

/// A peer or the store hands over a body that isn't the one named. It counts as
/// missing, so that a damaged or stale body is fetched again and never applied.
#[test]
fn install_refuses_wrong_body() {
    let documents = document::documents(&bundle(&lines(10))).unwrap();
    let head = head(&["c"], &documents);
    let get = |_| Some(Arc::from(BASE.as_bytes()));
    assert!(matches!(
        document::bundle(&head.files, get),
        Err(Error::Missing(..))
    ));
    assert!(matches!(
        install::plan(&head.files, "seq-1", get),
        Err(Refusal::Document(Error::Missing(..)))
    ));
}

/// A writer of another release cuts chunks so that they overlap, or repeats a
/// block of the base. Read in order, such a block would shift all ranges after
/// it; the head is refused, and the version in force stays.
#[rstest]
#[case::twice("10.0.0.0/24 seq\n10.0.0.0/24 cq\n")]
#[case::falling("10.0.1.0/24 seq\n10.0.0.0/24 cq\n")]
#[case::own("198.51.100.0/24 cq\n")]
#[case::region("10.0.0.0/24 north\n")]
fn install_refuses_damaged_chunk(#[case] text: &str) {
    let bundle = bundle(&[]);
    let mut documents = document::documents(&bundle).unwrap();
    documents.push(Document {
        name: "blocks/0".into(),
        hash: document::hash(text.as_bytes()),
        text: text.into(),
    });
    documents.sort_by(|a, b| a.name.cmp(&b.name));
    let head = head(&["c"], &documents);
    let plan = install::plan(&head.files, "seq-1", |hash| find(&documents, hash));
    assert!(matches!(plan, Err(Refusal::Faults { others: 0, .. })));
}

const CHANGE: &str = r#"{"version":2,"id":"c"}"#;

#[rstest]
#[case::noise("{", "not a head")]
#[case::none(r#"{"version":2,"recent":[],"files":[]}"#, "don't lead")]
#[case::other(r#"{"version":3,"recent":[CHANGE],"files":[]}"#, "don't lead")]
#[case::twice(r#"{"version":2,"recent":[CHANGE,CHANGE],"files":[]}"#, "don't lead")]
#[case::id(
    r#"{"version":2,"recent":[{"version":2,"id":""}],"files":[]}"#,
    "change id"
)]
#[case::base(r#"{"version":2,"recent":[CHANGE],"files":[]}"#, "no base")]
#[case::hash(
    r#"{"version":2,"recent":[CHANGE],"files":[{"name":"base","hash":"00"}]}"#,
    "no hash"
)]
fn from_json_refuses(#[case] text: &str, #[case] message: &str) {
    let text = text.replace("CHANGE", CHANGE);
    let error = wire::from_json(&text).unwrap_err().to_string();
    assert!(error.contains(message), "{error}");
}

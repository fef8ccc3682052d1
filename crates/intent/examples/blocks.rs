//! Prints what client blocks cost at several sizes: time to check a bundle and
//! to build its table, memory, time of a look-up, and bytes that a change of
//! one block sends.
//!
//! Run: `cargo run --release -p intent --example blocks`

use std::fmt::Write;
use std::fs;
use std::hint;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use intent::blocks;
use intent::bundle::{Bundle, File};
use intent::document::{self, Document, install, wire};
use steer::process::config::{Change, File as Reference, Head};
use steer::version::blocks::BlockTable;
use steer::version::view::Version;

const SIZES: [u32; 4] = [1_000, 10_000, 100_000, 830_000];
const REGIONS: u32 = 22;
const LOOKUPS: u32 = 5_000_000;
const SEED: u64 = 1;

fn main() {
    println!("seed {SEED}, {REGIONS} regions");
    println!(
        "{:>8} {:>8} {:>9} {:>9} {:>9} {:>10} {:>8} {:>7} {:>9} {:>9} {:>9}",
        "blocks",
        "ranges",
        "read ms",
        "build ms",
        "check ms",
        "install ms",
        "table MB",
        "chunks",
        "head B",
        "change B",
        "lookup ns"
    );
    for size in SIZES {
        measure(size);
    }
}

fn measure(size: u32) {
    let mut rng = fastrand::Rng::with_seed(SEED);
    let mut lines = lines(size, &mut rng);
    let text = join(&lines);
    let names: Vec<_> = region_names();
    let (read, lines_read) = time(|| blocks::read("b.txt", &text, &names, &mut Vec::new()));
    let all: Vec<_> = lines_read.iter().map(|line| line.block).collect();
    drop(lines_read);
    let before = resident();
    let (build, table) = time(|| BlockTable::new(all));
    let resident = resident().saturating_sub(before);
    let lookup = lookups(&table, &mut rng);
    let old = bundle(text);
    let (check, checked) = time(|| old.check());
    checked.expect("the generated files have no fault");
    let documents = document::documents(&old).expect("the documents fit");
    let first = head(&documents);
    let get = |hash| {
        let found = documents.iter().find(|d| d.hash == hash)?;
        Some(found.text.as_bytes().into())
    };
    let (install, plan) = time(|| install::plan(&first.files, "d0", get));
    plan.expect("the documents have no fault");
    let changed = lines.len() / 2;
    lines[changed].1 = (lines[changed].1 + 1) % REGIONS;
    let new = document::documents(&bundle(join(&lines))).expect("the documents fit");
    let sent: usize = document::unsent(&new, Some(&first))
        .map(|document| document.text.len())
        .sum();
    println!(
        "{size:>8} {:>8} {:>9.1} {:>9.1} {:>9.1} {:>10.1} {:>8.1} {:>7} {:>9} {sent:>9} {lookup:>9.1}",
        table.len(),
        millis(read),
        millis(build),
        millis(check),
        millis(install),
        megabytes(resident),
        documents.len() - 1,
        wire::to_json(&first).len(),
    );
}

fn head(documents: &[Document]) -> Head {
    let change = Change {
        version: Version(1),
        id: "first".into(),
    };
    let file = |document: &Document| Reference {
        name: Arc::clone(&document.name),
        hash: document.hash,
    };
    Head {
        version: Version(1),
        recent: vec![change],
        files: documents.iter().map(file).collect(),
    }
}

/// Blocks as prefix and region: disjoint prefixes of /20 to /24, one in twenty
/// with a longer one inside.
fn lines(size: u32, rng: &mut fastrand::Rng) -> Vec<(String, u32)> {
    let step = u32::MAX / (size + 1);
    let mut lines = Vec::new();
    let mut base: u32 = 0;
    for i in 0..size {
        let inner = i % 20 == 19;
        let len = if inner { 28 } else { rng.u32(20..=24) };
        if !inner {
            base = (i * step) & (u32::MAX << 12);
            base = (base >> (32 - len)) << (32 - len);
        }
        let first = Ipv4Addr::from(base);
        lines.push((format!("{first}/{len}"), rng.u32(..REGIONS)));
    }
    lines.sort();
    lines.dedup_by(|a, b| a.0 == b.0);
    lines
}

fn join(lines: &[(String, u32)]) -> String {
    lines
        .iter()
        .fold(String::new(), |mut text, (prefix, region)| {
            writeln!(text, "{prefix} r{region:02}").expect("a string takes all");
            text
        })
}

fn region_names() -> Vec<(std::sync::Arc<str>, steer::version::view::Region)> {
    use entity::EntityRef;
    let name = |i: u32| format!("r{i:02}").into();
    (0..REGIONS)
        .map(|i| (name(i), steer::version::view::Region::new(i as usize)))
        .collect()
}

fn bundle(text: String) -> Bundle {
    let mut base = String::from("{ \"regions\": {\n");
    for i in 0..REGIONS {
        writeln!(
            base,
            "\"r{i:02}\": {{ \"domains\": {{ \"d{i}\": {{ \"entries\": [\"e{i}\"], \"sites\": [\"s{i}\"] }} }} }},"
        )
        .expect("a string takes all");
    }
    base.push_str("}, \"classes\": [ { \"name\": \"c\", \"queue_percent\": 100 } ],\n");
    base.push_str("\"services\": { \"x\": { \"class\": \"c\", \"idempotent\": true, \"sites\": [\"s0\"] } },\n");
    base.push_str("}\n");
    Bundle {
        base: File {
            name: "base".into(),
            text: base.into(),
        },
        overlays: Vec::new(),
        blocks: vec![File {
            name: "b.txt".into(),
            text: text.into(),
        }],
    }
}

/// Mean time of a look-up in nanoseconds.
fn lookups(table: &BlockTable, rng: &mut fastrand::Rng) -> f64 {
    let addrs: Vec<Ipv4Addr> = (0..65_536).map(|_| Ipv4Addr::from(rng.u32(..))).collect();
    let (spent, ()) = time(|| {
        for i in 0..LOOKUPS {
            hint::black_box(table.region(addrs[i as usize % addrs.len()]));
        }
    });
    spent.as_secs_f64() * 1e9 / f64::from(LOOKUPS)
}

fn time<T>(work: impl FnOnce() -> T) -> (Duration, T) {
    let start = Instant::now();
    let result = work();
    (start.elapsed(), result)
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

/// Resident memory in kilobytes, as the kernel counts it.
fn resident() -> u32 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_ascii_whitespace().nth(1)?.parse().ok());
    number.unwrap_or(0)
}

fn megabytes(kilobytes: u32) -> f64 {
    f64::from(kilobytes) / 1024.0
}

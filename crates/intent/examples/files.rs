//! Prints what the files of a large fleet cost: 1,500 entry instances, 22
//! regions, 69 failure domains, 230 sites, an overlay a domain, 8 services.
//!
//! Run: `cargo run --release -p intent --example files`

use std::fmt::Write;
use std::fs;
use std::sync::Arc;
use std::time::Instant;

use intent::bundle::{Bundle, File};
use intent::document::{self, Document, install};
use intent::{diff, instance};
use steer::process::config::{File as Reference, Hash};
use steer::version::view::{State, Version};

const REGIONS: usize = 22;
const DOMAINS: usize = 69;
const SITES: usize = 230;
const ENTRIES: usize = 1_500;
const SERVICES: usize = 8;
const TARGETS: usize = 12 * SITES;

fn main() {
    let base = base(200);
    println!("base file {} bytes", base.len());
    let old = bundle(base);
    let old = time("check all sites", || old.check()).expect("no fault");
    let documents = document::documents(&bundle(self::base(200))).expect("documents fit");
    let files: Vec<Reference> = documents.iter().map(reference).collect();
    let get = |hash: Hash| body(&documents, hash);
    let plan = time("install in one domain", || install::plan(&files, "d0", get));
    let plan = plan.expect("no fault");
    let instances: Vec<instance::Instance> = (0..TARGETS).map(target).collect();
    let view = time("view of all targets", || {
        plan.view(Version(1), &instances, &[])
    });
    println!(
        "view {} targets, {} shifts",
        view.targets.len(),
        view.shifts.len()
    );
    let new = bundle(self::base(300)).check().expect("no fault");
    let diff = time("diff of every cap", || diff::diff(&old, &new));
    println!(
        "diff {} changes, {} moves",
        diff.changed.len(),
        diff.moves.len()
    );
    println!("peak {}", peak());
}

fn base(cap: u32) -> String {
    let mut text = String::from("{ \"regions\": {\n");
    for region in 0..REGIONS {
        write!(text, "\"r{region}\": {{ \"domains\": {{ ").expect("a string takes all");
        for domain in (region..DOMAINS).step_by(REGIONS) {
            let entries = names("e", (domain..ENTRIES).step_by(DOMAINS));
            let sites = names("s", (domain..SITES).step_by(DOMAINS));
            write!(
                text,
                "\"d{domain}\": {{ \"entries\": [{entries}], \"sites\": [{sites}] }}, "
            )
            .expect("a string takes all");
        }
        text.push_str("} },\n");
    }
    text.push_str(
        "}, \"classes\": [ { \"name\": \"c\", \"queue_percent\": 100 } ],\n\"services\": {\n",
    );
    for service in 0..SERVICES {
        let sites = names("s", 0..SITES);
        writeln!(
            text,
            "\"x{service}\": {{ \"class\": \"c\", \"idempotent\": true, \"sites\": [{sites}] }},"
        )
        .expect("a string takes all");
    }
    text.push_str("},\n\"links\": [\n");
    for (from, to) in pairs() {
        writeln!(
            text,
            "{{ \"from\": \"r{from}\", \"to\": \"r{to}\", \"mbit\": 280 }},"
        )
        .expect("a string takes all");
    }
    text.push_str("],\n\"shifts\": [\n");
    for service in 0..SERVICES {
        for (from, to) in pairs() {
            writeln!(
                text,
                "{{ \"service\": \"x{service}\", \"from\": \"r{from}\", \"to\": \"r{to}\", \"cap_per_s\": {cap} }},"
            )
            .expect("a string takes all");
        }
    }
    text.push_str("] }\n");
    text
}

fn pairs() -> impl Iterator<Item = (usize, usize)> {
    let all = (0..REGIONS).flat_map(|from| (0..REGIONS).map(move |to| (from, to)));
    all.filter(|(from, to)| from != to)
}

fn names(prefix: &str, numbers: impl Iterator<Item = usize>) -> String {
    let names: Vec<String> = numbers.map(|i| format!("\"{prefix}{i}\"")).collect();
    names.join(", ")
}

/// Overlays for the first site of each domain; no entry instance reads others.
fn bundle(base: String) -> Bundle {
    let overlay = |site: usize| File {
        name: format!("overlay/s{site}").into(),
        text: format!(
            "{{ \"site\": \"s{site}\", \"services\": {{ \"x1\": {{ \"deadline_ms\": 900 }} }} }}"
        )
        .into(),
    };
    Bundle {
        base: File {
            name: "base".into(),
            text: base.into(),
        },
        overlays: (0..DOMAINS).map(overlay).collect(),
        blocks: Vec::new(),
    }
}

fn reference(document: &Document) -> Reference {
    Reference {
        name: Arc::clone(&document.name),
        hash: document.hash,
    }
}

fn body(documents: &[Document], hash: Hash) -> Option<Arc<[u8]>> {
    let found = documents.iter().find(|d| d.hash == hash)?;
    Some(found.text.as_bytes().into())
}

fn target(number: usize) -> instance::Instance {
    let site = number % SITES;
    instance::Instance {
        name: format!("t{number}").into(),
        domain: format!("d{}", site % DOMAINS).into(),
        state: State::Live,
        role: instance::Role::Target {
            addr: ([127, 0, 0, 1], 9000).into(),
            service: format!("x{}", number % SERVICES).into(),
            site: format!("s{site}").into(),
            slots: 3,
        },
    }
}

fn time<T>(what: &str, work: impl FnOnce() -> T) -> T {
    let start = Instant::now();
    let result = work();
    println!("{what} {:.1} ms", start.elapsed().as_secs_f64() * 1e3);
    result
}

/// Largest resident set of this process so far, as the kernel tells it.
fn peak() -> String {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    line.unwrap_or("unknown").to_owned()
}

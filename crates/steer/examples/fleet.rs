//! Measures the cost of the control protocol for fleets of processes, in virtual time.
//!
//! `cargo run --release -p steer --example fleet -- 7 20 40` prints a row for each
//! number of processes in ordinary operation. With `events` before the numbers, a row
//! shows the cost of an outage of the store, of the restart of a whole failure domain,
//! and of a region that is cut off. The sizes of the configuration and of the failure
//! domains are scaled from a deployment of [`FULL_NODES`] processes. Bytes are those of
//! encoded payloads; CPU time is the real time of control, encoding and decoding.

#[path = "../tests/control_scenarios/fleet.rs"]
#[expect(dead_code, reason = "scenarios use more of it")]
mod fleet;

use core::time::Duration;
use std::sync::Arc;
use std::time::Instant;

use fleet::{Fleet, Layout, Place};
use steer::clock::Time;
use steer::process::config::{Change, File, Head, RECENT};
use steer::process::control::{Safeguards, Snapshot};
use steer::version::view::Version;

/// Processes in a deployment of full size.
const FULL_NODES: usize = 1500;
/// Failure domains in a deployment of full size.
const FULL_DOMAINS: usize = 69;
/// Failure domains in a region.
const DOMAINS_PER_REGION: usize = 3;
/// Files of a configuration of full size: the base, 230 overlays, and client blocks in
/// 80 parts.
const FULL_FILES: usize = 311;
/// Configuration changes per day.
const CHANGES_PER_DAY: f64 = 1300.0;
/// Processes replaced per day in a deployment of full size.
const REPLACED_PER_DAY: f64 = 470.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Size in bytes of the file that a change replaces.
const CHANGED_BYTES: usize = 8192;
/// Time over which the rates without events are measured.
const QUIET_SPAN: Duration = Duration::from_secs(30);
/// Number of changes measured.
const CHANGES_COUNT: usize = 10;
/// Number of deaths of a process measured.
const DEATHS_COUNT: usize = 8;
/// Bytes of a message beyond its payload: the frames of the call and of its empty
/// response, and two TCP segments with headers of 52 bytes.
const OVERHEAD_BYTES: f64 = 150.0;

/// Totals over all processes at one time.
#[derive(Clone, Copy)]
struct Totals {
    now: Time,
    bytes: u64,
    messages: u64,
    spent: Duration,
}

/// Rates per process and second between two times.
#[derive(Clone, Copy)]
struct Rates {
    bytes: f64,
    messages: f64,
    cpu: f64,
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let has_events = args.first().is_some_and(|a| a == "events");
    let sizes = args.iter().skip(usize::from(has_events));
    let sizes: Vec<usize> = sizes
        .map(|a| a.parse().expect("a size is a number"))
        .collect();
    println!(
        "{}",
        if has_events {
            EVENTS_HEADER
        } else {
            ORDINARY_HEADER
        }
    );
    for nodes in sizes {
        if has_events {
            measure_events(nodes);
        } else {
            measure_ordinary(nodes);
        }
    }
}

const ORDINARY_HEADER: &str = "nodes domains | quiet: B/s msg/s wireB/s cpu% | \
    change: B cpu-ms  p50/p99/max s | death: p50/p99/max s  kB cpu-ms | \
    steady: wireB/s cpu% | store calls/s quiet, max | kB/node";

const EVENTS_HEADER: &str = "nodes domains | store away 120 s: calls/s mean, max; in the 60 s after: \
    mean, max | a domain restarted at once: s until the last is ready, \
    s until all are in all look-ups, wireB/s of the other processes | \
    a region cut off for 60 s with a change elsewhere: wireB/s, after it \
    s until all are in all look-ups, s until the change is in force";

/// Starts a fleet with a first version in force. Returns it with its files.
fn start_fleet(nodes: usize) -> (Fleet, Vec<File>) {
    let domains = (nodes * FULL_DOMAINS).div_ceil(FULL_NODES).max(6);
    let mut fleet = Fleet::new(Layout {
        domains,
        nodes,
        per_region: DOMAINS_PER_REGION,
        loss: 0.0,
        seed: 7,
        guards: Safeguards::default(),
        lag: Duration::from_secs(15),
    });
    fleet.is_timed = true;
    let mut files = Vec::new();
    for at in 0..(FULL_FILES * nodes).div_ceil(FULL_NODES).max(4) {
        let body = fleet::body(&format!("{at:0>200}"));
        files.push(File {
            name: format!("overlay-of-site-{at:03}").into(),
            hash: body.hash,
        });
        fleet.put_body(body);
    }
    write(&mut fleet, 1, files.clone());
    fleet.run(Duration::from_secs(40));
    let mut versions = fleet.nodes.iter().map(|n| n.control.version());
    assert!(
        versions.all(|v| v == Version(1)),
        "the first version is not in force everywhere"
    );
    (fleet, files)
}

/// Prints the row of one size with events.
fn measure_events(nodes: usize) {
    let (mut fleet, files) = start_fleet(nodes);
    let domains = (nodes * FULL_DOMAINS).div_ceil(FULL_NODES).max(6);
    fleet.set_store_down(true);
    let away = fleet.now;
    fleet.run(Duration::from_mins(2));
    let during = mean_and_max(calls(&fleet, away));
    fleet.set_store_down(false);
    let back = fleet.now;
    fleet.run(Duration::from_mins(1));
    let after = mean_and_max(calls(&fleet, back));
    let (ready, seen, bytes) = restart(&mut fleet, domains);
    fleet.run(Duration::from_secs(20));
    let (cut, back, force) = isolate(&mut fleet, domains, files);
    println!(
        "{nodes:5} {domains:3} | {:6.1} {:4} {:6.1} {:4} | {ready:4.1} {seen:4.1} {bytes:6.0} | \
         {cut:6.0} {back:4.1} {force:4.1}",
        during.0, during.1, after.0, after.1
    );
}

/// Restarts all processes of the second domain at once. Returns the seconds until the
/// last one is ready and until all look-ups name all of them, and the rate of bytes.
fn restart(fleet: &mut Fleet, domains: usize) -> (f64, f64, f64) {
    let slots: Vec<usize> = (1..fleet.slots.len()).step_by(domains).collect();
    for &slot in &slots {
        fleet.kill(fleet.slots[slot]);
    }
    for &slot in &slots {
        fleet.start(slot, None);
    }
    let nodes = fleet.slots.len();
    let from = totals(fleet);
    let (mut ready, mut seen) = (f64::NAN, f64::NAN);
    for tenth in 1..=300 {
        fleet.run(Duration::from_millis(100));
        let at = f64::from(tenth) / 10.0;
        let is_started = |&slot: &usize| fleet.nodes[fleet.slots[slot]].control.is_ready();
        if ready.is_nan() && slots.iter().all(is_started) {
            ready = at;
        }
        let is_listed = fleet.slots.iter().all(|&at| {
            let shown = fleet.nodes[at].snapshot.as_ref();
            shown.is_some_and(|s| s.members.len() == nodes && names_restarted(fleet, s, &slots))
        });
        if seen.is_nan() && is_listed {
            seen = at;
        }
        if !ready.is_nan() && !seen.is_nan() {
            break;
        }
    }
    let rates = rates(nodes, from, totals(fleet));
    (ready, seen, rates.bytes + rates.messages * OVERHEAD_BYTES)
}

/// Cuts off the second region, changes the configuration elsewhere, and reconnects it.
/// Returns the rate of bytes while it is cut off, and the seconds after that until all
/// look-ups name all processes and until the change is in force everywhere.
fn isolate(fleet: &mut Fleet, domains: usize, files: Vec<File>) -> (f64, f64, f64) {
    for inside in DOMAINS_PER_REGION..DOMAINS_PER_REGION * 2 {
        let outside = (0..domains).filter(|d| d / DOMAINS_PER_REGION != 1);
        let places = outside.map(Place::Domain).chain([Place::Store]);
        let cuts = places.map(|place| (Place::Domain(inside), place));
        fleet.cuts.extend(cuts);
    }
    let from = totals(fleet);
    fleet.run(Duration::from_secs(30));
    write(fleet, 2, files);
    fleet.run(Duration::from_secs(30));
    let nodes = fleet.slots.len();
    let rates = rates(nodes, from, totals(fleet));
    fleet.cuts.clear();
    let (mut back, mut force) = (f64::NAN, f64::NAN);
    for tenth in 1..=300 {
        fleet.run(Duration::from_millis(100));
        let at = f64::from(tenth) / 10.0;
        let live = || fleet.slots.iter().map(|&at| &fleet.nodes[at]);
        let is_complete = |shown: &Snapshot| shown.members.len() == nodes;
        if back.is_nan() && live().all(|n| n.snapshot.as_ref().is_some_and(is_complete)) {
            back = at;
        }
        if force.is_nan() && live().all(|n| n.control.version() == Version(2)) {
            force = at;
        }
    }
    (rates.bytes + rates.messages * OVERHEAD_BYTES, back, force)
}

/// Returns whether a snapshot lists the current processes of all `slots`.
fn names_restarted(fleet: &Fleet, shown: &Snapshot, slots: &[usize]) -> bool {
    slots.iter().all(|&slot| {
        let node = &fleet.nodes[fleet.slots[slot]];
        let members = &shown.members;
        let name = fleet.name(slot);
        let found = members.binary_search_by(|s| (*s.record.identity.name).cmp(&name));
        found.is_ok_and(|at| {
            let incarnation = members[at].record.stamp.incarnation;
            incarnation == node.control.record().stamp.incarnation
        })
    })
}

/// Returns the mean and the maximum of calls per second.
fn mean_and_max(calls: &[u32]) -> (f64, u32) {
    let sum: u32 = calls.iter().sum();
    let max = calls.iter().max().copied().unwrap_or(0);
    (f64::from(sum) / as_f64(calls.len().max(1)), max)
}

/// Prints the row of one size in ordinary operation.
fn measure_ordinary(nodes: usize) {
    let start = Instant::now();
    let domains = (nodes * FULL_DOMAINS).div_ceil(FULL_NODES).max(6);
    let before = resident_bytes();
    let (mut fleet, mut files) = start_fleet(nodes);
    let memory = resident_bytes().saturating_sub(before) / nodes;

    let quiet_from = totals(&fleet);
    fleet.run(QUIET_SPAN);
    let quiet = rates(nodes, quiet_from, totals(&fleet));
    let calls = calls(&fleet, quiet_from.now);
    let mean: f64 = calls.iter().map(|&c| f64::from(c)).sum::<f64>() / QUIET_SPAN.as_secs_f64();

    let change_from = totals(&fleet);
    let mut delays = Vec::new();
    for change in 0..CHANGES_COUNT {
        delays.extend(change_once(&mut fleet, change, &mut files));
    }
    let change_to = totals(&fleet);
    let change = event_cost(nodes, quiet, change_from, change_to, CHANGES_COUNT);
    let peak = self::calls(&fleet, change_from.now);
    let peak = peak.iter().max().copied().unwrap_or(0);

    let death_from = totals(&fleet);
    let mut drops = Vec::new();
    for death in 0..DEATHS_COUNT {
        drops.extend(kill_once(&mut fleet, death * 7 % nodes));
    }
    let death = event_cost(nodes, quiet, death_from, totals(&fleet), DEATHS_COUNT);

    let replaced = REPLACED_PER_DAY * as_f64(nodes) / as_f64(FULL_NODES) / SECONDS_PER_DAY;
    let wire = |r: Rates| r.bytes + r.messages * OVERHEAD_BYTES;
    let steady =
        wire(quiet) + wire(change) * CHANGES_PER_DAY / SECONDS_PER_DAY + wire(death) * replaced;
    let cpu = quiet.cpu + change.cpu * CHANGES_PER_DAY / SECONDS_PER_DAY + death.cpu * replaced;
    println!(
        "{nodes:5} {domains:3} | {:6.0} {:5.1} {:6.0} {:6.3} | {:7.0} {:6.2} {} | {} {:6.1} {:6.2} | \
         {steady:6.0} {:6.3} | {mean:5.1} {peak:4} | {:5} | run {:.0?}",
        quiet.bytes,
        quiet.messages,
        wire(quiet),
        quiet.cpu * 100.0,
        change.bytes,
        change.cpu * 1000.0,
        quantiles(&mut delays),
        quantiles(&mut drops),
        death.bytes / 1000.0,
        death.cpu * 1000.0,
        cpu * 100.0,
        memory / 1000,
        start.elapsed(),
    );
}

/// Makes one change. Returns the time until it is in force, for each process.
fn change_once(fleet: &mut Fleet, change: usize, files: &mut [File]) -> Vec<Duration> {
    let version = u64::try_from(change + 2).expect("a version fits in 64 bits");
    let body = fleet::body(&format!("{change:0>CHANGED_BYTES$}"));
    let at = change % files.len();
    files[at].hash = body.hash;
    fleet.put_body(body);
    write(fleet, version, files.to_vec());
    let from = fleet.now;
    fleet.run(Duration::from_secs(8));
    let live = fleet.nodes.iter().filter(|n| n.is_alive);
    live.map(|node| {
        let mut force = node.installs.iter();
        let found = force.find(|(_, v)| v.0 >= version);
        found.map_or(Duration::MAX, |(at, _)| at.since(from))
    })
    .collect()
}

/// Kills a process and replaces it 15 s later. Returns, for each other process, the
/// time until its look-ups no longer name the dead one; [`Duration::MAX`] if they still
/// do after 15 s.
fn kill_once(fleet: &mut Fleet, slot: usize) -> Vec<Duration> {
    let dead = fleet.slots[slot];
    let incarnation = fleet.nodes[dead].control.record().stamp.incarnation;
    let name = fleet.name(slot);
    let from = fleet.now;
    fleet.kill(dead);
    let mut waiting: Vec<usize> = (0..fleet.nodes.len())
        .filter(|&at| fleet.nodes[at].is_alive)
        .collect();
    let mut delays = Vec::new();
    for _ in 0..150 {
        fleet.run(Duration::from_millis(100));
        waiting.retain(|&at| {
            let shown = fleet.nodes[at]
                .snapshot
                .as_ref()
                .expect("a live process has published a snapshot");
            let members = &shown.members;
            let found = members.binary_search_by(|s| (*s.record.identity.name).cmp(&name));
            let is_named = found.is_ok_and(|i| members[i].record.stamp.incarnation == incarnation);
            if !is_named {
                delays.push(fleet.now.since(from));
            }
            is_named
        });
    }
    delays.extend(waiting.iter().map(|_| Duration::MAX));
    fleet.start(slot, None);
    fleet.run(Duration::from_secs(5));
    delays
}

fn write(fleet: &mut Fleet, version: u64, files: Vec<File>) {
    let recent = (1..=version).rev().take(RECENT).map(|v| Change {
        version: Version(v),
        id: format!("change-{v:08}").into(),
    });
    let head = Head {
        version: Version(version),
        recent: recent.collect(),
        files,
    };
    fleet
        .write(&Arc::new(head), None)
        .expect("an unconditional write succeeds");
}

fn totals(fleet: &Fleet) -> Totals {
    let nodes = fleet.nodes.iter();
    let (mut bytes, mut messages) = (0, 0);
    for node in nodes {
        bytes += node.bytes[0] + node.bytes[1];
        messages += node.messages[0] + node.messages[1];
    }
    Totals {
        now: fleet.now,
        bytes,
        messages,
        spent: fleet.real_time,
    }
}

fn rates(nodes: usize, from: Totals, to: Totals) -> Rates {
    let span = to.now.since(from.now).as_secs_f64() * as_f64(nodes);
    Rates {
        bytes: difference(from.bytes, to.bytes) / span,
        messages: difference(from.messages, to.messages) / span,
        cpu: to.spent.saturating_sub(from.spent).as_secs_f64() / span,
    }
}

/// Returns the cost of each of `count` events for a process, beyond the quiet rates.
fn event_cost(nodes: usize, quiet: Rates, from: Totals, to: Totals, count: usize) -> Rates {
    let all = rates(nodes, from, to);
    let span = to.now.since(from.now).as_secs_f64() / as_f64(count);
    Rates {
        bytes: (all.bytes - quiet.bytes) * span,
        messages: (all.messages - quiet.messages) * span,
        cpu: (all.cpu - quiet.cpu) * span,
    }
}

/// Returns the calls to the store in each second since `from`.
fn calls(fleet: &Fleet, from: Time) -> &[u32] {
    let from = usize::try_from(from.as_micros() / 1_000_000).expect("seconds fit in a usize");
    fleet.store.calls.get(from..).unwrap_or_default()
}

/// Formats the median, the 99th percentile and the maximum in seconds.
fn quantiles(delays: &mut [Duration]) -> String {
    delays.sort_unstable();
    let at = |part: usize| delays[(delays.len() - 1) * part / 100].as_secs_f64();
    format!("{:.2}/{:.2}/{:.2}", at(50), at(99), at(100))
}

/// Returns the growth of a total, which is below 2^53 and thus exact.
#[expect(clippy::cast_precision_loss, reason = "totals are far below 2^53")]
fn difference(from: u64, to: u64) -> f64 {
    (to - from) as f64
}

fn as_f64(number: usize) -> f64 {
    f64::from(u32::try_from(number).expect("the number fits in 32 bits"))
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|p| p.parse().ok());
    pages.unwrap_or(0_usize) * 4096
}

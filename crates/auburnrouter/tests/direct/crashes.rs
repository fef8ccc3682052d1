//! Tests of requests that crash the targets that run them.

use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use platform_standin::Target;
use rstest::rstest;

use super::harness::{self, Answer, Entry, HOST, Harness, MS, wait_until};

/// Path of the request that crashes targets.
const CRASHING: &str = "/view/crash";

/// Crashes of a request after which it must not reach further targets.
const FREE_CRASHES: usize = 3;

/// Caller's request for a path, with the key of an object.
fn text(path: &str, id: &str, key: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nAffinity-Key: {key}\r\nDeadline-Ms: 2500\r\n\r\n"
    )
}

/// Sends a request from an address of the loopback interface that ends in `host`.
fn send_from(host: u8, to: SocketAddr, text: &str) -> Option<Answer> {
    let mut stream = harness::connect_from(host, to)?;
    stream.set_read_timeout(Some(harness::WAIT_TIMEOUT)).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    harness::read_answer(&mut stream)
}

/// Number of times that the crashing request began to run.
fn crashes(targets: &[Target]) -> usize {
    let runs = targets.iter().flat_map(Target::runs);
    runs.filter(|run| run.path.starts_with(CRASHING)).count()
}

fn harness(targets: usize) -> Harness {
    let harness = Harness::start(targets);
    for target in &harness.targets {
        target.crash_on(CRASHING);
        target.set(platform_standin::target::Behavior::Normal, 5 * MS);
    }
    harness
}

fn second_entry(harness: &Harness) -> Entry {
    let store = harness.store.addr();
    let other = Entry::start("near-2", "near-a", store, &[harness.entry.peers]);
    other.await_ready();
    wait_until("the second instance knows all targets", || {
        let dump = other.dump();
        (0..harness.targets.len()).all(|i| dump.contains(&format!("\"t{i}\"")))
    });
    other
}

/// Repeats of a request that crashes targets counted as different requests.
#[rstest]
#[case::callers(true, false)]
#[case::objects(false, true)]
#[case::callers_and_objects(true, true)]
fn recognize_repeats_of_crashing_request(#[case] vary_caller: bool, #[case] vary_object: bool) {
    let harness = harness(12);
    for n in 0..12 {
        let host = if vary_caller { 2 + n } else { 1 };
        let key = if vary_object { n } else { 7 };
        let text = text(CRASHING, &format!("c{n}"), &key.to_string());
        send_from(host, harness.entry.callers, &text);
    }
    assert!(crashes(&harness.targets) <= FREE_CRASHES);
    // Others are served.
    let answer = harness.entry.send("GET", "/view/x", "r1", "");
    assert_eq!(answer.status, 200);
}

/// An instance that started after a request had crashed targets sent it on.
#[rstest]
#[case::beside_another(false)]
#[case::all_at_once(true)]
fn tell_newcomer_of_crashing_request(#[case] all: bool) {
    let harness = harness(8);
    // It is refused twice in the end, so the store has a row on it.
    for n in 0..4 {
        harness.entry.send("GET", CRASHING, &format!("c{n}"), "");
    }
    let before = crashes(&harness.targets);
    assert!(before <= FREE_CRASHES);
    // What is told only at once has been told by then.
    let begin = Instant::now();
    while !all && begin.elapsed() < Duration::from_secs(6) {
        harness.entry.send("GET", "/view/x", "r1", "");
    }
    let harness = if all {
        let Harness {
            store,
            targets,
            entry,
        } = harness;
        wait_until("the verdict is stored", || {
            !store.keys("auburnrouter/crashes/").is_empty()
        });
        drop(entry);
        let entry = Entry::start("near-1", "near-a", store.addr(), &[]);
        entry.await_ready();
        Harness {
            store,
            targets,
            entry,
        }
    } else {
        harness
    };
    let newcomer = second_entry(&harness);
    for n in 0..3 {
        let answer = newcomer.send("GET", CRASHING, &format!("n{n}"), "");
        assert_eq!(answer.status, 503);
    }
    assert_eq!(crashes(&harness.targets), before);
}

/// Of many requests that crash targets only the first few were told to others.
#[test]
fn tell_all_crashing_requests() {
    const REQUESTS: usize = 40;
    let harness = harness(30);
    let other = second_entry(&harness);
    let path = |n: usize| format!("{CRASHING}/{n}");
    let refused = |entry: &Entry| entry.dump().matches(",3]").count();
    for n in 0..REQUESTS {
        let mut repeat = 0;
        wait_until("the request is refused", || {
            repeat += 1;
            let id = format!("c{n}-{repeat}");
            harness.entry.send("GET", &path(n), &id, "");
            refused(&harness.entry) > n
        });
    }
    wait_until("the other instance refuses all", || {
        refused(&other) == REQUESTS
    });
    let before = crashes(&harness.targets);
    for n in 0..REQUESTS {
        let answer = other.send("GET", &path(n), &format!("o{n}"), "");
        assert_eq!(answer.status, 503);
    }
    assert_eq!(crashes(&harness.targets), before);
}

/// Sends a request of a caller from one of six addresses.
fn send_as(caller: usize, entry: &Entry, path: &str, id: &str) -> Option<Answer> {
    let host = u8::try_from(caller % 6).expect("it is small") + 2;
    send_from(host, entry.callers, &text(path, id, &caller.to_string()))
}

/// Targets ended for as long as callers repeated a request at all instances, one of which
/// starts anew.
#[test]
fn stop_crashes_at_all_instances() {
    let harness = harness(12);
    let store = harness.store.addr();
    let peers = [harness.entry.peers];
    let mut other = second_entry(&harness);
    let third = Entry::start("near-3", "near-a", store, &peers);
    third.await_ready();
    wait_until("the third instance knows all targets", || {
        third.dump().contains("\"t9\"")
    });
    let mut settled = None;
    let mut unserved = 0;
    let begin = Instant::now();
    let mut round = 0;
    while begin.elapsed() < Duration::from_secs(8) {
        round += 1;
        if round == 40 {
            drop(other);
            other = second_entry(&harness);
        }
        if settled.is_none() && begin.elapsed() >= Duration::from_secs(4) {
            settled = Some(crashes(&harness.targets));
        }
        std::thread::scope(|scope| {
            let entries = [&harness.entry, &other, &third];
            for (at, entry) in entries.into_iter().enumerate() {
                scope.spawn(move || {
                    let caller = round * 3 + at;
                    send_as(caller, entry, CRASHING, &format!("c{round}-{at}"));
                });
            }
        });
        let path = format!("/view/{round}");
        let answer = harness.entry.send("GET", &path, &format!("r{round}"), "");
        unserved += usize::from(answer.status != 200);
    }
    println!("{settled:?} crashes");
    assert_eq!(Some(crashes(&harness.targets)), settled);
    assert!(unserved * 10 <= round, "{unserved} of {round} not served");
}

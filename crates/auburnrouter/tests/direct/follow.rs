//! Tests of following the platform's store, and of reading from other instances
//! while it is unavailable.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use platform_standin::store::{Mode, Route};
use platform_standin::{Store, Target};
use rstest::rstest;
use rustix::process::Signal;

use super::harness::{Entry, HOST, Harness, MS, ROUTES, send_raw, wait_for_line, wait_until};

/// A new version of the configuration removes a route and adds one. An older version
/// that is written later must not change anything.
#[test]
fn follow_configuration_upwards() {
    let harness = Harness::start(1);
    let added = Route {
        prefix: "/added/",
        service: "sheets",
        is_idempotent: true,
    };
    harness.store.configure(9, HOST, &[added]);
    wait_until("the new route is in use", || {
        harness.entry.send("GET", "/added/x", "r1", "").status == 200
    });
    assert_eq!(harness.entry.send("GET", "/view/x", "r2", "").status, 404);
    harness.store.configure(5, HOST, &ROUTES);
    harness
        .store
        .write("servers/mark", &serde_json::json!("no entry"));
    wait_until("the entry written after it is processed", || {
        let lines = harness
            .entry
            .lines
            .lock()
            .expect("the lock is not poisoned");
        lines
            .iter()
            .any(|l| l.contains("entry-refused") && l.contains("mark"))
    });
    assert_eq!(harness.entry.send("GET", "/view/x", "r3", "").status, 404);
    assert_eq!(harness.entry.send("GET", "/added/x", "r4", "").status, 200);
}

/// An evacuated domain must get no requests. When its evacuation is lifted its
/// targets count as cold: an instance that has just started sends them nothing for a
/// second.
#[test]
fn follow_evacuation_and_leaving() {
    let harness = Harness::start(1);
    let other = Target::start("u0", "sheets", "near-b").expect("a port is free");
    other.register(&harness.store, "ready", 1);
    wait_until("the second target is known", || {
        harness.entry.dump().contains("\"u0\"")
    });
    harness
        .store
        .write("op/evacuate/near-a", &serde_json::json!({}));
    wait_until("the domain is evacuated", || {
        harness.entry.dump().contains("\"evacuated\":[\"near-a\"]")
    });
    let before = harness.runs().len();
    for i in 0..5 {
        assert_eq!(
            harness
                .entry
                .send("GET", "/view/x", &format!("r{i}"), "")
                .status,
            200
        );
    }
    assert_eq!(harness.runs().len(), before);
    harness.store.remove("op/evacuate/near-a");
    other.register(&harness.store, "draining", 2);
    wait_until(
        "the evacuation is lifted and the second target leaves",
        || {
            let dump = harness.entry.dump();
            dump.contains("\"evacuated\":[]") && dump.contains("\"leaving\"]")
        },
    );
    let other_before = other.runs().len();
    let mut count = 0;
    wait_until("the domain serves again", || {
        count += 1;
        let answer = harness
            .entry
            .send("GET", "/view/x", &format!("s{count}"), "");
        assert!([200, 503].contains(&answer.status), "{answer:?}");
        answer.status == 200
    });
    assert_eq!(harness.runs().len(), before + 1);
    assert_eq!(other.runs().len(), other_before);
}

/// Malformed target entries must be skipped; the other targets keep serving.
#[test]
fn pass_over_malformed_entries() {
    let harness = Harness::start(1);
    harness
        .store
        .write_bytes("servers/bytes", &[0xFF, 0x00, 0x7B]);
    harness.store.write("servers/number", &serde_json::json!(7));
    let state = serde_json::json!({
        "address": "127.0.0.1:1", "info": { "service": "sheets", "zone": "near-a", "slots": 3 },
        "status": { "state": "resting", "seq": 1, "warmup_left_s": 0 },
    });
    harness.store.write("servers/state", &state);
    wait_until("all malformed entries are logged", || {
        let lines = harness
            .entry
            .lines
            .lock()
            .expect("the lock is not poisoned");
        lines.iter().filter(|l| l.contains("entry-refused")).count() >= 3
    });
    assert_eq!(harness.entry.send("GET", "/view/x", "r1", "").status, 200);
}

/// The store compacts its history while an entry changes: everything must be read
/// anew, and the removed target must go.
#[test]
fn read_anew_without_history() {
    let harness = Harness::start(1);
    harness.store.set(Mode::Busy);
    harness.store.remove("servers/t0");
    let new = Target::start("n0", "sheets", "near-a").expect("a port is free");
    new.register(&harness.store, "ready", 1);
    harness.store.compact();
    harness.store.set(Mode::Up);
    wait_until("the new target is known", || {
        harness.entry.dump().contains("\"n0\"")
    });
    wait_until("the old target is gone", || {
        !harness.entry.dump().contains("\"t0\"")
    });
    assert_eq!(harness.entry.send("GET", "/view/x", "r1", "").status, 200);
}

/// The store lost its history with a change of the configuration, which was in force only
/// once thousands of entries had been read anew.
#[test]
fn know_configuration_before_all_is_read_anew() {
    let harness = Harness::start(1);
    let other = Entry::start("near-2", "near-a", harness.store.addr(), &[]);
    other.await_ready();
    harness.store.withhold_full_lists();
    harness.store.set(Mode::Busy);
    harness.store.configure(4, HOST, &ROUTES);
    harness.store.compact();
    harness.store.set(Mode::Up);
    wait_until("the new configuration is in force", || {
        let dumps = [harness.entry.dump(), other.dump()];
        dumps.iter().all(|dump| dump.contains("\"version\":4"))
    });
}

/// The store is unavailable when an instance starts. It must learn everything from
/// the instance that its settings name as seed.
#[rstest]
#[case::busy(Mode::Busy)]
#[case::silent(Mode::Silent)]
fn learn_from_peer_without_store(#[case] mode: Mode) {
    let harness = Harness::start(1);
    harness.store.set(mode);
    let seeds = [harness.entry.peers];
    let late = Entry::start("near-2", "near-b", harness.store.addr(), &seeds);
    late.await_ready();
    wait_until("the new instance serves", || {
        late.send("GET", "/view/x", "r1", "").status == 200
    });
}

/// The directory must return both registered instances, and no longer one that was
/// killed once its lease has expired.
#[test]
fn name_only_running_instances() {
    let harness = Harness::start(1);
    let mut other = Entry::start("near-2", "near-b", harness.store.addr(), &[]);
    other.await_ready();
    let resolve = || {
        let text =
            "GET /v1/resolve?name=a.example&region=near&zone=near-a HTTP/1.1\r\nHost: x\r\n\r\n";
        send_raw(harness.entry.directory, text)
            .map(|a| a.body)
            .unwrap_or_default()
    };
    let quoted = |addr: std::net::SocketAddr| format!("\"{addr}\"");
    wait_until("both instances are returned", || {
        let body = resolve();
        body.contains(&quoted(harness.entry.callers)) && body.contains(&quoted(other.callers))
    });
    other.signal(Signal::KILL);
    other.wait_exit();
    let killed = Instant::now();
    wait_until("only one instance is returned", || {
        !resolve().contains(&quoted(other.callers))
    });
    assert!(
        killed.elapsed() < Duration::from_secs(7),
        "{:?}",
        killed.elapsed()
    );
    assert!(resolve().contains(&quoted(harness.entry.callers)));
}

/// Upstream of an instance, by its state dump.
fn upstream(entry: &Entry) -> String {
    let dump: serde_json::Value = serde_json::from_str(&entry.dump()).unwrap_or_default();
    dump["upstream"].as_str().unwrap_or_default().to_owned()
}

/// Four instances of one domain that know each other. One reads the store, the
/// others read from it, directly or through one another.
struct Domain {
    store: Store,
    _targets: Vec<Target>,
    /// The first is the one that reads the store.
    entries: Vec<Entry>,
}

impl Domain {
    fn start() -> Self {
        let Harness {
            store,
            targets,
            entry,
        } = Harness::start(1);
        let names = ["near-2", "near-3", "near-4"];
        let others = names.map(|name| Entry::start(name, "near-a", store.addr(), &[]));
        let mut entries = vec![entry];
        entries.extend(others);
        for entry in &entries {
            entry.await_ready();
        }
        wait_until("one of them reads the store", || {
            let readers = entries.iter().filter(|e| upstream(e) == "store");
            readers.count() == 1
        });
        let first = entries.iter().position(|e| upstream(e) == "store");
        entries.swap(0, first.unwrap_or_default());
        Self {
            store,
            _targets: targets,
            entries,
        }
    }
}

fn added() -> Route<'static> {
    Route {
        prefix: "/added/",
        service: "sheets",
        is_idempotent: true,
    }
}

/// Of four instances in one domain only one may watch the store, as calls to it are
/// billed; all must apply a new configuration.
#[test]
fn read_store_once_for_domain() {
    let Domain {
        store,
        _targets,
        entries,
    } = Domain::start();
    store.configure(9, HOST, &[added()]);
    for entry in &entries {
        wait_until("the new route is in use", || {
            entry.send("GET", "/added/x", "r1", "").status == 200
        });
    }
    let calls = |entry: &Entry| {
        let metrics = send_raw(entry.operators, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
        let text = metrics.map(|a| a.body).unwrap_or_default();
        let line = text.lines().find(|l| l.contains("kind=\"watch\""));
        let count = line.and_then(|l| l.rsplit(' ').next()?.parse::<u64>().ok());
        count.expect("the metric is exported")
    };
    let before: Vec<u64> = entries.iter().map(calls).collect();
    wait_until("the first instance goes on watching", || {
        calls(&entries[0]) > before[0] + 1
    });
    for (entry, before) in entries.iter().zip(before).skip(1) {
        assert_eq!(
            calls(entry),
            before,
            "an instance that reads from {} watches too",
            upstream(entry)
        );
    }
}

/// The instance that reads the store for its domain is killed, or hangs with its
/// connections open. The others must still apply a new configuration within the
/// operator's bound.
#[rstest]
#[case::killed(Signal::KILL)]
#[case::silent(Signal::STOP)]
fn replace_dead_upstream(#[case] signal: Signal) {
    const APPLY_TIMEOUT: Duration = Duration::from_secs(4);
    let Domain {
        store,
        _targets,
        entries,
    } = Domain::start();
    entries[0].signal(signal);
    store.configure(9, HOST, &[added()]);
    let written = Instant::now();
    for entry in &entries[1..] {
        wait_until("the new route is in use", || {
            entry.send("GET", "/added/x", "r1", "").status == 200
        });
    }
    let passed = written.elapsed();
    assert!(passed < APPLY_TIMEOUT, "{passed:?}");
}

/// After an outage of the store, all instances must learn of changes made meanwhile,
/// those that read from another instance through it.
#[test]
fn follow_upstream_after_outage() {
    let Domain {
        store,
        _targets,
        entries,
    } = Domain::start();
    store.set(Mode::Busy);
    wait_until("all instances notice the outage", || {
        entries.iter().all(|e| e.dump().contains("\"store\":false"))
    });
    store.configure(9, HOST, &[added()]);
    store.set(Mode::Up);
    for entry in &entries {
        wait_until("the new route is in use", || {
            entry.send("GET", "/added/x", "r1", "").status == 200
        });
    }
}

/// An instance starts while stale reads of the store still return an earlier
/// configuration. It must not apply that one, as its routes may have been removed.
#[test]
fn start_from_old_list() {
    let mut harness = Harness::start(1);
    harness.store.freeze_stale_reads();
    harness.store.configure(9, HOST, &[added()]);
    harness.entry = Entry::start("far-1", "far-a", harness.store.addr(), &[]);
    harness.entry.await_ready();
    let first = wait_for_line(&harness.entry, "\"event\":\"config\"");
    assert!(first.contains("\"version\":9"), "{first}");
}

/// A request that arrives while an instance starts must not be rejected if the
/// configuration is read shortly after; if it can't be read, the answer is 503.
#[rstest]
#[case::soon(Mode::Up)]
#[case::never(Mode::Busy)]
fn keep_caller_during_start(#[case] mode: Mode) {
    const HOLD_MS_MIN: u64 = 500;
    let harness = Harness::start(1);
    harness.store.set(mode);
    let late = Entry::start("far-1", "far-a", harness.store.addr(), &[]);
    let answer = late.send("GET", "/view/x", "r1", "");
    if mode == Mode::Busy {
        assert_eq!(answer.status, 503);
        assert!(answer.header("retry-after").is_some(), "{answer:?}");
        return;
    }
    let line = wait_for_line(&late, "\"event\":\"config\"");
    let line: serde_json::Value = serde_json::from_str(&line).expect("a line is JSON");
    let soon = line["at_ms"].as_u64().is_some_and(|at| at < HOLD_MS_MIN);
    assert!(answer.status == 200 || !soon, "{answer:?}, {line}");
}

/// When all instances of a failure domain started at once, each read the whole store.
#[test]
fn read_store_once_when_all_start() {
    const INSTANCES: usize = 12;
    let harness = Harness::start(3);
    let store = harness.store.addr();
    let settings = |i: usize| {
        let name = format!("near-b-{i}");
        platform_standin::settings(&name, "near-b", store, &[])
    };
    // At addresses of their own, no other test takes a port before they start again.
    let entries: Vec<Entry> = (0..INSTANCES)
        .map(|i| Entry::start_with(&with_peers(&settings(i), &format!("127.11.0.{}:0", i + 1))))
        .collect();
    let registered = || harness.store.keys("auburnrouter/").len();
    wait_until("all are registered", || registered() > INSTANCES);
    let peers: Vec<SocketAddr> = entries.iter().map(|e| e.peers).collect();
    drop(entries);
    harness.store.delay_full_lists(50 * MS);
    let before = harness.store.full_lists();
    let entries = restart_all(&peers, settings);
    for entry in &entries {
        entry.await_ready();
    }
    // The first of the domain by rank, and one that may be as quick.
    let lists = harness.store.full_lists() - before;
    assert!(lists <= 2, "{lists} of {INSTANCES} read the whole store");
}

/// When all instances lost power and their registrations lapsed, each read the whole store
/// as it started again.
#[test]
fn read_store_by_few_when_none_is_listed() {
    const INSTANCES: usize = 12;
    let store = Store::start().expect("a port is free");
    store.configure(3, HOST, &ROUTES);
    let target = Target::start("t0", "sheets", "near-a").expect("a port is free");
    target.register(&store, "ready", 1);
    let before = store.full_lists();
    // The seed still reads the store while the others start.
    store.delay_full_lists(1_500 * MS);
    let seed = Entry::start("near-b-0", "near-b", store.addr(), &[]);
    wait_until("the seed reads the store", || store.full_lists() > before);
    store.delay_full_lists(50 * MS);
    let (addr, seeds) = (store.addr(), [seed.peers]);
    let start = |i: usize| Entry::start(&format!("near-b-{i}"), "near-b", addr, &seeds);
    let mut entries: Vec<Entry> = thread::scope(|scope| {
        let start = |i| scope.spawn(move || start(i));
        let started: Vec<_> = (1..INSTANCES).map(start).collect();
        let joined = started.into_iter().map(thread::ScopedJoinHandle::join);
        joined.map(|e| e.expect("the instance starts")).collect()
    });
    entries.push(seed);
    for entry in &entries {
        entry.await_ready();
    }
    let lists = store.full_lists() - before;
    println!("{lists} of {INSTANCES} read the whole store");
    // Others read it too if those above them take long, as on a busy machine.
    let places: Vec<u64> = entries.iter().filter_map(place_at_start).collect();
    let first = places.iter().filter(|above| **above == 0).count();
    assert!(first <= 4, "{first} of {INSTANCES} rank first");
    assert!(lists < INSTANCES as u64, "{lists} of {INSTANCES}");
}

/// Number of instances above this one when it started, if a seed told it.
fn place_at_start(entry: &Entry) -> Option<u64> {
    let lines = entry.lines.lock().expect("the lock is not poisoned");
    let is_place = |line: &&String| line.contains("\"event\":\"start-place\"");
    let line = lines.iter().find(is_place)?;
    let line: serde_json::Value = serde_json::from_str(line).expect("a line is JSON");
    line["above"].as_u64()
}

/// The same settings with this address for calls of peers.
fn with_peers(settings: &str, addr: &str) -> String {
    let mut settings: serde_json::Value = serde_json::from_str(settings).expect("it is JSON");
    settings["listen"]["peers"] = addr.into();
    settings.to_string()
}

/// Starts instances again, all at once, at their addresses for calls of peers.
fn restart_all(peers: &[SocketAddr], settings: impl Fn(usize) -> String + Sync) -> Vec<Entry> {
    let restart = |i: usize, addr: SocketAddr| {
        Entry::start_with(&with_peers(&settings(i), &addr.to_string()))
    };
    let restart = &restart;
    thread::scope(|scope| {
        let numbered = peers.iter().enumerate();
        let started: Vec<_> = numbered
            .map(|(i, addr)| scope.spawn(move || restart(i, *addr)))
            .collect();
        let joined = started.into_iter().map(thread::ScopedJoinHandle::join);
        joined.map(|e| e.expect("the instance starts")).collect()
    })
}

/// The store does not answer the full read of an instance that starts. It must learn
/// everything from another instance of its domain instead.
#[test]
fn start_from_neighbour() {
    let harness = Harness::start(1);
    wait_until("the first instance is registered", || {
        !harness.store.keys("auburnrouter/instances/").is_empty()
    });
    harness.store.withhold_full_lists();
    let late = Entry::start("near-2", "near-a", harness.store.addr(), &[]);
    late.await_ready();
    let first = wait_for_line(&late, "\"event\":\"upstream\"");
    assert!(first.contains("\"from\":\"near-1\""), "{first}");
}

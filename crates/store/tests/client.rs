//! Tests the client: error classification, failover, limits and backoff.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rstest::rstest;
use standin::memory::{self, Memory};
use standin::store as fake;
use standin::store::fault::Fault;
use store::Store;
use store::backoff::{Backoff, Bounds};
use store::error::{Effect, Error, Kind};
use store::http::{Client, Config};
use wire::{instance, kv};

const SEED: u64 = 7;

fn start() -> fake::Store {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let lag = Duration::ZERO;
    fake::Store::start(fake::Config { listen, lag }).unwrap()
}

/// Short timeouts that still suffice on a busy machine.
fn config(addrs: &[SocketAddr]) -> Config {
    Config {
        call_timeout: Duration::from_millis(500),
        backoff: Bounds {
            initial: Duration::from_millis(1),
            max: Duration::from_millis(1),
        },
        ..Config::new(addrs.to_vec())
    }
}

/// Runs a test on the executor that drives the client's connections.
fn run(test: impl AsyncFnOnce(&pool::Executor)) {
    let executor = pool::Executor::default();
    smol::block_on(executor.run(test(&executor)));
}

fn client(executor: &pool::Executor, config: Config) -> Client {
    Client::new(config, Arc::clone(executor), fastrand::Rng::with_seed(SEED))
}

/// Writes key `a` once the store has got a watch.
async fn write_during_watch(store: &fake::Store, client: &Client) {
    while store.stats().watches == 0 {
        smol::Timer::after(Duration::from_millis(1)).await;
    }
    client.put("a", put("1", kv::Expect::Any)).await.unwrap();
}

/// Returns an address without a listener.
fn unused_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn put(value: &str, expect: kv::Expect) -> kv::Put {
    kv::Put {
        value: value.to_owned(),
        expect,
        lease: None,
    }
}

#[test]
fn calls_round_trip() {
    run(async |executor| {
        let store = start();
        let client = client(executor, config(&[store.addr()]));
        assert_eq!(client.get("a/b").await.unwrap(), None);
        let written = client.put("a/b", put("1", kv::Expect::Absent)).await;
        let revision = written.unwrap().revision;
        let entry = client.get("a/b").await.unwrap().unwrap();
        assert_eq!((&*entry.value, entry.revision), ("1", revision));
        let listed = client.list("a/").await.unwrap();
        assert_eq!(listed, std::slice::from_ref(&entry));
        let stale = client.put("a/b", put("2", kv::Expect::Absent)).await;
        let current = Some(entry);
        assert_eq!(stale, Err(Error::Conflict { current }));
        client.delete("a/b", Some(revision)).await.unwrap();
        assert_eq!(client.get("a/b").await.unwrap(), None);
        let lease = client.grant(Duration::from_secs(9)).await.unwrap();
        assert_eq!(client.renew(lease.id).await.unwrap(), lease);
        assert_eq!(client.renew(lease.id + 1).await, Err(Error::LeaseLapsed));
        let list = client.instances(&instance::Filter::All).await.unwrap();
        assert_eq!(list, instance::Instances::default());
        assert_eq!(client.counters().calls(), store.stats().calls);
    });
}

#[test]
fn watch_wakes_on_write() {
    run(async |executor| {
        let store = start();
        let client = client(executor, config(&[store.addr()]));
        let wait = Duration::from_secs(20);
        let watch = client.watch("a", 0, wait);
        let write = write_during_watch(&store, &client);
        let (seen, ()) = futures_lite::future::zip(watch, write).await;
        assert_eq!(seen.unwrap().unwrap().value, "1");
        assert_eq!(store.stats().watches, 1);
    });
}

#[test]
fn watch_misses_events() {
    // The store reports no event for a write during the watch. The watch must end
    // empty after its wait, and the next one must see the write.
    run(async |executor| {
        let store = start();
        store.fault(Fault::MissedEvents);
        let client = client(executor, config(&[store.addr()]));
        let wait = Duration::from_millis(300);
        let watch = client.watch("a", 0, wait);
        let write = write_during_watch(&store, &client);
        let (seen, ()) = futures_lite::future::zip(watch, write).await;
        assert_eq!(seen, Ok(None));
        assert!(client.watch("a", 0, wait).await.unwrap().is_some());
    });
}

#[rstest]
#[case::outage(Fault::Outage, Kind::Lost, false)]
#[case::refuse(Fault::Refuse, Kind::BadAnswer, false)]
#[case::hang(Fault::Hang, Kind::TimedOut, false)]
#[case::slow(Fault::Slow { ms: 1500 }, Kind::TimedOut, true)]
#[case::lost(Fault::LostAnswer { prefix: String::new(), reads: false }, Kind::Lost, true)]
fn failed_write_is_in_doubt(#[case] fault: Fault, #[case] kind: Kind, #[case] made: bool) {
    // No response tells whether the write was applied. With some faults it was,
    // with others not; the client must report all of them as unknown.
    run(async |executor| {
        let store = start();
        store.fault(fault);
        let client = client(executor, config(&[store.addr()]));
        let error = client
            .put("a", put("1", kv::Expect::Any))
            .await
            .unwrap_err();
        assert_eq!((error.kind(), error.effect()), (kind, Effect::Unknown));
        assert_eq!(client.counters().failures(kind), 1);
        let writes = || store.stats().writes;
        assert_eq!(writes(), 1, "a write with unknown effect is not sent again");
        store.fault(Fault::None);
        let found = key_exists(&client, made).await;
        assert_eq!(found, made);
    });
}

/// Reads until the existence of the key is as `wanted`, for at most 8 s.
async fn key_exists(client: &Client, wanted: bool) -> bool {
    let until = Instant::now() + Duration::from_secs(8);
    loop {
        let found = client.get("a").await.map(|entry| entry.is_some());
        if found == Ok(wanted) || Instant::now() > until {
            return found.unwrap();
        }
        smol::Timer::after(Duration::from_millis(5)).await;
    }
}

#[test]
fn unreachable_write_was_not_made() {
    run(async |executor| {
        let client = client(executor, config(&[unused_addr()]));
        let error = client
            .put("a", put("1", kv::Expect::Any))
            .await
            .unwrap_err();
        assert_eq!(error, Error::Unreachable);
        assert_eq!(error.effect(), Effect::None);
    });
}

#[test]
fn next_address_is_asked() {
    run(async |executor| {
        let store = start();
        let client = client(executor, config(&[unused_addr(), store.addr()]));
        client.put("a", put("1", kv::Expect::Any)).await.unwrap();
        assert_eq!(client.counters().calls(), 2);
        // The client stays with the address that answered.
        client.get("a").await.unwrap();
        assert_eq!(client.counters().calls(), 3);
    });
}

#[test]
fn write_in_doubt_is_not_repeated() {
    // The first store applies the write and its response is lost. If the client sent
    // it to the other address, an unconditional write would be applied twice.
    run(async |executor| {
        let (first, second) = (start(), start());
        let prefix = String::new();
        first.fault(Fault::LostAnswer {
            prefix,
            reads: false,
        });
        let client = client(executor, config(&[first.addr(), second.addr()]));
        let error = client.put("a", put("1", kv::Expect::Any)).await;
        assert_eq!(error, Err(Error::Lost));
        assert_eq!((first.stats().writes, second.stats().writes), (1, 0));
    });
}

#[test]
fn read_goes_to_next_address() {
    run(async |executor| {
        let (first, second) = (start(), start());
        first.fault(Fault::Outage);
        let client = client(executor, config(&[first.addr(), second.addr()]));
        assert_eq!(client.get("a").await, Ok(None));
        assert_eq!((first.stats().reads, second.stats().reads), (1, 1));
    });
}

#[test]
fn failed_address_rests() {
    // A retry without a delay must not reach the store, which may be down from such
    // load; the error gives the remaining delay.
    run(async |executor| {
        let store = start();
        store.fault(Fault::Outage);
        let span = Duration::from_secs(50);
        let backoff = Bounds {
            initial: span,
            max: span,
        };
        let client = client(
            executor,
            Config {
                backoff,
                ..config(&[store.addr()])
            },
        );
        client.get("a").await.unwrap_err();
        let error = client.get("a").await.unwrap_err();
        let Error::BackingOff { after } = error else {
            panic!("{error:?}");
        };
        assert!(after > span / 3 && after <= span, "{after:?}");
        assert_eq!(store.stats().calls, 1);
    });
}

#[test]
fn burst_counts_as_one_failure() {
    // Many calls fail in the same short outage. If each counted as a failure, the
    // backoff would reach its maximum at once.
    run(async |executor| {
        let store = start();
        store.fault(Fault::Outage);
        let first = Duration::from_secs(5);
        let backoff = Bounds {
            initial: first,
            max: Duration::from_secs(500),
        };
        let client = client(
            executor,
            Config {
                backoff,
                ..config(&[store.addr()])
            },
        );
        let keys: Vec<String> = (0..20).map(|n| format!("k{n}")).collect();
        let calls = keys.iter().map(|key| client.get(key));
        let mut calls: Vec<_> = calls.collect();
        for call in &mut calls {
            // All calls are in flight before the first one ends.
            let _ = futures_lite::future::poll_once(call).await;
        }
        for call in calls {
            let _ = call.await;
        }
        let error = client.get("a").await.unwrap_err();
        let Error::BackingOff { after } = error else {
            panic!("{error:?}");
        };
        assert!(after <= first, "{after:?}");
    });
}

#[test]
fn calls_under_way_are_bounded() {
    run(async |executor| {
        let store = start();
        store.fault(Fault::Hang);
        let client = client(
            executor,
            Config {
                calls_max: 1,
                ..config(&[store.addr()])
            },
        );
        let both = futures_lite::future::zip(client.get("a"), client.get("b")).await;
        assert_eq!(both.0, Err(Error::TimedOut));
        assert_eq!(both.1, Err(Error::Busy));
        assert_eq!(store.stats().calls, 1);
    });
}

#[rstest]
#[case::space("a b")]
#[case::query("a?b")]
#[case::parent("a/../b")]
fn key_is_checked(#[case] key: &str) {
    run(async |executor| {
        let client = client(executor, config(&[unused_addr()]));
        let error = client.get(key).await.unwrap_err();
        assert_eq!(error.kind(), Kind::BadKey);
    });
}

#[test]
fn backoff_grows_to_its_bound() {
    let bounds = Bounds {
        initial: Duration::from_millis(10),
        max: Duration::from_millis(50),
    };
    let mut rng = fastrand::Rng::with_seed(SEED);
    let mut backoff = Backoff::new(bounds);
    for span in [10, 20, 40, 50, 50] {
        let span = Duration::from_millis(span);
        let pause = backoff.record_failure(&mut rng);
        assert!(pause >= span / 2 && pause <= span, "{pause:?}");
    }
    backoff.record_success();
    assert!(backoff.record_failure(&mut rng) <= bounds.initial);
}

#[test]
fn instances_lag() {
    run(async |executor| {
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let lag = Duration::from_millis(200);
        let store = fake::Store::start(fake::Config { listen, lag }).unwrap();
        let client = client(executor, config(&[store.addr()]));
        let entry = instance::Instance {
            name: "a".to_owned(),
            domain: "d1".to_owned(),
            state: instance::State::Live,
            role: instance::Role::Entry { peer: listen },
        };
        let instances = vec![entry];
        let list = instance::Instances { instances };
        store.list(list.clone());
        let began = Instant::now();
        while client.instances(&instance::Filter::All).await != Ok(list.clone()) {
            smol::Timer::after(Duration::from_millis(1)).await;
        }
        assert!(began.elapsed() >= lag / 2, "{:?}", began.elapsed());
    });
}

#[test]
fn memory_keeps_same_rules() {
    smol::block_on(async {
        let memory = Memory::default();
        memory.fault(memory::Fault::LostAnswer);
        let error = memory
            .put("a", put("1", kv::Expect::Absent))
            .await
            .unwrap_err();
        assert_eq!(error.effect(), Effect::Unknown);
        memory.fault(memory::Fault::Unreachable);
        let error = memory
            .put("a", put("2", kv::Expect::Any))
            .await
            .unwrap_err();
        assert_eq!(error.effect(), Effect::None);
        memory.fault(memory::Fault::None);
        let seen = memory.watch("a", 0, Duration::from_secs(9)).await.unwrap();
        assert_eq!(seen.unwrap().value, "1");
    });
}

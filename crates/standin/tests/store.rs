//! The store stand-in keeps to its protocol, and breaks it as told.

use std::time::{Duration, Instant};

use rstest::rstest;
use standin::table::{Refused, Table};
use wire::kv;

fn put(value: &str, expect: kv::Expect, lease: Option<u64>) -> kv::Put {
    kv::Put {
        value: value.to_owned(),
        expect,
        lease,
    }
}

#[rstest]
#[case::absent(kv::Expect::Absent)]
#[case::older(kv::Expect::Revision(0))]
fn put_conflicts(#[case] expect: kv::Expect) {
    let now = Instant::now();
    let mut table = Table::default();
    table
        .put(now, "a", put("1", kv::Expect::Any, None))
        .unwrap();
    let current = table.get(now, "a");
    let refused = table.put(now, "a", put("2", expect, None)).unwrap_err();
    assert_eq!(refused, Refused::Conflict(current));
    assert_eq!(table.get(now, "a").unwrap().value, "1");
}

#[test]
fn put_too_large() {
    let now = Instant::now();
    let mut table = Table::default();
    let fits = "x".repeat(kv::VALUE_MAX);
    table
        .put(now, "a", put(&fits, kv::Expect::Any, None))
        .unwrap();
    let more = "x".repeat(kv::VALUE_MAX + 1);
    let refused = table.put(now, "a", put(&more, kv::Expect::Any, None));
    assert_eq!(refused, Err(Refused::TooLarge));
}

#[test]
fn list_prefix_in_order() {
    let now = Instant::now();
    let mut table = Table::default();
    for key in ["b/2", "a/1", "b/1", "c"] {
        table.put(now, key, put("", kv::Expect::Any, None)).unwrap();
    }
    let keys: Vec<String> = table.list(now, "b/").into_iter().map(|e| e.key).collect();
    assert_eq!(keys, ["b/1", "b/2"]);
}

#[test]
fn lease_lapses_with_its_keys() {
    // The holder is paused past its lease. Its key is gone, it can't renew, and
    // a write under the old lease does not bring the key back.
    let start = Instant::now();
    let mut table = Table::default();
    let lease = table.grant(start, kv::LeaseRequest { ttl_ms: 100 });
    let under = || put("mine", kv::Expect::Absent, Some(lease.id));
    table.put(start, "a", under()).unwrap();
    let renewed = start + Duration::from_millis(90);
    table.renew(renewed, lease.id).unwrap();
    let held = renewed + Duration::from_millis(90);
    assert!(table.get(held, "a").is_some());
    let lapsed = renewed + Duration::from_millis(101);
    assert_eq!(table.get(lapsed, "a"), None);
    assert_eq!(table.renew(lapsed, lease.id), Err(Refused::NoLease));
    assert_eq!(table.put(lapsed, "a", under()), Err(Refused::NoLease));
}

#[test]
fn revision_grows_over_all_keys() {
    let now = Instant::now();
    let mut table = Table::default();
    let first = table.put(now, "a", put("", kv::Expect::Any, None)).unwrap();
    let gone = table.delete(now, "a", Some(first.revision)).unwrap();
    let next = table
        .put(now, "b", put("", kv::Expect::Absent, None))
        .unwrap();
    assert!(first.revision < gone.revision && gone.revision < next.revision);
}

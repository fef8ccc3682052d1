//! Which instance reads the platform's store, and who reads from whom.

use core::cmp::Reverse;
use core::time::Duration;

use rstest::rstest;
use steer::process::direct::StoreContact;
use steer::process::direct::members::Registration;
use steer::process::direct::upstream::{Upstream, reader_rank};

use super::bench::{Bench, at, heartbeat, registration, route};

/// This instance and others of its region, in the order in which they read the
/// store. It stands in `near-a`.
struct Region {
    bench: Bench,
    /// Names with their failure domains, the first reader first.
    order: Vec<(String, &'static str)>,
}

/// A region of three domains with so many others each, all listed.
fn region(each: usize) -> Region {
    let mut bench = Bench::new(route(), &[]);
    let mut order = vec![("near-1".to_owned(), "near-a")];
    for domain in ["near-a", "near-b", "near-c"] {
        for i in 0..each {
            let name = format!("{domain}-{i}");
            let row = Registration {
                domain: domain.into(),
                ..registration("near")
            };
            bench.direct.set_member(at(0), &name, Some(row));
            order.push((name, domain));
        }
    }
    order.sort_by_key(|(name, _)| Reverse(reader_rank(name)));
    bench.direct.store_answered(at(0), 1);
    Region { bench, order }
}

impl Region {
    fn upstream(&self, millis: u64) -> String {
        match self.bench.direct.upstream(at(millis)) {
            Upstream::Store => "store".to_owned(),
            Upstream::Peer { name, .. } => name.as_ref().to_owned(),
        }
    }

    /// The upstream of this moment fails.
    fn fail(&mut self, millis: u64) {
        let upstream = self.bench.direct.upstream(at(millis));
        self.bench.direct.upstream_failed(at(millis), &upstream);
    }

    /// Removes all that come before this instance but the given number.
    fn keep_before(&mut self, kept: usize) {
        let own = self.order.iter().position(|o| o.0 == "near-1");
        let before: Vec<_> = self.order.drain(..own.expect("it is there")).collect();
        let (kept, gone) = before.split_at(before.len().min(kept));
        for (name, _) in gone {
            self.bench.direct.set_member(at(1), name, None);
        }
        self.order.splice(0..0, kept.iter().cloned());
    }
}

/// Nobody comes before it in its region: it reads the store, and so does one
/// that is alone.
#[rstest]
#[case::alone(0)]
#[case::first_of_many(6)]
fn read_store_as_first(#[case] each: usize) {
    let mut region = region(each);
    region.keep_before(0);
    assert_eq!(region.upstream(10), "store");
    assert!(region.bench.direct.is_reader(at(10)));
}

/// Others of its domain come before it: it reads from the first of them, though
/// a domain beside it has an earlier one, as bytes between domains are paid.
#[test]
fn read_from_own_domain() {
    let region = region(12);
    let own = region.order.iter().position(|o| o.0 == "near-1");
    let before = &region.order[..own.expect("it is there")];
    let first = before.iter().find(|o| o.1 == "near-a");
    let (name, _) = first.expect("one of twelve comes before");
    assert_eq!(region.upstream(10), *name);
    assert!(!region.bench.direct.is_reader(at(10)));
}

/// The instance it reads from is killed and nobody has said so yet. It goes on
/// to another at once, then to the store, and comes back later.
#[test]
fn pass_over_failed_upstreams() {
    let mut region = region(12);
    let first = region.upstream(10);
    let mut seen = vec![first.clone()];
    while seen.last().is_some_and(|last| last != "store") {
        region.fail(10);
        seen.push(region.upstream(10));
        assert!(seen.len() <= 4, "too long without the store: {seen:?}");
    }
    seen.dedup();
    assert!(seen.len() >= 2, "{seen:?}");
    region.bench.direct.store_answered(at(4_000), 1);
    assert_eq!(region.upstream(4_020), first, "it may be back");
}

/// The store turns this instance away and serves others. It reads from another
/// instance, and tries the store again from time to time.
#[test]
fn read_from_others_if_turned_away() {
    let mut region = region(3);
    region.keep_before(0);
    region.fail(10);
    let other = region.upstream(20);
    assert_ne!(other, "store");
    region.fail(20);
    assert_ne!(region.upstream(30), other, "it knows no more");
    assert_eq!(region.upstream(1_020), "store");
}

/// The store is away and nobody knows more: all are tried once, then the store
/// is, which is where news will come from.
#[test]
fn come_back_to_store_from_all() {
    let mut region = region(3);
    region.keep_before(0);
    for _ in 0..20 {
        region.fail(10);
    }
    assert_eq!(region.upstream(20), "store");
}

/// An instance in another region is no upstream: what it tells crosses regions
/// and the store's own answer comes as soon.
#[test]
fn stay_in_region() {
    let mut bench = Bench::new(route(), &[]);
    for i in 0..20 {
        bench
            .direct
            .set_member(at(0), &format!("far-{i}"), Some(registration("far")));
    }
    assert_eq!(bench.direct.upstream(at(10)), Upstream::Store);
}

/// What is told at second hand is as old as the store's own word: it neither
/// makes an instance look in touch for longer, nor hides that the store was
/// away and entries may have lapsed.
#[test]
fn count_age_of_what_is_told() {
    let mut bench = Bench::new(route(), &[]);
    bench.direct.store_answered(at(1_000), 5);
    let told = |bench: &mut Bench, millis, age| {
        let contact = StoreContact {
            age: Some(Duration::from_millis(age)),
            span: None,
        };
        bench.direct.peer_answered(at(millis), contact, 5);
        bench.direct.store_age(at(millis)).expect("it was in touch")
    };
    assert_eq!(told(&mut bench, 2_000, 1_500), Duration::from_secs(1));
    assert_eq!(told(&mut bench, 3_000, 300), Duration::from_millis(300));
    assert!(bench.direct.is_store_reachable(at(6_600)));
    assert!(!bench.direct.is_store_reachable(at(6_800)));
}

/// An instance that leaves is nobody's upstream.
#[test]
fn pass_over_who_leaves() {
    let mut region = region(12);
    let first = region.upstream(10);
    let mut last = heartbeat(&first, 1);
    last.is_leaving = true;
    region.bench.direct.receive_heartbeat(at(20), last);
    assert_ne!(region.upstream(30), first);
}

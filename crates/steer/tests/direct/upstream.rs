//! Choice of the instances that read the platform's store, and of the upstreams of the
//! others.

use core::cmp::Reverse;
use core::time::Duration;

use fastrand::Rng;
use rstest::rstest;
use steer::process::direct::StoreContact;
use steer::process::direct::members::Registration;
use steer::process::direct::starters::{START_PEERS_MAX, Starter};
use steer::process::direct::upstream::{
    DOMAIN_FANOUT, Upstream, domain_sources, reader_rank, start_delay,
};

use super::bench::{Bench, at, heartbeat, registration, route};

/// When all of a failure domain started at once, as many read the whole store as there
/// were, and it was busy for seconds.
#[rstest]
#[case::domain_of_fleet(110, 985)]
#[case::twice_as_large(220, 1_970)]
#[case::ten_times_as_large(1_100, 9_850)]
fn read_store_by_few_when_all_start(#[case] size: usize, #[case] listed: usize) {
    // What the first takes to read the store, and what each level takes to tell the next.
    let (reading, telling) = (Duration::from_secs(1), Duration::from_millis(600));
    let mut known_at = vec![Duration::MAX; size];
    let mut readers = 0;
    for rank in 0..size {
        let told = domain_sources(rank).filter(|above| *above < rank);
        let told = told.map(|above| known_at[above].saturating_add(telling));
        let told = told.min().unwrap_or(Duration::MAX);
        let delay = start_delay(rank, listed);
        if told <= delay {
            known_at[rank] = told;
        } else {
            readers += 1;
            known_at[rank] = delay + reading;
        }
    }
    assert_eq!(readers, 1);
    let last = known_at.iter().max().copied().unwrap_or_default();
    assert!(
        last <= Duration::from_secs(5),
        "the last knows all after {last:?}"
    );
}

/// This instance, which is in `near-a`, and others of its region, by descending rank.
struct Region {
    bench: Bench,
    /// Names with failure domains, the first reader of the store first.
    by_rank: Vec<(String, &'static str)>,
}

/// A region of three domains with `each` other instances in each, all registered.
fn region(each: usize) -> Region {
    let mut bench = Bench::new(route(), &[]);
    let mut by_rank = vec![("near-1".to_owned(), "near-a")];
    for domain in ["near-a", "near-b", "near-c"] {
        for i in 0..each {
            let name = format!("{domain}-{i}");
            let listed = Registration {
                domain: domain.into(),
                ..registration("near")
            };
            bench.direct.set_member(at(0), &name, Some(listed));
            by_rank.push((name, domain));
        }
    }
    by_rank.sort_by_key(|(name, _)| Reverse(reader_rank(name)));
    bench.direct.store_answered(at(0), 1);
    Region { bench, by_rank }
}

impl Region {
    fn upstream(&self, millis: u64) -> String {
        match self.bench.direct.upstream(at(millis)) {
            Upstream::Store => "store".to_owned(),
            Upstream::Peer { name, .. } => name.as_ref().to_owned(),
        }
    }

    /// Fails the present upstream.
    fn fail_upstream(&mut self, millis: u64) {
        let upstream = self.bench.direct.upstream(at(millis));
        self.bench.direct.upstream_failed(at(millis), &upstream);
    }

    /// Removes the instances that rank above this one, except for `kept` of them.
    fn keep_ranked_above(&mut self, kept: usize) {
        let own = self.by_rank.iter().position(|o| o.0 == "near-1");
        let before: Vec<_> = self.by_rank.drain(..own.expect("it is there")).collect();
        let (kept, gone) = before.split_at(before.len().min(kept));
        for (name, _) in gone {
            self.bench.direct.set_member(at(1), name, None);
        }
        self.by_rank.splice(0..0, kept.iter().cloned());
    }
}

/// An instance that no other of its region ranks above reads the store, as does one
/// that is alone.
#[rstest]
#[case::alone(0)]
#[case::first_of_many(6)]
fn read_store_as_first(#[case] each: usize) {
    let mut region = region(each);
    region.keep_ranked_above(0);
    assert_eq!(region.upstream(10), "store");
    assert!(region.bench.direct.is_reader(at(10)));
}

/// It reads from the first of its own domain that ranks above it, even if another
/// domain has one that ranks higher, as bytes between domains are paid for.
#[test]
fn read_from_own_domain() {
    let region = region(12);
    let own = region.by_rank.iter().position(|o| o.0 == "near-1");
    let before = &region.by_rank[..own.expect("it is there")];
    let first = before.iter().find(|o| o.1 == "near-a");
    let (name, _) = first.expect("one of twelve comes before");
    assert_eq!(region.upstream(10), *name);
    assert!(!region.bench.direct.is_reader(at(10)));
}

/// The upstream was killed, unnoticed by the others. The instance moves on to another
/// one at once, then to the store, and returns later.
#[test]
fn skip_failed_upstreams() {
    let mut region = region(12);
    let first = region.upstream(10);
    let mut seen = vec![first.clone()];
    while seen.last().is_some_and(|last| last != "store") {
        region.fail_upstream(10);
        seen.push(region.upstream(10));
        assert!(seen.len() <= 4, "too long without the store: {seen:?}");
    }
    seen.dedup();
    assert!(seen.len() >= 2, "{seen:?}");
    region.bench.direct.store_answered(at(4_000), 1);
    assert_eq!(region.upstream(4_020), first, "it may be back");
}

/// The store rejects this instance but serves others. The instance reads from another
/// one and retries the store from time to time.
#[test]
fn read_from_peer_if_store_rejects() {
    let mut region = region(3);
    region.keep_ranked_above(0);
    region.fail_upstream(10);
    let other = region.upstream(20);
    assert_ne!(other, "store");
    region.fail_upstream(20);
    assert_ne!(region.upstream(30), other, "it knows no more");
    assert_eq!(region.upstream(1_020), "store");
}

/// The store is unreachable and no instance knows more. Each is tried once, then the
/// store again, where updates will come from.
#[test]
fn return_to_store_after_all_failed() {
    let mut region = region(3);
    region.keep_ranked_above(0);
    for _ in 0..20 {
        region.fail_upstream(10);
    }
    assert_eq!(region.upstream(20), "store");
}

/// Instances of other regions are no upstreams: their answers cross regions, and the
/// store answers as soon.
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

/// An answer passed on by another instance is as old as the store's original one: it
/// neither extends the time for which the store counts as reachable, nor hides an
/// outage in which entries may have expired.
#[test]
fn age_of_peer_answers() {
    let mut bench = Bench::new(route(), &[]);
    bench.direct.store_answered(at(1_000), 5);
    let answer_age = |bench: &mut Bench, millis, age| {
        let contact = StoreContact {
            age: Some(Duration::from_millis(age)),
            span: None,
        };
        bench.direct.peer_answered(at(millis), contact, 5);
        bench.direct.store_age(at(millis)).expect("it was in touch")
    };
    assert_eq!(answer_age(&mut bench, 2_000, 1_500), Duration::from_secs(1));
    assert_eq!(
        answer_age(&mut bench, 3_000, 300),
        Duration::from_millis(300)
    );
    assert!(bench.direct.is_store_reachable(at(6_600)));
    assert!(!bench.direct.is_store_reachable(at(6_800)));
}

/// An instance that is leaving is no upstream.
#[test]
fn skip_leaving_upstream() {
    let mut region = region(12);
    let first = region.upstream(10);
    let mut last = heartbeat(&first, 1);
    last.is_leaving = true;
    region.bench.direct.receive_heartbeat(at(20), last);
    assert_ne!(region.upstream(30), first);
}

/// All instances of a domain read from its reader, which sent a snapshot of thousands of
/// targets to each at a start, over one link.
#[rstest]
#[case::as_large(110, 2)]
#[case::twice_as_large(220, 3)]
#[case::ten_times_as_large(1_100, 3)]
fn bound_readers_of_one_instance(#[case] count: usize, #[case] levels_max: usize) {
    let mut readers = vec![0; count];
    for rank in 1..count {
        let parent = domain_sources(rank).next().expect("it reads from another");
        assert!(parent < rank, "{parent} above {rank}");
        readers[parent] += 1;
        let levels = core::iter::successors(Some(rank), |r| domain_sources(*r).next());
        assert!(levels.skip(1).count() <= levels_max, "rank {rank}");
    }
    assert!(readers.iter().all(|n| *n <= DOMAIN_FANOUT), "{readers:?}");
}

/// An instance deep in a large domain whose upstreams fail one after the other reads from
/// the next one above, then from the rest of the region, then the store.
#[test]
fn climb_past_failed_upstreams_of_large_domain() {
    let mut region = region(110);
    let domain: Vec<String> = region
        .by_rank
        .iter()
        .filter(|(name, domain)| *domain == "near-a" && name != "near-1")
        .map(|(name, _)| name.clone())
        .collect();
    let rank = |region: &Region| {
        let upstream = region.upstream(10);
        domain.iter().position(|name| *name == upstream)
    };
    let own = reader_rank("near-1");
    let mut last = domain.iter().filter(|name| reader_rank(name) > own).count();
    assert!(last > DOMAIN_FANOUT, "the fixture ranks it deep enough");
    while let Some(next) = rank(&region) {
        assert!(next < last || next == 1, "{next} after {last}");
        last = next;
        region.fail_upstream(10);
    }
    assert_ne!(region.upstream(10), "store");
    region.fail_upstream(10);
    assert_eq!(region.upstream(10), "store");
}

/// All instances lost power and their registrations lapsed; nobody knew of any other, and
/// each read the whole store.
#[rstest]
#[case::domain_of_fleet(110)]
#[case::twice_as_large(220)]
#[case::ten_times_as_large(1_100)]
fn place_starters_as_they_announce_themselves(#[case] count: usize) {
    let mut seed = Bench::new(route(), &[]);
    let mut rng = Rng::with_seed(7);
    let starter = |i: usize, domain: &str| Starter {
        name: format!("{domain}-{i}").into(),
        domain: domain.into(),
        peers: registration("near").peers,
    };
    let mut starters: Vec<Starter> = (0..count)
        .flat_map(|i| ["near-a", "near-b"].map(|domain| starter(i, domain)))
        .collect();
    rng.shuffle(&mut starters);
    for (at_ms, starter) in starters.iter().enumerate() {
        seed.direct
            .announce_start(at(at_ms as u64), starter.clone());
    }
    rng.shuffle(&mut starters);
    let mut readers = vec![Vec::new(); count];
    for starter in starters.iter().filter(|s| *s.domain == *"near-b") {
        let place = seed.direct.announce_start(at(3_000), starter.clone());
        assert_eq!(place.others, count - 1);
        assert!(place.sources.len() <= START_PEERS_MAX);
        assert!(
            place
                .sources
                .iter()
                .all(|(name, _)| name.starts_with("near-b"))
        );
        readers[place.above].push(place.sources);
    }
    assert!(
        readers.iter().all(|same| same.len() == 1),
        "one of each rank"
    );
    // Who reads from whom is a tree, as in running operation.
    let by_rank = |i: usize| &readers[i][0];
    for rank in START_PEERS_MAX + 1..count {
        let parent = domain_sources(rank).next().expect("it has one");
        let siblings = domain_sources(parent * DOMAIN_FANOUT + 1).next();
        assert_eq!(siblings, Some(parent));
        assert_eq!(by_rank(rank)[0], by_rank(parent * DOMAIN_FANOUT + 1)[0]);
    }
    // They are forgotten, or a later start would wait for them.
    let late = seed.direct.announce_start(at(60_000), starter(0, "near-b"));
    assert_eq!(late.others, 0);
}

/// A starting instance learns from those that are running too.
#[test]
fn place_starter_among_running_instances() {
    let mut region = region(6);
    let starter = Starter {
        name: "near-b-new".into(),
        domain: "near-b".into(),
        peers: registration("near").peers,
    };
    let place = region.bench.direct.announce_start(at(10), starter);
    assert_eq!(place.others, 6);
    assert_eq!(place.sources.len(), START_PEERS_MAX);
}

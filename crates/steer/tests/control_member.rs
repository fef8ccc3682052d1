//! Merging of records into the table.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use proptest::prelude::*;
use steer::clock::Time;
use steer::process::member::table::{Merge, Table};
use steer::process::member::{Identity, Lifecycle, Record, Stamp};
use steer::version::view::Incarnation;

fn record(generation: u64, serial: u32, lifecycle: Lifecycle) -> Arc<Record> {
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 80));
    Arc::new(Record {
        identity: Identity {
            name: "a-1".into(),
            domain: "a".into(),
            addr,
            peer: addr,
        },
        stamp: Stamp {
            generation,
            incarnation: Incarnation(generation),
        },
        serial,
        lifecycle,
    })
}

fn any_record() -> impl Strategy<Value = Arc<Record>> {
    let lifecycle = prop_oneof![
        Just(Lifecycle::Live),
        Just(Lifecycle::Leaving),
        Just(Lifecycle::Released),
        Just(Lifecycle::Dead)
    ];
    (1_u64..4, 1_u32..4, lifecycle).prop_map(|(g, s, lifecycle)| record(g, s, lifecycle))
}

proptest! {
    /// Two tables that merge the same records of a name in different orders end
    /// up equal.
    #[test]
    fn merge_in_any_order(
        heard in prop::collection::vec(any_record(), 0..12),
        other in any::<prop::sample::Index>(),
    ) {
        let first = record(1, 1, Lifecycle::Live);
        let mut here = Table::default();
        let mut there = Table::default();
        here.merge(Time::ZERO, &first, true);
        there.merge(Time::ZERO, &first, true);
        for record in &heard {
            here.merge(Time::ZERO, record, true);
        }
        let start = other.index(heard.len().max(1));
        for record in heard.iter().skip(start).chain(&heard[..start.min(heard.len())]) {
            there.merge(Time::ZERO, record, true);
        }
        let row = |table: &Table| table.get("a", "a-1").map(|row| Arc::clone(&row.record));
        prop_assert_eq!(row(&here), row(&there));
        prop_assert_eq!(here.total(), there.total());
    }
}

/// A tombstone that one process has dropped is not learned again from another
/// process, and doesn't make their digests differ.
#[test]
fn tombstone_forgotten() {
    let mut table = Table::default();
    table.merge(Time::ZERO, &record(1, 1, Lifecycle::Live), true);
    let dead = record(1, 1, Lifecycle::Dead);
    assert_eq!(table.merge(Time::ZERO, &dead, true), Merge::Updated);
    assert_eq!(table.digest("a"), 0);
    let later = Time::from_micros(10);
    table.forget(later, core::time::Duration::ZERO);
    assert!(table.get("a", "a-1").is_none());
    assert_eq!(table.merge(later, &dead, true), Merge::Outdated);
    assert_eq!(table.total(), 0);
}

#[test]
fn successor_of_released() {
    let mut table = Table::default();
    table.merge(Time::ZERO, &record(1, 1, Lifecycle::Live), true);
    table.merge(Time::ZERO, &record(1, 2, Lifecycle::Released), true);
    let merged = table.merge(Time::ZERO, &record(2, 1, Lifecycle::Live), true);
    assert_eq!(
        merged,
        Merge::Succeeded(record(1, 1, Lifecycle::Live).stamp)
    );
}

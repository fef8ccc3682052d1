//! Updates of the store's content between instances.

use std::sync::Arc;

use fastrand::Rng;
use rstest::rstest;
use steer::process::direct::replica::{Item, Replica, Update};
use steer::process::direct::report::Report;

fn item(key: &str, revision: u64, value: Option<&str>) -> Item {
    Item {
        key: key.into(),
        revision,
        value: value.map(|v| Arc::from(v.as_bytes())),
        report: None,
    }
}

/// Report that a target writes of itself; its value names its place.
fn report(revision: u64, incarnation: u64, seq: u64) -> Item {
    let value = format!("{incarnation}.{seq}");
    Item {
        report: Some(Report { incarnation, seq }),
        ..item("t", revision, Some(&value))
    }
}

fn update(is_full: bool, revision: u64, items: &[Item]) -> Update {
    Update {
        revision,
        is_full,
        since: None,
        items: items.to_vec(),
    }
}

fn keys(items: &[Item]) -> Vec<&str> {
    items.iter().map(|i| &*i.key).collect()
}

/// A list may be older than a change that arrived by another way: newer items stay, and
/// items that the list does not name are gone.
#[test]
fn keep_newer_over_list() {
    let mut replica = Replica::default();
    let first = [item("a", 1, Some("1")), item("b", 2, Some("1"))];
    replica.apply(update(true, 2, &first));
    replica.apply(update(false, 5, &[item("a", 5, Some("2"))]));
    let late = [item("a", 1, Some("1")), item("c", 6, Some("1"))];
    let changed = replica.apply(update(true, 6, &late)).changed;
    assert_eq!(changed, [item("c", 6, Some("1")), item("b", 6, None)]);
    let all = replica.changes_since(0);
    assert_eq!(keys(&all.items), ["a", "c"]);
    assert_eq!(all.items[0].revision, 5);
}

/// A delayed answer arrives after a later one.
#[rstest]
#[case::changes(false)]
#[case::everything(true)]
fn ignore_older_update(#[case] is_full: bool) {
    let mut replica = Replica::default();
    replica.apply(update(true, 9, &[item("a", 9, Some("new"))]));
    let late = update(is_full, 8, &[item("a", 3, Some("old")), item("b", 8, None)]);
    assert_eq!(replica.apply(late).changed, []);
    assert_eq!(replica.revision(), 9);
    assert_eq!(replica.changes_since(0).items.len(), 1);
}

/// An update writes a key, deletes it and writes it again. Only the last change counts;
/// otherwise a target that left would be used for a moment.
#[test]
fn apply_last_change_of_key() {
    let mut replica = Replica::default();
    let all = [
        item("a", 3, Some("1")),
        item("b", 4, Some("1")),
        item("a", 5, None),
        item("b", 6, Some("2")),
    ];
    let changed = replica.apply(update(false, 6, &all)).changed;
    assert_eq!(changed, [item("a", 5, None), item("b", 6, Some("2"))]);
}

/// A reader that is behind the remembered deletions gets a full snapshot.
#[test]
fn full_snapshot_beyond_remembered_deletions() {
    let mut replica = Replica::default();
    replica.apply(update(true, 1, &[item("kept", 1, Some("1"))]));
    for i in 0..10_000 {
        let key = format!("k{i}");
        let written = item(&key, 2 * i + 2, Some("1"));
        let deleted = item(&key, 2 * i + 3, None);
        replica.apply(update(false, 2 * i + 3, &[written, deleted]));
    }
    let behind = replica.changes_since(1);
    assert!(behind.is_full);
    assert_eq!(keys(&behind.items), ["kept"]);
    let recent = replica.changes_since(replica.revision() - 10);
    assert!(!recent.is_full);
    assert_eq!(recent.items.len(), 5);
}

/// The store's history was lost, its reader read everything anew, and every other instance
/// was sent everything, whatever had changed.
#[rstest]
#[case::as_large(1_000)]
#[case::ten_times_as_large(10_000)]
fn send_changes_across_full_read(#[case] count: u64) {
    let mut items: Vec<Item> = (1..=count)
        .map(|i| item(&format!("k{i:05}"), i, Some("1")))
        .collect();
    let mut reader = Replica::default();
    reader.apply(update(true, count, &items));
    items.remove(0);
    items[0] = item("k00002", count + 5, Some("2"));
    items.push(item("new", count + 7, Some("1")));
    reader.apply(update(true, count + 9, &items));
    let sent = reader.changes_since(count);
    assert!(!sent.is_full);
    let mut sent = keys(&sent.items);
    sent.sort_unstable();
    assert_eq!(sent, ["k00001", "k00002", "new"]);
    // What came and went since may be known there.
    assert!(reader.changes_since(count + 3).is_full);
}

/// Changes for an instance at one revision arrived when another answer had moved it on, to
/// where it knew an item that the sender had never seen.
#[test]
fn reject_changes_since_other_revision() {
    let mut reader = Replica::default();
    reader.apply(update(true, 4, &[item("a", 4, Some("1"))]));
    let mut behind = reader.clone();
    let late = {
        reader.apply(update(true, 9, &[item("a", 4, Some("1"))]));
        reader.changes_since(4)
    };
    behind.apply(update(false, 6, &[item("brief", 6, Some("1"))]));
    assert!(!behind.accepts(&late));
    assert_eq!(behind.apply(late).changed, []);
    assert_eq!(behind.revision(), 6);
}

/// A store, readers of it and readers of those. Lists are old, answers are lost or
/// late, and readers restart without state. No reader ever returns to an earlier value
/// of a key, each knows just what the store held at its revision, and in the end what it
/// holds.
#[rstest]
fn catch_up_in_any_order(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    println!("seed {seed}");
    let mut world = World::new(seed);
    for _ in 0..3_000 {
        world.step();
    }
    world.settle();
}

const READERS: usize = 5;

struct World {
    rng: Rng,
    store: Replica,
    /// Snapshots of the store at earlier times, for lists that are old.
    snapshots: Vec<Update>,
    readers: Vec<Replica>,
    /// Updates in transit, each with its reader.
    in_transit: Vec<(usize, Update)>,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            rng: Rng::with_seed(seed),
            store: Replica::default(),
            snapshots: vec![Update::default()],
            readers: vec![Replica::default(); READERS],
            in_transit: Vec::new(),
        }
    }

    fn step(&mut self) {
        match self.rng.u8(..10) {
            0..3 => self.write(),
            3..5 => self.watch(),
            5 => self.list_old(),
            6 => self.ask_reader(),
            7 => {
                let lost = self.rng.usize(..=self.in_transit.len());
                if lost < self.in_transit.len() {
                    self.in_transit.swap_remove(lost);
                }
            }
            8 if self.rng.u8(..20) == 0 => {
                let at = self.rng.usize(..READERS);
                self.readers[at] = Replica::default();
                // Its connections end with it.
                self.in_transit.retain(|(to, _)| *to != at);
            }
            _ => self.deliver(),
        }
    }

    fn write(&mut self) {
        let key = format!("k{}", self.rng.u8(..12));
        let revision = self.store.revision() + 1;
        let value = self.rng.u8(..4).checked_sub(1).map(|v| format!("{v}"));
        let change = item(&key, revision, value.as_deref());
        self.store.apply(update(false, revision, &[change]));
        let all = self.store.changes_since(0);
        let present = all.items.into_iter().filter(|i| i.value.is_some());
        self.snapshots.push(Update {
            revision,
            is_full: true,
            since: None,
            items: present.collect(),
        });
    }

    fn watch(&mut self) {
        let at = self.rng.usize(..READERS);
        let known = self.readers[at].revision();
        if known > 0 {
            self.in_transit.push((at, self.store.changes_since(known)));
        }
    }

    fn list_old(&mut self) {
        let at = self.rng.usize(..READERS);
        let back = self.rng.usize(..self.snapshots.len().min(8));
        let old = self.snapshots[self.snapshots.len() - 1 - back].clone();
        self.in_transit.push((at, old));
    }

    fn ask_reader(&mut self) {
        let (to, from) = (self.rng.usize(..READERS), self.rng.usize(..READERS));
        let known = self.readers[to].revision();
        let answer = self.readers[from].changes_since(known);
        if answer.revision > 0 {
            self.in_transit.push((to, answer));
        }
    }

    fn deliver(&mut self) {
        if self.in_transit.is_empty() {
            return;
        }
        let next = self.rng.usize(..self.in_transit.len());
        let (to, update) = self.in_transit.swap_remove(next);
        self.apply(to, update);
    }

    fn apply(&mut self, to: usize, update: Update) {
        let before = self.readers[to].clone();
        let known: Vec<Item> = before.changes_since(0).items;
        self.readers[to].apply(update);
        let after = &self.readers[to];
        let snapshot = &self.snapshots[usize::try_from(after.revision()).expect("it is small")];
        let present = after.changes_since(0).items;
        let present: Vec<Item> = present.into_iter().filter(|i| i.value.is_some()).collect();
        assert_eq!(present, snapshot.items, "reader {to}");
        for old in known {
            let now = self.readers[to].changes_since(0).items;
            if let Some(new) = now.iter().find(|i| i.key == old.key) {
                assert!(new.revision >= old.revision, "{old:?} became {new:?}");
            }
        }
        assert!(self.readers[to].revision() >= before.revision());
    }

    fn settle(&mut self) {
        while !self.in_transit.is_empty() {
            self.deliver();
        }
        let wanted = self
            .snapshots
            .last()
            .expect("it began with one")
            .items
            .clone();
        for to in 0..READERS {
            let known = self.readers[to].revision();
            let missed = match known {
                0 => self.snapshots.last().expect("it began with one").clone(),
                known => self.store.changes_since(known),
            };
            self.apply(to, missed);
            let all = self.readers[to].changes_since(0).items;
            let present: Vec<Item> = all.into_iter().filter(|i| i.value.is_some()).collect();
            assert_eq!(present, wanted, "reader {to}");
        }
    }
}

/// A report that the store carried out late took the place of a later one, here and at those
/// who read from this replica.
#[rstest]
#[case::by_events(false, report(9, 1, 2))]
#[case::by_list(true, report(9, 1, 2))]
#[case::of_replaced_incarnation(false, report(9, 7, 3))]
#[case::of_incarnation_with_later_clock(false, report(9, 8, 90))]
fn keep_value_beside_late_report(#[case] is_full: bool, #[case] late: Item) {
    let mut replica = Replica::default();
    replica.apply(update(true, 5, &[report(3, 7, 3)]));
    replica.apply(update(false, 6, &[report(6, 8, 1)]));
    replica.apply(update(false, 8, &[report(7, 1, 4), report(8, 1, 5)]));
    let applied = replica.apply(update(is_full, 9, std::slice::from_ref(&late)));
    assert_eq!((applied.changed, applied.late), (vec![], vec![late]));
    let mut reader = Replica::default();
    reader.apply(update(true, 7, &[report(7, 1, 4)]));
    let passed = reader.apply(replica.changes_since(7));
    assert_eq!(
        passed.changed,
        [Item {
            revision: 9,
            ..report(8, 1, 5)
        }]
    );
}

/// Both reports may be told at once, also to one who knows nothing yet.
#[rstest]
#[case::known(&[report(3, 1, 1)])]
#[case::unknown(&[])]
fn keep_later_report_of_one_update(#[case] before: &[Item]) {
    let mut replica = Replica::default();
    replica.apply(update(true, 4, before));
    let both = [report(6, 1, 5), report(7, 1, 2)];
    let changed = replica.apply(update(false, 7, &both)).changed;
    assert_eq!(
        changed,
        [Item {
            revision: 7,
            ..report(6, 1, 5)
        }]
    );
}

/// A target that had left was listed again by a report of before; one that reports again
/// after its entry lapsed is listed.
#[rstest]
#[case::earlier_report(report(9, 1, 2), false)]
#[case::same_report(report(9, 1, 5), false)]
#[case::replaced_incarnation(report(9, 7, 6), false)]
#[case::later_report(report(9, 1, 6), true)]
#[case::new_incarnation(report(9, 2, 1), true)]
fn keep_deleted_beside_late_report(#[case] version: Item, #[case] is_listed: bool) {
    let mut replica = Replica::default();
    replica.apply(update(true, 4, &[report(4, 7, 1)]));
    replica.apply(update(false, 5, &[report(5, 1, 5)]));
    replica.apply(update(false, 8, &[item("t", 8, None)]));
    replica.apply(update(false, 9, &[version]));
    let present = replica.changes_since(0).items;
    assert_eq!(present.iter().any(|i| i.value.is_some()), is_listed);
}

/// A restart is a new incarnation, though its clock went back and its count begins anew.
#[rstest]
#[case::clock_went_on(9)]
#[case::clock_went_back(1)]
fn take_restart_at_once(#[case] incarnation: u64) {
    let mut replica = Replica::default();
    replica.apply(update(true, 5, &[report(5, 7, 30)]));
    let restarted = report(6, incarnation, 1);
    let changed = replica.apply(update(false, 6, std::slice::from_ref(&restarted)));
    assert_eq!(changed.changed, [restarted]);
}

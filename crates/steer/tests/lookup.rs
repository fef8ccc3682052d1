//! Look-ups spread callers evenly, keep to their region, and move nobody but
//! the callers of an instance that left.

use std::sync::Arc;

use rstest::rstest;
use steer::version::{lookup, view};

const CALLERS: u64 = 20_000;

/// Seven instances as in a small deployment: three in the first region, two in each of
/// the others, all alive but those named.
fn fleet(gone: &[&str], leaving: &[&str]) -> view::View {
    let mut view = view::View {
        version: view::Version(1),
        ..view::View::default()
    };
    let plan = [
        ("cq", ["c1", "c2"]),
        ("fnq", ["f1", "f2"]),
        ("seq", ["s1", "s2"]),
    ];
    for (region, domains) in plan {
        let region = view.regions.push(view::RegionData {
            name: region.into(),
        });
        for name in domains {
            let domain = view.domains.push(view::DomainData {
                name: name.into(),
                region,
            });
            let twins: &[&str] = if name == "s1" { &["a", "b"] } else { &["a"] };
            for twin in twins {
                let name: Arc<str> = format!("{name}-{twin}").into();
                if gone.contains(&&*name) {
                    continue;
                }
                let state = if leaving.contains(&&*name) {
                    view::State::Leaving
                } else {
                    view::State::Live
                };
                view.members.push(view::MemberData {
                    name,
                    incarnation: view::Incarnation(1),
                    domain,
                    addr: ([127, 0, 0, 1], 1).into(),
                    peer: ([127, 0, 0, 1], 2).into(),
                    state,
                });
            }
        }
    }
    view
}

/// Names of a caller's choices, in order.
fn chosen(view: &view::View, region: Option<&str>, caller: u64) -> Vec<Arc<str>> {
    let table = lookup::Table::new(view);
    names(view, &table, region, caller)
}

fn names(
    view: &view::View,
    table: &lookup::Table,
    region: Option<&str>,
    caller: u64,
) -> Vec<Arc<str>> {
    let region = region.and_then(|name| view.region(name));
    let choices = table.choose(region, caller);
    let choices = choices.into_iter().flatten();
    choices.map(|m| Arc::clone(&view.members[m].name)).collect()
}

/// How many callers have each instance as their first choice.
fn first(view: &view::View, region: Option<&str>) -> Vec<(Arc<str>, u64)> {
    let table = lookup::Table::new(view);
    let mut counts: Vec<(Arc<str>, u64)> = Vec::new();
    for caller in 0..CALLERS {
        let hash = lookup::hash_bytes(&caller.to_le_bytes());
        let name = names(view, &table, region, hash).swap_remove(0);
        match counts.binary_search_by(|c| c.0.cmp(&name)) {
            Ok(at) => counts[at].1 += 1,
            Err(at) => counts.insert(at, (name, 1)),
        }
    }
    counts
}

/// Within a twentieth of an even share.
fn assert_even(counts: &[(Arc<str>, u64)], instances: u64) {
    assert_eq!(counts.len() as u64, instances, "{counts:?}");
    let even = CALLERS / instances;
    for (name, count) in counts {
        assert!(
            count.abs_diff(even) < even / 20,
            "{name} has {count} of {even}"
        );
    }
}

#[rstest]
#[case::unknown(None, &[], 7)]
#[case::home(Some("seq"), &[], 3)]
#[case::one_gone(None, &["f2-a"], 6)]
#[case::twin_gone(None, &["s1-b"], 6)]
#[case::one_of_home_gone(Some("seq"), &["s2-a"], 2)]
#[case::home_gone(Some("fnq"), &["f1-a", "f2-a"], 5)]
fn choose_evenly(#[case] region: Option<&str>, #[case] gone: &[&str], #[case] instances: u64) {
    assert_even(&first(&fleet(gone, &[]), region), instances);
}

#[test]
fn choose_moves_only_callers_of_gone() {
    let (before, after) = (fleet(&[], &[]), fleet(&["c1-a"], &[]));
    for caller in 0..1_000_u64 {
        let hash = lookup::hash_bytes(&caller.to_le_bytes());
        let old = chosen(&before, None, hash);
        let new = chosen(&after, None, hash);
        if &*old[0] == "c1-a" {
            // The second choice, which the caller holds already, is the new first.
            assert_eq!(new[0], old[1]);
        } else {
            assert_eq!(new[0], old[0]);
        }
    }
}

#[test]
fn choose_home_then_others() {
    let view = fleet(&[], &[]);
    let near = chosen(&view, Some("cq"), 7);
    assert_eq!(near.len(), lookup::CHOICES_MAX);
    assert!(
        near[..2].iter().all(|name| name.starts_with('c')),
        "{near:?}"
    );
    assert!(!near[2].starts_with('c'));
}

#[test]
fn choose_nobody_leaving() {
    let view = fleet(&[], &["s1-a", "s1-b"]);
    for caller in 0..100 {
        let names = chosen(&view, Some("seq"), caller);
        assert!(
            names.iter().all(|name| !name.starts_with("s1")),
            "{names:?}"
        );
    }
}

/// An operator drains an instance that still says it is live.
#[test]
fn choose_nobody_drained() {
    let mut view = fleet(&[], &[]);
    let domain = view.domain("c1").expect("the plan has it");
    view.entries.push(view::EntryData {
        name: "c1-a".into(),
        domain,
        state: view::State::Leaving,
    });
    let names = chosen(&view, Some("cq"), 1);
    assert!(!names.iter().any(|name| &**name == "c1-a"), "{names:?}");
}

#[test]
fn choose_from_nobody() {
    let view = view::View::default();
    assert_eq!(lookup::Table::new(&view).choose(None, 1), [None; 3]);
    assert!(lookup::Table::new(&view).is_empty());
}

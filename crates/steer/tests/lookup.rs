//! Tests of look-ups: callers are spread evenly, stay in their region, and only those
//! of an instance that left are moved.

use std::sync::Arc;

use rstest::rstest;
use steer::version::{lookup, view};

/// Number of callers in the tests of an even spread.
const CALLERS_COUNT: u64 = 20_000;

/// Builds a view of seven instances: three in the region `seq`, two in each of two
/// others. Those in `gone` are missing, those in `leaving` are draining.
fn view_of(gone: &[&str], leaving: &[&str]) -> view::View {
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
            let instances: &[&str] = if name == "s1" { &["a", "b"] } else { &["a"] };
            for instance in instances {
                let name: Arc<str> = format!("{name}-{instance}").into();
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

/// Returns the names of a caller's choices, in order.
fn choices_of(view: &view::View, region: Option<&str>, caller: u64) -> Vec<Arc<str>> {
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

/// Counts the callers that have each instance as their first choice.
fn count_first_choices(view: &view::View, region: Option<&str>) -> Vec<(Arc<str>, u64)> {
    let table = lookup::Table::new(view);
    let mut counts: Vec<(Arc<str>, u64)> = Vec::new();
    for caller in 0..CALLERS_COUNT {
        let hash = lookup::hash_bytes(&caller.to_le_bytes());
        let name = names(view, &table, region, hash).swap_remove(0);
        match counts.binary_search_by(|c| c.0.cmp(&name)) {
            Ok(at) => counts[at].1 += 1,
            Err(at) => counts.insert(at, (name, 1)),
        }
    }
    counts
}

/// Checks that each instance has an even share of the callers to within a twentieth.
fn assert_even(counts: &[(Arc<str>, u64)], instances: u64) {
    assert_eq!(counts.len() as u64, instances, "{counts:?}");
    let even = CALLERS_COUNT / instances;
    for (name, count) in counts {
        assert!(
            count.abs_diff(even) < even / 20,
            "{name} has {count} of {even}"
        );
    }
}

/// An uneven spread would overload one instance. The callers of an instance that is
/// gone have to be spread evenly too.
#[rstest]
#[case::unknown(None, &[], 7)]
#[case::home(Some("seq"), &[], 3)]
#[case::one_gone(None, &["f2-a"], 6)]
#[case::twin_gone(None, &["s1-b"], 6)]
#[case::one_of_home_gone(Some("seq"), &["s2-a"], 2)]
#[case::home_gone(Some("fnq"), &["f1-a", "f2-a"], 5)]
fn choose_evenly(#[case] region: Option<&str>, #[case] gone: &[&str], #[case] instances: u64) {
    assert_even(&count_first_choices(&view_of(gone, &[]), region), instances);
}

/// A caller must not move when an instance that it does not use leaves.
#[test]
fn choose_moves_only_callers_of_gone() {
    let (before, after) = (view_of(&[], &[]), view_of(&["c1-a"], &[]));
    for caller in 0..1_000_u64 {
        let hash = lookup::hash_bytes(&caller.to_le_bytes());
        let old = choices_of(&before, None, hash);
        let new = choices_of(&after, None, hash);
        if &*old[0] == "c1-a" {
            // Callers know their second choice already, and have to move to it.
            assert_eq!(new[0], old[1]);
        } else {
            assert_eq!(new[0], old[0]);
        }
    }
}

/// A caller whose region has fewer instances than choices gets those of its region
/// first, then one of another region.
#[test]
fn choose_home_then_others() {
    let view = view_of(&[], &[]);
    let choices = choices_of(&view, Some("cq"), 7);
    assert_eq!(choices.len(), lookup::CHOICES_MAX);
    assert!(
        choices[..2].iter().all(|name| name.starts_with('c')),
        "{choices:?}"
    );
    assert!(!choices[2].starts_with('c'));
}

/// An instance that is draining must not get new callers.
#[test]
fn choose_nobody_leaving() {
    let view = view_of(&[], &["s1-a", "s1-b"]);
    for caller in 0..100 {
        let names = choices_of(&view, Some("seq"), caller);
        assert!(
            names.iter().all(|name| !name.starts_with("s1")),
            "{names:?}"
        );
    }
}

/// An instance that an operator drains must not get new callers, even while it still
/// reports that it is live.
#[test]
fn choose_nobody_drained() {
    let mut view = view_of(&[], &[]);
    let domain = view.domain("c1").expect("the plan has it");
    view.entries.push(view::EntryData {
        name: "c1-a".into(),
        domain,
        state: view::State::Leaving,
    });
    let names = choices_of(&view, Some("cq"), 1);
    assert!(!names.iter().any(|name| &**name == "c1-a"), "{names:?}");
}

/// Without instances a look-up returns no choices, and does not panic.
#[test]
fn choose_from_nobody() {
    let view = view::View::default();
    assert_eq!(lookup::Table::new(&view).choose(None, 1), [None; 3]);
    assert!(lookup::Table::new(&view).is_empty());
}

//! A request that crashes targets is told to whoever joins later.

use std::sync::Arc;

use rstest::rstest;
use steer::clock::Time;
use steer::process::dispatch::{Action, Dispatch, Event, Identity};
use steer::request::arrival::Fingerprint;
use steer::request::poison::{self, Suspects};
use steer::version::view;

const PRINT: Fingerprint = Fingerprint(66);

fn fleet(members: &[(&str, u64)]) -> Arc<view::View> {
    let mut view = view::View {
        version: view::Version(1),
        ..view::View::default()
    };
    let region = view.regions.push(view::RegionData { name: "r".into() });
    let domain = view.domains.push(view::DomainData {
        name: "d".into(),
        region,
    });
    for &(name, incarnation) in members {
        view.members.push(view::MemberData {
            name: name.into(),
            incarnation: view::Incarnation(incarnation),
            domain,
            addr: ([127, 0, 0, 1], 1).into(),
            peer: ([127, 0, 0, 1], 2).into(),
            state: view::State::Live,
        });
    }
    Arc::new(view)
}

/// An instance joins, or is replaced, after a request was found to crash its
/// targets. Unless it is told, the caller's next repeat there costs two more.
#[rstest]
#[case::joined(2, &[("a", 1), ("b", 2)], 1)]
#[case::replaced(2, &[("a", 9)], 1)]
#[case::nobody_new(2, &[("a", 1)], 0)]
#[case::only_suspected(1, &[("a", 1), ("b", 2)], 0)]
fn newcomer_told(#[case] strikes: u8, #[case] members: &[(&str, u64)], #[case] told: usize) {
    let identity = Identity {
        name: "a".into(),
        domain: "d".into(),
    };
    let mut dispatch = Dispatch::new(identity, fastrand::Rng::with_seed(1));
    let mut out = Vec::new();
    let now = Time::ZERO;
    dispatch.handle(now, Event::View(fleet(&[("a", 1)])), &mut out);
    let event = Event::Suspected {
        fingerprint: PRINT,
        strikes,
    };
    dispatch.handle(now, event, &mut out);
    out.clear();
    dispatch.handle(now, Event::View(fleet(members)), &mut out);
    let word = Action::Suspect {
        fingerprint: PRINT,
        strikes,
    };
    assert_eq!(out.iter().filter(|a| **a == word).count(), told, "{out:?}");
}

/// Peers repeat a word to each newcomer; it is forgotten all the same.
#[test]
fn word_forgotten_though_repeated() {
    let mut suspects = Suspects::default();
    let mut now = Time::ZERO;
    suspects.merge(now, PRINT, poison::STRIKES_MAX);
    for _ in 0..4 {
        now = now + poison::SUSPECT_TTL / 3;
        suspects.expire(now);
        if suspects.strikes(PRINT) > 0 {
            suspects.merge(now, PRINT, poison::STRIKES_MAX);
        }
    }
    assert_eq!(suspects.strikes(PRINT), 0);
}

//! Reports of requests that crash targets to instances that join later.

use std::sync::Arc;

use rstest::rstest;
use steer::clock::Time;
use steer::process::dispatch::{Action, Dispatch, Event, Identity};
use steer::request::arrival::Fingerprint;
use steer::request::poison::{self, Suspects};
use steer::version::view;

const FINGERPRINT: Fingerprint = Fingerprint(66);

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

/// An instance joins or is replaced after a request was found to crash targets.
/// Without a report the caller's next retry there crashes two more.
#[rstest]
#[case::joined(2, &[("a", 1), ("b", 2)], 1)]
#[case::replaced(2, &[("a", 9)], 1)]
#[case::nobody_new(2, &[("a", 1)], 0)]
#[case::only_suspected(1, &[("a", 1), ("b", 2)], 0)]
fn announce_new_member(
    #[case] strikes: u8,
    #[case] members: &[(&str, u64)],
    #[case] reports: usize,
) {
    let identity = Identity {
        name: "a".into(),
        domain: "d".into(),
    };
    let mut dispatch = Dispatch::new(identity, fastrand::Rng::with_seed(1));
    let mut out = Vec::new();
    let now = Time::ZERO;
    dispatch.handle(now, Event::View(fleet(&[("a", 1)])), &mut out);
    let event = Event::Suspected {
        fingerprint: FINGERPRINT,
        strikes,
    };
    dispatch.handle(now, event, &mut out);
    out.clear();
    dispatch.handle(now, Event::View(fleet(members)), &mut out);
    let report = Action::Suspect {
        fingerprint: FINGERPRINT,
        strikes,
    };
    assert_eq!(
        out.iter().filter(|a| **a == report).count(),
        reports,
        "{out:?}"
    );
}

/// Peers repeat a report for each new instance. That must not keep the
/// fingerprint alive for ever.
#[test]
fn forget_repeated_report() {
    let mut suspects = Suspects::default();
    let mut now = Time::ZERO;
    suspects.merge(now, FINGERPRINT, poison::STRIKES_MAX);
    for _ in 0..4 {
        now = now + poison::SUSPECT_TTL / 3;
        suspects.expire(now);
        if suspects.strikes(FINGERPRINT) > 0 {
            suspects.merge(now, FINGERPRINT, poison::STRIKES_MAX);
        }
    }
    assert_eq!(suspects.strikes(FINGERPRINT), 0);
}

//! Tracking of the version in force and the pending one.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use rstest::rstest;
use steer::process::config::tracker::{OfferOutcome, Source, Tracker};
use steer::process::config::{Body, Change, File, Hash, Head};
use steer::version::view::Version;

fn body(byte: u8) -> Body {
    Body {
        hash: Hash([byte; 32]),
        bytes: vec![byte].into(),
    }
}

/// A head whose files have these bodies.
fn head(version: u64, bytes: &[u8]) -> Arc<Head> {
    let file = |&byte: &u8| File {
        name: format!("file-{byte}").into(),
        hash: Hash([byte; 32]),
    };
    Arc::new(Head {
        version: Version(version),
        recent: vec![Change {
            version: Version(version),
            id: "change".into(),
        }],
        files: bytes.iter().map(file).collect(),
    })
}

/// A tracker with version 5 in force, made of bodies 1 and 2.
fn tracker() -> Tracker {
    let mut tracker = Tracker::new(true);
    assert_eq!(
        tracker.offer(&head(5, &[1, 2]), Source::Store),
        OfferOutcome::Newer
    );
    assert!(tracker.add_body(body(1)));
    assert!(tracker.take_complete().is_none(), "body 2 is not here");
    assert!(tracker.add_body(body(2)));
    let complete = tracker.take_complete().expect("all is here");
    assert_eq!(complete.head.version, Version(5));
    assert_eq!(complete.bodies, [body(1), body(2)]);
    assert!(tracker.installed(Version(5)));
    tracker
}

/// A head below the version in force is rejected, whatever its source.
#[rstest]
#[case::older(head(4, &[1]), OfferOutcome::Stale)]
#[case::same(head(5, &[1, 2]), OfferOutcome::Same)]
#[case::forked(head(5, &[1, 3]), OfferOutcome::Forked)]
#[case::newer(head(6, &[1, 3]), OfferOutcome::Newer)]
fn head_offered(#[case] offered: Arc<Head>, #[case] outcome: OfferOutcome) {
    let peer = Source::Peer(SocketAddr::from((Ipv4Addr::LOCALHOST, 1)));
    for source in [Source::Store, peer] {
        let mut tracker = tracker();
        assert_eq!(tracker.offer(&offered, source), outcome);
        assert_eq!(tracker.version(), Version(5));
    }
}

#[test]
fn change_needs_what_changed() {
    let mut tracker = tracker();
    tracker.offer(&head(6, &[1, 3]), Source::Store);
    assert_eq!(tracker.missing_bodies(), [Hash([3; 32])]);
    assert!(!tracker.add_body(body(9)), "nobody asked for body 9");
    assert!(tracker.add_body(body(3)));
    tracker.take_complete().expect("all is here");
    assert!(tracker.installed(Version(6)));
    assert!(
        tracker.body(Hash([2; 32])).is_none(),
        "version 6 has no body 2"
    );
}

#[test]
fn rejected_once() {
    let mut tracker = tracker();
    tracker.offer(&head(6, &[1]), Source::Store);
    tracker.take_complete().expect("all is here");
    assert!(tracker.rejected(Version(6)));
    assert_eq!(tracker.version(), Version(5));
    assert_eq!(
        tracker.offer(&head(6, &[1]), Source::Store),
        OfferOutcome::Rejected
    );
    assert!(!tracker.should_request(Version(6)));
    assert!(tracker.take_complete().is_none());
}

/// A watch delivers version 7 while the driver verifies version 6. The watch
/// won't deliver it again, so version 7 has to follow.
#[rstest]
#[case::installed(true)]
#[case::rejected(false)]
fn head_while_installing(#[case] good: bool) {
    let mut tracker = tracker();
    tracker.offer(&head(6, &[1]), Source::Store);
    tracker.take_complete().expect("all is here");
    assert_eq!(
        tracker.offer(&head(7, &[2]), Source::Store),
        OfferOutcome::Newer
    );
    assert!(tracker.take_complete().is_none(), "one at a time");
    if good {
        assert!(tracker.installed(Version(6)));
        assert!(tracker.add_body(body(2)));
    } else {
        assert!(tracker.rejected(Version(6)));
    }
    let next = tracker.take_complete().expect("version 7 follows");
    assert_eq!(next.head.version, Version(7));
}

#[test]
fn install_not_asked_for() {
    let mut tracker = tracker();
    assert!(!tracker.installed(Version(9)));
    assert!(!tracker.rejected(Version(5)));
    assert_eq!(tracker.version(), Version(5));
}

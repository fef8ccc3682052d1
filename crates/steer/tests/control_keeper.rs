//! The version in force and the one being collected.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use rstest::rstest;
use steer::process::config::keeper::{Keeper, Source, Verdict};
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

/// A keeper with version 5 in force, of bodies 1 and 2.
fn keeper() -> Keeper {
    let mut keeper = Keeper::new(true);
    assert_eq!(
        keeper.offer(&head(5, &[1, 2]), Source::Store),
        Verdict::Newer
    );
    assert!(keeper.put(body(1)));
    assert!(keeper.complete().is_none(), "body 2 is not here");
    assert!(keeper.put(body(2)));
    let complete = keeper.complete().expect("all is here");
    assert_eq!(complete.head.version, Version(5));
    assert_eq!(complete.bodies, [body(1), body(2)]);
    assert!(keeper.installed(Version(5)));
    keeper
}

/// Whatever the source, a head below the version in force is never taken.
#[rstest]
#[case::older(head(4, &[1]), Verdict::Stale)]
#[case::same(head(5, &[1, 2]), Verdict::Same)]
#[case::forked(head(5, &[1, 3]), Verdict::Forked)]
#[case::newer(head(6, &[1, 3]), Verdict::Newer)]
fn head_offered(#[case] offered: Arc<Head>, #[case] verdict: Verdict) {
    let peer = Source::Peer(SocketAddr::from((Ipv4Addr::LOCALHOST, 1)));
    for source in [Source::Store, peer] {
        let mut keeper = keeper();
        assert_eq!(keeper.offer(&offered, source), verdict);
        assert_eq!(keeper.version(), Version(5));
    }
}

#[test]
fn change_needs_what_changed() {
    let mut keeper = keeper();
    keeper.offer(&head(6, &[1, 3]), Source::Store);
    assert_eq!(keeper.lacking(), [Hash([3; 32])]);
    assert!(!keeper.put(body(9)), "nobody asked for body 9");
    assert!(keeper.put(body(3)));
    keeper.complete().expect("all is here");
    assert!(keeper.installed(Version(6)));
    assert!(
        keeper.body(Hash([2; 32])).is_none(),
        "version 6 has no body 2"
    );
}

#[test]
fn rejected_once() {
    let mut keeper = keeper();
    keeper.offer(&head(6, &[1]), Source::Store);
    keeper.complete().expect("all is here");
    assert!(keeper.rejected(Version(6)));
    assert_eq!(keeper.version(), Version(5));
    assert_eq!(keeper.offer(&head(6, &[1]), Source::Store), Verdict::Barred);
    assert!(!keeper.wants(Version(6)));
    assert!(keeper.complete().is_none());
}

/// A watch tells of version 7 while the driver verifies version 6. It won't tell
/// again, so version 7 has to follow.
#[rstest]
#[case::installed(true)]
#[case::rejected(false)]
fn head_while_installing(#[case] good: bool) {
    let mut keeper = keeper();
    keeper.offer(&head(6, &[1]), Source::Store);
    keeper.complete().expect("all is here");
    assert_eq!(keeper.offer(&head(7, &[2]), Source::Store), Verdict::Newer);
    assert!(keeper.complete().is_none(), "one at a time");
    if good {
        assert!(keeper.installed(Version(6)));
        assert!(keeper.put(body(2)));
    } else {
        assert!(keeper.rejected(Version(6)));
    }
    let next = keeper.complete().expect("version 7 follows");
    assert_eq!(next.head.version, Version(7));
}

#[test]
fn install_not_asked_for() {
    let mut keeper = keeper();
    assert!(!keeper.installed(Version(9)));
    assert!(!keeper.rejected(Version(5)));
    assert_eq!(keeper.version(), Version(5));
}

//! Encoding of the messages between entry instances.

use core::time::Duration;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use rstest::rstest;
use steer::clock::Time;
use steer::process::config::{Body, Change, File, Hash, Head};
use steer::process::control::message::{Content, DomainHeartbeat, DomainSeen, Heartbeat, Message};
use steer::process::member::table::Digest;
use steer::process::member::{HealthSummary, Identity, Lifecycle, Record, Stamp, Summary};
use steer::version::view::{Incarnation, Version};
use wire::heartbeat::{self, Malformed};

const PROCESS_STAMP: Stamp = Stamp {
    generation: 1_700_000_000_000,
    incarnation: Incarnation(u64::MAX),
};

fn record(name: &str) -> Arc<Record> {
    let addr = SocketAddr::from((Ipv4Addr::new(10, 0, 0, 1), 8080));
    Arc::new(Record {
        identity: Identity {
            name: name.into(),
            domain: "seq-1".into(),
            addr,
            peer: addr,
        },
        stamp: PROCESS_STAMP,
        serial: 3,
        lifecycle: Lifecycle::Leaving,
    })
}

fn head(files: &[&str]) -> Head {
    let file = |name: &&str| File {
        name: (*name).into(),
        hash: Hash([7; 32]),
    };
    Head {
        version: Version(9),
        recent: vec![Change {
            version: Version(9),
            id: "change".into(),
        }],
        files: files.iter().map(file).collect(),
    }
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        health: HealthSummary {
            version: Version(1300),
            load: 200,
            store: true,
        },
        reply: true,
        probe: Time::from_micros(86_400_000_000),
        echo: Some(Time::from_micros(86_400_000_000)),
        tombstone: Some(4),
        table_digest: u64::MAX,
        domains_seen: vec![
            DomainSeen {
                domain: "fnq-2".into(),
                age: Duration::from_millis(700),
            };
            6
        ],
    }
}

fn domain_heartbeat() -> DomainHeartbeat {
    DomainHeartbeat {
        summary: Summary {
            count: 22,
            oldest: Version(8),
            newest: Version(9),
            load: 1,
        },
        digest: 5,
        reply: false,
        probe: Time::from_micros(1),
        echo: None,
        tombstone: None,
    }
}

fn digest() -> Digest {
    Digest {
        domain: "seq-2".into(),
        value: 1 << 60,
    }
}

fn body() -> Body {
    Body {
        hash: Hash([1; 32]),
        bytes: b"{}"[..].into(),
    }
}

fn peer_seen() -> Content {
    Content::PeerSeen {
        name: "seq-1-b".into(),
        stamp: PROCESS_STAMP,
        age: Duration::from_millis(3),
    }
}

#[rstest]
#[case::heartbeat(Content::Heartbeat(heartbeat()))]
#[case::domain_heartbeat(Content::DomainHeartbeat(domain_heartbeat()))]
#[case::sync(Content::Sync(vec![digest()]))]
#[case::records_request(Content::RecordsRequest(vec!["seq-2".into()]))]
#[case::records(Content::Records(vec![record("seq-1-b")]))]
#[case::superseded(Content::Superseded(PROCESS_STAMP))]
#[case::succeeded(Content::Succeeded(PROCESS_STAMP))]
#[case::peer_query(Content::PeerQuery("seq-1-b".into()))]
#[case::peer_seen(peer_seen())]
#[case::pull(Content::Pull(Version(7)))]
#[case::offer(Content::Offer(Arc::new(head(&["base", "site-1"]))))]
#[case::fetch(Content::Fetch(vec![Hash([3; 32])]))]
#[case::bodies(Content::Bodies(vec![body()]))]
fn message_round_trip(#[case] content: Content) {
    let message = Message {
        from: record("seq-1-a"),
        content,
    };
    let sent = heartbeat::Message::from(&message);
    let bytes = sent.encode().expect("the message can be encoded");
    assert_eq!(bytes.len() as u64, sent.wire_size());
    let read = heartbeat::Message::decode(&bytes).expect("the message can be decoded");
    assert_eq!(Message::try_from(read), Ok(message));
    // Every truncation is rejected.
    for end in 0..bytes.len() {
        let cut = heartbeat::Message::decode(&bytes[..end]);
        assert!(matches!(cut, Err(Malformed::Bytes(_))), "cut at {end}");
    }
}

/// Guards against growth of the heartbeat, which takes most of the bytes between peers.
#[test]
fn heartbeat_size() {
    let message = Message {
        from: record("seq-1-a"),
        content: Content::Heartbeat(heartbeat()),
    };
    let size = heartbeat::Message::from(&message).wire_size();
    assert!(size <= 150, "{size} bytes");
}

#[rstest]
#[case::no_name("", &["base"], Malformed::Name(0))]
#[case::unsorted("seq-1-a", &["site-1", "base"], Malformed::Order(9))]
#[case::twice("seq-1-a", &["base", "base"], Malformed::Order(9))]
fn message_malformed(#[case] name: &str, #[case] files: &[&str], #[case] error: Malformed) {
    let message = Message {
        from: record(name),
        content: Content::Offer(Arc::new(head(files))),
    };
    let sent = heartbeat::Message::from(&message);
    assert_eq!(Message::try_from(sent), Err(error));
}

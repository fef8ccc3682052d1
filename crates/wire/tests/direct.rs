//! Heartbeats of instances that steer straight to targets.

use core::time::Duration;

use rstest::rstest;
use steer::process::direct::health::Observation;
use steer::process::direct::limit::LimitReport;
use steer::process::direct::members::{Heartbeat, Registration};
use wire::direct::Message;

fn row() -> Registration {
    let addr = |port| ([10, 1, 0, 15], port).into();
    Registration {
        region: "seq".into(),
        domain: "seq-a".into(),
        callers: addr(8641),
        peers: addr(8649),
        heartbeats: addr(9000),
    }
}

fn beat() -> Heartbeat {
    Heartbeat {
        name: "edge-seq-a-1".into(),
        incarnation: u64::MAX - 3,
        seq: 240,
        is_leaving: false,
        is_stale: false,
        revision: 90_000,
        version: 130,
        registration: None,
        in_flight: vec![(0xFFFF_0001, 3), (0xFFFF_0002, 1)],
        warm_objects: vec![(0xFFFF_0001, 0xABCD_1234); 12],
        suspects: vec![(u128::MAX - 1, 2)],
        observations: vec![
            Observation::failed(0xFFFF_0001),
            Observation::slow(0xFFFF_0002, 3.5),
        ],
        limits: vec![
            LimitReport {
                target_hash: 0xFFFF_0001,
                rate: Some(2.5),
                age: Duration::from_millis(250),
            },
            LimitReport {
                target_hash: 0xFFFF_0002,
                rate: None,
                age: Duration::from_secs(1),
            },
        ],
    }
}

#[rstest]
#[case::without_row(beat())]
#[case::with_row(Heartbeat { registration: Some(row()), ..beat() })]
fn beat_there_and_back(#[case] beat: Heartbeat) {
    let bytes = Message::Heartbeat(Box::new(beat.clone().into())).encode();
    let Message::Heartbeat(read) = Message::decode(&bytes).expect("it is whole") else {
        panic!("it is a heartbeat");
    };
    assert_eq!(Heartbeat::from(*read), beat);
    for end in 0..bytes.len() {
        assert!(Message::decode(&bytes[..end]).is_err(), "cut at {end}");
    }
    let longer = [&bytes[..], b"x"].concat();
    assert!(Message::decode(&longer).is_err(), "bytes left over");
}

/// What goes to other regions is paid by the byte, and to each of them all the
/// time: a growth shows here.
#[rstest]
#[case::usual(None, 50)]
#[case::with_row(Some(row()), 90)]
fn far_beat_size(#[case] row: Option<Registration>, #[case] most: usize) {
    let far = Heartbeat {
        registration: row,
        in_flight: Vec::new(),
        warm_objects: Vec::new(),
        suspects: Vec::new(),
        observations: Vec::new(),
        limits: Vec::new(),
        ..beat()
    };
    let size = Message::Heartbeat(Box::new(far.into())).encode().len();
    assert!(size <= most, "{size} bytes");
}

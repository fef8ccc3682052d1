//! Who gets heartbeats: enough for news to reach all, and no more as the fleet
//! grows.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rstest::rstest;
use steer::process::direct::audience::Audience;
use steer::process::direct::members::Row;

use super::bench::{Bench, at, route};

/// Instances of three regions of three domains each, listed at this one, which
/// is one of the first domain. Ports tell them apart.
fn fleet(each: u16) -> (Bench, BTreeMap<u16, (String, String)>) {
    let mut bench = Bench::new(route(), &[]);
    let mut rows = BTreeMap::new();
    let mut port = 1000;
    for region in ["near", "far", "third"] {
        for domain in ["a", "b", "c"] {
            for i in 0..each {
                if (region, domain, i) == ("near", "a", 0) {
                    continue;
                }
                port += 1;
                let domain = format!("{region}-{domain}");
                let addr: SocketAddr = ([127, 0, 0, 1], port).into();
                let row = Row {
                    region: region.into(),
                    domain: domain.as_str().into(),
                    callers: addr,
                    peers: addr,
                    beats: addr,
                };
                bench
                    .direct
                    .member(at(0), &format!("{domain}-{i}"), Some(row));
                rows.insert(port, (region.to_owned(), domain));
            }
        }
    }
    (bench, rows)
}

/// A fleet of any size: each tells a bounded number, its own domain first, and
/// somebody of the rest of its region and of each other region.
#[rstest]
#[case::small(1)]
#[case::grown(3)]
#[case::large(13)]
#[case::target(166)]
fn tell_bounded_number(#[case] each: u16) {
    const MOST: usize = 24;
    let (bench, rows) = fleet(each);
    let Audience { near, region, far } = bench.direct.audience(at(10));
    let all: Vec<&SocketAddr> = near.iter().chain(&region).chain(&far).collect();
    let told = all.len();
    assert!(told <= MOST, "{told} are told each time");
    let count = |fits: &dyn Fn(&(String, String)) -> bool| {
        let told = all.iter().filter(|addr| fits(&rows[&addr.port()]));
        told.count()
    };
    let others = usize::from(each) - 1;
    let domain = count(&|r| r.1 == "near-a");
    assert_eq!(domain, others.min(12), "of the own domain");
    assert!(count(&|r| r.0 == "near" && r.1 != "near-a") >= 2);
    assert!(count(&|r| r.0 == "far") >= 1);
    assert!(count(&|r| r.0 == "third") >= 1);
    let unique: std::collections::BTreeSet<_> = all.iter().collect();
    assert_eq!(unique.len(), told, "nobody is told twice");
}

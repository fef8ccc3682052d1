//! Who gets heartbeats: enough for news to reach all, and no more as the fleet
//! grows.

use std::net::SocketAddr;

use rstest::rstest;
use steer::process::direct::members::Registration;
use steer::process::direct::recipients::Recipients;

use super::bench::{Bench, at, route};

/// Where an instance stands.
struct Stand {
    port: u16,
    region: &'static str,
    domain: String,
}

/// Instances of three regions of three domains each, listed at this one, which
/// is one of the first domain. Ports tell them apart; sorted by them.
fn fleet(each: u16) -> (Bench, Vec<Stand>) {
    let mut bench = Bench::new(route(), &[]);
    let mut stands = Vec::new();
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
                let row = Registration {
                    region: region.into(),
                    domain: domain.as_str().into(),
                    callers: addr,
                    peers: addr,
                    heartbeats: addr,
                };
                bench
                    .direct
                    .set_member(at(0), &format!("{domain}-{i}"), Some(row));
                stands.push(Stand {
                    port,
                    region,
                    domain,
                });
            }
        }
    }
    (bench, stands)
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
    let (bench, stands) = fleet(each);
    let Recipients {
        local: near,
        region,
        remote: far,
    } = bench.direct.recipients(at(10));
    let all: Vec<&SocketAddr> = near.iter().chain(&region).chain(&far).collect();
    let told = all.len();
    assert!(told <= MOST, "{told} are told each time");
    let count = |fits: &dyn Fn(&Stand) -> bool| {
        let stand = |addr: &&SocketAddr| {
            let at = stands.binary_search_by_key(&addr.port(), |s| s.port);
            &stands[at.expect("only instances of the fleet are told")]
        };
        all.iter().map(stand).filter(|s| fits(s)).count()
    };
    let others = usize::from(each) - 1;
    let domain = count(&|s| s.domain == "near-a");
    assert_eq!(domain, others.min(12), "of the own domain");
    assert!(count(&|s| s.region == "near" && s.domain != "near-a") >= 2);
    assert!(count(&|s| s.region == "far") >= 1);
    assert!(count(&|s| s.region == "third") >= 1);
    let mut unique = all.clone();
    unique.sort();
    unique.dedup();
    assert_eq!(unique.len(), told, "nobody is told twice");
}

//! Recipients of heartbeats: updates reach all instances, at a bounded cost for each.

use std::net::SocketAddr;

use rstest::rstest;
use steer::process::direct::members::Registration;
use steer::process::direct::recipients::Recipients;

use super::bench::{Bench, at, route};

/// Address and location of an instance.
struct Location {
    port: u16,
    region: &'static str,
    domain: String,
}

/// Instances of three regions with three domains each, registered at this one, which is
/// in the first domain. Sorted by their ports, which identify them.
fn fleet(per_domain: u16) -> (Bench, Vec<Location>) {
    let mut bench = Bench::new(route(), &[]);
    let mut locations = Vec::new();
    let mut port = 1000;
    for region in ["near", "far", "third"] {
        for domain in ["a", "b", "c"] {
            for i in 0..per_domain {
                if (region, domain, i) == ("near", "a", 0) {
                    continue;
                }
                port += 1;
                let domain = format!("{region}-{domain}");
                let addr: SocketAddr = ([127, 0, 0, 1], port).into();
                let registration = Registration {
                    region: region.into(),
                    domain: domain.as_str().into(),
                    callers: addr,
                    peers: addr,
                    heartbeats: addr,
                };
                bench
                    .direct
                    .set_member(at(0), &format!("{domain}-{i}"), Some(registration));
                locations.push(Location {
                    port,
                    region,
                    domain,
                });
            }
        }
    }
    (bench, locations)
}

/// In a fleet of any size, the number of recipients is bounded and includes the own
/// domain first, then some of the rest of the region and of every other region.
#[rstest]
#[case::small(1)]
#[case::grown(3)]
#[case::large(13)]
#[case::target(166)]
fn bounded_recipients(#[case] per_domain: u16) {
    const RECIPIENTS_MAX: usize = 24;
    let (bench, locations) = fleet(per_domain);
    let Recipients {
        local,
        region,
        remote,
    } = bench.direct.recipients(at(10));
    let all: Vec<&SocketAddr> = local.iter().chain(&region).chain(&remote).collect();
    let total = all.len();
    assert!(total <= RECIPIENTS_MAX, "{total} recipients");
    let count = |fits: &dyn Fn(&Location) -> bool| {
        let location = |addr: &&SocketAddr| {
            let at = locations.binary_search_by_key(&addr.port(), |s| s.port);
            &locations[at.expect("only instances of the fleet are recipients")]
        };
        all.iter().map(location).filter(|s| fits(s)).count()
    };
    let others = usize::from(per_domain) - 1;
    let domain = count(&|s| s.domain == "near-a");
    assert_eq!(domain, others.min(12), "in the own domain");
    assert!(count(&|s| s.region == "near" && s.domain != "near-a") >= 2);
    assert!(count(&|s| s.region == "far") >= 1);
    assert!(count(&|s| s.region == "third") >= 1);
    let mut unique = all.clone();
    unique.sort();
    unique.dedup();
    assert_eq!(unique.len(), total, "a recipient is listed twice");
}

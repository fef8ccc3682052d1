//! Instances that callers are told to connect to: all of a fleet share them, and the
//! loss of a failure domain leaves others.

use std::net::SocketAddr;

use rstest::rstest;
use steer::process::direct::referral::{self, Candidate};

/// Largest number of instances in one answer.
const MAX: usize = 64;

/// Names of the instances of three failure domains, sorted.
fn names(per_domain: usize) -> Vec<String> {
    let domains = ["a", "b", "c"].iter();
    domains
        .flat_map(|d| (0..per_domain).map(move |n| format!("{d}-{n:03}")))
        .collect()
}

fn candidates(names: &[String]) -> Vec<Candidate<'_>> {
    let all = (1..).zip(names);
    all.map(|(port, name): (u16, _)| Candidate {
        name,
        domain: &name[..1],
        callers: ([127, 0, 0, 1], port).into(),
    })
    .collect()
}

/// An answer has room for 64 instances. Of 328 in a region, the first 64 by name were
/// named to all callers, in one failure domain, and the others got none.
#[rstest]
#[case::hundreds(110)]
#[case::twice_that(220)]
fn name_all_instances_evenly(#[case] per_domain: usize) {
    let names = names(per_domain);
    let candidates = candidates(&names);
    let mut counts = vec![0_usize; names.len() + 1];
    for own in &names {
        let named = referral::select(own, &candidates, MAX);
        assert_eq!(named.len(), MAX);
        for addr in &named {
            counts[usize::from(addr.port())] += 1;
        }
        for domain in 0..3 {
            let ports = domain * per_domain + 1..=(domain + 1) * per_domain;
            let of_domain = named.iter().filter(|a| ports.contains(&a.port().into()));
            let count = of_domain.count();
            assert!((21..=22).contains(&count), "{own}: {count}");
        }
    }
    let least = counts[1..].iter().min().copied().unwrap_or_default();
    let most = counts[1..].iter().max().copied().unwrap_or_default();
    assert!(least >= MAX / 2 && most <= MAX * 2, "{least} to {most}");
}

#[test]
fn name_all_of_few_in_given_order() {
    let names = names(20);
    let candidates = candidates(&names);
    let all: Vec<SocketAddr> = candidates.iter().map(|c| c.callers).collect();
    assert_eq!(referral::select("a-000", &candidates, MAX), all);
}

/// Callers close connections to instances that are no longer named.
#[test]
fn keep_named_instances_when_one_leaves() {
    let names = names(110);
    let candidates = candidates(&names);
    let before = referral::select("a-000", &candidates, MAX);
    let left: Vec<Candidate<'_>> = candidates
        .into_iter()
        .filter(|c| c.callers != before[0])
        .collect();
    let after = referral::select("a-000", &left, MAX);
    let kept = after.iter().filter(|a| before.contains(a)).count();
    assert_eq!(kept, MAX - 1);
}

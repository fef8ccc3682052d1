//! Instances that callers are told to connect to: the loss of a failure domain leaves
//! others.

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

/// An answer has room for 64 instances. Of the hundreds of a region the first by name
/// were named to all callers, so that one failure domain had all of them.
#[rstest]
#[case::hundreds(110)]
#[case::twice_that(220)]
fn name_instances_of_all_domains(#[case] per_domain: usize) {
    let names = names(per_domain);
    let candidates = candidates(&names);
    let chosen = referral::select("near", &candidates, MAX);
    assert_eq!(chosen.len(), MAX);
    for domain in 0..3 {
        let ports = domain * per_domain + 1..=(domain + 1) * per_domain;
        let of_domain = chosen.iter().filter(|a| ports.contains(&a.port().into()));
        let count = of_domain.count();
        assert!((21..=22).contains(&count), "{count} of domain {domain}");
    }
}

/// Instances list the others in orders of their own, each itself first.
#[test]
fn name_same_instances_everywhere() {
    let names = names(110);
    let mut candidates = candidates(&names);
    let chosen = referral::select("near", &candidates, MAX);
    candidates.rotate_left(100);
    assert_eq!(referral::select("near", &candidates, MAX), chosen);
}

#[test]
fn name_all_of_few_in_given_order() {
    let names = names(20);
    let candidates = candidates(&names);
    let all: Vec<SocketAddr> = candidates.iter().map(|c| c.callers).collect();
    assert_eq!(referral::select("near", &candidates, MAX), all);
}

/// Callers close connections to instances that are no longer chosen.
#[test]
fn keep_named_instances_when_one_leaves() {
    let names = names(110);
    let candidates = candidates(&names);
    let before = referral::select("near", &candidates, MAX);
    let left: Vec<Candidate<'_>> = candidates
        .into_iter()
        .filter(|c| c.callers != before[0])
        .collect();
    let after = referral::select("near", &left, MAX);
    let kept = after.iter().filter(|a| before.contains(a)).count();
    assert_eq!(kept, MAX - 1);
}

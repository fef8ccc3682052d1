//! Keys, home regions and priorities of teams.

use core::time::Duration;
use std::sync::Arc;

use rstest::rstest;
use steer::clock::Time;
use steer::process::direct::access::{self, Access, Authorized, Credential};
use steer::process::direct::upstream::Upstream;
use steer::process::direct::{
    Assignment, AttemptOutcome, Bounds, Decision, Direct, FollowUp, Rejection, Request, Withheld,
};
use steer::request::arrival::Fingerprint;
use steer::version::routes::Route;
use steer::version::teams::{Conflict, KeyDigest, Team, Teams};

use super::bench::{Bench, at, entry, route, routes};

const BOUNDS: access::Bounds = access::Bounds {
    config: Some(Duration::from_secs(3)),
    revocation: Some(Duration::from_secs(5)),
};

fn key(text: &str) -> KeyDigest {
    KeyDigest::of(text.as_bytes())
}

fn team(name: &str, homes: &[&str], priority: Option<u32>) -> Team {
    Team {
        name: name.into(),
        priority,
        home_regions: homes.iter().map(|home| Arc::from(*home)).collect(),
        quota: None,
    }
}

/// Installs this version of the configuration, with these teams and one key each.
fn configure(direct: &mut Direct, version: u64, route: Route, teams: Vec<Team>) {
    let keyed = |team: Team| {
        let key = key(&team.name);
        (team, vec![key])
    };
    install(
        direct,
        version,
        route,
        teams.into_iter().map(keyed).collect(),
    );
}

/// Installs this version of the configuration, with these teams and their keys.
fn install(direct: &mut Direct, version: u64, route: Route, teams: Vec<(Team, Vec<KeyDigest>)>) {
    let teams = Teams::new(teams).expect("no two are alike");
    direct.install(Arc::new(routes(version, route).with_teams(teams)));
}

/// An instance with a local and a remote target, and these teams.
fn bench(route: Route, teams: Vec<Team>) -> Bench {
    let targets = [entry("t1", "near-a"), entry("t2", "far-a")];
    let mut bench = Bench::bounded(route.clone(), &targets, |bounds| Bounds {
        access: BOUNDS,
        ..bounds
    });
    configure(&mut bench.direct, 2, route, teams);
    bench
}

fn access(bench: &Bench, now: Time, presented: Credential) -> Access {
    let routes = bench.direct.routes().expect("one is in force");
    bench.direct.access(now, routes, &bench.route, presented)
}

fn team_request(bench: &Bench, now: Time, team: &str) -> Request {
    let routes = bench.direct.routes().expect("one is in force");
    let team = routes.teams.get(team).expect("it is there");
    Request {
        route: Arc::clone(&bench.route),
        authorized: Some(Authorized {
            team: Arc::clone(team),
            key: key(&team.name),
        }),
        object: None,
        deadline: now + Duration::from_secs(4),
        fingerprint: Fingerprint(1),
    }
}

#[rstest]
#[case::key(Credential::Key(key("masons")), "granted")]
#[case::unknown_key(Credential::Key(key("nobody")), "denied")]
#[case::no_key(Credential::Missing, "denied")]
#[case::malformed(Credential::Malformed, "denied")]
fn authorize_key(#[case] presented: Credential, #[case] expected: &str) {
    let mut bench = bench(route(), vec![team("masons", &[], None)]);
    bench.direct.confirm_up_to(at(1_000));
    let name = |access| match access {
        Access::Open => "open",
        Access::Granted(authorized) if &*authorized.team.name == "masons" => "granted",
        Access::Granted(_) => "another team's",
        Access::Denied => "denied",
        Access::KeysStale => "unsure",
    };
    assert_eq!(name(access(&bench, at(1_500), presented)), expected);
    // Too stale to say that a key is unknown, but not that it is known: the store
    // rejects this instance.
    bench.direct.upstream_failed(at(4_000), &Upstream::Store);
    let refused = if expected == "granted" {
        "granted"
    } else {
        "unsure"
    };
    assert_eq!(name(access(&bench, at(4_500), presented)), refused);
    assert_eq!(name(access(&bench, at(6_000), presented)), "unsure");
}

#[test]
fn serve_open_route_without_key() {
    let open = Route {
        is_public: true,
        ..route()
    };
    let bench = bench(open, vec![team("masons", &[], None)]);
    assert_eq!(access(&bench, at(1_000), Credential::Missing), Access::Open);
    let unknown = Credential::Key(key("nobody"));
    assert_eq!(access(&bench, at(1_000), unknown), Access::Open);
}

#[test]
fn need_no_key_without_teams() {
    let bench = bench(route(), Vec::new());
    assert_eq!(
        access(&bench, at(60_000), Credential::Missing),
        Access::Open
    );
    assert!(bench.direct.is_fit_for_callers(at(60_000)));
}

/// A key is revoked while this instance is cut off from the store.
#[test]
fn refuse_keys_before_bound() {
    let mut bench = bench(route(), vec![team("masons", &[], None)]);
    bench.direct.confirm_up_to(at(1_000));
    assert!(
        bench.direct.is_fit_for_callers(at(3_900)) && !bench.direct.is_fit_for_callers(at(4_100))
    );
    // An instance that can read the store is held to the shorter configuration bound.
    assert!(bench.direct.has_current_keys(at(3_700)) && !bench.direct.has_current_keys(at(3_800)));
    bench.direct.upstream_failed(at(3_800), &Upstream::Store);
    assert!(bench.direct.has_current_keys(at(5_700)) && !bench.direct.has_current_keys(at(6_000)));
    // A late, older confirmation changes nothing.
    bench.direct.confirm_up_to(at(500));
    assert!(!bench.direct.has_current_keys(at(6_000)));
    bench.direct.confirm_up_to(at(5_900));
    assert!(bench.direct.is_fit_for_callers(at(6_000)));
}

/// A configuration that can't be parsed may revoke keys.
#[test]
fn refuse_keys_while_configuration_is_unreadable() {
    let mut bench = bench(route(), vec![team("masons", &[], None)]);
    bench.direct.confirm_up_to(at(1_000));
    bench.direct.config_unreadable();
    bench.direct.confirm_up_to(at(1_100));
    assert!(!bench.direct.has_current_keys(at(1_200)));
    configure(
        &mut bench.direct,
        3,
        route(),
        vec![team("masons", &[], None)],
    );
    assert!(bench.direct.has_current_keys(at(1_200)));
}

/// A request's key is revoked while it waits for a target.
#[rstest]
#[case::revoked(true, Rejection::Denied)]
#[case::stale(false, Rejection::KeysStale)]
fn withhold_waiting_request(#[case] is_revoked: bool, #[case] expected: Rejection) {
    let mut bench = bench(route(), vec![team("masons", &[], None)]);
    bench.direct.confirm_up_to(at(0));
    bench.direct.upstream_failed(at(3_900), &Upstream::Store);
    let held: Vec<_> = (0..8)
        .map(|_| {
            let request = team_request(&bench, at(4_000), "masons");
            let accepted = bench.direct.submit(at(4_000), request);
            let ticket = accepted.expect("the route has a service");
            bench.direct.step(at(4_000));
            ticket
        })
        .collect();
    assert!(bench.direct.waiting_count() > 0, "the targets are full");
    let later = if is_revoked {
        configure(&mut bench.direct, 3, route(), Vec::new());
        configure(
            &mut bench.direct,
            4,
            route(),
            vec![team("other", &[], None)],
        );
        bench.direct.confirm_up_to(at(4_100));
        at(4_100)
    } else {
        at(4_900)
    };
    let waiting = bench.direct.waiting_count();
    let decisions = bench.direct.step(later);
    let reasons: Vec<Rejection> = decisions
        .iter()
        .filter_map(|decision| match decision {
            Decision::Reject { reason, .. } => Some(*reason),
            Decision::Send(_) | Decision::GiveUp { .. } => None,
        })
        .collect();
    assert_eq!(reasons, vec![expected; waiting]);
    assert_eq!(held.len(), 8);
}

/// A key that moved to another team counted as revoked, and who waited was denied.
#[test]
fn withhold_request_whose_key_moved() {
    let (mut bench, assignment) = sent_for_team();
    let teams = vec![(team("other", &[], None), vec![key("masons")])];
    install(&mut bench.direct, 3, route(), teams);
    let reason = bench.direct.withheld(at(20), &assignment);
    assert_eq!(reason, Some(Withheld::Key));
    let next = bench
        .direct
        .finish_attempt(at(20), assignment.ticket, AttemptOutcome::Withdrawn);
    assert_eq!(next, FollowUp::Retry);
    let Some(Decision::Reject { reason, .. }) = bench.decide(at(20)) else {
        panic!("it may not go on as it is");
    };
    assert_eq!(reason, Rejection::KeyMoved);
    let presented = Credential::Key(key("masons"));
    let Access::Granted(authorized) = access(&bench, at(20), presented) else {
        panic!("the key is known");
    };
    assert_eq!(&*authorized.team.name, "other");
}

/// A request of team `masons` that is sent at 10 ms.
fn sent_for_team() -> (Bench, Assignment) {
    let mut bench = bench(route(), vec![team("masons", &[], None)]);
    bench.direct.confirm_up_to(at(0));
    let request = team_request(&bench, at(10), "masons");
    bench
        .direct
        .submit(at(10), request)
        .expect("it is accepted");
    let Some(Decision::Send(assignment)) = bench.decide(at(10)) else {
        panic!("a target is free");
    };
    (bench, assignment)
}

/// A request's key is revoked just before the request is sent or retried.
#[test]
fn withhold_request_before_it_is_sent() {
    let (mut bench, assignment) = sent_for_team();
    assert_eq!(bench.direct.withheld(at(20), &assignment), None);
    configure(
        &mut bench.direct,
        3,
        route(),
        vec![team("other", &[], None)],
    );
    assert_eq!(
        bench.direct.withheld(at(20), &assignment),
        Some(Withheld::Key)
    );
    let next = bench
        .direct
        .finish_attempt(at(20), assignment.ticket, AttemptOutcome::Withdrawn);
    assert_eq!(next, FollowUp::Retry);
    let Some(Decision::Reject { reason, .. }) = bench.decide(at(20)) else {
        panic!("it may not go on");
    };
    assert_eq!(reason, Rejection::Denied);
}

/// A request that may have run is never reported as refused, even if its key is gone.
#[test]
fn unknown_outcome_after_revoked_key() {
    let (mut bench, assignment) = sent_for_team();
    configure(
        &mut bench.direct,
        3,
        route(),
        vec![team("other", &[], None)],
    );
    let next =
        bench
            .direct
            .finish_attempt(at(20), assignment.ticket, AttemptOutcome::ConnectionLost);
    assert_eq!(next, FollowUp::Retry);
    let Some(Decision::Reject { reason, .. }) = bench.decide(at(20)) else {
        panic!("it may not go on");
    };
    assert_eq!(reason, Rejection::OutcomeUnknown);
}

/// A request runs only in regions that are homes of both its route and its team.
#[rstest]
#[case::neither(&[], &[], Some("t1"))]
#[case::route(&["far"], &[], Some("t2"))]
#[case::team(&[], &["far"], Some("t2"))]
#[case::both(&["far", "near"], &["far"], Some("t2"))]
#[case::both_near(&["near"], &["far", "near"], Some("t1"))]
#[case::disjoint(&["near"], &["far"], None)]
fn place_in_home_regions(
    #[case] of_route: &[&str],
    #[case] of_team: &[&str],
    #[case] expected: Option<&str>,
) {
    let home_regions: Vec<Arc<str>> = of_route.iter().map(|home| Arc::from(*home)).collect();
    let homed = Route {
        home_regions,
        ..route()
    };
    let mut bench = bench(homed, vec![team("masons", of_team, None)]);
    bench.direct.confirm_up_to(at(0));
    let request = team_request(&bench, at(10), "masons");
    let accepted = bench.direct.submit(at(10), request);
    let Some(expected) = expected else {
        assert_eq!(accepted, Err(Rejection::NoRegion));
        return;
    };
    accepted.expect("it is accepted");
    let Some(Decision::Send(assignment)) = bench.decide(at(10)) else {
        panic!("a target is free");
    };
    assert_eq!(&*assignment.target, expected);
    // A retry stays within the home regions.
    let next = bench
        .direct
        .finish_attempt(at(20), assignment.ticket, AttemptOutcome::NotRun);
    assert_eq!(next, FollowUp::Retry);
    match bench.decide(at(20)) {
        Some(Decision::Send(assignment)) => {
            assert!(of_route.is_empty() && of_team.is_empty(), "{assignment:?}");
        }
        Some(Decision::Reject { .. } | Decision::GiveUp { .. }) | None => {}
    }
}

/// A team's priority outranks its route's.
#[test]
fn send_urgent_team_first() {
    let teams = vec![team("masons", &[], Some(0)), team("office", &[], Some(5))];
    let mut bench = bench(route(), teams);
    bench.direct.confirm_up_to(at(0));
    let first = team_request(&bench, at(10), "office");
    let second = team_request(&bench, at(10), "masons");
    bench.direct.submit(at(10), first).expect("it is accepted");
    let urgent = bench.direct.submit(at(10), second).expect("it is accepted");
    let decisions = bench.direct.step(at(10));
    let Some(Decision::Send(assignment)) = decisions.first() else {
        panic!("a target is free");
    };
    assert_eq!(assignment.ticket, urgent);
}

#[test]
fn refuse_key_of_two_teams() {
    let shared = vec![key("shared")];
    let found = Teams::new(vec![
        (team("masons", &[], None), shared.clone()),
        (team("office", &[], None), shared),
    ]);
    let Err(conflict @ Conflict::Key { .. }) = found else {
        panic!("they share a key: {found:?}");
    };
    assert!(!conflict.to_string().contains("shared k"), "{conflict}");
}

#[test]
fn key_prints_as_digest() {
    let digest = key("dqiqrh4jcda9rgy35iei");
    let printed = format!("{digest} {digest:?} {:?}", Credential::Key(digest));
    assert!(!printed.contains("dqiqrh4jcda9rgy35iei"), "{printed}");
    assert_eq!(KeyDigest::parse(&digest.hex()), Some(digest));
    assert_eq!(KeyDigest::parse("dqiq"), None);
}

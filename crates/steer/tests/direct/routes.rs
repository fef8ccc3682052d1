//! Lookup of a request's route, and weighted splits of a route over services.

use rstest::rstest;
use steer::process::direct::split::Splits;
use steer::version::routes::{Route, Routes, WeightedService};

use super::bench;

fn table() -> Routes {
    let named = |name: &str, host: &str, prefix: &str| Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        ..bench::route()
    };
    let routes = vec![
        named("all", "a.example", "/"),
        named("view", "a.example", "/view/"),
        named("deep", "a.example", "/view/deep/"),
        named("other", "b.example", "/view/"),
    ];
    let limits = bench::routes(1, bench::route()).limits;
    Routes::new(1, routes, Vec::new(), limits).expect("no two routes conflict")
}

#[rstest]
#[case::root("a.example", "/x", Some("all"))]
#[case::prefix("a.example", "/view/1", Some("view"))]
#[case::longest("a.example", "/view/deep/1", Some("deep"))]
#[case::whole_prefix("a.example", "/view/", Some("view"))]
#[case::not_a_part_of_a_name("a.example", "/viewing", Some("all"))]
#[case::other_host("b.example", "/view/1", Some("other"))]
#[case::no_prefix("b.example", "/x", None)]
#[case::no_host("c.example", "/view/1", None)]
#[case::no_path("a.example", "*", None)]
fn find_route(#[case] host: &str, #[case] path: &str, #[case] name: Option<&str>) {
    let table = table();
    let found = table.find(host, path).map(|r| &*r.name);
    assert_eq!(found, name);
}

#[test]
fn refuse_two_routes_of_one_prefix() {
    let limits = bench::routes(1, bench::route()).limits;
    let routes = vec![bench::route(), bench::route()];
    let conflict = Routes::new(1, routes, Vec::new(), limits).expect_err("the routes conflict");
    assert_eq!((&*conflict.first, &*conflict.second), ("view", "view"));
}

/// Every run of ten requests, from the first on, must give each part its share to
/// within one request. A random draw would miss it by a fifth at a few requests per
/// second.
#[test]
fn split_every_run() {
    let part = |service: &str, weight| WeightedService {
        service: service.into(),
        weight,
    };
    let route = Route {
        services: vec![part("old", 70.0), part("new", 30.0)],
        ..bench::route()
    };
    for offset in [0.0, 0.3, 0.99] {
        let mut splits = Splits::default();
        let picks: Vec<bool> = (0..100)
            .map(|_| &*splits.next(&route, offset).expect("it has parts") == "new")
            .collect();
        for run in picks.windows(10) {
            let new = run.iter().filter(|p| **p).count();
            assert!((2..=4).contains(&new), "{new} of 10 at {offset}");
        }
    }
}

//! The operator's configuration.

use std::fmt::Write;

/// A route; its service has the same name.
pub struct Route {
    pub prefix: &'static str,
    pub service: &'static str,
    pub kind: &'static str,
    pub timeout_s: f64,
}

/// Host of all routes.
pub const HOST: &str = "a.example";

/// The document with these routes, and the limits that the pages show.
pub fn document(version: u64, routes: &[Route]) -> String {
    document_with(version, routes, 0)
}

/// The same with this many routes more, which nobody uses.
pub fn document_with(version: u64, routes: &[Route], more: usize) -> String {
    let mut resources = String::new();
    for Route {
        prefix,
        service,
        kind,
        timeout_s,
    } in routes
    {
        let name = prefix.trim_matches('/');
        let _ = write!(
            resources,
            r#"{{"entry_kind":"routes","metadata":{{"name":"r-{name}"}},"spec":{{"host":"{HOST}","prefix":"{prefix}","kind":"{kind}","timeout_s":{timeout_s},"goal_s":0.8,"priority":1,"service":"{service}","attempts":2,"affinity":false,"home_regions":[]}}}},"#
        );
    }
    let service = routes[0].service;
    for number in 0..more {
        let _ = write!(
            resources,
            r#"{{"entry_kind":"routes","metadata":{{"name":"r-more{number}"}},"spec":{{"host":"jepu9.example","prefix":"/more{number}/","kind":"unsafe","timeout_s":3,"goal_s":0.8,"priority":1,"service":"{service}","attempts":2,"affinity":true,"home_regions":[]}}}},"#
        );
    }
    let mut services: Vec<&str> = routes.iter().map(|route| route.service).collect();
    services.sort_unstable();
    services.dedup();
    for service in services {
        let _ = write!(
            resources,
            r#"{{"entry_kind":"services","metadata":{{"name":"{service}"}},"spec":{{"health_path":"/health","max_conns":330,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":2.0}}}},"#
        );
    }
    resources += r#"{"entry_kind":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#;
    format!(r#"{{"version":{version},"resources":[{resources}]}}"#)
}

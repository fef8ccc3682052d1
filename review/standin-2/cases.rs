//! The cases.

mod continuation;
mod moved_key;
mod read_on;
mod stop;
mod uploads;

use std::sync::{Arc, Mutex};

use crate::record::Record;
use crate::store::Store;
use crate::target::{Run, Target};
use crate::{Failure, Verdict};

/// Service of the targets that a platform starts with.
pub const SERVICE: &str = "archive";

/// Host of all requests.
pub const HOST: &str = "a.example";

/// Plays a case by its name.
pub fn play(
    case: &str,
    program: &str,
    record: &Record,
    has_trouble: bool,
) -> Result<Verdict, Failure> {
    match case {
        "continuation" => continuation::play(program, record, has_trouble),
        "moved-key" => moved_key::play(program, record, has_trouble),
        "uploads" => uploads::play(program, record, has_trouble),
        "read-on" => read_on::play(program, record, has_trouble),
        "stop" => stop::play(program, record, has_trouble),
        _ => Err(format!("there is no case {case}").into()),
    }
}

/// A store with a configuration, and targets of one service.
pub struct Platform {
    pub store: Store,
    pub runs: Arc<Mutex<Vec<Run>>>,
}

/// A route of the configuration.
pub struct Route<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub timeout_s: f64,
    pub goal_s: f64,
    pub service: &'a str,
}

/// Largest body of a request in bytes, as `fleetbench wire` shows it.
pub const BODY_BYTES_MAX: usize = 67_108_864;

/// A tenant of the configuration.
pub struct Tenant<'a> {
    pub name: &'a str,
    pub keys: &'a [&'a str],
}

/// Further bounds of an installation with tenants.
pub const TENANT_BOUNDS: &str =
    r#""revoke_s": 5, "quota_window_s": 5, "quota_excess": 0.1, "quota_slack": 20,"#;

impl Platform {
    /// Starts a store and targets, one in each of four failure domains.
    pub fn start(
        routes: &[Route<'_>],
        tenants: &[Tenant<'_>],
        record: &Record,
    ) -> Result<Self, Failure> {
        let store = Store::start()?;
        let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
        for (number, domain) in ["seq-a", "seq-b", "cq-a", "cq-b"].iter().enumerate() {
            let target = Target::start(&format!("i-{number:04x}"), &runs, record)?;
            target.register(&store, SERVICE, domain, 3);
        }
        store.write("op/config", &document(7, routes, tenants));
        Ok(Self { store, runs })
    }
}

/// The operator's document, as the pages show it.
pub fn document(version: u32, routes: &[Route<'_>], tenants: &[Tenant<'_>]) -> String {
    let mut resources: Vec<String> = Vec::new();
    for route in routes {
        let Route {
            name,
            prefix,
            kind,
            timeout_s,
            goal_s,
            service,
        } = route;
        resources.push(format!(
            r#"{{"entry_kind":"routes","metadata":{{"name":"{name}"}},"spec":{{"host":"{HOST}","prefix":"{prefix}","kind":"{kind}","timeout_s":{timeout_s},"goal_s":{goal_s},"priority":1,"service":"{service}","attempts":2,"anonymous":false,"affinity":true,"home_regions":[]}}}}"#
        ));
    }
    for Tenant { name, keys } in tenants {
        let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
        let keys = keys.join(",");
        resources.push(format!(
            r#"{{"entry_kind":"tenants","metadata":{{"name":"{name}"}},"spec":{{"api_keys":[{keys}],"priority":1,"rate_per_s":0,"burst":0,"home_regions":[]}}}}"#
        ));
    }
    let mut services: Vec<&str> = routes.iter().map(|route| route.service).collect();
    services.sort_unstable();
    services.dedup();
    for service in services {
        resources.push(format!(
            r#"{{"entry_kind":"services","metadata":{{"name":"{service}"}},"spec":{{"health_path":"/health","max_conns":330,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":2.0}}}}"#
        ));
    }
    resources.push(
        format!(r#"{{"entry_kind":"limits","metadata":{{}},"spec":{{"max_header_bytes":16384,"max_body_bytes":{BODY_BYTES_MAX},"header_timeout_s":3,"idle_timeout_s":15}}}}"#),
    );
    format!(
        r#"{{"version":{version},"resources":[{}]}}"#,
        resources.join(",")
    )
}

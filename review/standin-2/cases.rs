//! The cases.

mod continuation;
mod stop;

use std::sync::{Arc, Mutex};

use crate::record::Record;
use crate::store::Store;
use crate::target::{Run, Target};
use crate::{Failure, Verdict};

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
        "stop" => stop::play(program, record, has_trouble),
        _ => Err(format!("there is no case {case}").into()),
    }
}

/// A store with a configuration, and targets of one service.
pub struct Platform {
    pub store: Store,
    pub runs: Arc<Mutex<Vec<Run>>>,
    _targets: Vec<Target>,
}

/// A route of the configuration.
pub struct Route<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub timeout_s: f64,
    pub goal_s: f64,
}

impl Platform {
    /// Starts a store and targets, two in each of three failure domains.
    pub fn start(routes: &[Route<'_>], record: &Record) -> Result<Self, Failure> {
        let store = Store::start()?;
        let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
        let mut targets = Vec::new();
        for (number, domain) in ["seq-a", "seq-b", "cq-a", "cq-b"].iter().enumerate() {
            let target = Target::start(&format!("i-{number:04x}"), &runs, record)?;
            target.register(&store, "archive", domain, 3);
            targets.push(target);
        }
        store.write("op/config", &document(routes));
        Ok(Self {
            store,
            runs,
            _targets: targets,
        })
    }
}

/// The operator's document, as the pages show it.
fn document(routes: &[Route<'_>]) -> String {
    let mut resources: Vec<String> = Vec::new();
    for route in routes {
        let Route {
            name,
            prefix,
            kind,
            timeout_s,
            goal_s,
        } = route;
        resources.push(format!(
            r#"{{"entry_kind":"routes","metadata":{{"name":"{name}"}},"spec":{{"host":"{HOST}","prefix":"{prefix}","kind":"{kind}","timeout_s":{timeout_s},"goal_s":{goal_s},"priority":1,"service":"archive","attempts":2,"affinity":true,"home_regions":[]}}}}"#
        ));
    }
    resources.push(
        r#"{"entry_kind":"services","metadata":{"name":"archive"},"spec":{"health_path":"/health","max_conns":330,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":2.0}}"#.to_owned(),
    );
    resources.push(
        r#"{"entry_kind":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":3,"idle_timeout_s":15}}"#.to_owned(),
    );
    format!(r#"{{"version":7,"resources":[{}]}}"#, resources.join(","))
}

//! Seven instances of three failure domains, with fourteen targets.

use platform_standin::{Store, Target};

use super::harness::{Entry, wait_until};

pub const DOMAINS: [&str; 3] = ["near-a", "near-b", "far-a"];
pub const INSTANCES: usize = 7;
pub const TARGETS: usize = 14;

/// Paths of ordinary requests of each kind.
pub const PATHS: usize = 40;

/// Starts instances with these settings and waits until each knows all targets and
/// instances.
pub fn start_entries(store: &Store, settings: impl Fn(usize, String) -> String) -> Vec<Entry> {
    let entries = (0..INSTANCES).map(|i| {
        let name = format!("i{i}");
        let usual = platform_standin::settings(&name, DOMAINS[i % 3], store.addr(), &[]);
        Entry::start_with(&settings(i, usual))
    });
    let entries: Vec<Entry> = entries.collect();
    for entry in &entries {
        entry.await_ready();
        wait_until("all targets and instances are known", || {
            let dump = entry.dump();
            let name = |i| format!("\"i{i}\"");
            dump.matches("\"id\":\"t").count() == TARGETS
                && (0..INSTANCES).all(|i| dump.contains(&name(i)))
        });
    }
    entries
}

/// Starts a target of a service in the domain with this number, and registers it.
pub fn start_target(store: &Store, number: usize, service: &str, domain: usize) -> Target {
    let id = format!("t{number}");
    let target = Target::start(&id, service, DOMAINS[domain % 3]).expect("a port is free");
    target.register(store, "ready", 1);
    target
}

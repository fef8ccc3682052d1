//! What the operator and targets write to the store.

use std::time::Instant;

use platform_standin::store::{self, Route};
use serde_json::json;

use super::super::harness::{HOST, ROUTES};
use super::super::{news, store_faults};
use super::{Cluster, ENTRY_DOMAINS, Recovery, TARGETS_MAX};

/// Bytes of the name of an unused route, which its configuration holds three times.
const PADDING_NAME: usize = 1_000;

/// Bound on request bodies, in bytes.
const BODY_BYTES: usize = 65_536;

impl Cluster {
    /// Lists a target as draining. Half of the time a report of before is carried out late.
    pub(super) fn drain(&mut self, number: usize) {
        let unanswered = self.entry(number, "ready", self.reports[number] + 1);
        self.reports[number] += 1;
        self.report(number, "draining");
        self.news.drain(number);
        if let Some(delay) = self.store_faults.late_report() {
            let key = format!("servers/t{number}");
            self.store.write_late(&key, &unanswered, delay);
        }
    }

    /// Writes more versions than one answer of the store holds.
    pub(super) fn flood(&mut self) {
        for _ in 0..store_faults::FLOOD_VERSIONS {
            self.version += 1;
            let text = self.document(store_faults::FLOOD_BYTES);
            self.store.write_bytes("op/config", text.as_bytes());
        }
        self.news.install(self.version);
    }

    /// Present version of the configuration, with unused routes of this many bytes.
    fn document(&self, padding: usize) -> String {
        let added = Route {
            prefix: "/added/",
            service: "sheets",
            is_idempotent: true,
        };
        let name = format!("/{}/", "x".repeat(PADDING_NAME));
        let names: Vec<String> = (0..padding / (3 * PADDING_NAME))
            .map(|i| format!("/{i}{name}"))
            .collect();
        let mut routes = ROUTES.to_vec();
        routes.extend(self.has_added.then_some(added));
        routes.extend(names.iter().map(|prefix| Route {
            prefix,
            ..ROUTES[0]
        }));
        store::document(self.version, HOST, &routes, &[], BODY_BYTES)
    }

    pub(super) fn evacuate(&mut self, number: usize) {
        let key = format!("op/evacuate/{}", ENTRY_DOMAINS[number]);
        self.store.write(&key, &json!({}));
        self.news.evacuate(number);
        // Long enough to be judged.
        let at = Instant::now() + news::EVACUATION + self.fault_span();
        self.recoveries.push((at, Recovery::Domain(number)));
    }

    /// Adds or removes a route, or drains a target and adds another.
    pub(super) fn change_config(&mut self) {
        if self.rng.bool() && self.targets.len() < TARGETS_MAX {
            let leaving = self.rng.usize(0..self.targets.len());
            self.drain(leaving);
            self.add_target();
            return;
        }
        self.version += 1;
        self.has_added = self.rng.bool();
        let text = self.document(0);
        self.store.write_bytes("op/config", text.as_bytes());
        self.news.install(self.version);
    }
}

//! What a storm runs on: three failure domains of two regions.

use std::path::Path;

use crate::error::Error;
use crate::world::{TargetFacts, World};

/// Entry instances, each with its failure domain.
pub(super) const ENTRIES: [(&str, &str); 4] = [("a", "d1"), ("b", "d2"), ("c", "d3"), ("d", "d1")];

/// Targets: name, service, site, failure domain.
pub(super) const TARGETS: [(&str, &str, &str, &str); 12] = [
    ("stock-1", STOCK, "s1", "d1"),
    ("stock-2", STOCK, "s1", "d1"),
    ("stock-3", STOCK, "s2", "d2"),
    ("stock-4", STOCK, "s2", "d2"),
    ("stock-5", STOCK, "s3", "d3"),
    ("stock-6", STOCK, "s3", "d3"),
    ("payout-1", PAYOUT, "s1", "d1"),
    ("payout-2", PAYOUT, "s1", "d1"),
    ("payout-3", PAYOUT, "s2", "d2"),
    ("payout-4", PAYOUT, "s2", "d2"),
    ("payout-5", PAYOUT, "s3", "d3"),
    ("payout-6", PAYOUT, "s3", "d3"),
];

/// The service that may repeat.
pub(super) const STOCK: &str = "stock";

/// The service that must not.
pub(super) const PAYOUT: &str = "payout";

/// A request whose body holds this crashes each target that runs it.
pub(super) const POISON: &str = "boom";

/// Deadline of both services, in milliseconds, before any change.
pub(super) const DEADLINE_MS: u64 = 2000;

/// A base file; changes differ in the deadline.
pub(super) fn config(deadline_ms: u64) -> String {
    format!(
        r#"{{
  "regions": {{
    "amhara": {{ "domains": {{
      "d1": {{ "entries": ["a", "d"], "sites": ["s1"] }},
      "d2": {{ "entries": ["b"], "sites": ["s2"] }} }} }},
    "tigray": {{ "domains": {{ "d3": {{ "entries": ["c"], "sites": ["s3"] }} }} }}
  }},
  "classes": [{{ "name": "urgent", "queue_percent": 100 }}],
  "services": {{
    "stock": {{ "class": "urgent", "idempotent": true, "deadline_ms": {deadline_ms}, "sites": ["s1", "s2", "s3"] }},
    "payout": {{ "class": "urgent", "idempotent": false, "deadline_ms": {deadline_ms}, "sites": ["s1", "s2", "s3"] }}
  }},
  "links": [
    {{ "from": "amhara", "to": "tigray", "mbit": 100 }},
    {{ "from": "tigray", "to": "amhara", "mbit": 100 }}
  ],
  "shifts": [
    {{ "service": "stock", "from": "amhara", "to": "tigray", "cap_per_s": 40, "ramp_s": 1 }},
    {{ "service": "stock", "from": "tigray", "to": "amhara", "cap_per_s": 40, "ramp_s": 1 }},
    {{ "service": "payout", "from": "amhara", "to": "tigray", "cap_per_s": 40, "ramp_s": 1 }},
    {{ "service": "payout", "from": "tigray", "to": "amhara", "cap_per_s": 40, "ramp_s": 1 }}
  ],
  "drain": {{ "sites": [], "targets": [], "entries": [] }},
  "blocks": {{ "127.0.0.0/9": "amhara", "127.128.0.0/9": "tigray" }},
  "move_percent": 10
}}"#
    )
}

/// Starts everything.
pub(super) fn start(program: &Path, dir: &Path) -> Result<World, Error> {
    let mut world = World::new(program, dir)?;
    let errors = world.path(ERRORS);
    world.note_errors(&errors);
    world.start_store(5)?;
    world.put_config(&config(DEADLINE_MS))?;
    for (name, ..) in TARGETS {
        start_target(&mut world, name)?;
    }
    for (name, domain) in ENTRIES {
        world.start_entry(name, domain)?;
    }
    Ok(world)
}

/// Starts a target, or its replacement.
pub(super) fn start_target(world: &mut World, name: &str) -> Result<(), Error> {
    let found = TARGETS.iter().find(|(known, ..)| *known == name);
    let (name, service, site, domain) = found.ok_or_else(|| Error::Unknown(name.to_owned()))?;
    let ledger = world.path(LEDGER).display().to_string();
    let options = ["--ledger", &ledger, "--crash-on", POISON, "--work-ms", "15"];
    world.start_target(&TargetFacts {
        name: (*name).to_owned(),
        service: (*service).to_owned(),
        site: (*site).to_owned(),
        domain: (*domain).to_owned(),
        slots: 4,
        options: options.map(str::to_owned).to_vec(),
    })
}

/// File with the runs of all targets, those that ended included.
pub(super) const LEDGER: &str = "ledger";

/// File with the error output of all processes.
pub(super) const ERRORS: &str = "errors";

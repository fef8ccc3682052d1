//! Fleets of a given size: the base file that names them, and their targets.

use core::fmt;

use serde_json::{Map, Value, json};
use wire::instance::{Instance, Role, State};

/// Targets a site.
const TARGETS: usize = 12;

/// How much there is of everything.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Regions.
    pub regions: usize,
    /// Failure domains.
    pub domains: usize,
    /// Sites.
    pub sites: usize,
    /// Entry instances.
    pub entries: usize,
    /// Services, each at all sites.
    pub services: usize,
}

impl fmt::Display for Shape {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} regions, {} domains, {} sites, {} services, {} entry instances named, {} targets listed",
            self.regions,
            self.domains,
            self.sites,
            self.services,
            self.entries,
            TARGETS * self.sites
        )
    }
}

impl Shape {
    /// The target's.
    pub const TARGET: Self = Self {
        regions: 22,
        domains: 69,
        sites: 230,
        entries: 1_500,
        services: 8,
    };

    /// The base file, with a shift for each service and pair of regions.
    pub fn base(&self) -> Value {
        json!({
            "regions": self.region_map(),
            "classes": [{ "name": "c", "queue_percent": 100 }],
            "services": self.service_map(),
            "links": self.links(),
            "shifts": self.shifts(),
        })
    }

    /// All targets, as the platform lists them.
    pub fn targets(&self) -> Vec<Instance> {
        (0..TARGETS * self.sites).map(|i| self.target(i)).collect()
    }

    fn region_map(&self) -> Map<String, Value> {
        let mut regions = Map::new();
        for r in 0..self.regions {
            let mut domains = Map::new();
            for d in (r..self.domains).step_by(self.regions) {
                let entries = names("e", d, self.entries, self.domains);
                let sites = names("s", d, self.sites, self.domains);
                let domain = json!({ "entries": entries, "sites": sites });
                domains.insert(format!("d{d}"), domain);
            }
            regions.insert(format!("r{r}"), json!({ "domains": domains }));
        }
        regions
    }

    fn service_map(&self) -> Map<String, Value> {
        let sites = names("s", 0, self.sites, 1);
        let service = json!({ "class": "c", "idempotent": true, "sites": sites });
        let named = (0..self.services).map(|s| (format!("x{s}"), service.clone()));
        named.collect()
    }

    fn links(&self) -> Vec<Value> {
        let link = |(from, to)| json!({ "from": from, "to": to, "mbit": 280 });
        self.pairs().map(link).collect()
    }

    fn shifts(&self) -> Vec<Value> {
        let mut shifts = Vec::new();
        for s in 0..self.services {
            let service = format!("x{s}");
            for (from, to) in self.pairs() {
                shifts
                    .push(json!({ "service": service, "from": from, "to": to, "cap_per_s": 200 }));
            }
        }
        shifts
    }

    fn pairs(&self) -> impl Iterator<Item = (String, String)> {
        let regions = self.regions;
        let all = (0..regions).flat_map(move |from| (0..regions).map(move |to| (from, to)));
        let other = all.filter(|(from, to)| from != to);
        other.map(|(from, to)| (format!("r{from}"), format!("r{to}")))
    }

    fn target(&self, number: usize) -> Instance {
        let site = number % self.sites;
        Instance {
            name: format!("target-{number:04}"),
            domain: format!("d{}", site % self.domains),
            state: State::Live,
            role: Role::Target {
                addr: ([127, 0, 0, 1], 9000).into(),
                service: format!("x{}", number / self.sites % self.services),
                site: format!("s{site}"),
                slots: 3,
            },
        }
    }
}

fn names(prefix: &str, from: usize, of: usize, step: usize) -> Vec<String> {
    let numbers = (from..of).step_by(step);
    numbers.map(|i| format!("{prefix}{i}")).collect()
}

//! Routes by host and path: what a request is allowed to do, and where it goes.
//!
//! Invariant: routes are sorted by host and prefix and no two share both, so
//! that a request finds at most one route, the one with the longest prefix.

use core::time::Duration;
use std::sync::Arc;

use thiserror::Error;

use super::teams::Teams;

/// A part of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Name of the service that gets it.
    pub service: Arc<str>,
    /// Its share is this over the sum of all weights.
    pub weight: f64,
}

/// How requests of one host and path prefix are served.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host it is for, in lower case.
    pub host: Arc<str>,
    /// Start of the paths it is for; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether a request may run more than once.
    pub is_idempotent: bool,
    /// Longest time that a request is kept waiting.
    pub timeout: Duration,
    /// Latency objective: an answer within it earns its full benefit.
    pub latency_goal: Duration,
    /// Targets that one request may be sent to.
    pub attempts_max: usize,
    /// Rank among the routes of a service; 0 is the most urgent.
    pub priority: u32,
    /// Services and their weights; one part of weight 1 without a split.
    pub services: Vec<WeightedService>,
    /// Whether targets are faster with objects that they handled lately.
    pub has_affinity: bool,
    /// Regions that may serve it; any if empty. Sorted.
    pub home_regions: Vec<Arc<str>>,
    /// Whether it is open to callers without a key.
    pub is_public: bool,
}

impl Route {
    /// Whether a region may serve this route.
    #[must_use]
    pub fn allows(&self, region: &str) -> bool {
        allows(&self.home_regions, region)
    }
}

/// Returns whether `home_regions`, which are sorted, contain `region`. An empty list
/// contains every region.
#[must_use]
pub(super) fn allows(home_regions: &[Arc<str>], region: &str) -> bool {
    home_regions.is_empty()
        || home_regions
            .binary_search_by(|home| (**home).cmp(region))
            .is_ok()
}

/// What is known of a service besides its targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: Arc<str>,
    /// Path of the targets' health check.
    pub health_path: Arc<str>,
    /// Connections that a target takes from all callers together.
    pub connections_max: usize,
    /// How long a target stays cold after its start.
    pub warmup: Duration,
    /// Requests a second that a cold target bears.
    pub cold_rate: f64,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest head of a request in bytes.
    pub head_bytes: usize,
    /// Longest body of a request in bytes.
    pub body_bytes: usize,
    /// Time for a request's head to arrive.
    pub head_timeout: Duration,
    /// Time that a connection may lie idle.
    pub idle_timeout: Duration,
}

/// Two routes claim the same requests.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("routes {first} and {second} share host and prefix; remove one of them")]
pub struct Conflict {
    /// One of the two.
    pub first: Arc<str>,
    /// The other.
    pub second: Arc<str>,
}

/// One version of the operator's document.
#[derive(Clone, Debug, PartialEq)]
pub struct Routes {
    /// Its version; versions only rise.
    pub version: u64,
    table: Vec<Arc<Route>>,
    services: Vec<Service>,
    /// Bounds on callers.
    pub limits: Limits,
    /// Whose requests may come; anybody's if there are none.
    pub teams: Teams,
}

impl Routes {
    /// Sorts routes and services.
    ///
    /// # Errors
    /// If two routes share host and prefix.
    pub fn new(
        version: u64,
        mut routes: Vec<Route>,
        mut services: Vec<Service>,
        limits: Limits,
    ) -> Result<Self, Conflict> {
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        services.sort_by(|a, b| a.name.cmp(&b.name));
        let conflict = routes
            .windows(2)
            .find(|pair| pair[0].host == pair[1].host && pair[0].prefix == pair[1].prefix);
        if let Some(pair) = conflict {
            return Err(Conflict {
                first: Arc::clone(&pair[0].name),
                second: Arc::clone(&pair[1].name),
            });
        }
        let table = routes.into_iter().map(Arc::new).collect();
        Ok(Self {
            version,
            table,
            services,
            limits,
            teams: Teams::default(),
        })
    }

    /// The same for these teams only.
    #[must_use]
    pub fn with_teams(self, teams: Teams) -> Self {
        Self { teams, ..self }
    }

    /// The route of a request: of its host, with the longest prefix of `path`.
    /// `host` is in lower case and without a port.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let mut rest = path;
        while let Some(slash) = rest.rfind('/') {
            let prefix = &rest[..=slash];
            let key = (host, prefix);
            let found = self
                .table
                .binary_search_by(|r| (&*r.host, &*r.prefix).cmp(&key));
            if let Ok(at) = found {
                return Some(&self.table[at]);
            }
            rest = &rest[..slash];
        }
        None
    }

    /// Regions that may serve a host's requests, if all of its routes name some.
    #[must_use]
    pub fn home_regions(&self, host: &str) -> Vec<Arc<str>> {
        let host = host.to_ascii_lowercase();
        let start = self.table.partition_point(|route| *route.host < *host);
        let routes = self.table[start..].iter().take_while(|r| *r.host == *host);
        let mut home_regions = Vec::new();
        for route in routes {
            if route.home_regions.is_empty() {
                return Vec::new();
            }
            home_regions.extend(route.home_regions.iter().cloned());
        }
        home_regions
    }

    /// The service of this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let found = self.services.binary_search_by(|s| (*s.name).cmp(name));
        found.ok().map(|at| &self.services[at])
    }

    /// All services, sorted by name.
    #[must_use]
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// All routes, sorted by host and prefix.
    #[must_use]
    pub fn routes(&self) -> &[Arc<Route>] {
        &self.table
    }
}

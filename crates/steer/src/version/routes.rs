//! Routing table: routes by host and path prefix, and the services behind them.
//!
//! Invariant: routes are sorted by host and prefix, and no two share both. A request
//! thus matches at most one route, the one with the longest prefix.

use core::time::Duration;
use std::sync::Arc;

use thiserror::Error;

use super::teams::Teams;

/// Service and the weight of its share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight of its share, relative to the sum of the route's weights.
    pub weight: f64,
}

/// Route of the requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host that it matches, in lower case.
    pub host: Arc<str>,
    /// Path prefix that it matches; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether a request may run more than once.
    pub is_idempotent: bool,
    /// Time within which a request is answered or rejected.
    pub timeout: Duration,
    /// Latency objective: an answer within it has its full value.
    pub latency_goal: Duration,
    /// Maximum number of targets that a request is sent to.
    pub attempts_max: usize,
    /// Priority among the routes of a service; 0 is the most urgent.
    pub priority: u32,
    /// Services and their weights; a single one of weight 1 without a split.
    pub services: Vec<WeightedService>,
    /// Whether targets are faster for objects that they have handled recently.
    pub has_affinity: bool,
    /// Regions that may serve it, sorted. Empty allows all.
    pub home_regions: Vec<Arc<str>>,
    /// Whether callers without a key are admitted.
    pub is_public: bool,
}

impl Route {
    /// Returns whether a region may serve this route.
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

/// Settings of a service, apart from its targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: Arc<str>,
    /// Path of the health check of its targets.
    pub health_path: Arc<str>,
    /// Maximum number of connections that a target accepts from all clients together.
    pub connections_max: usize,
    /// Time for which a target counts as cold after its start.
    pub warmup: Duration,
    /// Requests per second that a cold target can serve.
    pub cold_rate: f64,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum length of a request head in bytes.
    pub head_bytes: usize,
    /// Maximum length of a request body in bytes.
    pub body_bytes: usize,
    /// Time within which a request head has to arrive.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// Two routes have the same host and prefix.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("routes {first} and {second} share host and prefix; remove one of them")]
pub struct Conflict {
    /// Name of one route.
    pub first: Arc<str>,
    /// Name of the other route.
    pub second: Arc<str>,
}

/// Routing configuration: one version of the operators' document.
#[derive(Clone, Debug, PartialEq)]
pub struct Routes {
    /// Version of the document. Versions only increase.
    pub version: u64,
    /// Sorted by host and prefix.
    table: Vec<Arc<Route>>,
    /// Sorted by name.
    services: Vec<Service>,
    /// Limits on the requests and connections of callers.
    pub limits: Limits,
    /// Teams whose requests are admitted. Without teams, all requests are.
    pub teams: Teams,
}

impl Routes {
    /// Creates a configuration without teams.
    ///
    /// # Errors
    /// Returns a conflict if two routes share host and prefix.
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

    /// Replaces the teams.
    #[must_use]
    pub fn with_teams(self, teams: Teams) -> Self {
        Self { teams, ..self }
    }

    /// Finds the route of `host` with the longest prefix of `path`. `host` has to be in
    /// lower case and without a port.
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

    /// Lists the home regions of all routes of `host`, whose letter case is ignored. The
    /// list is empty if one of these routes allows all regions.
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

    /// Finds a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let found = self.services.binary_search_by(|s| (*s.name).cmp(name));
        found.ok().map(|at| &self.services[at])
    }

    /// Returns all services, sorted by name.
    #[must_use]
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// Returns all routes, sorted by host and prefix.
    #[must_use]
    pub fn routes(&self) -> &[Arc<Route>] {
        &self.table
    }
}

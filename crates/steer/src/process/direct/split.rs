//! Weighted split of a route's requests over its services.
//!
//! Each request adds to every part its share of the weights as credit, and goes
//! to the part with most credit, which pays one. So each part stays within one
//! request of its share over any run of requests; a random draw would miss the
//! share by chance at low rates.

use std::sync::Arc;

use crate::version::routes::Route;

/// Credits of one route's parts.
#[derive(Clone, Debug)]
struct RouteCredits {
    route: Arc<str>,
    services: Vec<Arc<str>>,
    /// One per service, in the same order.
    credits: Vec<f64>,
}

/// Credits of all split routes, sorted by route name.
#[derive(Clone, Debug, Default)]
pub struct Splits {
    routes: Vec<RouteCredits>,
}

impl Splits {
    /// Selects the service for the next request of `route`; `None` if the route
    /// has no parts, or two or more that all weigh nothing. `offset`, from 0 to 1,
    /// shifts the first round: if all instances began with the heaviest part, it
    /// would get too much in total.
    pub fn next(&mut self, route: &Route, offset: f64) -> Option<Arc<str>> {
        if route.services.len() < 2 {
            return route.services.first().map(|p| Arc::clone(&p.service));
        }
        let at = self.ensure(route, offset);
        let credits = &mut self.routes[at].credits;
        let total: f64 = route.services.iter().map(|p| p.weight).sum();
        if total <= 0.0 {
            return None;
        }
        let mut best = 0;
        for (i, part) in route.services.iter().enumerate() {
            credits[i] += part.weight / total;
            if credits[i] > credits[best] {
                best = i;
            }
        }
        credits[best] -= 1.0;
        Some(Arc::clone(&route.services[best].service))
    }

    /// Returns the index of the route's credits, which are reset if the services
    /// of its parts have changed.
    fn ensure(&mut self, route: &Route, offset: f64) -> usize {
        let is_current = |c: &RouteCredits| {
            c.services.len() == route.services.len()
                && c.services
                    .iter()
                    .zip(&route.services)
                    .all(|(s, p)| *s == p.service)
        };
        let fresh = || RouteCredits {
            route: Arc::clone(&route.name),
            services: route
                .services
                .iter()
                .map(|p| Arc::clone(&p.service))
                .collect(),
            credits: initial_credits(route, offset),
        };
        match self.routes.binary_search_by(|c| c.route.cmp(&route.name)) {
            Ok(at) => {
                if !is_current(&self.routes[at]) {
                    self.routes[at] = fresh();
                }
                at
            }
            Err(at) => {
                self.routes.insert(at, fresh());
                at
            }
        }
    }
}

/// Credits of a route's parts at the start: their sum is zero, and `offset` makes
/// them differ between instances.
fn initial_credits(route: &Route, offset: f64) -> Vec<f64> {
    let mut credits = vec![0.0; route.services.len()];
    let shift = offset - 0.5;
    credits[0] = shift;
    if let Some(last) = credits.last_mut() {
        *last -= shift;
    }
    credits
}

//! Which part of a split route a request goes to.
//!
//! Each part earns its weight with each request and the part with most credit
//! gets it, so that over any run of requests a part is within one request of
//! its share. Drawing at random would miss a share by chance at low rates.

use std::sync::Arc;

use crate::version::routes::Route;

/// Credits of one route's parts.
#[derive(Clone, Debug)]
struct Credits {
    route: Arc<str>,
    services: Vec<Arc<str>>,
    earned: Vec<f64>,
}

/// Credits by route, sorted by its name.
#[derive(Clone, Debug, Default)]
pub struct Splits {
    routes: Vec<Credits>,
}

impl Splits {
    /// The service of the next request of `route`, if the route has any.
    /// `offset`, from 0 to 1, sets where the first round starts: instances that
    /// all began with the heaviest part would together give it too much.
    pub fn next(&mut self, route: &Route, offset: f64) -> Option<Arc<str>> {
        if route.parts.len() < 2 {
            return route.parts.first().map(|p| Arc::clone(&p.service));
        }
        let at = self.ensure(route, offset);
        let credits = &mut self.routes[at].earned;
        let total: f64 = route.parts.iter().map(|p| p.weight).sum();
        if total <= 0.0 {
            return None;
        }
        let mut best = 0;
        for (i, part) in route.parts.iter().enumerate() {
            credits[i] += part.weight / total;
            if credits[i] > credits[best] {
                best = i;
            }
        }
        credits[best] -= 1.0;
        Some(Arc::clone(&route.parts[best].service))
    }

    fn ensure(&mut self, route: &Route, offset: f64) -> usize {
        let same = |c: &Credits| {
            c.services.len() == route.parts.len()
                && c.services
                    .iter()
                    .zip(&route.parts)
                    .all(|(s, p)| *s == p.service)
        };
        let fresh = || Credits {
            route: Arc::clone(&route.name),
            services: route.parts.iter().map(|p| Arc::clone(&p.service)).collect(),
            earned: start(route, offset),
        };
        match self.routes.binary_search_by(|c| c.route.cmp(&route.name)) {
            Ok(at) => {
                if !same(&self.routes[at]) {
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

/// Credits that sum to zero and differ by instance.
fn start(route: &Route, offset: f64) -> Vec<f64> {
    let mut credits = vec![0.0; route.parts.len()];
    let shift = offset - 0.5;
    credits[0] = shift;
    if let Some(last) = credits.last_mut() {
        *last -= shift;
    }
    credits
}

//! Text form of the dispatcher's state, for dumps on request.
//!
//! Invariant: a dump changes nothing.

use core::fmt;

use crate::process::dispatch::Dispatch;
use crate::process::dispatch::service::ServiceState;
use crate::process::safeguard::Safeguards;
use crate::process::target::{Availability, Endpoint};

/// Dispatcher state at a point in time: a line per service and endpoint.
pub struct Dump<'a> {
    pub(super) dispatch: &'a Dispatch,
    pub(super) now: crate::clock::Time,
}

impl fmt::Display for Dump<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let dispatch = self.dispatch;
        writeln!(
            f,
            "{} in flight, {} waiting, {} suspects, view {}",
            dispatch.in_flight(),
            dispatch.waiting(),
            dispatch.suspects.len(),
            dispatch.view.version,
        )?;
        for service in &dispatch.services {
            self.service(f, service)?;
        }
        writeln!(f, "{}", dispatch.stats)
    }
}

impl Dump<'_> {
    fn service(&self, f: &mut fmt::Formatter<'_>, service: &ServiceState) -> fmt::Result {
        let endpoints = self.dispatch.endpoints.as_slice();
        let mean = service.latency.mean().unwrap_or_default().as_millis();
        let (name, queue) = (&service.name, service.queue.len());
        let (in_flight, limit) = (service.in_flight, service.limit);
        writeln!(
            f,
            "{name}: {in_flight} in flight, {queue} waiting, {limit} at home, mean {mean} ms"
        )?;
        for local in &service.locals {
            self.endpoint(f, "target", &endpoints[local.endpoint])?;
        }
        // Idle peers are left out: there are too many of them.
        let busy = |endpoint: &&Endpoint| endpoint.in_flight > 0;
        let peers = service.remotes.iter().map(|r| &endpoints[r.endpoint]);
        for endpoint in peers.filter(busy) {
            self.endpoint(f, "peer", endpoint)?;
        }
        Ok(())
    }

    fn endpoint(&self, f: &mut fmt::Formatter<'_>, kind: &str, endpoint: &Endpoint) -> fmt::Result {
        let enabled: Safeguards = self.dispatch.tuning.safeguards;
        let status = match endpoint.availability(self.now, enabled) {
            Availability::Free => "free",
            Availability::Trial => "due for a trial",
            Availability::Busy => "busy",
            Availability::Ejected => "ejected",
            Availability::Leaving => "leaving",
        };
        let mean = endpoint.latency.mean().unwrap_or_default().as_millis();
        let (in_flight, limit) = (endpoint.in_flight, endpoint.limit(self.now, enabled));
        let name = &endpoint.name;
        writeln!(
            f,
            "  {kind} {name}: {status}, {in_flight} of {limit}, mean {mean} ms"
        )
    }
}

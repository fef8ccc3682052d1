//! The state of the process, as JSON, on request.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use steer::clock::Time;
use steer::process::direct::target;
use steer::process::direct::upstream::Upstream;

use super::{Phase, Shared};

/// What this process knows and does now.
#[derive(Serialize)]
pub struct State {
    /// Name of this instance.
    pub name: Arc<str>,
    /// Whether callers should come here.
    pub ready: bool,
    /// Whether it was told to stop.
    pub leaving: bool,
    /// Configuration in force; 0 before the first.
    pub version: u64,
    /// Revision of the store known whole.
    pub revision: u64,
    /// Whether the store answers.
    pub store: bool,
    /// Calls made to the store.
    pub store_calls: u64,
    /// Where what the store holds is read from.
    pub upstream: Arc<str>,
    /// Callers' open connections.
    pub connections: usize,
    /// Requests that are here.
    pub requests: usize,
    /// Requests that wait for a target.
    pub waiting: usize,
    /// Domains that get nothing.
    pub evacuated: Vec<Arc<str>>,
    /// Other instances.
    pub instances: Vec<Arc<str>>,
    /// Milliseconds since the moment at which all that the store held is known, at
    /// most; none before the first.
    pub stale_ms: Option<u64>,
    /// Teams with a quota of which this instance holds tokens.
    pub quotas: Vec<QuotaUse>,
    /// Share of each service's requests that runs in other regions.
    pub elsewhere: Vec<(Arc<str>, f64)>,
    /// Targets.
    pub targets: Vec<Target>,
}

/// A team's use of its quota at this instance.
#[derive(Serialize)]
pub struct QuotaUse {
    team: Arc<str>,
    /// Requests that would be admitted at once.
    tokens: f64,
    /// Requests a second lately.
    rate: f64,
}

/// One target.
#[derive(Serialize)]
pub struct Target {
    id: Arc<str>,
    service: Arc<str>,
    domain: Arc<str>,
    /// `leaving`, `gone`, `cold`, `aside`; none if it is in full use.
    marks: Vec<&'static str>,
    flying: u32,
    /// Requests a second that it takes from all instances, if it says so.
    limit: Option<f64>,
    slowness: f64,
    illness: f64,
}

impl Target {
    /// Whether it names a limit.
    pub const fn is_limited(&self) -> bool {
        self.limit.is_some()
    }
}

impl State {
    /// The state now.
    pub fn capture(shared: &Shared) -> Self {
        let ready = shared.is_ready();
        let leaving = shared.phase() > Phase::Serving;
        shared.read(|now, direct| Self {
            name: Arc::clone(&shared.settings.name),
            ready,
            leaving,
            version: direct.routes().map_or(0, |r| r.version),
            revision: direct.revision(),
            store: direct.is_in_touch(now),
            store_calls: shared.store_calls(),
            upstream: upstream(&direct.upstream(now)),
            connections: shared.connections.get(),
            requests: direct.request_count(),
            waiting: direct.waiting_count(),
            evacuated: direct.roster.evacuated().to_vec(),
            instances: direct.others(now).map(|o| Arc::clone(o.0)).collect(),
            stale_ms: direct.staleness(now).map(millis),
            quotas: direct
                .quota_stocks()
                .map(|(team, tokens, rate)| QuotaUse {
                    team: Arc::clone(team),
                    tokens,
                    rate,
                })
                .collect(),
            elsewhere: direct.spillover_shares(),
            targets: direct
                .roster
                .all()
                .iter()
                .map(|t| Target {
                    id: Arc::clone(&t.entry.id),
                    service: Arc::clone(&t.entry.service),
                    domain: Arc::clone(&t.entry.domain),
                    marks: marks(t, now),
                    flying: t.in_flight,
                    limit: t.limit(),
                    slowness: t.health.slowness(now),
                    illness: t.health.failure_rate(now).max(t.health.refusal_rate(now)),
                })
                .collect(),
        })
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

fn upstream(upstream: &Upstream) -> Arc<str> {
    match upstream {
        Upstream::Store => "store".into(),
        Upstream::Peer { name, .. } => Arc::clone(name),
    }
}

fn marks(target: &target::Target, now: Time) -> Vec<&'static str> {
    let all = [
        ("leaving", target.entry.draining),
        ("gone", target.is_gone),
        ("cold", target.is_cold(now)),
        ("aside", target.is_ejected(now)),
    ];
    all.iter().filter(|m| m.1).map(|m| m.0).collect()
}

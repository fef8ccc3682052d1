//! Snapshot of an instance's state, served to operators as JSON and read by the
//! metrics.
//!
//! Invariant: except for `ready` and `leaving`, the snapshot is taken under one lock
//! of the steering state.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use steer::clock::Time;
use steer::process::direct::loads;
use steer::process::direct::referral;
use steer::process::direct::regions;
use steer::process::direct::target;
use steer::process::direct::upstream::Upstream;

use super::{Phase, Shared};

/// Mark of a target that has announced that it is about to stop.
pub const LEAVING: &str = "leaving";

/// Mark of a target that asked this or another instance to send nothing for a time.
pub const BACKOFF: &str = "backoff";

/// Mark of a target that is ejected for a moment, as it could not be reached.
pub const EJECTED: &str = "aside";

/// State of an instance at one moment.
#[derive(Serialize)]
pub struct State {
    /// Name of this instance.
    pub name: Arc<str>,
    /// Whether callers should connect to this instance.
    pub ready: bool,
    /// Whether it was asked to stop.
    pub leaving: bool,
    /// Version of the configuration in force; 0 before the first.
    pub version: u64,
    /// Revision up to which the store's content is known.
    pub revision: u64,
    /// Whether the store answered lately, here or to the upstream instance.
    pub store: bool,
    /// Number of calls made to the store.
    pub store_calls: u64,
    /// Source that the store's content is read from next: `store`, or the name of an
    /// instance.
    pub upstream: Arc<str>,
    /// Number of callers' open connections.
    pub connections: usize,
    /// Requests in progress at this instance.
    pub requests: usize,
    /// Requests that wait to be sent.
    pub waiting: usize,
    /// Bytes of request bodies and of answers that callers have yet to read.
    pub body_bytes: usize,
    /// Failure domains whose targets get no requests.
    pub evacuated: Vec<Arc<str>>,
    /// Names of the other instances that are present.
    pub instances: Vec<Arc<str>>,
    /// Instances that callers of this region are told.
    pub referral: Referral,
    /// Upper bound in milliseconds on the time since the store's content was known in
    /// full; none before the first read.
    pub stale_ms: Option<u64>,
    /// Largest lag behind the store in milliseconds at which the operator's bounds on news
    /// are kept.
    pub lag_budget_ms: u64,
    /// Teams with a quota, and the tokens that this instance holds of each.
    pub quotas: Vec<QuotaUse>,
    /// Instances that share the bounds on sums with this one, itself included.
    pub sharing: usize,
    /// Use of each service's retry budget.
    pub retries: Vec<RetryUse>,
    /// Share of each service's requests that is sent to other regions.
    pub elsewhere: Vec<(Arc<str>, f64)>,
    /// Services with too few free slots in this region.
    pub short: Vec<Arc<str>>,
    /// Other instances whose reports of requests at targets are in use.
    pub loads: Vec<SenderLoad>,
    /// Loads that other regions report of services that are short there.
    pub regions: Vec<RegionLoad>,
    /// Short services with requests that wait for a slot.
    pub urgency: Vec<Contest>,
    /// Time in milliseconds for which this instance has reached no target; none if it
    /// reaches some.
    pub cut_off_ms: Option<u64>,
    /// Requests that are suspected of crashing targets: fingerprint and strikes.
    pub suspects: Vec<(String, u8)>,
    /// All known targets.
    pub targets: Vec<Target>,
}

/// Instances that callers of this region are told, and the load they bear.
#[derive(Serialize)]
pub struct Referral {
    /// Their names.
    pub named: Vec<Arc<str>>,
    /// Number of instances that could be named.
    of: usize,
    /// Requests a second of the region's callers, if known.
    pub demand: Option<f64>,
    /// Requests a second that the named instances sustain without the failure domain with
    /// the most of their capacity; none while sizes don't decide.
    capacity: Option<f64>,
}

impl From<referral::Status> for Referral {
    fn from(status: referral::Status) -> Self {
        Self {
            named: status.named,
            of: status.of,
            demand: status.demand,
            capacity: status.capacity,
        }
    }
}

/// A team's use of its quota at this instance.
#[derive(Serialize)]
pub struct QuotaUse {
    team: Arc<str>,
    /// Tokens held.
    tokens: f64,
    /// Recent rate of requests per second.
    rate: f64,
}

/// Use of a service's retry budget in the window that ends now.
#[derive(Serialize)]
pub struct RetryUse {
    service: Arc<str>,
    /// Requests of callers.
    requests: usize,
    /// Retries.
    pub sent: usize,
    /// Retries that were not allowed, since the start of the process.
    pub refused: u64,
}

/// An instance's report of its requests at targets.
#[derive(Serialize)]
pub struct SenderLoad {
    name: Arc<str>,
    /// Sequence number.
    seq: u64,
    /// Time since the report in milliseconds.
    age_ms: u64,
    /// Targets at which it has requests.
    targets: usize,
    /// Its requests at targets.
    flying: u32,
    /// Requests that wait at it.
    waiting: u32,
}

impl From<loads::SenderLoad> for SenderLoad {
    fn from(load: loads::SenderLoad) -> Self {
        Self {
            name: load.name,
            seq: load.seq,
            age_ms: millis(load.age),
            targets: load.targets,
            flying: load.in_flight,
            waiting: load.waiting,
        }
    }
}

/// Load of a service in another region, by all that reported on it lately.
#[derive(Serialize)]
pub struct RegionLoad {
    /// Name of the region.
    pub region: Arc<str>,
    /// Name of the service.
    pub service: Arc<str>,
    /// Requests at targets and waiting for them, over slots.
    pub utilization: f64,
    /// Requests at targets.
    at_targets: f64,
    /// Requests that wait for a target.
    waiting: f64,
    slots: f64,
    /// Instances that reported.
    senders: u32,
}

impl RegionLoad {
    fn new((service, load): (Arc<str>, regions::RegionLoad)) -> Self {
        Self {
            utilization: load.utilization(),
            region: load.region,
            service,
            at_targets: load.at_targets,
            waiting: load.waiting,
            slots: load.slots,
            senders: load.senders,
        }
    }
}

/// Competition for the slots of a short service in this region.
#[derive(Serialize)]
pub struct Contest {
    service: Arc<str>,
    slots: f64,
    /// Slots that are free by the estimated loads.
    free: f64,
    /// Slots that less urgent requests leave free.
    reserve: f64,
    /// Requests that wait here for a slot of this region.
    waiting: u32,
}

/// One target as this instance sees it.
#[derive(Serialize)]
pub struct Target {
    id: Arc<str>,
    service: Arc<str>,
    domain: Arc<str>,
    /// Any of `leaving`, `gone`, `cold`, `aside` (ejected) and `backoff`; empty in full
    /// use.
    marks: Vec<&'static str>,
    /// Requests from this instance that it has in flight.
    flying: u32,
    /// Requests from other instances, by their reports and heartbeats.
    others: u32,
    /// Requests per second that it accepts from all instances, if it states a limit.
    limit: Option<f64>,
    /// Remaining time in milliseconds for which it asked this instance to send nothing.
    backoff_ms: Option<u64>,
    /// Time that work takes on its machine, as a multiple of the usual one, as it last
    /// reported.
    slowdown: Option<f64>,
    /// Age of that report in milliseconds.
    slowdown_ms: Option<u64>,
    /// Mean ratio of its response times to the expected ones.
    slowness: f64,
    /// The greater of its failure rate and its refusal rate.
    illness: f64,
}

impl Target {
    /// Whether it states a request limit.
    pub const fn is_limited(&self) -> bool {
        self.limit.is_some()
    }

    /// Whether it has this restriction on its use.
    pub fn has_mark(&self, mark: &str) -> bool {
        self.marks.contains(&mark)
    }
}

impl State {
    /// Takes a snapshot.
    pub fn capture(shared: &Shared) -> Self {
        let ready = shared.is_ready();
        let leaving = shared.phase() > Phase::Serving;
        shared.read(|now, direct| Self {
            name: Arc::clone(&shared.settings.name),
            ready,
            leaving,
            version: direct.routes().map_or(0, |r| r.version),
            revision: direct.revision(),
            store: direct.is_store_reachable(now),
            store_calls: shared.store_calls(),
            upstream: upstream_name(&direct.upstream(now)),
            connections: shared.connections.get(),
            requests: direct.request_count(),
            waiting: direct.waiting_count(),
            body_bytes: shared.memory.used(),
            evacuated: direct.roster.evacuated().to_vec(),
            instances: direct.others(now).map(|o| Arc::clone(o.0)).collect(),
            referral: direct.referral_status(now).into(),
            stale_ms: direct.staleness(now).map(millis),
            lag_budget_ms: millis(direct.lag_budget()),
            quotas: direct
                .held_tokens()
                .map(|(team, tokens, rate)| QuotaUse {
                    team: Arc::clone(team),
                    tokens,
                    rate,
                })
                .collect(),
            sharing: direct.sharing_instances(),
            retries: direct
                .budget_uses(now)
                .map(|(service, budget)| RetryUse {
                    service: Arc::clone(service),
                    requests: budget.requests,
                    sent: budget.retries,
                    refused: budget.refused,
                })
                .collect(),
            elsewhere: direct.spillover_shares(),
            short: direct.short_services(now).cloned().collect(),
            loads: direct.sender_loads(now).map(SenderLoad::from).collect(),
            regions: direct
                .region_loads(now)
                .into_iter()
                .map(RegionLoad::new)
                .collect(),
            urgency: direct
                .contentions(now)
                .map(|o| Contest {
                    service: Arc::clone(o.service()),
                    slots: o.slots().all,
                    free: o.slots().free,
                    reserve: o.reserve(),
                    waiting: o.waiting(),
                })
                .collect(),
            cut_off_ms: direct.cut_off_span(now).map(millis),
            suspects: direct
                .suspects()
                .map(|(fingerprint, strikes)| (fingerprint.to_string(), strikes))
                .collect(),
            targets: direct
                .roster
                .all()
                .iter()
                .map(|t| Target {
                    id: Arc::clone(&t.entry.id),
                    service: Arc::clone(&t.entry.service),
                    domain: Arc::clone(&t.entry.domain),
                    marks: labels(t, now),
                    flying: t.in_flight,
                    others: t.others_in_flight(),
                    limit: t.limit(),
                    backoff_ms: t.backoff_left(now).map(millis),
                    slowdown: t.slowdown(now).map(|(factor, _)| factor),
                    slowdown_ms: t.slowdown(now).map(|(_, age)| millis(age)),
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

fn upstream_name(upstream: &Upstream) -> Arc<str> {
    match upstream {
        Upstream::Store => "store".into(),
        Upstream::Peer { name, .. } => Arc::clone(name),
    }
}

/// Labels of the restrictions on a target's use.
fn labels(target: &target::Target, now: Time) -> Vec<&'static str> {
    let all = [
        (
            LEAVING,
            target.entry.draining || target.leaving_age(now).is_some(),
        ),
        ("gone", target.is_gone),
        ("cold", target.is_cold(now)),
        (EJECTED, target.is_ejected(now)),
        (BACKOFF, target.backs_off(now)),
    ];
    all.iter().filter(|l| l.1).map(|l| l.0).collect()
}

//! Gauges of an instance's present state.

use std::sync::Arc;

use prometheus::{GaugeVec, IntGauge, IntGaugeVec, Opts, Registry};

use super::super::{Shared, dump};
use super::{Error, int64};

/// Gauges, set when the metrics are read.
pub(super) struct Gauges {
    requests: IntGauge,
    waiting: IntGauge,
    body_bytes: IntGauge,
    targets: IntGauge,
    targets_limited: IntGauge,
    targets_backing_off: IntGauge,
    targets_leaving: IntGauge,
    targets_ejected: IntGauge,
    cut_off: IntGauge,
    relaying: IntGauge,
    instances: IntGauge,
    referred: IntGauge,
    region_demand: IntGauge,
    version: IntGauge,
    revision: IntGauge,
    in_touch: IntGauge,
    staleness: IntGauge,
    lag_budget: IntGauge,
    teams: IntGauge,
    connections: IntGauge,
    suspects: IntGauge,
    refused_requests: IntGauge,
    sharing: IntGauge,
    retries: IntGauge,
    refused_retries: IntGauge,
    service_short: IntGaugeVec,
    region_utilization: GaugeVec,
}

impl Gauges {
    /// Registers all gauges at zero.
    pub(super) fn new(registry: &Registry) -> Result<Self, Error> {
        let gauge = |name: &str, help: &str| -> Result<_, Error> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let region_utilization = GaugeVec::new(
            Opts::new(
                "auburnrouter_region_utilization",
                "Requests over slots that other regions report of services that are short there",
            ),
            &["region", "service"],
        )?;
        registry.register(Box::new(region_utilization.clone()))?;
        Ok(Self {
            requests: gauge("auburnrouter_requests", "Requests that are here")?,
            waiting: gauge("auburnrouter_waiting", "Requests that wait for a target")?,
            body_bytes: gauge(
                "auburnrouter_body_bytes",
                "Bytes of request bodies and of answers that callers have yet to read",
            )?,
            targets: gauge("auburnrouter_targets", "Targets listed")?,
            targets_limited: gauge(
                "auburnrouter_targets_limited",
                "Targets that name a limit of requests a second",
            )?,
            targets_backing_off: gauge(
                "auburnrouter_targets_backing_off",
                "Targets that asked this or another instance to send nothing now",
            )?,
            targets_leaving: gauge(
                "auburnrouter_targets_leaving",
                "Targets that announced that they are about to stop",
            )?,
            targets_ejected: gauge(
                "auburnrouter_targets_aside",
                "Targets that get no requests for a moment, as they could not be reached",
            )?,
            cut_off: gauge(
                "auburnrouter_cut_off",
                "1 while this instance reaches no target",
            )?,
            relaying: gauge(
                "auburnrouter_relaying",
                "Requests that this instance is sending for others",
            )?,
            instances: gauge("auburnrouter_instances", "Instances there, this one too")?,
            referred: gauge(
                "auburnrouter_referred",
                "Instances that callers of this region are told",
            )?,
            region_demand: gauge(
                "auburnrouter_region_demand",
                "Requests a second of this region's callers; -1 if unknown",
            )?,
            version: gauge("auburnrouter_config_version", "Configuration in force")?,
            revision: gauge("auburnrouter_store_revision", "Revision known whole")?,
            in_touch: gauge("auburnrouter_store_in_touch", "1 while the store answers")?,
            staleness: gauge(
                "auburnrouter_staleness_milliseconds",
                "Time since all that the store held is known, at most; -1 before",
            )?,
            lag_budget: gauge(
                "auburnrouter_lag_budget_milliseconds",
                "Largest lag behind the store at which the operator's bounds are kept",
            )?,
            teams: gauge("auburnrouter_teams", "Teams of the configuration")?,
            connections: gauge("auburnrouter_connections", "Callers' open connections")?,
            suspects: gauge(
                "auburnrouter_suspects",
                "Requests suspected of crashing targets, those always refused included",
            )?,
            refused_requests: gauge(
                "auburnrouter_crashing_requests",
                "Requests that are always refused because targets crashed under them",
            )?,
            sharing: gauge(
                "auburnrouter_sharing_instances",
                "Instances that share the bounds on sums, this one too",
            )?,
            retries: gauge(
                "auburnrouter_retries_in_window",
                "Second attempts in the operator's window, of all services",
            )?,
            refused_retries: gauge(
                "auburnrouter_retries_refused",
                "Second attempts that the retry budget did not allow, since the start",
            )?,
            service_short: service_short(registry)?,
            region_utilization,
        })
    }

    /// Sets all gauges from the present state.
    pub(super) fn set(&self, shared: &Shared) {
        let state = dump::State::capture(shared);
        self.requests.set(int(state.requests));
        self.waiting.set(int(state.waiting));
        self.body_bytes.set(int(state.body_bytes));
        self.targets.set(int(state.targets.len()));
        let count = |is_counted: fn(&dump::Target) -> bool| {
            int(state.targets.iter().filter(|t| is_counted(t)).count())
        };
        self.targets_limited.set(count(dump::Target::is_limited));
        self.targets_backing_off
            .set(count(|t| t.has_mark(dump::BACKOFF)));
        self.targets_leaving
            .set(count(|t| t.has_mark(dump::LEAVING)));
        self.targets_ejected
            .set(count(|t| t.has_mark(dump::EJECTED)));
        self.cut_off.set(i64::from(state.cut_off_ms.is_some()));
        self.relaying.set(int(shared.relayed.get()));
        self.instances.set(int(state.instances.len() + 1));
        self.referred.set(int(state.referral.named.len()));
        self.region_demand
            .set(state.referral.demand.map_or(-1, rounded));
        self.version.set(int64(state.version));
        self.revision.set(int64(state.revision));
        self.in_touch.set(i64::from(state.store));
        self.staleness.set(state.stale_ms.map_or(-1, int64));
        self.lag_budget.set(int64(state.lag_budget_ms));
        let teams = shared.read(|_, d| d.routes().map_or(0, |r| r.teams.all().len()));
        self.teams.set(int(teams));
        self.connections.set(int(state.connections));
        let (suspects, refused) = shared.read(|_, d| d.suspect_counts());
        self.suspects.set(int(suspects));
        self.refused_requests.set(int(refused));
        self.sharing.set(int(state.sharing));
        let retries = state.retries.iter();
        self.retries.set(int(retries.map(|r| r.sent).sum()));
        let refused = state.retries.iter().map(|r| r.refused).sum();
        self.refused_retries.set(int64(refused));
        self.set_short(shared, &state.short);
        // A region that reports nothing has no series.
        self.region_utilization.reset();
        for load in &state.regions {
            let labels = [&*load.region, &*load.service];
            let gauge = self.region_utilization.with_label_values(&labels);
            gauge.set(load.utilization);
        }
    }

    /// Sets for each service of the configuration whether it is among the short ones.
    fn set_short(&self, shared: &Shared, short: &[Arc<str>]) {
        self.service_short.reset();
        let routes = shared.read(|_, d| d.routes().cloned());
        for service in routes.iter().flat_map(|r| r.services()) {
            let gauge = self.service_short.with_label_values(&[&*service.name]);
            gauge.set(i64::from(short.contains(&service.name)));
        }
    }
}

/// Registers the gauge of services that are short.
fn service_short(registry: &Registry) -> Result<IntGaugeVec, Error> {
    let options = Opts::new(
        "auburnrouter_service_short",
        "1 while a service gets requests of several priorities and has too few free slots in the region",
    );
    let short = IntGaugeVec::new(options, &["service"])?;
    registry.register(Box::new(short.clone()))?;
    Ok(short)
}

/// Rounds a rate, saturating.
fn rounded(rate: f64) -> i64 {
    #[allow(clippy::cast_possible_truncation, reason = "saturates")]
    let rounded = rate.round() as i64;
    rounded
}

/// Converts a count, saturating.
fn int(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

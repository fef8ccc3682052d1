//! Counters and gauges in the Prometheus text format.
//!
//! Invariant: the number of series is bounded. The only labels are the outcome and
//! the reason of a request, which are enumerations.

use prometheus::{Encoder, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};
use thiserror::Error;
use wire::peer;

/// Failure to register or encode metrics.
#[derive(Debug, Error)]
#[error("metrics: {0}; this is a fault of the program, report it")]
pub struct Error(#[from] prometheus::Error);

/// The metrics of one process.
pub struct Metrics {
    registry: Registry,
    /// Look-ups answered or rejected.
    pub lookups: IntCounter,
    /// Requests by outcome and reason.
    requests: IntCounterVec,
    /// Requests that have no settled answer yet.
    pub in_flight: IntGauge,
    /// Version of the configuration in force; 0 before the first.
    pub version: IntGauge,
    /// Entry instances believed alive, this one included.
    pub members: IntGauge,
    /// 1 while the platform's store answers.
    pub store_up: IntGauge,
    /// Calls made to the platform's store.
    pub store_calls: IntCounter,
    /// Calls to the platform's store that failed.
    pub store_failures: IntCounter,
    /// Bytes of control messages sent to peers, without framing.
    pub peer_bytes: IntGauge,
    /// Control messages sent to peers.
    pub peer_messages: IntGauge,
    /// 1 while this instance takes callers.
    pub ready: IntGauge,
}

impl Metrics {
    /// Registers all metrics, with value 0.
    ///
    /// # Errors
    /// If two metrics have the same name.
    pub fn new() -> Result<Self, Error> {
        let registry = Registry::new();
        let requests = IntCounterVec::new(
            Opts::new(
                "auburnrouter_requests_total",
                "Requests settled, by outcome and reason",
            ),
            &["outcome", "reason"],
        )?;
        registry.register(Box::new(requests.clone()))?;
        let counter = |name, help| counter(&registry, name, help);
        let gauge = |name, help| gauge(&registry, name, help);
        Ok(Self {
            lookups: counter("auburnrouter_lookups_total", "Look-ups answered or refused")?,
            in_flight: gauge(
                "auburnrouter_requests_in_flight",
                "Requests not settled yet",
            )?,
            version: gauge(
                "auburnrouter_config_version",
                "Configuration in force; 0 before the first",
            )?,
            members: gauge("auburnrouter_members", "Entry instances believed alive")?,
            store_up: gauge(
                "auburnrouter_store_up",
                "1 while the platform's store answers",
            )?,
            store_calls: counter(
                "auburnrouter_store_calls_total",
                "Calls to the platform's store",
            )?,
            store_failures: counter(
                "auburnrouter_store_failures_total",
                "Failed calls to the store",
            )?,
            peer_bytes: gauge(
                "auburnrouter_peer_bytes",
                "Bytes of control messages sent to peers, without framing",
            )?,
            peer_messages: gauge(
                "auburnrouter_peer_messages",
                "Control messages sent to peers",
            )?,
            ready: gauge("auburnrouter_ready", "1 while this instance takes callers")?,
            requests,
            registry: registry.clone(),
        })
    }

    /// Counts a request by its final outcome.
    pub fn count_settled(&self, settled: &peer::FinalResult) {
        let (outcome, reason) = match settled {
            Ok(_) => ("ran", "answered"),
            Err(refusal) => (refusal.outcome.as_str(), refusal.reason.as_str()),
        };
        self.requests.with_label_values(&[outcome, reason]).inc();
    }

    /// Encodes the metrics as Prometheus text.
    ///
    /// # Errors
    /// If a metric can't be encoded.
    pub fn text(&self) -> Result<Vec<u8>, Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}

fn counter(registry: &Registry, name: &str, help: &str) -> Result<IntCounter, Error> {
    let counter = IntCounter::new(name, help)?;
    registry.register(Box::new(counter.clone()))?;
    Ok(counter)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> Result<IntGauge, Error> {
    let gauge = IntGauge::new(name, help)?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

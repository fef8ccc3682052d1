//! Counters, gauges and latency histograms in the Prometheus text format.
//!
//! Invariant: label values come from fixed sets in this program, so that the number of
//! series does not grow with the deployment. The names of unknown headers come from
//! targets; their number is bounded.

use std::sync::Mutex;

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

use platform::store::Kind;

use super::{Shared, dump, lock};

/// Largest number of unknown headers that are counted by name.
const UNKNOWN_HEADERS_MAX: usize = 32;

/// Label of the unknown headers beyond [`UNKNOWN_HEADERS_MAX`].
const OTHER_HEADERS: &str = "other";

/// The metrics cannot be registered or encoded.
#[derive(Debug, thiserror::Error)]
#[error("metrics: {0}; this is a bug, please report it")]
pub struct Error(#[from] prometheus::Error);

/// Upper bounds of the latency histogram buckets in seconds: about a factor of two
/// apart around the latency objectives.
const LATENCY_BUCKETS: [f64; 11] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 10.0];

/// Upper bounds of the buckets of targets' slowdown, around the usual 1.
const SLOWDOWN_BUCKETS: [f64; 9] = [0.5, 0.8, 0.95, 1.05, 1.25, 1.5, 2.0, 4.0, 10.0];

/// The metrics of one instance.
pub struct Metrics {
    registry: Registry,
    /// Attempts at targets, by outcome.
    pub attempts: IntCounterVec,
    /// Answers that no target gave, by status and cause.
    pub own_answers: IntCounterVec,
    /// Time from a request's arrival to the start of each attempt.
    pub hold_time: Histogram,
    /// Duration of attempts.
    pub attempt_time: Histogram,
    /// Attempts at targets that were known to have a request limit.
    pub limited_attempts: IntCounter,
    /// Answers of targets that ask this instance to send nothing for a time.
    pub backoffs: IntCounter,
    /// Time that work takes on targets' machines by their answers, as a multiple of the
    /// usual one.
    pub slowdown: Histogram,
    unread_values: IntCounterVec,
    unknown_headers: IntCounterVec,
    /// Names of the headers counted by name, sorted.
    header_names: Mutex<Vec<Box<str>>>,
    /// Log lines dropped by the bound per second.
    pub dropped_lines: IntCounter,
    /// Callers' connections rejected for lack of file descriptors.
    pub rejected_connections: IntCounter,
    requests: IntGauge,
    waiting: IntGauge,
    body_bytes: IntGauge,
    targets: IntGauge,
    targets_limited: IntGauge,
    targets_backing_off: IntGauge,
    targets_leaving: IntGauge,
    instances: IntGauge,
    version: IntGauge,
    revision: IntGauge,
    in_touch: IntGauge,
    staleness: IntGauge,
    teams: IntGauge,
    connections: IntGauge,
    store_calls: IntGaugeVec,
}

impl Metrics {
    /// Registers all metrics at zero.
    ///
    /// # Errors
    /// If two metrics have the same name or a name is invalid.
    pub fn new() -> Result<Self, Error> {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| -> Result<_, Error> {
            let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counters.clone()))?;
            Ok(counters)
        };
        let histogram = |name: &str, help: &str| -> Result<_, Error> {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
            let histogram = Histogram::with_opts(options)?;
            registry.register(Box::new(histogram.clone()))?;
            Ok(histogram)
        };
        let slowdown = Histogram::with_opts(
            HistogramOpts::new(
                "auburnrouter_target_slowdown",
                "Time that work takes on targets' machines by their answers; 1 is usual",
            )
            .buckets(SLOWDOWN_BUCKETS.to_vec()),
        )?;
        registry.register(Box::new(slowdown.clone()))?;
        let gauge = |name: &str, help: &str| -> Result<_, Error> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let limited_attempts = IntCounter::new(
            "auburnrouter_attempts_limited_total",
            "Attempts at targets that were known to name a limit",
        )?;
        registry.register(Box::new(limited_attempts.clone()))?;
        let backoffs = IntCounter::new(
            "auburnrouter_target_backoffs_total",
            "Answers of targets that ask this instance to send nothing for a time",
        )?;
        registry.register(Box::new(backoffs.clone()))?;
        let dropped_lines = IntCounter::new(
            "auburnrouter_log_lines_left_out_total",
            "Log lines left out, by the bound a second or a slow reader",
        )?;
        registry.register(Box::new(dropped_lines.clone()))?;
        let rejected_connections = IntCounter::new(
            "auburnrouter_connections_turned_away_total",
            "Callers' connections beyond what the process's descriptors allow",
        )?;
        registry.register(Box::new(rejected_connections.clone()))?;
        let store_calls = IntGaugeVec::new(
            Opts::new(
                "auburnrouter_store_calls",
                "Calls made to the store, by kind",
            ),
            &["kind"],
        )?;
        registry.register(Box::new(store_calls.clone()))?;
        Ok(Self {
            attempts: counters(
                "auburnrouter_attempts_total",
                "Attempts at targets, by ending",
                &["ending"],
            )?,
            own_answers: counters(
                "auburnrouter_own_answers_total",
                "Answers that no target gave, by status and cause",
                &["status", "cause"],
            )?,
            hold_time: histogram(
                "auburnrouter_held_seconds",
                "Time from a request's arrival to its being sent",
            )?,
            attempt_time: histogram("auburnrouter_attempt_seconds", "Time that attempts took")?,
            limited_attempts,
            backoffs,
            slowdown,
            unread_values: counters(
                "auburnrouter_unread_values_total",
                "Headers in answers of targets with a value that isn't read whole, by name",
                &["header"],
            )?,
            unknown_headers: counters(
                "auburnrouter_unknown_headers_total",
                "Headers in answers of targets that this release doesn't know, by name",
                &["header"],
            )?,
            header_names: Mutex::default(),
            dropped_lines,
            rejected_connections,
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
            instances: gauge("auburnrouter_instances", "Instances there, this one too")?,
            version: gauge("auburnrouter_config_version", "Configuration in force")?,
            revision: gauge("auburnrouter_store_revision", "Revision known whole")?,
            in_touch: gauge("auburnrouter_store_in_touch", "1 while the store answers")?,
            staleness: gauge(
                "auburnrouter_staleness_milliseconds",
                "Time since all that the store held is known, at most; -1 before",
            )?,
            teams: gauge("auburnrouter_teams", "Teams of the configuration")?,
            connections: gauge("auburnrouter_connections", "Callers' open connections")?,
            store_calls,
            registry,
        })
    }

    /// Counts an answer's header, one that this release reads, with a value that isn't
    /// read whole.
    pub fn count_unread_value(&self, name: &str) {
        self.unread_values.with_label_values(&[name]).inc();
    }

    /// Counts an answer's header that this release doesn't know. Returns whether it is
    /// the first of its name.
    pub fn count_unknown_header(&self, name: &str) -> bool {
        let mut names = lock(&self.header_names);
        let found = names.binary_search_by(|n| (**n).cmp(name));
        let has_room = names.len() < UNKNOWN_HEADERS_MAX;
        if let Err(at) = found
            && has_room
        {
            names.insert(at, name.into());
        }
        let label = if found.is_ok() || has_room {
            name
        } else {
            OTHER_HEADERS
        };
        self.unknown_headers.with_label_values(&[label]).inc();
        found.is_err() && has_room
    }

    /// Updates the gauges from the present state and encodes all metrics as text.
    ///
    /// # Errors
    /// If encoding fails.
    pub fn encode(&self, shared: &Shared) -> Result<Vec<u8>, Error> {
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
        self.instances.set(int(state.instances.len() + 1));
        self.version.set(int64(state.version));
        self.revision.set(int64(state.revision));
        self.in_touch.set(i64::from(state.store));
        self.staleness.set(state.stale_ms.map_or(-1, int64));
        let teams = shared.read(|_, d| d.routes().map_or(0, |r| r.teams.all().len()));
        self.teams.set(int(teams));
        self.connections.set(int(state.connections));
        for kind in Kind::ALL {
            let calls = self.store_calls.with_label_values(&[kind.name()]);
            calls.set(int64(shared.store.calls(kind)));
        }
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}

/// Converts a count, saturating.
fn int(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

/// Converts a number, saturating.
fn int64(count: u64) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

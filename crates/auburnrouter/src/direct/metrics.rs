//! Counters, gauges and latency histograms in the Prometheus text format.
//!
//! Invariant: label values come from fixed sets in this program, so that the number of
//! series does not grow with the deployment. The names of unknown headers come from
//! targets; their number is bounded. Names of regions and services come from the settings
//! and the configuration.

mod gauges;
mod target_loads;

use std::sync::Mutex;

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

use platform::store::{Cause, Kind};
use steer::process::direct::mix::Priority;

use super::{Shared, lock};
use gauges::Gauges;
use target_loads::LoadCounters;

/// Largest number of unknown headers that are counted by name.
const UNKNOWN_HEADERS_MAX: usize = 32;

/// Label of the unknown headers beyond [`UNKNOWN_HEADERS_MAX`].
const OTHER_HEADERS: &str = "other";

/// Largest number in the labels of priorities; those above share its label.
const PRIORITY_LABEL_MAX: u32 = 9;

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
    /// Connections to targets that could not be opened, by cause.
    pub connect_faults: IntCounterVec,
    /// Attempts that one instance made for another, by this one's role and by outcome.
    pub relayed: IntCounterVec,
    /// Answers that no target gave, by status and cause.
    pub own_answers: IntCounterVec,
    /// Requests rejected for want of a slot, by priority.
    rejected: IntCounterVec,
    /// Time from a request's arrival to the start of each attempt.
    pub hold_time: Histogram,
    /// Duration of attempts.
    pub attempt_time: Histogram,
    /// Attempts at targets that were known to have a request limit.
    pub limited_attempts: IntCounter,
    /// Answers of targets that ask this instance to send nothing for a time.
    pub backoffs: IntCounter,
    /// Reports of targets that the store carried out late.
    pub late_reports: IntCounter,
    /// Reports of requests at targets.
    pub target_loads: LoadCounters,
    /// Requests that were refused because targets crashed under them, and are served again.
    pub verdicts_withdrawn: IntCounter,
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
    /// Callers' connections closed as they took nothing of their answers.
    pub evicted_callers: IntCounter,
    gauges: Gauges,
    store_calls: IntGaugeVec,
    /// Failed calls to the store, by kind and cause.
    store_failures: IntGaugeVec,
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
        let histogram = |name: &str, help: &str, buckets: &[f64]| -> Result<_, Error> {
            let options = HistogramOpts::new(name, help).buckets(buckets.to_vec());
            let histogram = Histogram::with_opts(options)?;
            registry.register(Box::new(histogram.clone()))?;
            Ok(histogram)
        };
        let limited_attempts = counter(
            &registry,
            "auburnrouter_attempts_limited_total",
            "Attempts at targets that were known to name a limit",
        )?;
        let backoffs = counter(
            &registry,
            "auburnrouter_target_backoffs_total",
            "Answers of targets that ask this instance to send nothing for a time",
        )?;
        let late_reports = counter(
            &registry,
            "auburnrouter_target_reports_late_total",
            "Reports of targets that the store carried out after later ones",
        )?;
        let verdicts_withdrawn = counter(
            &registry,
            "auburnrouter_verdicts_withdrawn_total",
            "Requests that were refused because targets crashed under them, and are served again",
        )?;
        let dropped_lines = counter(
            &registry,
            "auburnrouter_log_lines_left_out_total",
            "Log lines left out, by the bound a second or a slow reader",
        )?;
        let [rejected_connections, evicted_callers] = closed_connections(&registry)?;
        Ok(Self {
            attempts: counters(
                "auburnrouter_attempts_total",
                "Attempts at targets, by ending",
                &["ending"],
            )?,
            connect_faults: counters(
                "auburnrouter_connect_faults_total",
                "Connections to targets that could not be opened, by cause",
                &["cause"],
            )?,
            relayed: counters(
                "auburnrouter_relayed_total",
                "Attempts that another instance made for this one (sender), or this for another (relay)",
                &["role", "ending"],
            )?,
            own_answers: counters(
                "auburnrouter_own_answers_total",
                "Answers that no target gave, by status and cause",
                &["status", "cause"],
            )?,
            rejected: rejected(&registry)?,
            hold_time: histogram(
                "auburnrouter_held_seconds",
                "Time from a request's arrival to its being sent",
                &LATENCY_BUCKETS,
            )?,
            attempt_time: histogram(
                "auburnrouter_attempt_seconds",
                "Time that attempts took",
                &LATENCY_BUCKETS,
            )?,
            slowdown: histogram(
                "auburnrouter_target_slowdown",
                "Time that work takes on targets' machines by their answers; 1 is usual",
                &SLOWDOWN_BUCKETS,
            )?,
            limited_attempts,
            backoffs,
            late_reports,
            target_loads: LoadCounters::new(&registry)?,
            verdicts_withdrawn,
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
            evicted_callers,
            gauges: Gauges::new(&registry)?,
            store_calls: store_calls(&registry)?,
            store_failures: store_failures(&registry)?,
            registry,
        })
    }

    /// Counts a request that was rejected for want of a slot.
    pub fn count_rejected(&self, priority: Priority) {
        let (team, route) = priority;
        let (team, route) = (team.min(PRIORITY_LABEL_MAX), route.min(PRIORITY_LABEL_MAX));
        let label = format!("{team}-{route}");
        self.rejected.with_label_values(&[&*label]).inc();
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
        self.gauges.set(shared);
        for kind in Kind::ALL {
            let calls = self.store_calls.with_label_values(&[kind.name()]);
            calls.set(int64(shared.store.calls(kind)));
            for cause in Cause::ALL {
                let labels = [kind.name(), cause.name()];
                let failures = self.store_failures.with_label_values(&labels);
                failures.set(int64(shared.store.failures(kind, cause)));
            }
        }
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}

/// Registers the counters of requests rejected for want of a slot.
fn rejected(registry: &Registry) -> Result<IntCounterVec, Error> {
    let options = Opts::new(
        "auburnrouter_rejected_by_priority_total",
        "Requests rejected as overload or yields, by priority: the team's, then the route's",
    );
    let counters = IntCounterVec::new(options, &["priority"])?;
    registry.register(Box::new(counters.clone()))?;
    Ok(counters)
}

/// Registers the counters of callers' connections that were turned away, and of those that
/// were closed.
fn closed_connections(registry: &Registry) -> Result<[IntCounter; 2], Error> {
    let rejected = counter(
        registry,
        "auburnrouter_connections_turned_away_total",
        "Callers' connections beyond what the process's descriptors allow",
    )?;
    let evicted = counter(
        registry,
        "auburnrouter_callers_evicted_total",
        "Callers' connections closed, as they took nothing of their answers while memory was short",
    )?;
    Ok([rejected, evicted])
}

/// Registers the gauge of calls to the store.
fn store_calls(registry: &Registry) -> Result<IntGaugeVec, Error> {
    let options = Opts::new(
        "auburnrouter_store_calls",
        "Calls made to the store, by kind",
    );
    let calls = IntGaugeVec::new(options, &["kind"])?;
    registry.register(Box::new(calls.clone()))?;
    Ok(calls)
}

/// Registers the gauge of failed calls to the store.
fn store_failures(registry: &Registry) -> Result<IntGaugeVec, Error> {
    let options = Opts::new(
        "auburnrouter_store_failures",
        "Calls to the store that failed, by kind and cause",
    );
    let failures = IntGaugeVec::new(options, &["kind", "cause"])?;
    registry.register(Box::new(failures.clone()))?;
    Ok(failures)
}

/// Registers a counter without labels.
fn counter(registry: &Registry, name: &str, help: &str) -> Result<IntCounter, Error> {
    let counter = IntCounter::new(name, help)?;
    registry.register(Box::new(counter.clone()))?;
    Ok(counter)
}

/// Converts a number, saturating.
fn int64(count: u64) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

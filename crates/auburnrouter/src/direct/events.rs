//! Log events: one line of JSON for each change of known state and each outcome of
//! a request or attempt.
//!
//! Invariants: names of events and fields are defined here and nowhere else; lines
//! of one event are bounded per second, and dropped ones are counted.

mod callers;
mod reach;
mod referral;
mod regions;
mod requests;
mod shortness;
mod suspects;
mod targets;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Mutex;
use std::time::Duration;

use platform::store;
use serde::Serialize;
use steer::process::direct::lag::BUDGET_MIN;
use steer::process::direct::starters::StartPlace;
use steer::version::routes::{Route, Routes};
use steer::version::teams::Team;

pub use callers::caller_evicted;
pub use reach::{Relayed, reach_changed, relayed};
pub use referral::referral_changed;
pub use regions::region_changed;
pub use requests::{Attempt, Origin, OwnAnswer, attempt_ended, own_answer};
pub use shortness::shortness_changed;
pub use suspects::{suspects_changed, trial_begun};
pub use targets::{
    backoff_asked, limit_changed, target_changed, target_gone, target_leaving, target_report_late,
    unknown_header, unread_value,
};

use super::Shared;

/// One log line.
#[derive(Serialize)]
struct Line<'a, T> {
    /// Milliseconds since the start of the process, time suspended included.
    at_ms: u64,
    event: &'a str,
    #[serde(flatten)]
    fields: T,
}

/// Maximum number of lines of one event per second. A busy instance logs about
/// two decisions for each of a hundred requests per second.
const LINES_PER_SECOND_MAX: u32 = 400;

/// Bounds the lines of each event per second.
#[derive(Debug, Default)]
pub struct LogQuota(Mutex<Vec<EventCount>>);

/// Lines of one event in its current second.
#[derive(Debug)]
struct EventCount {
    event: &'static str,
    second: u64,
    count: u32,
    /// Lines dropped since the last one that was written.
    dropped: u64,
}

impl LogQuota {
    /// Counts a line of this event. Returns the number of lines dropped before it,
    /// or `None` if it is to be dropped itself.
    fn admit(&self, event: &'static str, second: u64) -> Option<u64> {
        let mut counts = super::lock(&self.0);
        let at = match counts.binary_search_by(|e| e.event.cmp(event)) {
            Ok(at) => at,
            Err(at) => {
                let entry = EventCount {
                    event,
                    second,
                    count: 0,
                    dropped: 0,
                };
                counts.insert(at, entry);
                at
            }
        };
        let entry = &mut counts[at];
        if entry.second != second {
            entry.second = second;
            entry.count = 0;
        }
        if entry.count >= LINES_PER_SECOND_MAX {
            entry.dropped += 1;
            return None;
        }
        entry.count += 1;
        Some(core::mem::take(&mut entry.dropped))
    }
}

#[derive(Serialize)]
struct DroppedFields<'a> {
    kind: &'a str,
    count: u64,
}

/// Writes a line unless its event has used up its quota; reports dropped lines
/// before the next one that is written.
fn write<T: Serialize>(shared: &Shared, event: &'static str, fields: T) {
    let second = shared.now().as_micros() / 1_000_000;
    match shared.log_quota.admit(event, second) {
        None => {
            shared.metrics.dropped_lines.inc();
            return;
        }
        Some(0) => {}
        Some(count) => emit(shared, "left-out", DroppedFields { kind: event, count }),
    }
    emit(shared, event, fields);
}

/// Writes a line unconditionally.
fn emit<T: Serialize>(shared: &Shared, event: &str, fields: T) {
    let line = Line {
        at_ms: shared.now().as_micros() / 1000,
        event,
        fields,
    };
    match serde_json::to_string(&line) {
        Ok(text) => log::info!("{text}"),
        Err(error) => log::error!("{{\"event\":\"log-failed\",\"error\":\"{error}\"}}"),
    }
}

#[derive(Serialize)]
struct StartFields<'a> {
    name: &'a str,
    domain: &'a str,
    region: &'a str,
    version: &'a str,
    /// Time of day, to align the logs of several instances.
    unix_ms: u64,
    /// Addresses that the instance is bound to.
    callers: SocketAddr,
    ready: SocketAddr,
    directory: SocketAddr,
    peers: SocketAddr,
    beats: SocketAddr,
    operators: SocketAddr,
}

/// Logs the start of the process, with the addresses that it is bound to.
pub fn started(shared: &Shared) {
    let settings = &shared.settings;
    let fields = StartFields {
        name: &settings.name,
        domain: &settings.domain,
        region: &settings.region,
        version: env!("CARGO_PKG_VERSION"),
        unix_ms: unix_ms(),
        callers: settings.listen.callers,
        ready: settings.listen.ready,
        directory: settings.listen.directory,
        peers: settings.listen.peers,
        beats: settings.listen.heartbeats,
        operators: settings.listen.operators,
    };
    write(shared, "start", fields);
}

#[derive(Serialize)]
struct ShortBoundFields<'a> {
    /// Name of the bound in the settings.
    bound: &'a str,
    bound_ms: u64,
    /// Shortest value that can be kept.
    kept_ms: u64,
}

/// Logs the operator's bounds that can't be kept while an instance that others read from
/// is cut off from the store.
pub fn bounds_too_short(shared: &Shared) {
    let short: Vec<_> = shared.read(|_, d| d.short_bounds().collect());
    for (bound, value) in short {
        let fields = ShortBoundFields {
            bound,
            bound_ms: millis(value),
            kept_ms: millis(BUDGET_MIN),
        };
        write(shared, "short-bound", fields);
    }
}

#[derive(Serialize)]
struct NoFields {}

/// Logs the request to stop.
pub fn stopping(shared: &Shared) {
    write(shared, "stopping", NoFields {});
}

#[derive(Serialize)]
struct StopFields {
    store_calls: u64,
}

/// Logs the end of the process.
pub fn stopped(shared: &Shared) {
    let store_calls = shared.store_calls();
    write(shared, "stop", StopFields { store_calls });
}

#[derive(Serialize)]
struct ReloadFields<'a> {
    file: &'a str,
    outcome: &'a str,
}

/// Reads the settings file and logs whether it differs from the settings in use.
/// Those stay in use until the next start.
pub fn reloaded(shared: &Shared, file: &Path) {
    let text = std::fs::read_to_string(file);
    let name = file.display().to_string();
    let outcome = match text {
        Err(_) => "unreadable",
        Ok(text) => match settings::direct::Settings::parse(&name, &text) {
            Err(_) => "faulty",
            Ok(new) if new == shared.original_settings => "same",
            Ok(_) => "changed, in force at the next start",
        },
    };
    let fields = ReloadFields {
        file: &name,
        outcome,
    };
    write(shared, "reload", fields);
}

#[derive(Serialize)]
struct ConfigFields {
    version: u64,
    routes: usize,
    teams: usize,
    keys: usize,
}

#[derive(Serialize)]
struct TeamFields<'a> {
    team: &'a str,
    priority: Option<u32>,
    /// Requests per second that all instances together admit; null if unlimited.
    rate: Option<f64>,
    /// Requests beyond that rate that they admit at once; null if unlimited.
    burst: Option<f64>,
    /// Regions that may serve it; empty if all may.
    homes: &'a [std::sync::Arc<str>],
}

#[derive(Serialize)]
struct RouteFields<'a> {
    route: &'a str,
    services: Vec<&'a str>,
    idempotent: bool,
    priority: u32,
    goal_ms: u64,
    timeout_ms: u64,
    /// Regions that may serve it; empty if all may.
    homes: &'a [std::sync::Arc<str>],
}

/// Logs a new configuration version that replaces `before`, and each route and
/// team that is new or changed in it.
pub fn config_installed(shared: &Shared, routes: &Routes, before: Option<&Routes>) {
    let fields = ConfigFields {
        version: routes.version,
        routes: routes.routes().len(),
        teams: routes.teams.all().len(),
        keys: routes.teams.key_count(),
    };
    write(shared, "config", fields);
    let previous = before.map(Routes::routes).unwrap_or_default();
    for route in routes.routes() {
        if !previous.contains(route) {
            write(shared, "route", route_fields(route));
        }
    }
    let previous = before.map(|r| r.teams.all()).unwrap_or_default();
    for team in routes.teams.all() {
        if !previous.contains(team) {
            write(shared, "team", team_fields(team));
        }
    }
}

fn team_fields(team: &Team) -> TeamFields<'_> {
    TeamFields {
        team: &team.name,
        priority: team.priority,
        rate: team.quota.map(|quota| quota.rate),
        burst: team.quota.map(|quota| quota.burst),
        homes: &team.home_regions,
    }
}

fn route_fields(route: &Route) -> RouteFields<'_> {
    RouteFields {
        route: &route.name,
        services: route.services.iter().map(|p| &*p.service).collect(),
        idempotent: route.is_idempotent,
        priority: route.priority,
        goal_ms: millis(route.latency_goal),
        timeout_ms: millis(route.timeout),
        homes: &route.home_regions,
    }
}

#[derive(Serialize)]
struct RejectionFields<'a> {
    key: &'a str,
    error: &'a str,
}

/// Logs input that cannot be used: an item of the store, by its key or id, or a
/// message of another instance.
pub fn input_rejected(shared: &Shared, key: &str, error: &str) {
    write(shared, "entry-refused", RejectionFields { key, error });
}

#[derive(Serialize)]
struct EvacuationFields<'a> {
    domains: &'a [std::sync::Arc<str>],
}

/// Logs a change of the evacuated domains.
pub fn evacuation_changed(shared: &Shared, domains: &[std::sync::Arc<str>]) {
    write(shared, "evacuated", EvacuationFields { domains });
}

#[derive(Serialize)]
struct MemberFields<'a> {
    name: &'a str,
    listed: bool,
}

/// Logs that an instance's registration in the store was written or removed.
pub fn member_changed(shared: &Shared, name: &str, listed: bool) {
    write(shared, "member", MemberFields { name, listed });
}

#[derive(Serialize)]
struct PeerQueryFields<'a> {
    peer: SocketAddr,
    known: u64,
    outcome: &'a str,
}

/// Logs a query to another instance for the changes after revision `known`.
pub fn peer_queried(shared: &Shared, peer: SocketAddr, known: u64, outcome: &str) {
    let fields = PeerQueryFields {
        peer,
        known,
        outcome,
    };
    write(shared, "asked-peer", fields);
}

#[derive(Serialize)]
struct UpstreamFields<'a> {
    from: &'a str,
    revision: u64,
    /// Milliseconds since the store's last answer; null before the first.
    store_ms: Option<u64>,
    /// Milliseconds since the store's content was last known in full, at most; null before.
    stale_ms: Option<u64>,
}

impl<'a> UpstreamFields<'a> {
    fn new(shared: &Shared, from: &'a str) -> Self {
        let (revision, store, stale) =
            shared.read(|now, d| (d.revision(), d.store_age(now), d.staleness(now)));
        Self {
            from,
            revision,
            store_ms: store.map(millis),
            stale_ms: stale.map(millis),
        }
    }
}

#[derive(Serialize)]
struct StartPlacedFields<'a> {
    seed: SocketAddr,
    above: usize,
    others: usize,
    sources: Vec<&'a str>,
}

/// Logs the place of this instance, which starts, among those of its failure domain, as a
/// seed tells.
pub fn start_placed(shared: &Shared, seed: SocketAddr, place: &StartPlace) {
    let fields = StartPlacedFields {
        seed,
        above: place.above,
        others: place.others,
        sources: place.sources.iter().map(|(name, _)| &**name).collect(),
    };
    write(shared, "start-place", fields);
}

/// Logs a change of the upstream that this instance reads from: `store`, or the
/// name of an instance.
pub fn upstream_changed(shared: &Shared, from: &str) {
    write(shared, "upstream", UpstreamFields::new(shared, from));
}

/// Logs that the upstream instance gave no answer or a stale one.
pub fn upstream_failed(shared: &Shared, from: &str) {
    write(shared, "upstream-failed", UpstreamFields::new(shared, from));
}

#[derive(Serialize)]
struct StoreFields<'a> {
    during: &'a str,
    error: &'a str,
}

/// Logs a failed call to the store, the first of consecutive failures; `during` is
/// `watch`, `lease` or `leave`.
pub fn store_lost(shared: &Shared, during: &str, error: &str) {
    write(shared, "store-lost", StoreFields { during, error });
}

#[derive(Serialize)]
struct RereadFields<'a> {
    how: &'a str,
    known: u64,
    error: &'a str,
}

/// Logs that the changes of the store after revision `known` can't be read by one watch,
/// and are read in `parts`, or by a `list` of everything.
pub fn store_reread(shared: &Shared, how: &str, known: u64, error: &store::Error) {
    let error = &error.to_string();
    write(shared, "store-reread", RereadFields { how, known, error });
}

/// Logs the first successful call to the store after failed ones.
pub fn store_recovered(shared: &Shared, during: &str) {
    write(shared, "store-back", StoreFields { during, error: "" });
}

/// Milliseconds since the Unix epoch; 0 if the clock is set before it.
fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now();
    now.duration_since(std::time::UNIX_EPOCH).map_or(0, millis)
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

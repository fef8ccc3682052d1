//! Dump of the process's state for operators, and log lines for its changes.

use std::sync::Arc;

use serde::Serialize;
use steer::process::control::{self, Control};

use super::Context;

/// State of a process.
#[derive(Debug, Serialize)]
pub struct Dump {
    name: Arc<str>,
    domain: Arc<str>,
    incarnation: String,
    standing: &'static str,
    ready: bool,
    version: u64,
    in_flight: usize,
    drained: bool,
    key_prefix: Option<String>,
    entries: Vec<Entry>,
    targets: Vec<Target>,
    control: String,
    traffic: Vec<String>,
}

/// State of an entry instance in the membership table.
#[derive(Debug, Serialize)]
struct Entry {
    name: Arc<str>,
    domain: Arc<str>,
    life: &'static str,
    stamp: String,
}

/// State of a target in the view.
#[derive(Debug, Serialize)]
struct Target {
    name: Arc<str>,
    addr: String,
    state: &'static str,
}

impl Dump {
    /// Collects the current state.
    pub fn new(context: &Context, control: &Control) -> Self {
        let snapshot = context.snapshot.load();
        let entries = control.table().rows().iter().map(|row| Entry {
            name: Arc::clone(&row.record.identity.name),
            domain: Arc::clone(&row.record.identity.domain),
            life: row.record.lifecycle.as_str(),
            stamp: row.record.stamp.to_string(),
        });
        let targets = snapshot.view.targets.values().map(|t| Target {
            name: Arc::clone(&t.name),
            addr: t.addr.to_string(),
            state: match t.state {
                steer::version::view::State::Live => "live",
                steer::version::view::State::Leaving => "leaving",
            },
        });
        Self {
            name: Arc::clone(&context.settings.name),
            domain: Arc::clone(&context.settings.domain),
            incarnation: context.incarnation.to_string(),
            standing: control.status().as_str(),
            ready: control.is_ready(),
            version: control.version().0,
            in_flight: context.engine.in_flight(),
            drained: context.engine.is_drained(),
            key_prefix: context.engine.prefix().map(|p| p.as_str().to_owned()),
            entries: entries.collect(),
            targets: targets.collect(),
            control: format!("{:?}", control.counters()),
            traffic: context.engine.dump(),
        }
    }
}

/// Logs a change of the control state.
pub fn log_notice(notice: &control::Notice) {
    use control::Notice;
    match notice {
        Notice::StoreAway => log::warn!("event=store-away"),
        Notice::StoreBack => log::info!("event=store-back"),
        Notice::StoreBehind { stored, force } => {
            log::error!("event=store-behind stored={stored} force={force}");
        }
        Notice::StoreCaughtUp => log::info!("event=store-caught-up"),
        Notice::Forked(version) => log::error!("event=forked version={version}"),
        Notice::Rejected(version) => log::error!("event=rejected version={version}"),
        Notice::InForce(version) => log::info!("event=in-force version={version}"),
        Notice::Standing(standing) => log::warn!("event=standing standing={}", standing.as_str()),
        Notice::Raised(stamp) => log::info!("event=raised stamp={stamp}"),
        Notice::Dropped(name) => log::warn!("event=dropped entry={name}"),
        Notice::DomainSilent(domain) => log::warn!("event=domain-silent domain={domain}"),
        Notice::DomainBack(domain) => log::info!("event=domain-back domain={domain}"),
    }
}

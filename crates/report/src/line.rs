//! One log line of an instance, as it is written.
//!
//! Invariant: fields that a line lacks, as those of an older program, have
//! values that count as unknown.

use std::sync::Arc;

use serde::Deserialize;

/// What a line tells. Kinds that this report doesn't need are passed over.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum Event {
    /// The process has started.
    Start(Start),
    /// A route is in force.
    Route(Route),
    /// A target was listed or has changed.
    Target(Target),
    /// A target is gone.
    TargetGone {
        /// Its name.
        target: Arc<str>,
    },
    /// An attempt has ended.
    Attempt(Attempt),
    /// An answer that no target gave.
    OwnAnswer(OwnAnswer),
    /// Lines were left out.
    LeftOut {
        /// How many.
        count: u64,
    },
    /// Anything else.
    #[serde(other)]
    Other,
}

/// A line.
#[derive(Clone, Debug, Deserialize)]
pub struct Line {
    /// Milliseconds since the process's start.
    pub at_ms: u64,
    /// What it tells.
    #[serde(flatten)]
    pub event: Event,
}

/// The start of a process.
#[derive(Clone, Debug, Deserialize)]
pub struct Start {
    /// The instance.
    pub name: Arc<str>,
    /// Its region.
    pub region: Arc<str>,
    /// The time of day in milliseconds; 0 if it isn't said.
    #[serde(default)]
    pub unix_ms: u64,
}

/// A route.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub route: Arc<str>,
    /// Services that it leads to.
    pub services: Vec<Arc<str>>,
    /// Latency objective in milliseconds.
    pub goal_ms: u64,
    /// Regions that may serve it; any if there are none.
    pub homes: Vec<Arc<str>>,
}

/// A target.
#[derive(Clone, Debug, Deserialize)]
pub struct Target {
    /// Its name.
    pub target: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// Its region; empty if it isn't said.
    #[serde(default)]
    pub region: Arc<str>,
    /// Requests that it runs at a time; 0 if it isn't said.
    #[serde(default)]
    pub slots: u32,
    /// `ready` or `leaving`.
    pub state: String,
}

/// An attempt at a target.
#[derive(Clone, Debug, Deserialize)]
pub struct Attempt {
    /// The request's id.
    pub request: Arc<str>,
    /// Its route.
    pub route: Arc<str>,
    /// The target.
    pub target: Arc<str>,
    /// Which attempt, from 1.
    pub attempt: u32,
    /// Milliseconds from the request's arrival until it was sent.
    pub held_ms: u64,
    /// Milliseconds that it took.
    pub took_ms: u64,
    /// How it ended.
    pub ending: String,
    /// The target's status; 0 if there is none.
    pub status: u16,
    /// Whether the object was known to be there.
    pub warm: bool,
    /// Work expected, in milliseconds.
    pub expected_ms: f64,
    /// Milliseconds from its first byte until it was taken up.
    #[serde(default)]
    pub read_ms: u64,
    /// Requests ahead of it on its connection.
    #[serde(default)]
    pub ahead: u64,
}

/// An answer that no target gave.
#[derive(Clone, Debug, Deserialize)]
pub struct OwnAnswer {
    /// The request's id.
    pub request: Arc<str>,
    /// Its route; empty if it has none.
    pub route: Arc<str>,
    /// The status.
    pub status: u16,
    /// Why.
    pub why: Arc<str>,
    /// Milliseconds since the request's arrival.
    pub held_ms: u64,
    /// Milliseconds from its first byte until it was taken up.
    #[serde(default)]
    pub read_ms: u64,
}

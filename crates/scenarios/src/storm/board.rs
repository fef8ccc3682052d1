//! What the threads of a storm share: who may be called, what was seen.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::setup;
use crate::settings::Listens;

/// An entry instance's process.
#[derive(Clone, Copy, Debug)]
pub(super) struct Entry {
    /// Name.
    pub(super) name: &'static str,
    /// Where it listens.
    pub(super) listens: Listens,
}

/// What became of one try of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// Its target's answer came: the body echoed, and the attempt.
    Ran {
        /// Body that the target got.
        body: String,
        /// Attempt that the target ran.
        attempt: Option<String>,
    },
    /// Refused, not run; the reason.
    NotRun(String),
    /// Refused, may have run; the reason.
    Unknown(String),
    /// Connection broken.
    Broken(String),
    /// The caller waited no longer.
    Late,
}

/// One try of a request.
#[derive(Clone, Debug)]
pub(super) struct Try {
    /// Name of the service.
    pub(super) service: &'static str,
    /// The key, if it had one.
    pub(super) key: Option<String>,
    /// Body sent.
    pub(super) body: String,
    /// Where to.
    pub(super) at: SocketAddr,
    /// When it began.
    pub(super) began: Duration,
    /// When it ended.
    pub(super) ended: Duration,
    /// What became of it.
    pub(super) verdict: Verdict,
}

/// A planned stop of an entry instance.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stop {
    /// Where it listened.
    pub(super) at: SocketAddr,
    /// When it was told to stop.
    pub(super) told: Duration,
}

#[derive(Debug, Default)]
struct Seen {
    entries: Vec<Entry>,
    tries: Vec<Try>,
    stops: Vec<Stop>,
    faults: Vec<String>,
    trace: Vec<String>,
    accepted: Vec<u64>,
    denied: Vec<String>,
    over: bool,
}

/// The board. Only its own methods hold its lock, and none of them waits.
#[derive(Debug)]
pub(super) struct Board {
    began: Instant,
    seen: Mutex<Seen>,
}

impl Board {
    pub(super) fn new() -> Self {
        Self {
            began: Instant::now(),
            seen: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Time since the storm began.
    pub(super) fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Puts an entry instance, or its replacement, on the board.
    pub(super) fn set(&self, name: &'static str, listens: Listens) {
        let mut seen = self.lock();
        seen.entries.retain(|entry| entry.name != name);
        seen.entries.push(Entry { name, listens });
        seen.entries.sort_by_key(|entry| entry.name);
    }

    pub(super) fn entries(&self) -> Vec<Entry> {
        self.lock().entries.clone()
    }

    /// Ends the storm for the callers.
    pub(super) fn end(&self) {
        self.lock().over = true;
    }

    pub(super) fn is_over(&self) -> bool {
        self.lock().over
    }

    pub(super) fn tried(&self, one: Try) {
        self.lock().tries.push(one);
    }

    pub(super) fn tries(&self) -> Vec<Try> {
        self.lock().tries.clone()
    }

    pub(super) fn stopped(&self, stop: Stop) {
        self.lock().stops.push(stop);
    }

    pub(super) fn stops(&self) -> Vec<Stop> {
        self.lock().stops.clone()
    }

    /// Notes a version that an operator was told to be accepted.
    pub(super) fn accepted(&self, version: u64) {
        self.lock().accepted.push(version);
    }

    /// Notes a change that an operator was told not to be made.
    pub(super) fn deny(&self, id: &str) {
        self.lock().denied.push(id.to_owned());
    }

    pub(super) fn denied(&self) -> Vec<String> {
        self.lock().denied.clone()
    }

    pub(super) fn versions(&self) -> Vec<u64> {
        let mut all = self.lock().accepted.clone();
        all.sort_unstable();
        all
    }

    /// Notes what must not be.
    pub(super) fn fault(&self, text: String) {
        self.trace(format!("FAULT {text}"));
        self.lock().faults.push(text);
    }

    pub(super) fn faults(&self) -> Vec<String> {
        self.lock().faults.clone()
    }

    /// Notes what happens.
    pub(super) fn trace(&self, text: impl Into<String>) {
        let at = self.now().as_millis();
        let line = format!("{at:>6} ms {}", text.into());
        self.lock().trace.push(line);
    }

    pub(super) fn story(&self) -> Vec<String> {
        self.lock().trace.clone()
    }
}

/// Longest that a caller waits: the longest deadline, and a little.
pub(super) const PATIENCE: Duration = Duration::from_millis(setup::DEADLINE_MS + 1500);

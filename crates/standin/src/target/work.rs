//! Runs one request: waits for a slot, enters it into the ledger, works.
//!
//! Invariant: [`Ending::Refused`] only comes before the run is in the ledger,
//! so a refusal by a target is true.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use smol::Timer;
use smol::future::FutureExt;
use smol::lock::SemaphoreGuard;

use super::fault::{Fault, Faults};
use super::ledger::{self, Run, Stage};
use super::{Attempt, Shared, lock};

/// A request as the target sees it.
pub(super) struct Request {
    pub(super) key: Option<String>,
    pub(super) attempt: Option<String>,
    pub(super) deadline: Option<Duration>,
    pub(super) method: String,
    pub(super) path: String,
    pub(super) body: String,
}

/// What became of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    /// It ran.
    Done,
    /// It began, and was stopped.
    Stopped,
    /// It was not run; the word for `Target-Refused`.
    Refused(&'static str),
    /// It took the target down.
    Crashed,
    /// Another request took the target down.
    Lost,
}

/// Counts one more while it lives.
struct Counted<'a>(&'a AtomicU32);

impl<'a> Counted<'a> {
    fn new(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Runs a request to its end.
pub(super) async fn run(shared: &Shared, request: &Request) -> Ending {
    let faults = lock(&shared.faults).clone();
    if faults.drain() == Some(true) {
        return Ending::Refused("leaving");
    }
    if faults.has(&Fault::Shed) {
        return Ending::Refused("shed");
    }
    let stop = Stop::new(shared, request);
    let Some(_slot) = slot(shared, &stop).await else {
        return Ending::Refused("shed");
    };
    let _counted = Counted::new(&shared.running);
    shared.note();
    let entry = entry(request);
    if let Some(file) = &shared.config.ledger {
        // A run that can't be entered must not begin: nobody would count it.
        let Ok(()) = ledger::append(file, &entry) else {
            return Ending::Refused("ledger");
        };
    }
    let at = lock(&shared.executed).begin(entry);
    if is_marked(shared, request) {
        return Ending::Crashed;
    }
    let ending = work(shared, &stop, &faults).await;
    let stage = match ending {
        Ending::Done => Stage::Done,
        _ => Stage::Stopped,
    };
    lock(&shared.executed).end(at, stage);
    ending
}

/// Ends once the attempt was cancelled or its deadline passed.
struct Stop {
    until: Option<Instant>,
    stopped: Receiver<()>,
    _unnamed: Option<Sender<()>>,
}

impl Stop {
    fn new(shared: &Shared, request: &Request) -> Self {
        let (stop, stopped) = async_channel::bounded(1);
        let mut attempts = lock(&shared.attempts);
        attempts.retain(|attempt| !attempt.stop.is_closed());
        let unnamed = match &request.attempt {
            Some(name) => {
                let name = name.clone();
                attempts.push(Attempt { name, stop });
                None
            }
            None => Some(stop),
        };
        Self {
            until: request.deadline.map(|span| Instant::now() + span),
            stopped,
            _unnamed: unnamed,
        }
    }

    async fn wait(&self) {
        let cancelled = async {
            let _ = self.stopped.recv().await;
        };
        let late = async {
            match self.until {
                Some(until) => Timer::at(until).await,
                None => std::future::pending().await,
            };
        };
        cancelled.or(late).await;
    }
}

/// Takes a slot; `None` if the queue is full or the wait was stopped.
async fn slot<'a>(shared: &'a Shared, stop: &Stop) -> Option<SemaphoreGuard<'a>> {
    if let Some(slot) = shared.slots.try_acquire() {
        return Some(slot);
    }
    if shared.waiting.load(Ordering::Relaxed) >= shared.config.queue {
        return None;
    }
    let _counted = Counted::new(&shared.waiting);
    shared.note();
    let free = async { Some(shared.slots.acquire().await) };
    let stopped = async {
        stop.wait().await;
        None
    };
    free.or(stopped).await
}

async fn work(shared: &Shared, stop: &Stop, faults: &Faults) -> Ending {
    let config = &shared.config;
    let mut span = config.work + Duration::from_millis(faults.slow());
    if shared.is_cold() {
        span += config.cold_work;
    }
    if let Some(ms) = faults.late() {
        Timer::after(span + Duration::from_millis(ms)).await;
        return Ending::Done;
    }
    let done = async {
        Timer::after(span).await;
        Ending::Done
    };
    let stopped = async {
        stop.wait().await;
        Ending::Stopped
    };
    done.or(stopped).await
}

fn is_marked(shared: &Shared, request: &Request) -> bool {
    let marker = shared.config.crash.as_ref();
    marker.is_some_and(|marker| request.body.contains(&**marker))
}

fn entry(request: &Request) -> Run {
    Run {
        key: request.key.clone(),
        attempt: request.attempt.clone(),
        method: request.method.clone(),
        path: request.path.clone(),
        body: request.body.clone(),
        stage: Stage::Started,
    }
}

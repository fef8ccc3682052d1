//! When this process calls the store.
//!
//! Invariant: at most one call of each kind waits at a time, and while the
//! store is away only one to its head, so an outage costs each process one call
//! per backoff and its return is met by calls spread over that backoff. The
//! platform's list has a backoff of its own: either may be away without the
//! other.

use core::time::Duration;
use std::sync::Arc;

use crate::clock::Time;
use crate::process::config::{Hash, Head};
use crate::process::member::Hint;

/// A call of the store; bounded by the driver, answered exactly once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Read the head document.
    Head,
    /// Wait until the head's revision is above `after`, at most for `wait`.
    Watch {
        /// Revision that is known.
        after: u64,
        /// Longest wait.
        wait: Duration,
    },
    /// Read a body.
    Body(Hash),
    /// Read the platform's list of instances.
    List,
}

/// The head document as the store holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredHead {
    /// The document.
    pub head: Arc<Head>,
    /// The store's revision of it.
    pub revision: u64,
}

/// The store's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// To [`Call::Head`]; `None` if there is no head yet.
    Head(Option<StoredHead>),
    /// To [`Call::Watch`]; `None` if the wait ran out.
    Watched(Option<StoredHead>),
    /// To [`Call::Body`]; `None` if there is no such body.
    Body(Hash, Option<Arc<[u8]>>),
    /// To [`Call::List`]: the entry instances in it.
    Listed(Vec<Hint>),
    /// No answer within the driver's bound, or an error.
    Unavailable,
    /// An answer that can't be read.
    Malformed,
}

/// Names one call; never reused within a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// A call to be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Names it.
    pub id: CallId,
    /// The call.
    pub call: Call,
}

/// A call that waits for its answer.
#[derive(Clone, Debug)]
struct Waiting {
    id: CallId,
    call: Call,
    since: Time,
}

/// Longest time of a watch.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// Mean time between two reads of the head by a process that doesn't watch; it
/// covers events that a watch has missed.
pub const REREAD_INTERVAL: Duration = Duration::from_mins(1);

/// Mean time between two reads of the list by a watching process.
pub const LIST_INTERVAL: Duration = Duration::from_secs(30);

/// Time after which an unanswered call counts as lost, beyond its own wait. The
/// driver's bound has to be below it.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// First wait after a failure; it doubles up to [`BACKOFF_MAX`].
pub const BACKOFF_MIN: Duration = Duration::from_millis(250);

/// Longest wait between two tries while the store is away, before jitter.
pub const BACKOFF_MAX: Duration = Duration::from_secs(30);

/// Bodies read at a time.
const BODY_READS_MAX: usize = 4;

/// How the store does, as this process sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// No change.
    None,
    /// It stopped answering.
    Lost,
    /// It answers again.
    Restored,
}

/// Whether a body was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyRead {
    /// It was.
    Started,
    /// Not yet: enough bodies are being read.
    Busy,
    /// No: the store is away.
    Unavailable,
}

/// An answer with the call it is for.
#[derive(Clone, Debug)]
pub struct Completed {
    /// The call.
    pub call: Call,
    /// When it was made.
    pub since: Time,
    /// Change of the store's state that the answer brought.
    pub turn: Transition,
}

/// What the process wants of the store just now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Whether this process watches for its domain.
    pub watcher: bool,
    /// Whether no peer is heard, so that the list is wanted often.
    pub alone: bool,
}

/// The policy's state.
#[derive(Debug)]
pub struct Policy {
    waiting: Vec<Waiting>,
    calls: u64,
    fails: u32,
    away: bool,
    retry: Time,
    reread: Time,
    list: Time,
    unlisted: u32,
    revision: u64,
    fresh: bool,
    slow: bool,
}

impl Policy {
    /// A process's policy; its first calls come within a jittered moment.
    /// `reread` off leaves out the slow re-read: the ablation.
    pub fn new(now: Time, reread: bool, rng: &mut fastrand::Rng) -> Self {
        let first = now + jitter(BACKOFF_MIN, rng);
        Self {
            waiting: Vec::new(),
            calls: 0,
            fails: 0,
            away: false,
            retry: now,
            reread: first,
            list: first,
            unlisted: 0,
            revision: 0,
            fresh: false,
            slow: reread,
        }
    }

    /// Whether the store is believed to answer.
    #[must_use]
    pub const fn is_unavailable(&self) -> bool {
        self.away
    }

    /// Calls made so far.
    #[must_use]
    pub const fn calls(&self) -> u64 {
        self.calls
    }

    /// Makes the calls that are due.
    pub fn step(
        &mut self,
        now: Time,
        need: Demand,
        rng: &mut fastrand::Rng,
        out: &mut Vec<Request>,
    ) {
        if !need.watcher {
            self.fresh = false;
        }
        self.read_list(now, need, rng, out);
        if self.away {
            return self.probe(now, rng, out);
        }
        if now >= self.reread || (need.watcher && !self.fresh) {
            self.read_head(now, rng, out);
        }
        if need.watcher && self.fresh && !self.waits(|c| matches!(c, Call::Watch { .. })) {
            let after = self.revision;
            self.call(
                now,
                Call::Watch {
                    after,
                    wait: WATCH_TIMEOUT,
                },
                out,
            );
        }
    }

    /// Reads a body, if that can be done now.
    pub fn body(&mut self, now: Time, hash: Hash, out: &mut Vec<Request>) -> BodyRead {
        if self.away {
            return BodyRead::Unavailable;
        }
        let bodies = self
            .waiting
            .iter()
            .filter(|w| matches!(w.call, Call::Body(_)));
        if bodies.count() >= BODY_READS_MAX || self.waits(|c| *c == Call::Body(hash)) {
            return BodyRead::Busy;
        }
        self.call(now, Call::Body(hash), out);
        BodyRead::Started
    }

    /// Matches an answer to its call; `None` if the call was given up.
    pub fn answered(
        &mut self,
        now: Time,
        id: CallId,
        reply: &Reply,
        rng: &mut fastrand::Rng,
    ) -> Option<Completed> {
        let at = self.waiting.binary_search_by_key(&id, |w| w.id).ok()?;
        let Waiting { call, since, .. } = self.waiting.remove(at);
        let turn = match reply {
            Reply::Unavailable | Reply::Malformed => self.failed(now, &call, rng),
            Reply::Listed(_) => {
                self.unlisted = 0;
                Transition::None
            }
            Reply::Head(_) | Reply::Watched(_) | Reply::Body(..) => self.worked(now, rng),
        };
        if let Reply::Head(Some(stored)) | Reply::Watched(Some(stored)) = reply {
            self.saw(&call, stored.revision);
        }
        if matches!(reply, Reply::Head(_)) {
            self.fresh = true;
        }
        Some(Completed { call, since, turn })
    }

    /// Gives up calls without an answer. A driver that keeps its bound never
    /// lets this happen; a process frozen with calls open does.
    pub fn expire(&mut self, now: Time, rng: &mut fastrand::Rng) -> Transition {
        let lost = |w: &Waiting| {
            let wait = match w.call {
                Call::Watch { wait, .. } => wait,
                Call::Head | Call::Body(_) | Call::List => Duration::ZERO,
            };
            now.since(w.since) > wait + CALL_TIMEOUT
        };
        let mut turn = Transition::None;
        while let Some(at) = self.waiting.iter().position(lost) {
            let call = self.waiting.remove(at).call;
            if self.failed(now, &call, rng) == Transition::Lost {
                turn = Transition::Lost;
            }
        }
        turn
    }

    /// Reads the head at the next step, whatever was planned: after a freeze.
    pub fn hurry(&mut self, now: Time) {
        self.waiting.retain(|w| w.call != Call::Head);
        self.reread = now;
        self.retry = now;
    }

    /// A store that came back with old data has lower revisions; a watch above
    /// them would wait for ever.
    fn saw(&mut self, call: &Call, revision: u64) {
        let read = *call == Call::Head;
        if read || revision > self.revision {
            self.revision = revision;
        }
    }

    fn read_list(
        &mut self,
        now: Time,
        need: Demand,
        rng: &mut fastrand::Rng,
        out: &mut Vec<Request>,
    ) {
        if now < self.list || self.waits(|c| *c == Call::List) {
            return;
        }
        let mean = match need {
            Demand { alone: true, .. } => LIST_INTERVAL / 6,
            Demand { watcher: true, .. } => LIST_INTERVAL,
            Demand { .. } => LIST_INTERVAL * 20,
        };
        self.list = now + jitter(mean, rng);
        self.call(now, Call::List, out);
    }

    fn probe(&mut self, now: Time, rng: &mut fastrand::Rng, out: &mut Vec<Request>) {
        if now >= self.retry {
            self.read_head(now, rng, out);
        }
    }

    fn read_head(&mut self, now: Time, rng: &mut fastrand::Rng, out: &mut Vec<Request>) {
        if self.waits(|c| *c == Call::Head) {
            return;
        }
        self.reread = if self.slow {
            now + jitter(REREAD_INTERVAL, rng)
        } else {
            Time::from_micros(u64::MAX)
        };
        self.call(now, Call::Head, out);
    }

    fn call(&mut self, now: Time, call: Call, out: &mut Vec<Request>) {
        self.calls += 1;
        let id = CallId(self.calls);
        self.waiting.push(Waiting {
            id,
            call: call.clone(),
            since: now,
        });
        out.push(Request { id, call });
    }

    fn waits(&self, fits: impl Fn(&Call) -> bool) -> bool {
        self.waiting.iter().any(|w| fits(&w.call))
    }

    fn failed(&mut self, now: Time, call: &Call, rng: &mut fastrand::Rng) -> Transition {
        if *call == Call::List {
            self.list = now + backoff(self.unlisted, rng);
            self.unlisted = self.unlisted.saturating_add(1);
            return Transition::None;
        }
        self.retry = now + backoff(self.fails, rng);
        self.fails = self.fails.saturating_add(1);
        self.fresh = false;
        if core::mem::replace(&mut self.away, true) {
            Transition::None
        } else {
            Transition::Lost
        }
    }

    /// After an outage the next slow read is drawn anew, so that processes that
    /// noticed the return together don't read together again.
    fn worked(&mut self, now: Time, rng: &mut fastrand::Rng) -> Transition {
        self.fails = 0;
        if !core::mem::replace(&mut self.away, false) {
            return Transition::None;
        }
        if self.slow {
            self.reread = now + jitter(REREAD_INTERVAL, rng);
        }
        Transition::Restored
    }
}

/// Wait after so many failures in a row.
fn backoff(fails: u32, rng: &mut fastrand::Rng) -> Duration {
    let doubled = BACKOFF_MIN * 2_u32.saturating_pow(fails.min(10));
    jitter(doubled.min(BACKOFF_MAX), rng)
}

/// A time between half and one and a half of `mean`.
pub fn jitter(mean: Duration, rng: &mut fastrand::Rng) -> Duration {
    mean.mul_f64(0.5 + rng.f64())
}

//! Policy of when to call the store, and for what.
//!
//! Invariant: at most one call of each kind is pending, and at most
//! `BODY_READS_MAX` reads of bodies. While the store is unavailable only its
//! head is read. An outage therefore costs each process one call per backoff,
//! and the calls that find the store restored are spread over that backoff. The
//! platform's list has a backoff of its own, as either may be unavailable
//! without the other.

use core::time::Duration;
use std::sync::Arc;

use crate::clock::Time;
use crate::process::config::{Hash, Head};
use crate::process::member::Hint;

/// A call to the store. The driver bounds its time and answers it exactly once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Reads the head document.
    Head,
    /// Waits until the head's revision is above `after`.
    Watch {
        /// Last known revision.
        after: u64,
        /// Longest time to wait.
        wait: Duration,
    },
    /// Reads a body.
    Body(Hash),
    /// Reads the platform's list of instances.
    List,
}

/// The head document in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredHead {
    /// The document.
    pub head: Arc<Head>,
    /// Revision of the document in the store.
    pub revision: u64,
}

/// The store's answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Answers [`Call::Head`]; `None` if there is no head yet.
    Head(Option<StoredHead>),
    /// Answers [`Call::Watch`]; `None` if the wait ended without a change.
    Watched(Option<StoredHead>),
    /// Answers [`Call::Body`]; `None` if there is no such body.
    Body(Hash, Option<Arc<[u8]>>),
    /// Answers [`Call::List`] with the entry instances of the list.
    Listed(Vec<Hint>),
    /// The call failed, or got no answer within the driver's time limit.
    Unavailable,
    /// The answer can't be parsed.
    Malformed,
}

/// Id of a call; never reused within a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// A call to be made by the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Id of the call, to be returned with its answer.
    pub id: CallId,
    /// The call.
    pub call: Call,
}

/// A call that waits for its answer.
#[derive(Clone, Debug)]
struct PendingCall {
    id: CallId,
    call: Call,
    sent_at: Time,
}

/// Longest time of a watch.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// Mean time between two reads of the head by each process, in case a watch
/// missed a change.
pub const REREAD_INTERVAL: Duration = Duration::from_mins(1);

/// Mean time between two reads of the list by a watcher. A process without any
/// peer reads it six times as often, other processes a twentieth as often.
pub const LIST_INTERVAL: Duration = Duration::from_secs(30);

/// Time after which an unanswered call counts as failed, beyond its own wait.
/// The driver's time limit has to be shorter.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Wait after the first failure; it doubles up to [`BACKOFF_MAX`].
pub const BACKOFF_MIN: Duration = Duration::from_millis(250);

/// Longest wait between two attempts while the store is unavailable, before
/// jitter.
pub const BACKOFF_MAX: Duration = Duration::from_secs(30);

/// Number of bodies read at a time.
const BODY_READS_MAX: usize = 4;

/// Change of the store's availability, as seen by this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// No change.
    None,
    /// The store stopped answering.
    Lost,
    /// The store answers again.
    Restored,
}

/// Outcome of [`Policy::read_body`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyRead {
    /// The read was started.
    Started,
    /// Not started: this body or enough others are being read.
    Busy,
    /// Not started: the store is unavailable.
    Unavailable,
}

/// A call with the time at which it was made, once it is answered.
#[derive(Clone, Debug)]
pub struct Completed {
    /// The answered call.
    pub call: Call,
    /// When the call was made.
    pub sent_at: Time,
    /// Change of the store's availability that the answer caused.
    pub transition: Transition,
}

/// Needs of the process that decide which calls are due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Whether this process watches the head for its domain.
    pub is_watcher: bool,
    /// Whether no peer is heard from, so that the list is needed often.
    pub is_alone: bool,
}

/// State of the policy.
#[derive(Debug)]
pub struct Policy {
    pending: Vec<PendingCall>,
    calls: u64,
    failures: u32,
    is_unavailable: bool,
    retry_at: Time,
    reread_at: Time,
    list_at: Time,
    list_failures: u32,
    revision: u64,
    is_head_known: bool,
    is_rereading: bool,
}

impl Policy {
    /// A policy whose first calls are due within a jittered [`BACKOFF_MIN`]. If
    /// `reread` is false the head isn't re-read: tests show with it that
    /// re-reads are needed.
    pub fn new(now: Time, reread: bool, rng: &mut fastrand::Rng) -> Self {
        let first = now + jitter(BACKOFF_MIN, rng);
        Self {
            pending: Vec::new(),
            calls: 0,
            failures: 0,
            is_unavailable: false,
            retry_at: now,
            reread_at: first,
            list_at: first,
            list_failures: 0,
            revision: 0,
            is_head_known: false,
            is_rereading: reread,
        }
    }

    /// Whether the last call to the store failed; failures of the list don't
    /// count.
    #[must_use]
    pub const fn is_unavailable(&self) -> bool {
        self.is_unavailable
    }

    /// Number of calls made so far.
    #[must_use]
    pub const fn calls(&self) -> u64 {
        self.calls
    }

    /// Makes the calls that are due.
    pub fn step(
        &mut self,
        now: Time,
        demand: Demand,
        rng: &mut fastrand::Rng,
        out: &mut Vec<Request>,
    ) {
        if !demand.is_watcher {
            self.is_head_known = false;
        }
        self.read_list(now, demand, rng, out);
        if self.is_unavailable {
            return self.retry(now, rng, out);
        }
        if now >= self.reread_at || (demand.is_watcher && !self.is_head_known) {
            self.read_head(now, rng, out);
        }
        if demand.is_watcher
            && self.is_head_known
            && !self.is_pending(|c| matches!(c, Call::Watch { .. }))
        {
            let after = self.revision;
            self.start_call(
                now,
                Call::Watch {
                    after,
                    wait: WATCH_TIMEOUT,
                },
                out,
            );
        }
    }

    /// Reads a body, unless the store is unavailable or too many reads are
    /// pending.
    pub fn read_body(&mut self, now: Time, hash: Hash, out: &mut Vec<Request>) -> BodyRead {
        if self.is_unavailable {
            return BodyRead::Unavailable;
        }
        let bodies = self
            .pending
            .iter()
            .filter(|c| matches!(c.call, Call::Body(_)));
        if bodies.count() >= BODY_READS_MAX || self.is_pending(|c| *c == Call::Body(hash)) {
            return BodyRead::Busy;
        }
        self.start_call(now, Call::Body(hash), out);
        BodyRead::Started
    }

    /// Matches an answer to its call. Returns `None` if the call has expired.
    pub fn take_answer(
        &mut self,
        now: Time,
        id: CallId,
        reply: &Reply,
        rng: &mut fastrand::Rng,
    ) -> Option<Completed> {
        let at = self.pending.binary_search_by_key(&id, |c| c.id).ok()?;
        let PendingCall { call, sent_at, .. } = self.pending.remove(at);
        let transition = match reply {
            Reply::Unavailable | Reply::Malformed => self.record_failure(now, &call, rng),
            Reply::Listed(_) => {
                self.list_failures = 0;
                Transition::None
            }
            Reply::Head(_) | Reply::Watched(_) | Reply::Body(..) => self.record_success(now, rng),
        };
        if let Reply::Head(Some(stored)) | Reply::Watched(Some(stored)) = reply {
            self.note_revision(&call, stored.revision);
        }
        if matches!(reply, Reply::Head(_)) {
            self.is_head_known = true;
        }
        Some(Completed {
            call,
            sent_at,
            transition,
        })
    }

    /// Fails calls that were not answered in time. This doesn't happen with a
    /// driver that keeps its time limit, unless the process is frozen while
    /// calls are pending.
    pub fn expire(&mut self, now: Time, rng: &mut fastrand::Rng) -> Transition {
        let is_expired = |c: &PendingCall| {
            let wait = match c.call {
                Call::Watch { wait, .. } => wait,
                Call::Head | Call::Body(_) | Call::List => Duration::ZERO,
            };
            now.since(c.sent_at) > wait + CALL_TIMEOUT
        };
        let mut transition = Transition::None;
        while let Some(at) = self.pending.iter().position(is_expired) {
            let call = self.pending.remove(at).call;
            if self.record_failure(now, &call, rng) == Transition::Lost {
                transition = Transition::Lost;
            }
        }
        transition
    }

    /// Drops a pending read of the head and makes the next one due at once, as
    /// after a freeze.
    pub fn schedule_read(&mut self, now: Time) {
        self.pending.retain(|c| c.call != Call::Head);
        self.reread_at = now;
        self.retry_at = now;
    }

    /// Notes the head's revision. A read may lower it: a store that was
    /// restored from old data has lower revisions, and a watch above them would
    /// never return.
    fn note_revision(&mut self, call: &Call, revision: u64) {
        let is_read = *call == Call::Head;
        if is_read || revision > self.revision {
            self.revision = revision;
        }
    }

    fn read_list(
        &mut self,
        now: Time,
        demand: Demand,
        rng: &mut fastrand::Rng,
        out: &mut Vec<Request>,
    ) {
        if now < self.list_at || self.is_pending(|c| *c == Call::List) {
            return;
        }
        let mean = match demand {
            Demand { is_alone: true, .. } => LIST_INTERVAL / 6,
            Demand {
                is_watcher: true, ..
            } => LIST_INTERVAL,
            Demand { .. } => LIST_INTERVAL * 20,
        };
        self.list_at = now + jitter(mean, rng);
        self.start_call(now, Call::List, out);
    }

    fn retry(&mut self, now: Time, rng: &mut fastrand::Rng, out: &mut Vec<Request>) {
        if now >= self.retry_at {
            self.read_head(now, rng, out);
        }
    }

    fn read_head(&mut self, now: Time, rng: &mut fastrand::Rng, out: &mut Vec<Request>) {
        if self.is_pending(|c| *c == Call::Head) {
            return;
        }
        self.reread_at = if self.is_rereading {
            now + jitter(REREAD_INTERVAL, rng)
        } else {
            Time::from_micros(u64::MAX)
        };
        self.start_call(now, Call::Head, out);
    }

    fn start_call(&mut self, now: Time, call: Call, out: &mut Vec<Request>) {
        self.calls += 1;
        let id = CallId(self.calls);
        self.pending.push(PendingCall {
            id,
            call: call.clone(),
            sent_at: now,
        });
        out.push(Request { id, call });
    }

    fn is_pending(&self, matches: impl Fn(&Call) -> bool) -> bool {
        self.pending.iter().any(|c| matches(&c.call))
    }

    fn record_failure(&mut self, now: Time, call: &Call, rng: &mut fastrand::Rng) -> Transition {
        if *call == Call::List {
            self.list_at = now + backoff(self.list_failures, rng);
            self.list_failures = self.list_failures.saturating_add(1);
            return Transition::None;
        }
        self.retry_at = now + backoff(self.failures, rng);
        self.failures = self.failures.saturating_add(1);
        self.is_head_known = false;
        if core::mem::replace(&mut self.is_unavailable, true) {
            Transition::None
        } else {
            Transition::Lost
        }
    }

    /// Notes a successful call. After an outage the next re-read is drawn anew,
    /// so that processes that noticed the return together don't read together
    /// again.
    fn record_success(&mut self, now: Time, rng: &mut fastrand::Rng) -> Transition {
        self.failures = 0;
        if !core::mem::replace(&mut self.is_unavailable, false) {
            return Transition::None;
        }
        if self.is_rereading {
            self.reread_at = now + jitter(REREAD_INTERVAL, rng);
        }
        Transition::Restored
    }
}

/// Jittered wait after `fails` failures in a row.
fn backoff(failures: u32, rng: &mut fastrand::Rng) -> Duration {
    let doubled = BACKOFF_MIN * 2_u32.saturating_pow(failures.min(10));
    jitter(doubled.min(BACKOFF_MAX), rng)
}

/// A random time between 0.5 and 1.5 times `mean`.
pub fn jitter(mean: Duration, rng: &mut fastrand::Rng) -> Duration {
    mean.mul_f64(0.5 + rng.f64())
}

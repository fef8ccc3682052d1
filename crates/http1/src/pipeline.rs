//! Scheduler for pipelined requests: decides which request may start, which answer
//! is written next, when reading stops, and when the connection closes.
//!
//! Pipelined idempotent requests run concurrently, so that a caller does not wait
//! for the sum of their durations. Answers are written in the order of the requests.
//!
//! Invariants:
//! - answers are written in the order of their requests, each once;
//! - a request that is not idempotent starts only once all requests ahead of it are
//!   answered, and none after it starts until its own answer is written. Otherwise it
//!   could run although an answer ahead of it closes the connection, which tells the
//!   caller that the request was not read, and the caller would send it again;
//! - the answer that closes the connection is the last one: each request that was taken
//!   is answered before;
//! - the requests and bytes held are bounded.

use std::collections::VecDeque;

/// Limits of one connection's pipeline.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Upper bound on unanswered requests.
    pub requests_max: usize,
    /// Bound on the bytes of requests that have not started; at or above it no request
    /// is taken.
    pub waiting_bytes_max: usize,
    /// Bound on the bytes of answers that wait to be written. At or above it no request
    /// starts while others are unanswered, so that a slow first request does not
    /// accumulate the answers of the whole pipeline in memory.
    pub answer_bytes_max: usize,
}

/// Sequence number of a request on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Slot(u64);

/// Request that may start now.
#[derive(Debug, PartialEq, Eq)]
pub struct StartedRequest<R> {
    /// Sequence number, to be passed to [`Pipeline::record_answer`].
    pub slot: Slot,
    /// Request to execute.
    pub request: R,
    /// Number of unanswered requests ahead of it.
    pub ahead: usize,
}

/// Answer to be written next.
#[derive(Debug, PartialEq, Eq)]
pub struct DueAnswer<A, M> {
    /// Answer to write.
    pub answer: A,
    /// Context that was stored with the request.
    pub context: M,
    /// Whether the connection closes after this answer.
    pub is_closing: bool,
}

#[derive(Debug)]
enum Stage<R, A> {
    Waiting { request: R, bytes: usize },
    Running,
    Answered { answer: A, bytes: usize },
}

#[derive(Debug)]
struct Entry<R, A, M> {
    stage: Stage<R, A>,
    context: M,
    is_idempotent: bool,
    is_closing: bool,
}

/// Unanswered requests of one connection: requests of type `R`, answers of type `A`,
/// and a context `M` of each request that is needed to write its answer.
#[derive(Debug)]
pub struct Pipeline<R, A, M> {
    bounds: Bounds,
    entries: VecDeque<Entry<R, A, M>>,
    /// Sequence number of the first entry.
    first_slot: u64,
    /// Number of started entries, which are at the front.
    started_count: usize,
    waiting_bytes: usize,
    answer_bytes: usize,
    is_stopping: bool,
    is_closed: bool,
}

impl<R, A, M> Pipeline<R, A, M> {
    /// Creates an empty pipeline.
    #[must_use]
    pub const fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            entries: VecDeque::new(),
            first_slot: 0,
            started_count: 0,
            waiting_bytes: 0,
            answer_bytes: 0,
            is_stopping: false,
            is_closed: false,
        }
    }

    /// Returns whether another request may be pushed.
    #[must_use]
    pub fn has_room(&self) -> bool {
        !self.is_closed
            && self.entries.len() < self.bounds.requests_max
            && self.waiting_bytes < self.bounds.waiting_bytes_max
    }

    /// Returns whether all requests are answered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether the answer that closes the connection was returned.
    #[must_use]
    pub const fn is_closed(&self) -> bool {
        self.is_closed
    }

    /// Adds a request of about `bytes` bytes; `is_closing` tells that none is read
    /// after it.
    pub fn push(&mut self, request: R, context: M, bytes: usize, is_closing: bool) {
        self.waiting_bytes += bytes;
        self.entries.push_back(Entry {
            stage: Stage::Waiting { request, bytes },
            context,
            is_idempotent: false,
            is_closing,
        });
    }

    /// Adds the answer to malformed input. It is written in order and closes the
    /// connection.
    pub fn reject(&mut self, answer: A, context: M) {
        self.entries.push_back(Entry {
            stage: Stage::Answered { answer, bytes: 0 },
            context,
            is_idempotent: true,
            is_closing: true,
        });
    }

    /// Begins a graceful stop: the first answer that leaves no request unanswered closes
    /// the connection.
    pub const fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Starts the next request if it may start now. `is_idempotent` tells whether a
    /// request may be executed more than once.
    pub fn start_next(
        &mut self,
        is_idempotent: impl FnOnce(&R) -> bool,
    ) -> Option<StartedRequest<R>> {
        let ahead = self.started_count;
        if self.is_closed || (ahead > 0 && !self.can_start_more()) {
            return None;
        }
        let entry = self.entries.get_mut(ahead)?;
        let Stage::Waiting { request, .. } = &entry.stage else {
            return None;
        };
        let is_repeatable = is_idempotent(request);
        if ahead > 0 && !is_repeatable {
            return None;
        }
        entry.is_idempotent = is_repeatable;
        let stage = core::mem::replace(&mut entry.stage, Stage::Running);
        let Stage::Waiting { request, bytes } = stage else {
            return None;
        };
        self.waiting_bytes -= bytes;
        self.started_count += 1;
        Some(StartedRequest {
            slot: Slot(self.first_slot + ahead as u64),
            request,
            ahead,
        })
    }

    /// Returns whether a request may start while others are unanswered.
    fn can_start_more(&self) -> bool {
        let mut started = self.entries.iter().take(self.started_count);
        self.answer_bytes < self.bounds.answer_bytes_max && started.all(|e| e.is_idempotent)
    }

    /// Records the answer of a started request, of `bytes` bytes. Unknown slots are
    /// ignored.
    pub fn record_answer(&mut self, slot: Slot, answer: A, bytes: usize) {
        let at = slot.0.checked_sub(self.first_slot);
        let at = at.and_then(|at| usize::try_from(at).ok());
        let entry = at.and_then(|at| self.entries.get_mut(at));
        if let Some(entry) = entry
            && matches!(entry.stage, Stage::Running)
        {
            entry.stage = Stage::Answered { answer, bytes };
            self.answer_bytes += bytes;
        }
    }

    /// Removes and returns the next answer in order, if it is available.
    pub fn next_answer(&mut self) -> Option<DueAnswer<A, M>> {
        let front = self.entries.front()?;
        if self.is_closed || !matches!(front.stage, Stage::Answered { .. }) {
            return None;
        }
        let Entry {
            stage,
            context,
            is_closing,
            ..
        } = self.entries.pop_front()?;
        let Stage::Answered { answer, bytes } = stage else {
            return None;
        };
        self.first_slot += 1;
        self.started_count = self.started_count.saturating_sub(1);
        self.answer_bytes -= bytes;
        let is_closing = is_closing || (self.is_stopping && self.entries.is_empty());
        self.is_closed = is_closing;
        Some(DueAnswer {
            answer,
            context,
            is_closing,
        })
    }
}

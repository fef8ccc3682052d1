//! The order of a pipeline: which request may start, which answer is due, when
//! reading stops, where the connection ends.
//!
//! A caller that sends further requests before the first is answered would
//! otherwise wait for the sum of all their times. They run side by side, and
//! their answers go back in the order of the requests.
//!
//! Invariants:
//! - answers leave in the order of their requests, each once;
//! - a request that must not repeat starts only when everything ahead of it is
//!   answered, and nothing behind it starts before it is: otherwise it could
//!   run though an answer ahead of it closes the connection, and its caller,
//!   told by that answer that it was never read, would send it again;
//! - the answer that closes the connection is the last of all that started:
//!   what stands behind it never starts;
//! - what is held is bounded, by requests and by bytes.

use std::collections::VecDeque;

/// Bounds on what one connection may have here.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Requests that are not answered yet.
    pub requests_max: usize,
    /// Bytes of requests that haven't started.
    pub waiting_bytes_max: usize,
    /// Bytes of answers that wait for their turn. Beyond them nothing more
    /// starts, so that a slow first request doesn't gather the answers of a
    /// whole pipeline in memory.
    pub answer_bytes_max: usize,
}

/// Names a request among those of its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Slot(u64);

/// A request that starts.
#[derive(Debug, PartialEq, Eq)]
pub struct StartedRequest<R> {
    /// Its place.
    pub slot: Slot,
    /// The request.
    pub request: R,
    /// Requests ahead of it that aren't answered.
    pub ahead: usize,
}

/// An answer whose turn has come.
#[derive(Debug, PartialEq, Eq)]
pub struct DueAnswer<A, M> {
    /// The answer.
    pub answer: A,
    /// What was noted of its request.
    pub context: M,
    /// Whether it closes the connection.
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

/// The requests of one connection that aren't answered yet: of type `R`, with
/// answers of type `A` and a context `M` on each that its answer needs.
#[derive(Debug)]
pub struct Pipeline<R, A, M> {
    bounds: Bounds,
    entries: VecDeque<Entry<R, A, M>>,
    /// Slot of the first entry.
    first_slot: u64,
    /// How many entries have started; the others stand behind them.
    started_count: usize,
    waiting_bytes: usize,
    answer_bytes: usize,
    is_stopping: bool,
    is_closed: bool,
}

impl<R, A, M> Pipeline<R, A, M> {
    /// No requests.
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

    /// Whether another request may be taken.
    #[must_use]
    pub fn has_room(&self) -> bool {
        !self.is_closed
            && self.entries.len() < self.bounds.requests_max
            && self.waiting_bytes < self.bounds.waiting_bytes_max
    }

    /// Whether every request is answered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether an answer has closed the connection.
    #[must_use]
    pub const fn is_closed(&self) -> bool {
        self.is_closed
    }

    /// Takes a request of about `bytes`; `closes` if none is read behind it.
    pub fn push(&mut self, request: R, context: M, bytes: usize, is_closing: bool) {
        self.waiting_bytes += bytes;
        self.entries.push_back(Entry {
            stage: Stage::Waiting { request, bytes },
            context,
            is_idempotent: false,
            is_closing,
        });
    }

    /// Takes the answer to something that was no request; it closes the
    /// connection, in its turn.
    pub fn reject(&mut self, answer: A, context: M) {
        self.entries.push_back(Entry {
            stage: Stage::Answered { answer, bytes: 0 },
            context,
            is_idempotent: true,
            is_closing: true,
        });
    }

    /// From now on nothing starts but what has nothing ahead of it, and the
    /// last answer of what has started closes the connection.
    pub const fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// The next request that may start, if there is one. `is_idempotent` says
    /// whether it may repeat.
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

    /// Whether something may start beside what has started.
    fn can_start_more(&self) -> bool {
        let mut started = self.entries.iter().take(self.started_count);
        !self.is_stopping
            && self.answer_bytes < self.bounds.answer_bytes_max
            && started.all(|e| e.is_idempotent)
    }

    /// A request that has started is answered, by `bytes`.
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

    /// The answer that is due next, if it is there.
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
        // What has started behind it must still be answered.
        let is_closing = is_closing || (self.is_stopping && self.started_count == 0);
        if is_closing {
            self.is_closed = true;
            self.entries.clear();
        }
        Some(DueAnswer {
            answer,
            context,
            is_closing,
        })
    }
}

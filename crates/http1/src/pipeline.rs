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
    pub requests: usize,
    /// Bytes of requests that haven't started.
    pub bytes: usize,
    /// Bytes of answers that wait for their turn. Beyond them nothing more
    /// starts, so that a slow first request doesn't gather the answers of a
    /// whole pipeline in memory.
    pub answers: usize,
}

/// Names a request among those of its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place(u64);

/// A request that starts.
#[derive(Debug, PartialEq, Eq)]
pub struct Start<R> {
    /// Its place.
    pub place: Place,
    /// The request.
    pub request: R,
    /// Requests ahead of it that aren't answered.
    pub ahead: usize,
}

/// An answer whose turn has come.
#[derive(Debug, PartialEq, Eq)]
pub struct Due<A, M> {
    /// The answer.
    pub answer: A,
    /// What was noted of its request.
    pub note: M,
    /// Whether it closes the connection.
    pub closes: bool,
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
    note: M,
    idempotent: bool,
    closes: bool,
}

/// The requests of one connection that aren't answered yet: of type `R`, with
/// answers of type `A` and a note `M` on each that its answer needs.
#[derive(Debug)]
pub struct Pipeline<R, A, M> {
    bounds: Bounds,
    entries: VecDeque<Entry<R, A, M>>,
    /// Place of the first entry.
    first: u64,
    /// How many entries have started; the others stand behind them.
    started: usize,
    waiting_bytes: usize,
    answer_bytes: usize,
    stopping: bool,
    closed: bool,
}

impl<R, A, M> Pipeline<R, A, M> {
    /// No requests.
    #[must_use]
    pub const fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            entries: VecDeque::new(),
            first: 0,
            started: 0,
            waiting_bytes: 0,
            answer_bytes: 0,
            stopping: false,
            closed: false,
        }
    }

    /// Whether another request may be taken.
    #[must_use]
    pub fn has_room(&self) -> bool {
        !self.closed
            && self.entries.len() < self.bounds.requests
            && self.waiting_bytes < self.bounds.bytes
    }

    /// Whether every request is answered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether an answer has closed the connection.
    #[must_use]
    pub const fn is_closed(&self) -> bool {
        self.closed
    }

    /// Takes a request of about `bytes`; `closes` if none is read behind it.
    pub fn push(&mut self, request: R, note: M, bytes: usize, closes: bool) {
        self.waiting_bytes += bytes;
        self.entries.push_back(Entry {
            stage: Stage::Waiting { request, bytes },
            note,
            idempotent: false,
            closes,
        });
    }

    /// Takes the answer to something that was no request; it closes the
    /// connection, in its turn.
    pub fn refuse(&mut self, answer: A, note: M) {
        self.entries.push_back(Entry {
            stage: Stage::Answered { answer, bytes: 0 },
            note,
            idempotent: true,
            closes: true,
        });
    }

    /// From now on nothing starts but what has nothing ahead of it, and the
    /// last answer of what has started closes the connection.
    pub const fn stop(&mut self) {
        self.stopping = true;
    }

    /// The next request that may start, if there is one. `is_idempotent` says
    /// whether it may repeat.
    pub fn start(&mut self, is_idempotent: impl FnOnce(&R) -> bool) -> Option<Start<R>> {
        let ahead = self.started;
        if self.closed || (ahead > 0 && !self.takes_more()) {
            return None;
        }
        let entry = self.entries.get_mut(ahead)?;
        let Stage::Waiting { request, .. } = &entry.stage else {
            return None;
        };
        let idempotent = is_idempotent(request);
        if ahead > 0 && !idempotent {
            return None;
        }
        entry.idempotent = idempotent;
        let stage = core::mem::replace(&mut entry.stage, Stage::Running);
        let Stage::Waiting { request, bytes } = stage else {
            return None;
        };
        self.waiting_bytes -= bytes;
        self.started += 1;
        Some(Start {
            place: Place(self.first + ahead as u64),
            request,
            ahead,
        })
    }

    /// Whether something may start beside what has started.
    fn takes_more(&self) -> bool {
        let mut started = self.entries.iter().take(self.started);
        !self.stopping && self.answer_bytes < self.bounds.answers && started.all(|e| e.idempotent)
    }

    /// A request that has started is answered, by `bytes`.
    pub fn answered(&mut self, place: Place, answer: A, bytes: usize) {
        let at = place.0.checked_sub(self.first);
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
    pub fn due(&mut self) -> Option<Due<A, M>> {
        let front = self.entries.front()?;
        if self.closed || !matches!(front.stage, Stage::Answered { .. }) {
            return None;
        }
        let Entry {
            stage,
            note,
            closes,
            ..
        } = self.entries.pop_front()?;
        let Stage::Answered { answer, bytes } = stage else {
            return None;
        };
        self.first += 1;
        self.started = self.started.saturating_sub(1);
        self.answer_bytes -= bytes;
        // What has started behind it must still be answered.
        let closes = closes || (self.stopping && self.started == 0);
        if closes {
            self.closed = true;
            self.entries.clear();
        }
        Some(Due {
            answer,
            note,
            closes,
        })
    }
}

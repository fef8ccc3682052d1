//! Byte budget for the answers that records retain for resends, evicted oldest
//! first.
//!
//! Invariant: the listed answers add up to at most the budget.

use std::collections::VecDeque;

use super::record_table;

/// Records that retain a target's answer, in order of age, with its size.
pub struct RetainedAnswers {
    queue: VecDeque<(record_table::RecordId, u64)>,
    bytes: u64,
    max_bytes: u64,
}

impl RetainedAnswers {
    /// Creates an empty list with a budget of `max_bytes`.
    pub const fn new(max_bytes: u64) -> Self {
        Self {
            queue: VecDeque::new(),
            bytes: 0,
            max_bytes,
        }
    }

    /// Total size of the listed answers in bytes.
    pub const fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Lists an answer. Returns the records whose answers have to be evicted,
    /// which may include this one.
    pub fn insert(
        &mut self,
        id: record_table::RecordId,
        bytes: u64,
    ) -> Vec<record_table::RecordId> {
        self.queue.push_back((id, bytes));
        self.bytes += bytes;
        let mut evicted = Vec::new();
        while self.bytes > self.max_bytes {
            let Some((id, bytes)) = self.queue.pop_front() else {
                break;
            };
            self.bytes -= bytes;
            evicted.push(id);
        }
        evicted
    }

    /// Removes the answers whose records were removed.
    pub fn retain(&mut self, is_retained: impl Fn(&record_table::RecordId) -> bool) {
        self.queue.retain(|(id, _)| is_retained(id));
        self.bytes = self.queue.iter().map(|(_, bytes)| bytes).sum();
    }
}

//! Which records hold a target's answer, oldest first.
//!
//! Invariant: the answers listed add up to no more than the memory allowed.

use std::collections::VecDeque;

use super::book;

/// Answers kept for resends.
pub struct Kept {
    queue: VecDeque<(book::Name, u64)>,
    bytes: u64,
    max: u64,
}

impl Kept {
    /// Nothing kept; `max` bytes allowed.
    pub const fn new(max: u64) -> Self {
        Self {
            queue: VecDeque::new(),
            bytes: 0,
            max,
        }
    }

    /// Bytes of the answers listed.
    pub const fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Lists an answer. Returns the records that have to give theirs up, which
    /// may be this one.
    pub fn keep(&mut self, name: book::Name, bytes: u64) -> Vec<book::Name> {
        self.queue.push_back((name, bytes));
        self.bytes += bytes;
        let mut dropped = Vec::new();
        while self.bytes > self.max {
            let Some((name, bytes)) = self.queue.pop_front() else {
                break;
            };
            self.bytes -= bytes;
            dropped.push(name);
        }
        dropped
    }

    /// Strikes the answers whose records are gone.
    pub fn retain(&mut self, stays: impl Fn(&book::Name) -> bool) {
        self.queue.retain(|(name, _)| stays(name));
        self.bytes = self.queue.iter().map(|(_, bytes)| bytes).sum();
    }
}

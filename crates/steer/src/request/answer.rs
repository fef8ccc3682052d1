//! A target's whole answer.
//!
//! Invariant: an [`Answer`] is only built from an answer received to its end.

use std::sync::Arc;

/// One header line.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Header {
    /// Field name.
    pub name: Arc<str>,
    /// Field value.
    pub value: Arc<str>,
}

/// Status, the headers worth passing on, and the whole body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers, in the order received.
    pub headers: Vec<Header>,
    /// The body, whole.
    pub body: Arc<[u8]>,
}

impl Answer {
    /// Size in bytes as it counts against links and memory.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        let headers: usize = self
            .headers
            .iter()
            .map(|h| h.name.len() + h.value.len())
            .sum();
        (headers + self.body.len()) as u64
    }
}

//! Complete HTTP response of a target.
//!
//! Invariant: an [`Answer`] is only built from a response received completely.

use std::sync::Arc;

/// A header field.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Header {
    /// Field name.
    pub name: Arc<str>,
    /// Field value.
    pub value: Arc<str>,
}

/// Status, end-to-end headers and body of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers, in the order received.
    pub headers: Vec<Header>,
    /// Complete body.
    pub body: Arc<[u8]>,
}

impl Answer {
    /// Returns the size of headers and body in bytes, as counted against the caps on
    /// links and memory.
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

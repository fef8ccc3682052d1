//! Metadata of an incoming request. The body stays with the driver.
//!
//! Invariant: ids of requests and attempts are never reused within a process.

use core::fmt;
use core::time::Duration;
use std::sync::Arc;

/// Identifies a request within one process; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "request{}", self.0)
    }
}

/// Identifies an attempt to run a request, within one process. Never reused, so that
/// a late answer can't be taken for that of a newer attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "attempt{}", self.0)
    }
}

/// Digest of a request's service, method, path and body. Repeats of a request have
/// equal fingerprints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u128);

impl fmt::Display for Fingerprint {
    /// Prints the first digits of the hashes of the head and of the body, so that logs
    /// show which of them differ.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [head, body] = [self.0 >> 96, self.0 >> 32 & u128::from(u32::MAX)];
        write!(f, "{head:08x}-{body:08x}")
    }
}

/// Sender of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Origin {
    /// A caller.
    Caller,
    /// An entry instance of another failure domain, which has applied the caps. The
    /// request is served here or refused, never forwarded again.
    Peer,
    /// An entry instance that forwards a request whose key only this process may
    /// run. No cap has been applied yet.
    Forward,
}

/// Properties of a request that steering decisions depend on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Id of the request.
    pub id: RequestId,
    /// Name of the requested service.
    pub service: Arc<str>,
    /// Name that the caller gave, or else its address.
    pub caller: Arc<str>,
    /// Idempotency key that the caller sent.
    pub key: Option<Arc<str>>,
    /// Digest that repeats of the request share.
    pub fingerprint: Fingerprint,
    /// Time until the caller stops waiting; `None` stands for the service's default.
    pub deadline: Option<Duration>,
    /// Size in bytes.
    pub bytes: u64,
    /// Sender of the request.
    pub origin: Origin,
    /// Region of the caller. `None` if no client block holds its address; it then
    /// counts as a caller of the instance's own region.
    pub caller_region: Option<Arc<str>>,
    /// Region of the peer that forwarded the request. The answer goes back over the
    /// link to that region.
    pub peer_region: Option<Arc<str>>,
}

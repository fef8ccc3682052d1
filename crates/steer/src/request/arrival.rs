//! A request as it enters the decisions. The body stays with the driver.

use core::fmt;
use core::time::Duration;
use std::sync::Arc;

/// Names one request within one process; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "request{}", self.0)
    }
}

/// Names one try at running a request, within one process; never reused, so
/// that an answer that arrives late can't be taken for a newer try's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "attempt{}", self.0)
    }
}

/// Digest of a request's service, method, path and body: equal for a repeat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u128);

/// Where a request came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Origin {
    /// From a caller.
    Caller,
    /// From an entry instance of another failure domain, which has applied the
    /// caps; it is served here or refused, never passed on again.
    Peer,
    /// From an entry instance that its caller reached with a key which only
    /// this process may run. No cap has been applied yet.
    Forward,
}

/// The facts of one request that decisions are made from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The request.
    pub id: RequestId,
    /// Name of the service asked for.
    pub service: Arc<str>,
    /// Who asks: the caller's own name, or else its address.
    pub caller: Arc<str>,
    /// What the caller sent as its idempotency key.
    pub key: Option<Arc<str>>,
    /// Equal for a repeat of the same request.
    pub fingerprint: Fingerprint,
    /// Time left until the caller stops waiting; `None` takes the service's.
    pub deadline: Option<Duration>,
    /// Size of the request in bytes.
    pub bytes: u64,
    /// Where it came from.
    pub origin: Origin,
    /// Name of the region whose caller sent it; `None` if its block is unknown,
    /// and then the caller counts as one of the instance's own region.
    pub caller_region: Option<Arc<str>>,
    /// Name of the region of the peer that passed it on; the answer goes back
    /// over the link to it.
    pub peer_region: Option<Arc<str>>,
}

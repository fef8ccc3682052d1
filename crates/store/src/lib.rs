//! Adapter to the platform's key-value service, behind a small trait.
//!
//! Invariant: a failed write says through [`error::Error::effect`] whether it
//! certainly took no effect; wherever that is in doubt the answer is
//! [`error::Effect::Unknown`].

use core::pin::Pin;
use core::time::Duration;
use std::future::Future;

use wire::{instance, kv};

pub mod backoff;
pub mod counters;
pub mod error;
pub mod http;

/// What a call of the store comes to.
pub type Pending<'a, T> = Pin<Box<dyn Future<Output = Result<T, error::Error>> + Send + 'a>>;

/// The platform's service. Each call ends within a bounded time and is made
/// once: a write is never repeated on the caller's behalf.
pub trait Store: Send + Sync + 'static {
    /// The key's present entry; `None` if it does not exist.
    fn get<'a>(&'a self, key: &'a str) -> Pending<'a, Option<kv::Entry>>;

    /// Writes a key if its condition holds.
    fn put<'a>(&'a self, key: &'a str, put: kv::Put) -> Pending<'a, kv::Written>;

    /// Deletes a key if it is at `revision`, or whatever it is at if `None`.
    fn delete<'a>(&'a self, key: &'a str, revision: Option<u64>) -> Pending<'a, kv::Written>;

    /// Waits until the key's revision is above `after`; `None` if `wait`
    /// passed before. A deleted key does not end the wait.
    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: u64,
        wait: Duration,
    ) -> Pending<'a, Option<kv::Entry>>;

    /// All entries whose keys start with `prefix`, in order.
    fn list<'a>(&'a self, prefix: &'a str) -> Pending<'a, Vec<kv::Entry>>;

    /// Grants a new lease.
    fn grant(&self, ttl: Duration) -> Pending<'_, kv::Lease>;

    /// Lets a lease live its whole time again.
    fn renew(&self, id: u64) -> Pending<'_, kv::Lease>;

    /// A part of the platform's list of instances. It lags.
    fn instances<'a>(&'a self, part: &'a instance::Filter) -> Pending<'a, instance::Instances>;
}

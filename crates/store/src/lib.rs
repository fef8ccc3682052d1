//! Client of the platform's key-value service, behind a small trait.
//!
//! Invariant: [`error::Error::effect`] is [`error::Effect::None`] only for a write
//! that certainly took no effect; in all other cases it is
//! [`error::Effect::Unknown`].

use core::pin::Pin;
use core::time::Duration;
use std::future::Future;

use wire::{instance, kv};

pub mod backoff;
pub mod counters;
pub mod error;
pub mod http;

/// Future of a call to the store.
pub type Pending<'a, T> = Pin<Box<dyn Future<Output = Result<T, error::Error>> + Send + 'a>>;

/// Key-value service with leases. Each call ends within a bounded time. A write
/// that may have been sent is never repeated on the caller's behalf.
pub trait Store: Send + Sync + 'static {
    /// Reads a key's current entry; `None` if the key does not exist.
    fn get<'a>(&'a self, key: &'a str) -> Pending<'a, Option<kv::Entry>>;

    /// Writes a key if its condition holds.
    fn put<'a>(&'a self, key: &'a str, put: kv::Put) -> Pending<'a, kv::Written>;

    /// Deletes a key if it is at `revision`, or unconditionally if that is `None`.
    fn delete<'a>(&'a self, key: &'a str, revision: Option<u64>) -> Pending<'a, kv::Written>;

    /// Waits until the key's revision is above `after`; returns `None` if `wait`
    /// passes first. The deletion of the key does not end the wait.
    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: u64,
        wait: Duration,
    ) -> Pending<'a, Option<kv::Entry>>;

    /// Lists all entries whose keys start with `prefix`, in the order of their keys.
    fn list<'a>(&'a self, prefix: &'a str) -> Pending<'a, Vec<kv::Entry>>;

    /// Grants a new lease.
    fn grant(&self, ttl: Duration) -> Pending<'_, kv::Lease>;

    /// Renews a lease for its full duration.
    fn renew(&self, id: u64) -> Pending<'_, kv::Lease>;

    /// Reads a part of the platform's list of instances, which lags behind the actual
    /// state.
    fn instances<'a>(&'a self, part: &'a instance::Filter) -> Pending<'a, instance::Instances>;
}

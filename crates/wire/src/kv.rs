//! The protocol of the platform's key-value service: HTTP with JSON bodies.
//!
//! | call | answer |
//! |---|---|
//! | `GET /kv/{key}` | 200 [`Entry`], 404 |
//! | `GET /kv/{key}?after=N&wait_ms=M` | watch: 200 [`Entry`] once its revision is above N, 204 when M ms passed |
//! | `GET /kv?prefix=P` | 200 [`Listing`] |
//! | `PUT /kv/{key}` with [`Put`] | 200 [`Written`], 409 [`Conflict`], 413 |
//! | `DELETE /kv/{key}?revision=N` | 200 [`Written`], 409 [`Conflict`] |
//! | `POST /leases` with [`LeaseRequest`] | 200 [`Lease`] |
//! | `POST /leases/{id}/renew` | 200 [`Lease`], 404 once it expired |
//!
//! Every call is counted, a waiting watch as one call. A value
//! has up to [`VALUE_MAX`] bytes. A key written under a lease is deleted when the lease
//! expires.

use serde::{Deserialize, Serialize};

/// Largest size of a value in bytes.
pub const VALUE_MAX: usize = 1 << 20;

/// Current value of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Key; may contain slashes.
    pub key: String,
    /// Value of the key.
    pub value: String,
    /// Revision of the write that set the value; increases with each write to the store.
    pub revision: u64,
}

/// Entries under a prefix, ordered by key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Entries, ordered by key.
    pub entries: Vec<Entry>,
}

/// Condition under which a write takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Expect {
    /// Always.
    Any,
    /// The key does not exist.
    Absent,
    /// The key exists at this revision.
    Revision(u64),
}

/// Body of a write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// New value.
    pub value: String,
    /// Condition of the write.
    pub expect: Expect,
    /// Lease that the key depends on, if any.
    pub lease: Option<u64>,
}

/// A write that took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Written {
    /// Revision of the write.
    pub revision: u64,
}

/// A write whose condition did not hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// Current entry; `None` if the key does not exist.
    pub current: Option<Entry>,
}

/// Request for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Milliseconds until the lease expires without renewal.
    pub ttl_ms: u64,
}

/// A granted or renewed lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Id of the lease.
    pub id: u64,
    /// Milliseconds until it expires, from the answer on.
    pub ttl_ms: u64,
}

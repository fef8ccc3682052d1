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
//! | `POST /leases/{id}/renew` | 200 [`Lease`], 404 once it lapsed |
//!
//! Each call counts, a waiting watch as one. A value holds up to a megabyte. A
//! key written under a lease is deleted when the lease lapses.

use serde::{Deserialize, Serialize};

/// Largest value in bytes.
pub const VALUE_MAX: usize = 1 << 20;

/// A key's present value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The key; may hold slashes.
    pub key: String,
    /// The value.
    pub value: String,
    /// Revision of the write that set it; grows over the whole store.
    pub revision: u64,
}

/// Keys under a prefix, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The entries.
    pub entries: Vec<Entry>,
}

/// What must hold for a write to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Expect {
    /// Nothing.
    Any,
    /// The key does not exist.
    Absent,
    /// The key exists at this revision.
    Revision(u64),
}

/// A write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// The new value.
    pub value: String,
    /// The condition.
    pub expect: Expect,
    /// Lease the key lives under, if any.
    pub lease: Option<u64>,
}

/// A write that took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Written {
    /// Its revision.
    pub revision: u64,
}

/// A write whose condition did not hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// What is there now; `None` if the key does not exist.
    pub current: Option<Entry>,
}

/// A wish for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Milliseconds the lease lives without renewal.
    pub ttl_ms: u64,
}

/// A lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Its number.
    pub id: u64,
    /// Milliseconds it lives from now.
    pub ttl_ms: u64,
}

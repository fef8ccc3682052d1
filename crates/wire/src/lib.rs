//! Types as they cross a wire, apart from the types decisions use.
//!
//! Invariant: nothing outside this crate serialises a decision type. A type
//! here converts to its inner twin by `From`, or by `TryFrom` where the bytes
//! may lie.

pub mod direct;
pub mod headers;
pub mod heartbeat;
pub mod instance;
pub mod kv;
pub mod peer;
pub mod share;
pub mod target;
pub mod witness;

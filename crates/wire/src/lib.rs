//! Types that are sent between processes, separate from those of the `steer` crate.
//!
//! Invariant: no type of `steer` is serialized for the wire. A type here converts to
//! its twin in `steer` by `From`, or by `TryFrom` where received data may be invalid.

pub mod direct;
pub mod headers;
pub mod heartbeat;
pub mod instance;
pub mod kv;
pub mod peer;
pub mod share;
pub mod target;
pub mod witness;

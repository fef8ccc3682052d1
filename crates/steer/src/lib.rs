//! Decision logic of traffic steering, without I/O.
//!
//! Invariant: no function here does I/O, reads a clock, starts a thread or
//! keeps global state. Callers pass in events, time and randomness, and carry
//! out the actions returned. A live process, a scripted scenario and the
//! explorer therefore run the same code.
//!
//! Modules are grouped by the lifetime of their state: that of a [`request`], of
//! a [`connection`], of a [`version`] of the configuration, or of the [`process`].

pub mod clock;
pub mod connection;
pub mod process;
pub mod request;
pub mod version;

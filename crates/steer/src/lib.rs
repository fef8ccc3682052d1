//! All decisions of the system, and nothing else.
//!
//! Invariant: no function here does I/O, reads a clock, starts a thread or
//! keeps global state. Events go in, actions come out; time and randomness are
//! passed in. A live process, a scripted scenario and the explorer therefore
//! all drive the same code.
//!
//! The folders follow life spans: what lives for a [`request`], for a
//! [`connection`], for a [`version`] of the configuration, for a [`process`].

pub mod clock;
pub mod connection;
pub mod process;
pub mod request;
pub mod version;

//! Measures the decisions of `steer`.
//!
//! Two kinds of figures, named apart in all output: *virtual time*, where a
//! model of targets and latencies drives the real dispatchers and no clock is
//! read; and *processor time* of single decisions. Neither sends anything.

pub mod cost;
pub mod crashes;
pub mod hedge;
pub mod model;
pub mod robin;
pub mod scenarios;
pub mod shift;
pub mod sums;

//! Drives the decisions of several processes through seeded and exhaustive
//! orders of events, and checks what callers were told against what ran.
//!
//! Invariant: a run is a function of its seed, or of its list of deviations;
//! nothing here reads a clock or the environment.

pub mod check;
pub mod cost;
pub mod exhaust;
pub mod lease;
pub mod random;
pub mod report;
pub mod scene;
pub mod speed;
pub mod world;

//! What is served, in virtual time: callers, links, targets and instances, each
//! instance the product's own decisions (`steer::process::direct`).
//!
//! [`plan::Plan`] says what is played and is read from a file; [`world`] plays
//! it once by a seed; [`brain`] says who decides: the product, or something to
//! compare it with; [`score`] says what callers got; [`trial`] plays many seeds
//! and compares.
//!
//! Invariants: one file and one seed give one run, on any machine; nothing here
//! decides what the product decides.

pub mod brain;
pub mod plan;
pub mod score;
pub mod trial;
pub mod world;

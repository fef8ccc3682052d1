//! One instance of a fleet in virtual time.
//!
//! Invariant: its clock starts at zero with its process.

use std::sync::Arc;

use steer::clock::Time;
use steer::process::direct::{Direct, Ticket};

use super::setup::TARGETS;
use super::tally::NOTICE;

/// An instance, running or not.
pub(super) struct Instance {
    pub(super) name: Arc<str>,
    pub(super) region: usize,
    pub(super) incarnation: u64,
    pub(super) started_at: Time,
    pub(super) direct: Option<Direct>,
    pub(super) restarts_at: Option<Time>,
    pub(super) cut_until: Time,
    /// Time until which the store lists it.
    pub(super) listed_until: Time,
    /// Its requests, each with its index in the tally.
    pub(super) pending: Vec<(Ticket, usize)>,
    pub(super) heartbeat_at: Time,
    pub(super) read_at: Time,
    /// Targets that have reported a limit to it, and when.
    pub(super) limits_told: Vec<(usize, Time)>,
}

impl Instance {
    /// Creates an instance that starts at `start`.
    pub(super) fn new(number: usize, start: Time) -> Self {
        Self {
            name: format!("i{number:03}").into(),
            region: number % TARGETS.len(),
            incarnation: 0,
            started_at: Time::ZERO,
            direct: None,
            restarts_at: Some(start),
            cut_until: Time::ZERO,
            listed_until: Time::ZERO,
            pending: Vec::new(),
            heartbeat_at: Time::ZERO,
            read_at: Time::ZERO,
            limits_told: Vec::new(),
        }
    }

    /// Whether a target reported a limit to this incarnation long enough ago for it to count.
    pub(super) fn is_limit_told(&self, incarnation: u64, target: usize, now: Time) -> bool {
        let told = |t: &(usize, Time)| t.0 == target && now.since(t.1) >= NOTICE;
        self.incarnation == incarnation && self.limits_told.iter().any(told)
    }

    /// Time by its own clock.
    pub(super) fn clock(&self, now: Time) -> Time {
        Time::ZERO + now.since(self.started_at)
    }
}

//! One instance of a fleet in virtual time.
//!
//! Invariant: its clock starts at zero with its process.

use std::sync::Arc;

use steer::clock::Time;
use steer::process::direct::{Direct, Ticket};

use super::setup::TARGETS;
use super::tally::NOTICE;

/// An instance, running or not.
pub(super) struct Node {
    pub(super) name: Arc<str>,
    pub(super) region: usize,
    pub(super) life: u64,
    pub(super) boot: Time,
    pub(super) direct: Option<Direct>,
    pub(super) back: Option<Time>,
    pub(super) cut: Time,
    /// When its row in the store runs out.
    pub(super) row: Time,
    /// Requests here and their places in the tally.
    pub(super) asks: Vec<(Ticket, usize)>,
    pub(super) beaten: Time,
    pub(super) read: Time,
    /// Targets that have told it of a limit, and when.
    pub(super) told: Vec<(usize, Time)>,
}

impl Node {
    /// One that starts at `start`.
    pub(super) fn new(number: usize, start: Time) -> Self {
        Self {
            name: format!("i{number:03}").into(),
            region: number % TARGETS.len(),
            life: 0,
            boot: Time::ZERO,
            direct: None,
            back: Some(start),
            cut: Time::ZERO,
            row: Time::ZERO,
            asks: Vec::new(),
            beaten: Time::ZERO,
            read: Time::ZERO,
            told: Vec::new(),
        }
    }

    /// Whether a target has told this incarnation of a limit long enough ago.
    pub(super) fn is_told(&self, life: u64, target: usize, now: Time) -> bool {
        let told = |t: &(usize, Time)| t.0 == target && now.since(t.1) >= NOTICE;
        self.life == life && self.told.iter().any(told)
    }

    /// The time by its own clock.
    pub(super) fn clock(&self, now: Time) -> Time {
        Time::ZERO + now.since(self.boot)
    }
}

//! What goes into steering and what comes out: requests, orders, endings.

use core::net::SocketAddr;
use core::time::Duration;
use std::sync::Arc;

use super::access::{self, Authorized};
use super::budget::Rule;
use super::limit;
use super::members::Registration;
use super::quota;
use crate::clock::Time;
use crate::request::arrival::Fingerprint;
use crate::version::routes::Route;

/// Bounds that the settings give.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// On repeats.
    pub retries: Rule,
    /// A cold target gets this times its own rate in any second ...
    pub cold_factor: f64,
    /// ... plus this, from all instances together.
    pub cold_slack: f64,
    /// On requests beyond the limit that a target names.
    pub limit: limit::Rule,
    /// Largest change of the share of a region's requests that run elsewhere.
    pub shift_max: f64,
    /// On requests with keys.
    pub access: access::Bounds,
    /// On requests beyond a team's quota.
    pub quota: quota::Rule,
}

/// Who this instance is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Its name.
    pub name: Arc<str>,
    /// Its region.
    pub region: Arc<str>,
    /// Tells this process from earlier ones of its name.
    pub incarnation: u64,
    /// Where it is reached.
    pub registration: Registration,
}

/// Names a request for as long as it is here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub(super) u64);

/// A request that asks for a target.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its route.
    pub route: Arc<Route>,
    /// The team whose it is, where requests need a key.
    pub authorized: Option<Authorized>,
    /// The object it concerns, if it says so.
    pub object: Option<u64>,
    /// When its caller stops waiting.
    pub deadline: Time,
    /// Equal for a repeat of the same request by the same caller.
    pub fingerprint: Fingerprint,
}

impl Request {
    /// Rank among the requests of a service, (0, 0) the most urgent: the team's
    /// goes before the route's, and the route's decides among equals.
    #[must_use]
    pub fn priority(&self) -> (u32, u32) {
        let team = self.authorized.as_ref().and_then(|pass| pass.team.priority);
        let route = self.route.priority;
        (team.unwrap_or(route), route)
    }

    /// Whether any region may serve it.
    #[must_use]
    pub fn is_unrestricted(&self) -> bool {
        let team = self
            .authorized
            .as_ref()
            .is_none_or(|p| p.team.home_regions.is_empty());
        team && self.route.home_regions.is_empty()
    }

    /// Whether a region may serve it: the homes of route and team both bind.
    #[must_use]
    pub fn allows(&self, region: &str) -> bool {
        let team = self
            .authorized
            .as_ref()
            .is_none_or(|p| p.team.allows(region));
        team && self.route.allows(region)
    }
}

/// How a request stands to its team's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Not looked at.
    New,
    /// It waits for a token.
    Waiting,
    /// It has taken one.
    Admitted,
}

/// Why a request is given up. But for [`Rejection::OutcomeUnknown`] it has not run and will
/// not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// No target of its service is known.
    NoTarget,
    /// No region is home to both its route and its team.
    NoRegion,
    /// Its key is no team's, or no longer.
    Denied,
    /// This instance may lie behind a change of keys.
    KeysStale,
    /// Its team is over its quota.
    Quota,
    /// It can't be answered in time.
    Overload,
    /// It crashes the targets that run it.
    Poison,
    /// It may have run at a target that gave no whole answer.
    OutcomeUnknown,
}

/// A request is to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// The request.
    pub ticket: Ticket,
    /// Name of the target.
    pub target: Arc<str>,
    /// Its address.
    pub addr: SocketAddr,
    /// Which of the request's attempts this is, from 1.
    pub attempt: usize,
    /// Seconds of work expected.
    pub expected_work: f64,
    /// Whether the target is known to have handled the object lately.
    pub warm: bool,
    /// Requests believed to be at the target.
    pub load: f64,
    /// The limit that it is known to have, in requests a second.
    pub limit: Option<f64>,
    /// How long ago the target last said so itself.
    pub load_age: Duration,
    /// Version of the configuration by which it was decided.
    pub version: u64,
}

/// What is to be done now.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send.
    Send(Assignment),
    /// Reject; the caller may come back after the given time.
    Reject {
        /// The request.
        ticket: Ticket,
        /// Why.
        why: Rejection,
        /// When to come back.
        after: Duration,
    },
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A whole answer that goes to the caller.
    Answered,
    /// A whole answer that says that the target failed.
    Failed,
    /// The target says that it didn't run it.
    NotRun,
    /// Another target has the address.
    WrongTarget,
    /// Nothing was sent.
    NotSent,
    /// Nothing was sent, as the target had begun to leave before its turn came.
    Withdrawn,
    /// The connection broke after something was sent.
    ConnectionLost,
    /// What came back isn't the answer to this request.
    InvalidResponse,
    /// No answer in time.
    TimedOut,
}

/// What follows from an ending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowUp {
    /// The request is settled: hand on what the target said, or say that its
    /// fate isn't known.
    Settled,
    /// It waits for another target.
    Retry,
    /// It has not run and is not tried again.
    Reject {
        /// When the caller may come back.
        after: Duration,
    },
}

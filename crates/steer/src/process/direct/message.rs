//! Inputs and outputs of steering: requests, decisions about them and the outcomes of
//! attempts.

use core::net::SocketAddr;
use core::time::Duration;
use std::sync::Arc;

use super::access::{self, Authorized};
use super::budget::{Grant, Rule};
use super::limit;
use super::members::Registration;
use super::quota;
use super::relay::Relay;
use crate::clock::Time;
use crate::request::arrival::Fingerprint;
use crate::version::routes::Route;

/// Bounds from the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Bound on retries.
    pub retries: Rule,
    /// Multiple of its own cold rate that a cold target may get in any second, from all
    /// instances together.
    pub cold_factor: f64,
    /// Requests that it may get in that second beyond `cold_factor`.
    pub cold_slack: f64,
    /// Bound on requests beyond the limit that a target reports.
    pub limit: limit::Rule,
    /// Time for which targets serve after they announce that they are about to stop; zero
    /// if it isn't known.
    pub drain: Duration,
    /// Time after which an evacuated failure domain must get no requests; `None` if
    /// unbounded.
    pub evacuation: Option<Duration>,
    /// Longest time for which a target's request to send it nothing counts.
    pub backoff_max: Duration,
    /// Largest change of the fraction of a region's requests that run in other regions.
    pub shift_max: f64,
    /// Bounds on how stale this instance may be when it serves requests with keys.
    pub access: access::Bounds,
    /// Bound on requests beyond a team's quota.
    pub quota: quota::Rule,
}

/// Name, region and addresses of this instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name, which a restarted process keeps.
    pub name: Arc<str>,
    /// Region that the instance runs in.
    pub region: Arc<str>,
    /// Distinguishes this process from earlier ones of the same name.
    pub incarnation: u64,
    /// Addresses and location, as registered in the store.
    pub registration: Registration,
}

/// Identifier of a request from its arrival until it is settled or rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub(super) u64);

/// Request that needs a target.
#[derive(Clone, Debug)]
pub struct Request {
    /// Route that it matched.
    pub route: Arc<Route>,
    /// Team and key that it was authorized by; `None` if it needs no key.
    pub authorized: Option<Authorized>,
    /// Hash of the object that it concerns, if the request names one.
    pub object: Option<u64>,
    /// Time at which its caller stops waiting.
    pub deadline: Time,
    /// Equal for retries of the same request by the same caller.
    pub fingerprint: Fingerprint,
}

impl Request {
    /// Rank among the requests of a service; (0, 0) is the most urgent. The team's
    /// priority is compared first, then the route's.
    #[must_use]
    pub fn priority(&self) -> (u32, u32) {
        let team = self.authorized.as_ref().and_then(|a| a.team.priority);
        let route = self.route.priority;
        (team.unwrap_or(route), route)
    }

    /// Returns whether every region may serve it.
    #[must_use]
    pub fn is_unrestricted(&self) -> bool {
        let team = self
            .authorized
            .as_ref()
            .is_none_or(|a| a.team.home_regions.is_empty());
        team && self.route.home_regions.is_empty()
    }

    /// Returns whether `region` may serve it: it must be a home region of both the
    /// route and the team.
    #[must_use]
    pub fn allows(&self, region: &str) -> bool {
        let team = self
            .authorized
            .as_ref()
            .is_none_or(|a| a.team.allows(region));
        team && self.route.allows(region)
    }
}

/// State of a request with respect to its team's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Not checked yet.
    New,
    /// Waits for a token.
    Waiting,
    /// Has taken a token.
    Admitted,
}

/// Reason for rejecting a request. Except for [`Rejection::OutcomeUnknown`], the
/// request has not run and will not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// No usable target of its service is known.
    NoTarget,
    /// No region is a home of both its route and its team.
    NoRegion,
    /// Its key belongs to no team, or was revoked.
    Denied,
    /// Its key belongs to another team than on arrival; to be authorized anew.
    KeyMoved,
    /// This instance may have missed a change of keys.
    KeysStale,
    /// Its team is over its quota.
    Quota,
    /// This instance reaches no target, and there is no other one to send it.
    CutOff,
    /// All targets that could serve it have asked for a time without requests.
    BackingOff,
    /// This instance may end before the request does.
    Stopping,
    /// It can't be answered before its deadline.
    Overload,
    /// It can't be answered before its deadline, as more urgent requests need the slots.
    Yields,
    /// It has crashed targets before.
    Poison,
    /// A target may have crashed under it, and a copy of it is in flight.
    Suspect,
    /// Targets rejected it, and the retry budget allows no other attempt any more.
    NoRetry,
    /// It may have run at a target that gave no complete answer.
    OutcomeUnknown,
}

/// Decision to send a request to a target.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// Request to send.
    pub ticket: Ticket,
    /// Name of the target.
    pub target: Arc<str>,
    /// Incarnation of the target, by its entry in service discovery.
    pub incarnation: u64,
    /// Address of the target.
    pub addr: SocketAddr,
    /// Number of this attempt of the request, from 1.
    pub attempt: usize,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Strikes against the request, as a suspect of crashing targets.
    pub strikes: u8,
    /// Expected work at the target, in seconds.
    pub expected_work: f64,
    /// Whether the target is known to have handled the object recently.
    pub is_warm: bool,
    /// Requests believed to be at the target.
    pub load: f64,
    /// Limit that the target reports, in requests a second.
    pub limit: Option<f64>,
    /// Last report of how long work takes on the target's machine, as a multiple of the
    /// usual time, and its age.
    pub slowdown: Option<(f64, Duration)>,
    /// Remaining time of a backoff that the target asked for.
    pub backoff_left: Option<Duration>,
    /// Time since the target reported that it is about to stop.
    pub leaving_age: Option<Duration>,
    /// Time since the target last reported its load.
    pub load_age: Duration,
    /// Permission for this attempt, if it is a retry of one that was sent.
    pub grant: Option<Box<Grant>>,
    /// Version of the configuration in force.
    pub version: u64,
    /// Upper bound of the age of what was known of targets; `None` if unknown.
    pub staleness: Option<Duration>,
    /// Instance that is to send it; `None` if this one does.
    pub relay: Option<Arc<Relay>>,
}

/// Reason why a request that was assigned to a target must not be sent to it any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withheld {
    /// The request is over, or its key was revoked or may have been.
    Key,
    /// The target is no longer listed, or has started anew.
    Gone,
    /// The target is about to stop.
    Leaving,
    /// The target's failure domain is evacuated.
    Evacuated,
    /// The target has asked for a time without requests.
    Backoff,
    /// The target could not be reached lately.
    Ejected,
    /// The request has crashed targets.
    Poison,
    /// A target may have crashed under the request since it was decided on.
    Suspect,
    /// This instance reaches no target any more.
    CutOff,
    /// This instance may end before the request does.
    Stopping,
}

impl Withheld {
    /// Name in log lines.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Key => "key",
            Self::Gone => "gone",
            Self::Leaving => "leaving",
            Self::Evacuated => "evacuated",
            Self::Backoff => "backoff",
            Self::Ejected => "aside",
            Self::Poison => "crashes-targets",
            Self::Suspect => "suspect",
            Self::CutOff => "cut-off",
            Self::Stopping => "stopping",
        }
    }
}

/// Decision about a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send it now.
    Send(Assignment),
    /// Reject it.
    Reject {
        /// Request to reject.
        ticket: Ticket,
        /// Reason, for the caller.
        reason: Rejection,
        /// Time after which the caller may retry.
        retry_after: Duration,
        /// Expected wait of a request that its service has too few free slots for.
        forecast: Option<Duration>,
    },
    /// Give up the attempt in flight, which then ends with [`AttemptOutcome::GivenUp`].
    GiveUp {
        /// Request of the attempt.
        ticket: Ticket,
    },
}

impl Decision {
    /// The request that it is about.
    #[must_use]
    pub const fn ticket(&self) -> Ticket {
        match self {
            Self::Send(assignment) => assignment.ticket,
            Self::Reject { ticket, .. } | Self::GiveUp { ticket } => *ticket,
        }
    }
}

/// Outcome of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Complete answer that goes to the caller.
    Answered,
    /// Complete answer in which the target reports a failure.
    Failed,
    /// The target reports that it did not run the request.
    NotRun,
    /// Another target has taken over the address.
    WrongTarget,
    /// No connection to the target could be opened.
    Unreachable,
    /// Nothing was sent.
    NotSent,
    /// Nothing was sent, because the target began to leave before the request's turn.
    Withdrawn,
    /// The connection broke after something was sent.
    ConnectionLost,
    /// The response is not an answer to this request.
    InvalidResponse,
    /// No answer in time.
    TimedOut,
    /// Given up without an answer, as this instance reaches no target.
    GivenUp,
    /// Given up while the answer arrived, as this instance has no memory for it.
    NoMemory,
    /// The relay doesn't relay now, and has sent nothing.
    RelayRefused,
    /// The relay must not send to this target now, and has sent nothing.
    RelayWithheld,
    /// The relay gave no answer; it may have sent the request.
    RelayLost,
}

impl AttemptOutcome {
    /// Name in log lines and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::NotRun => "not-run",
            Self::WrongTarget => "elsewhere",
            Self::Unreachable => "unreached",
            Self::NotSent => "unsent",
            Self::Withdrawn => "withdrawn",
            Self::ConnectionLost => "broken",
            Self::InvalidResponse => "garbled",
            Self::TimedOut => "late",
            Self::GivenUp => "given-up",
            Self::NoMemory => "no-memory",
            Self::RelayRefused => "relay-refused",
            Self::RelayWithheld => "relay-withheld",
            Self::RelayLost => "relay-lost",
        }
    }

    /// Whether the request certainly did not run.
    #[must_use]
    pub const fn is_not_run(self) -> bool {
        !self.was_sent() || matches!(self, Self::NotRun | Self::WrongTarget)
    }

    /// Whether it says anything of the target.
    #[must_use]
    pub const fn concerns_target(self) -> bool {
        !matches!(
            self,
            Self::Withdrawn
                | Self::GivenUp
                | Self::NoMemory
                | Self::RelayRefused
                | Self::RelayWithheld
                | Self::RelayLost
        )
    }

    /// Whether the request may have reached the target.
    #[must_use]
    pub const fn was_sent(self) -> bool {
        !matches!(
            self,
            Self::Unreachable
                | Self::NotSent
                | Self::Withdrawn
                | Self::RelayRefused
                | Self::RelayWithheld
        )
    }
}

/// Next step after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowUp {
    /// The request is finished: pass on the target's answer, or report that its outcome
    /// is unknown.
    Settled,
    /// The request waits for another target.
    Retry,
    /// The request has not run and is not retried.
    Reject {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

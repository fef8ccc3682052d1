//! Events and actions of the dispatcher.
//!
//! Invariant: each [`Action::Send`] is followed by one [`Event::Ended`] of the
//! same attempt, or by its [`Action::Cancel`].

use core::time::Duration;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::clock::Time;
use crate::process::share::Route;
use crate::process::target::Kind;
use crate::request::answer::Answer;
use crate::request::arrival::{Arrival, AttemptId, Fingerprint, RequestId};
use crate::request::outcome::Refusal;
use crate::request::record::QuestionId;
use crate::version::view::{Incarnation, State, View};

/// Target or peer that an attempt is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Destination {
    /// A target of this instance's failure domain.
    Target {
        /// Name of the target.
        name: Arc<str>,
        /// Address on which it listens.
        addr: SocketAddr,
    },
    /// An entry instance of another failure domain.
    Member {
        /// Name of the instance.
        name: Arc<str>,
        /// Incarnation of its process.
        incarnation: Incarnation,
        /// Address on which it listens for peers.
        peer: SocketAddr,
    },
}

impl Destination {
    /// Kind of the endpoint.
    #[must_use]
    pub const fn kind(&self) -> Kind {
        match self {
            Self::Target { .. } => Kind::Target,
            Self::Member { .. } => Kind::Peer,
        }
    }

    /// Name of the target or entry instance.
    #[must_use]
    pub const fn name(&self) -> &Arc<str> {
        match self {
            Self::Target { name, .. } | Self::Member { name, .. } => name,
        }
    }
}

/// Load and state that a target reports in the headers of an answer or in
/// answer to a probe. It may be out of date or wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Requests that it reports to be running.
    pub load: u32,
    /// Live if it takes new requests, leaving if not.
    pub state: State,
}

/// Outcome of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A complete answer was received.
    Answered(Arc<Answer>),
    /// The destination refused the request: certainly not run there.
    Refused {
        /// Time after which it asks to be tried again.
        after: Option<Duration>,
        /// True if it reported that it is leaving.
        leaving: bool,
    },
    /// A peer refused the request; the refusal says whether it may have run.
    PeerRefused(Refusal),
    /// No connection could be opened: certainly not run there.
    Unreachable,
    /// The connection broke after a byte of the request may have been sent.
    Broken,
    /// The answer was truncated or malformed: the request ran.
    BadAnswer,
    /// No answer was received within the attempt's budget; it was cancelled.
    TimedOut,
}

/// Event that the dispatcher handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request arrived that the gate lets run.
    Arrive(Arrival),
    /// An attempt ended.
    Ended {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// Outcome of the attempt.
        outcome: AttemptOutcome,
    },
    /// A target reported its load.
    Report {
        /// Name of the target.
        target: Arc<str>,
        /// Load and state that it reports.
        report: Report,
    },
    /// A probe ended.
    Probed {
        /// Name of the target.
        target: Arc<str>,
        /// Load and state that it reports; `None` if it could not be reached.
        report: Option<Report>,
    },
    /// A peer reports how many targets broke while they ran a request.
    Suspected {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Number of targets that broke; zero clears the request.
        strikes: u8,
    },
    /// Control reports whether this process holds its slot, and so its share of
    /// every cap. Due every two seconds; an older report is ignored.
    SlotHeld(bool),
    /// A peer lent a part of its share of a cap, as [`Action::Borrow`] asked.
    LoanGranted {
        /// Route of the cap.
        route: Route,
        /// Amount lent, per second.
        amount: u64,
        /// Time of the request, as in [`Action::Borrow`].
        asked_at: Time,
    },
    /// A peer asks for a part of a cap; [`Action::Lend`] answers.
    LoanRequested {
        /// The driver's id of the request.
        ask: QuestionId,
        /// Route of the cap.
        route: Route,
        /// Amount requested, per second.
        amount: u64,
    },
    /// The caller disconnected without waiting for its answer.
    Disconnected(RequestId),
    /// A new view is in force.
    View(Arc<View>),
    /// Time passed; due at least every [`TICK`].
    Tick,
}

/// Maximum time between two [`Event::Tick`]s.
pub const TICK: Duration = Duration::from_millis(10);

/// Action that the driver is to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to a target or peer; report back by [`Event::Ended`].
    Send {
        /// The request.
        id: RequestId,
        /// Id of the attempt.
        attempt: AttemptId,
        /// Target or peer to send to.
        destination: Destination,
        /// Time after which the driver cancels the attempt.
        budget: Duration,
    },
    /// Stop an attempt; no [`Event::Ended`] is due for it, and its connection
    /// must not be used again.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt to stop.
        attempt: AttemptId,
    },
    /// Give the caller a target's answer.
    Reply {
        /// The request.
        id: RequestId,
        /// The complete answer.
        answer: Arc<Answer>,
    },
    /// Give the caller a final refusal.
    Refuse {
        /// The request.
        id: RequestId,
        /// Reason, outcome and time after which to ask again.
        refusal: Refusal,
    },
    /// Probe a target; report back by [`Event::Probed`].
    Probe {
        /// Name of the target.
        target: Arc<str>,
        /// Address on which it listens.
        addr: SocketAddr,
    },
    /// Ask a peer for a part of a cap; report back by [`Event::LoanGranted`] if it
    /// lends any.
    Borrow {
        /// Address of the peer.
        peer: SocketAddr,
        /// Route of the cap.
        route: Route,
        /// Amount requested, per second.
        amount: u64,
        /// Time of the request, to be returned in [`Event::LoanGranted`].
        asked_at: Time,
    },
    /// Answer a peer that asked for a part of a cap.
    Lend {
        /// The driver's id of the request.
        ask: QuestionId,
        /// Amount lent, per second; zero if none is.
        amount: u64,
    },
    /// Report to all peers how many targets broke while they ran a request.
    Suspect {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Number of targets that broke; zero clears the request.
        strikes: u8,
    },
}

/// Name and failure domain of this instance.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Configured name of the instance.
    pub name: Arc<str>,
    /// Name of the failure domain that it is in.
    pub domain: Arc<str>,
}

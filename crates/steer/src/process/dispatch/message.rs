//! What goes into the dispatcher and what comes out.

use core::time::Duration;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::clock::Time;
use crate::process::share::Route;
use crate::process::target::Kind;
use crate::request::answer::Answer;
use crate::request::arrival::{Arrival, AttemptId, Fingerprint, RequestId};
use crate::request::outcome::Refusal;
use crate::request::record::AskId;
use crate::version::view::{Incarnation, State, View};

/// Where an attempt is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Destination {
    /// A target of this instance's failure domain.
    Target {
        /// Its name.
        name: Arc<str>,
        /// Where it listens.
        addr: SocketAddr,
    },
    /// An entry instance of another failure domain.
    Member {
        /// Its name.
        name: Arc<str>,
        /// Which process.
        incarnation: Incarnation,
        /// Where it listens for peers.
        peer: SocketAddr,
    },
}

impl Destination {
    /// What it is.
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

/// What a target says of itself, in an answer's headers or to a probe. It may
/// lag or mislead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Requests it says it is running.
    pub load: u32,
    /// Whether it says it takes new work.
    pub state: State,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The whole answer came.
    Answered(Arc<Answer>),
    /// The place refused it: certainly not run there.
    Refused {
        /// When the place wants to be asked again.
        after: Option<Duration>,
        /// Whether the place said that it is leaving.
        leaving: bool,
    },
    /// A peer gave up on it and says what is certain.
    PeerRefused(Refusal),
    /// No connection could be opened: certainly not run there.
    Unreachable,
    /// The connection broke after some byte of the request may have left.
    Broken,
    /// The answer was cut short or broke the protocol: the request ran.
    BadAnswer,
    /// Nothing came before the attempt's budget ran out; it was cancelled.
    TimedOut,
}

/// What happens to the dispatcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request that may run has arrived.
    Arrive(Arrival),
    /// An attempt ended.
    Ended {
        /// The request it was for.
        id: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// A target reported its load.
    Report {
        /// Name of the target.
        target: Arc<str>,
        /// What it says.
        report: Report,
    },
    /// A probe ended.
    Probed {
        /// Name of the target.
        target: Arc<str>,
        /// What it said; `None` if it couldn't be reached.
        report: Option<Report>,
    },
    /// A peer says how many targets broke under a request.
    Suspected {
        /// The request's fingerprint.
        fingerprint: Fingerprint,
        /// Targets that broke; zero clears it.
        strikes: u8,
    },
    /// Control says whether this process holds its part of every cap. Due every
    /// two seconds; an old word doesn't count.
    SlotHeld(bool),
    /// A peer lent a part of a cap, as [`Action::Borrow`] asked.
    LoanGranted {
        /// The cap.
        route: Route,
        /// How much of it.
        amount: u64,
        /// When it was asked for.
        asked_at: Time,
    },
    /// A peer asks for a part of a cap; [`Action::Lend`] answers.
    LoanRequested {
        /// The driver's name for the question.
        ask: AskId,
        /// The cap.
        route: Route,
        /// How much of it.
        amount: u64,
    },
    /// The caller left without waiting for its answer.
    Disconnected(RequestId),
    /// A new view is in force.
    View(Arc<View>),
    /// Time passed; due at least every [`TICK`].
    Tick,
}

/// Longest time between two [`Event::Tick`]s.
pub const TICK: Duration = Duration::from_millis(10);

/// What the dispatcher wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to a place; report back by [`Event::Ended`].
    Send {
        /// The request.
        id: RequestId,
        /// Name of this try.
        attempt: AttemptId,
        /// Where to.
        destination: Destination,
        /// Time after which the driver gives the attempt up.
        budget: Duration,
    },
    /// Stop an attempt; no [`Event::Ended`] is due for it, and its connection
    /// must not be used again.
    Cancel {
        /// The request.
        id: RequestId,
        /// The try to stop.
        attempt: AttemptId,
    },
    /// Give the caller a target's answer.
    Reply {
        /// The request.
        id: RequestId,
        /// The whole answer.
        answer: Arc<Answer>,
    },
    /// Give the caller a final refusal.
    Refuse {
        /// The request.
        id: RequestId,
        /// What to say.
        refusal: Refusal,
    },
    /// Ask a target how it is; report back by [`Event::Probed`].
    Probe {
        /// Its name.
        target: Arc<str>,
        /// Where it listens.
        addr: SocketAddr,
    },
    /// Ask a peer for a part of a cap; report back by [`Event::LoanGranted`] if it
    /// lends any.
    Borrow {
        /// The peer's address.
        peer: SocketAddr,
        /// The cap.
        route: Route,
        /// How much of it.
        amount: u64,
        /// To be given back with the answer.
        asked_at: Time,
    },
    /// Answer a peer that asked for a part of a cap; zero is "nothing".
    Lend {
        /// The driver's name for the question.
        ask: AskId,
        /// How much it gets.
        amount: u64,
    },
    /// Tell all peers how many targets broke under a request.
    Suspect {
        /// The request's fingerprint.
        fingerprint: Fingerprint,
        /// Targets that broke; zero clears it.
        strikes: u8,
    },
}

/// Where this instance stands.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its configured name.
    pub name: Arc<str>,
    /// Name of its failure domain.
    pub domain: Arc<str>,
}

//! Events and actions of the request engine.
//!
//! Invariant: each [`Action::Send`] is followed by one [`Event::Ended`] of the
//! same attempt, or by its [`Action::Cancel`].

use core::time::Duration;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::clock;
use crate::process::{dispatch, gate, share};
use crate::request::{answer, arrival, key, outcome, record};
use crate::version::view;

/// Event that the engine handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request arrived, from a caller or a peer.
    Arrive(arrival::Arrival),
    /// An [`Action::Send`] ended.
    Ended {
        /// The request.
        id: arrival::RequestId,
        /// The attempt.
        attempt: arrival::AttemptId,
        /// Outcome of the attempt.
        outcome: dispatch::AttemptOutcome,
    },
    /// An [`Action::Forward`] ended.
    Forwarded {
        /// The request.
        id: arrival::RequestId,
        /// Outcome of the forwarded request.
        outcome: dispatch::AttemptOutcome,
    },
    /// An [`Action::Ask`] ended.
    AskEnded {
        /// Id of the question.
        ask: record::QuestionId,
        /// Reply of the peer; `None` if none was received.
        reply: Option<record::Reply>,
    },
    /// A peer asks this process; [`Action::Respond`] answers.
    PeerAsked {
        /// The driver's id of the question, never reused.
        ask: record::QuestionId,
        /// The question.
        question: record::Question,
    },
    /// An [`Action::Store`] ended.
    Stored {
        /// The request.
        id: arrival::RequestId,
        /// Result of the store call.
        result: record::StoreResult,
    },
    /// A target reported its load.
    Report {
        /// Name of the target.
        target: Arc<str>,
        /// Load and state that it reports.
        report: dispatch::Report,
    },
    /// An [`Action::Probe`] ended.
    Probed {
        /// Name of the target.
        target: Arc<str>,
        /// Load and state that it reports; `None` if it could not be reached.
        report: Option<dispatch::Report>,
    },
    /// A peer reports how many targets broke while they ran a request.
    Suspected {
        /// Fingerprint of the request.
        fingerprint: arrival::Fingerprint,
        /// Number of targets that broke; zero clears the request.
        strikes: u8,
    },
    /// Control reports whether this process holds its slot, and so its share of
    /// every cap. Due every two seconds; an older report is ignored.
    SlotHeld(bool),
    /// A peer lent a part of its share of a cap, as [`Action::Borrow`] asked.
    LoanGranted {
        /// Route of the cap.
        route: share::Route,
        /// Amount lent, per second.
        amount: u64,
        /// Time of the request, as in [`Action::Borrow`].
        asked_at: clock::Time,
    },
    /// A peer asks for a part of a cap; [`Action::Lend`] answers.
    LoanRequested {
        /// The driver's id of the request.
        ask: record::QuestionId,
        /// Route of the cap.
        route: share::Route,
        /// Amount requested, per second.
        amount: u64,
    },
    /// The caller disconnected without waiting for its answer.
    Disconnected(arrival::RequestId),
    /// A new view is in force.
    View(Arc<view::View>),
    /// Time passed; due at least every [`TICK`].
    Tick,
    /// The process is to stop: it runs no new keys, and finishes the requests it
    /// has.
    Leave,
}

/// Action that the driver is to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to a target or peer; report back by [`Event::Ended`]. A
    /// peer receives it as [`Origin::Peer`](crate::request::arrival::Origin::Peer).
    /// Sent once, over one connection: no layer below may retry it.
    Send {
        /// The request.
        id: arrival::RequestId,
        /// Id of the attempt.
        attempt: arrival::AttemptId,
        /// Target or peer to send to.
        destination: dispatch::Destination,
        /// Time after which the driver cancels the attempt.
        budget: Duration,
    },
    /// Stop an attempt; no [`Event::Ended`] is due for it, and its connection
    /// must not be used again.
    Cancel {
        /// The request.
        id: arrival::RequestId,
        /// The attempt to stop.
        attempt: arrival::AttemptId,
    },
    /// Give the caller a target's answer.
    Reply {
        /// The request.
        id: arrival::RequestId,
        /// The complete answer.
        answer: Arc<answer::Answer>,
    },
    /// Give the caller a final refusal.
    Refuse {
        /// The request.
        id: arrival::RequestId,
        /// Reason, outcome and time after which to ask again.
        refusal: outcome::Refusal,
    },
    /// Forward the complete request to its key's owner, which receives it as
    /// [`Origin::Forward`](crate::request::arrival::Origin::Forward); report
    /// back by [`Event::Forwarded`].
    Forward {
        /// The request.
        id: arrival::RequestId,
        /// Owner of the key.
        peer: gate::Peer,
        /// Time after which the driver reports a time-out.
        budget: Duration,
    },
    /// Ask a peer; report back by [`Event::AskEnded`].
    Ask {
        /// Id of the question.
        ask: record::QuestionId,
        /// The peer.
        peer: gate::Peer,
        /// The question.
        question: record::Question,
        /// Time after which the driver reports that there is no reply.
        budget: Duration,
    },
    /// Answer a peer's question.
    Respond {
        /// The driver's id of the question.
        ask: record::QuestionId,
        /// The reply.
        reply: record::Reply,
    },
    /// Call the platform's store; report back by [`Event::Stored`].
    Store {
        /// The request.
        id: arrival::RequestId,
        /// The key.
        key: Arc<str>,
        /// The call.
        call: record::StoreCall,
        /// Time after which the driver reports a lost call.
        budget: Duration,
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
        route: share::Route,
        /// Amount requested, per second.
        amount: u64,
        /// Time of the request, to be returned in [`Event::LoanGranted`].
        asked_at: clock::Time,
    },
    /// Answer a peer that asked for a part of a cap.
    Lend {
        /// The driver's id of the request.
        ask: record::QuestionId,
        /// Amount lent, per second; zero if none is.
        amount: u64,
    },
    /// Report to all peers how many targets broke while they ran a request.
    Suspect {
        /// Fingerprint of the request.
        fingerprint: arrival::Fingerprint,
        /// Number of targets that broke; zero clears the request.
        strikes: u8,
    },
    /// Put this key prefix into look-up answers from now on; `None` for none.
    Issue(Option<key::Prefix>),
}

impl From<dispatch::Action> for Action {
    fn from(action: dispatch::Action) -> Self {
        match action {
            dispatch::Action::Send {
                id,
                attempt,
                destination,
                budget,
            } => Self::Send {
                id,
                attempt,
                destination,
                budget,
            },
            dispatch::Action::Cancel { id, attempt } => Self::Cancel { id, attempt },
            dispatch::Action::Reply { id, answer } => Self::Reply { id, answer },
            dispatch::Action::Refuse { id, refusal } => Self::Refuse { id, refusal },
            dispatch::Action::Probe { target, addr } => Self::Probe { target, addr },
            dispatch::Action::Borrow {
                peer,
                route,
                amount,
                asked_at,
            } => Self::Borrow {
                peer,
                route,
                amount,
                asked_at,
            },
            dispatch::Action::Lend { ask, amount } => Self::Lend { ask, amount },
            dispatch::Action::Suspect {
                fingerprint,
                strikes,
            } => Self::Suspect {
                fingerprint,
                strikes,
            },
        }
    }
}

/// Converts an action of the gate to one for the driver; `None` for
/// [`gate::Action::Run`], which goes to the dispatcher.
pub(super) fn driver_action(action: gate::Action) -> Option<Action> {
    Some(match action {
        gate::Action::Run(_) => return None,
        gate::Action::Reply { id, answer } => Action::Reply { id, answer },
        gate::Action::Refuse { id, refusal } => Action::Refuse { id, refusal },
        gate::Action::Forward { id, peer, budget } => Action::Forward { id, peer, budget },
        gate::Action::Ask {
            ask,
            peer,
            question,
            budget,
        } => Action::Ask {
            ask,
            peer,
            question,
            budget,
        },
        gate::Action::Respond { ask, reply } => Action::Respond { ask, reply },
        gate::Action::Store {
            id,
            key,
            call,
            budget,
        } => Action::Store {
            id,
            key,
            call,
            budget,
        },
        gate::Action::Issue(prefix) => Action::Issue(prefix),
    })
}

//! What goes into the traffic engine and what comes out.

use core::time::Duration;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::clock;
use crate::process::{dispatch, gate, share};
use crate::request::{answer, arrival, key, outcome, record};
use crate::version::view;

/// What happens to the engine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request arrived, from a caller or a peer.
    Arrive(arrival::Arrival),
    /// An [`Action::Send`] ended.
    Ended {
        /// The request it was for.
        id: arrival::RequestId,
        /// The attempt.
        attempt: arrival::AttemptId,
        /// How it ended.
        outcome: dispatch::AttemptOutcome,
    },
    /// An [`Action::Forward`] ended.
    Forwarded {
        /// The request.
        id: arrival::RequestId,
        /// How it ended.
        outcome: dispatch::AttemptOutcome,
    },
    /// An [`Action::Ask`] ended; `None` if no answer came.
    AskEnded {
        /// The question.
        ask: record::AskId,
        /// The peer's word.
        reply: Option<record::Word>,
    },
    /// A peer asks this process; [`Action::Respond`] answers.
    PeerAsked {
        /// The driver's name for the question, never reused.
        ask: record::AskId,
        /// What it asks.
        question: record::Question,
    },
    /// An [`Action::Store`] ended.
    Stored {
        /// The request.
        id: arrival::RequestId,
        /// How it ended.
        result: record::StoreResult,
    },
    /// A target reported its load.
    Report {
        /// Name of the target.
        target: Arc<str>,
        /// What it says.
        report: dispatch::Report,
    },
    /// An [`Action::Probe`] ended.
    Probed {
        /// Name of the target.
        target: Arc<str>,
        /// What it said; `None` if it couldn't be reached.
        report: Option<dispatch::Report>,
    },
    /// A peer says how many targets broke under a request.
    Suspected {
        /// The request's fingerprint.
        fingerprint: arrival::Fingerprint,
        /// Targets that broke; zero clears it.
        strikes: u8,
    },
    /// Control says whether this process holds its part of every cap. Due every
    /// two seconds; an old word doesn't count.
    SlotHeld(bool),
    /// A peer lent a part of a cap, as [`Action::Borrow`] asked.
    LoanGranted {
        /// The cap.
        route: share::Route,
        /// How much of it.
        amount: u64,
        /// When it was asked for.
        asked_at: clock::Time,
    },
    /// A peer asks for a part of a cap; [`Action::Lend`] answers.
    LoanRequested {
        /// The driver's name for the question.
        ask: record::AskId,
        /// The cap.
        route: share::Route,
        /// How much of it.
        amount: u64,
    },
    /// The caller left without waiting for its answer.
    Disconnected(arrival::RequestId),
    /// A new view is in force.
    View(Arc<view::View>),
    /// Time passed; due at least every [`TICK`].
    Tick,
    /// The process is to stop: it runs no new keys, and finishes what it has.
    Leave,
}

/// What the engine wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to a place; report back by [`Event::Ended`]. A place
    /// that is a member takes it as [`Origin::Peer`](crate::request::arrival::Origin::Peer).
    /// Sent over one connection, once: no layer below may repeat it.
    Send {
        /// The request.
        id: arrival::RequestId,
        /// Name of this try.
        attempt: arrival::AttemptId,
        /// Where to.
        destination: dispatch::Destination,
        /// Time after which the driver gives the attempt up.
        budget: Duration,
    },
    /// Stop an attempt; no [`Event::Ended`] is due for it, and its connection
    /// must not be used again.
    Cancel {
        /// The request.
        id: arrival::RequestId,
        /// The try to stop.
        attempt: arrival::AttemptId,
    },
    /// Give the caller a target's answer.
    Reply {
        /// The request.
        id: arrival::RequestId,
        /// The whole answer.
        answer: Arc<answer::Answer>,
    },
    /// Give the caller a final refusal.
    Refuse {
        /// The request.
        id: arrival::RequestId,
        /// What to say.
        refusal: outcome::Refusal,
    },
    /// Send the whole request to its key's owner, which takes it as
    /// [`Origin::Forward`](crate::request::arrival::Origin::Forward); report
    /// back by [`Event::Forwarded`].
    Forward {
        /// The request.
        id: arrival::RequestId,
        /// The owner.
        peer: gate::Peer,
        /// Time after which the driver gives up.
        budget: Duration,
    },
    /// Ask a peer; report back by [`Event::AskEnded`].
    Ask {
        /// Name of the question.
        ask: record::AskId,
        /// The peer.
        peer: gate::Peer,
        /// The question.
        question: record::Question,
        /// Time after which the driver gives up.
        budget: Duration,
    },
    /// Answer a peer's question.
    Respond {
        /// The driver's name for the question.
        ask: record::AskId,
        /// The answer.
        reply: record::Word,
    },
    /// Call the platform's store; report back by [`Event::Stored`].
    Store {
        /// The request.
        id: arrival::RequestId,
        /// The key.
        key: Arc<str>,
        /// The call.
        call: record::StoreCall,
        /// Time after which the driver gives up.
        budget: Duration,
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
        route: share::Route,
        /// How much of it.
        amount: u64,
        /// To be given back with the answer.
        asked_at: clock::Time,
    },
    /// Answer a peer that asked for a part of a cap; zero is "nothing".
    Lend {
        /// The driver's name for the question.
        ask: record::AskId,
        /// How much it gets.
        amount: u64,
    },
    /// Tell all peers how many targets broke under a request.
    Suspect {
        /// The request's fingerprint.
        fingerprint: arrival::Fingerprint,
        /// Targets that broke; zero clears it.
        strikes: u8,
    },
    /// Look-up answers carry this key prefix from now on; `None`: none.
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

/// The driver's part of a gate's action; `None` for what stays inside.
pub(super) fn outward(action: gate::Action) -> Option<Action> {
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

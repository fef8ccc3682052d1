//! What happens to the gate, and what it wants done.

use core::time::Duration;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::process::dispatch;
use crate::request::{answer, arrival, key, outcome, record};
use crate::version::view;

/// Another process of this system, as a destination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of its entry instance.
    pub name: Arc<str>,
    /// Which process.
    pub incarnation: view::Incarnation,
    /// Where it listens for peers.
    pub addr: SocketAddr,
}

impl From<&view::MemberData> for Peer {
    fn from(data: &view::MemberData) -> Self {
        Self {
            name: Arc::clone(&data.name),
            incarnation: data.incarnation,
            addr: data.peer,
        }
    }
}

/// What became of a request that was run, or was to be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The target's whole answer.
    Answered(Arc<answer::Answer>),
    /// A refusal and what is certain.
    Refused(outcome::Refusal),
}

/// What happens to the gate.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request arrived.
    Arrive(arrival::Arrival),
    /// The dispatcher is done with a request that the gate had it run.
    Completed {
        /// The request.
        id: arrival::RequestId,
        /// What became of it.
        verdict: Verdict,
    },
    /// A request sent to its key's owner came to an end.
    Forwarded {
        /// The request.
        id: arrival::RequestId,
        /// How.
        outcome: dispatch::AttemptOutcome,
    },
    /// A peer answered a question; `None` if no answer came.
    AskEnded {
        /// The question.
        ask: record::QuestionId,
        /// The answer.
        reply: Option<record::Reply>,
    },
    /// A peer asks this process.
    PeerAsked {
        /// The driver's name for the question.
        ask: record::QuestionId,
        /// What it asks.
        question: record::Question,
    },
    /// A call to the store ended.
    Stored {
        /// The request.
        id: arrival::RequestId,
        /// How.
        result: record::StoreResult,
    },
    /// The caller left without waiting for its answer.
    Disconnected(arrival::RequestId),
    /// A new view is in force.
    View(Arc<view::View>),
    /// Time passed.
    Tick,
    /// The process is to stop: no new key may run any more.
    Leave,
}

/// What the gate wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Hand the request to the dispatcher.
    Run(arrival::Arrival),
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
    /// Send the whole request to its key's owner.
    Forward {
        /// The request.
        id: arrival::RequestId,
        /// The owner.
        peer: Peer,
        /// Time after which to give up.
        budget: Duration,
    },
    /// Ask a peer.
    Ask {
        /// Name of the question, for the answer.
        ask: record::QuestionId,
        /// The peer.
        peer: Peer,
        /// The question.
        question: record::Question,
        /// Time after which to give up.
        budget: Duration,
    },
    /// Answer a peer's question.
    Respond {
        /// The driver's name for the question.
        ask: record::QuestionId,
        /// The answer.
        reply: record::Reply,
    },
    /// Call the platform's store about a key that its caller chose.
    Store {
        /// The request.
        id: arrival::RequestId,
        /// The key.
        key: Arc<str>,
        /// The call.
        call: record::StoreCall,
        /// Time after which to give up.
        budget: Duration,
    },
    /// Look-up answers carry this key prefix from now on; `None`: none.
    Issue(Option<key::Prefix>),
}

//! Events that the gate handles, and actions that it requests.

use core::time::Duration;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::process::dispatch;
use crate::request::{answer, arrival, key, outcome, record};
use crate::version::view;

/// Another process of the system, as a destination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of its entry instance.
    pub name: Arc<str>,
    /// Incarnation of the process.
    pub incarnation: view::Incarnation,
    /// Address on which it listens for peers.
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

/// Final result of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The target's complete answer.
    Answered(Arc<answer::Answer>),
    /// A refusal and whether the request may have run.
    Refused(outcome::Refusal),
}

/// Event handled by the gate.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request arrived.
    Arrive(arrival::Arrival),
    /// The dispatcher finished a request that the gate handed to it.
    Completed {
        /// The request.
        id: arrival::RequestId,
        /// Result of the request.
        verdict: Verdict,
    },
    /// The hop of a request that was forwarded to its key's owner ended.
    Forwarded {
        /// The request.
        id: arrival::RequestId,
        /// Outcome of the hop.
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
        /// Id that the driver gave the question.
        ask: record::QuestionId,
        /// The question.
        question: record::Question,
    },
    /// A call to the store ended.
    Stored {
        /// The request.
        id: arrival::RequestId,
        /// Result of the call.
        result: record::StoreResult,
    },
    /// The caller left without waiting for its answer.
    Disconnected(arrival::RequestId),
    /// A new view is in force.
    View(Arc<view::View>),
    /// Periodic tick that drives time limits.
    Tick,
    /// The process is about to stop: no new key may run from now on.
    Leave,
}

/// Action requested by the gate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Hand the request to the dispatcher.
    Run(arrival::Arrival),
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
        /// The refusal to send.
        refusal: outcome::Refusal,
    },
    /// Forward the complete request to its key's owner.
    Forward {
        /// The request.
        id: arrival::RequestId,
        /// The owner.
        peer: Peer,
        /// Time limit for the answer.
        budget: Duration,
    },
    /// Ask a peer.
    Ask {
        /// Id of the question, to be returned with the reply.
        ask: record::QuestionId,
        /// The peer.
        peer: Peer,
        /// The question.
        question: record::Question,
        /// Time limit for the answer.
        budget: Duration,
    },
    /// Answer a peer's question.
    Respond {
        /// Id that the driver gave the question.
        ask: record::QuestionId,
        /// The answer.
        reply: record::Reply,
    },
    /// Call the platform's store about a chosen key.
    Store {
        /// The request.
        id: arrival::RequestId,
        /// The key.
        key: Arc<str>,
        /// The call.
        call: record::StoreCall,
        /// Time limit for the answer.
        budget: Duration,
    },
    /// Use this key prefix in look-up answers from now on; `None`: no prefix.
    Issue(Option<key::Prefix>),
}

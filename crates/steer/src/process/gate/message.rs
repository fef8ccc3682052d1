//! What happens to the gate, and what it wants done.

use core::time::Duration;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::process::dispatch::Ending;
use crate::request::answer::Answer;
use crate::request::arrival::{Arrival, RequestId};
use crate::request::key::Prefix;
use crate::request::outcome::Refusal;
use crate::request::record::{AskId, Question, StoreCall, StoreResult, Word};
use crate::version::view::{Incarnation, MemberData, View};

/// Another process of this system, as a destination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of its entry instance.
    pub name: Arc<str>,
    /// Which process.
    pub incarnation: Incarnation,
    /// Where it listens for peers.
    pub addr: SocketAddr,
}

impl From<&MemberData> for Peer {
    fn from(data: &MemberData) -> Self {
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
    Answered(Arc<Answer>),
    /// A refusal and what is certain.
    Refused(Refusal),
}

/// What happens to the gate.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request arrived.
    Arrive(Arrival),
    /// The dispatcher is done with a request that the gate had it run.
    Settled {
        /// The request.
        id: RequestId,
        /// What became of it.
        verdict: Verdict,
    },
    /// A request sent to its key's owner came to an end.
    Forwarded {
        /// The request.
        id: RequestId,
        /// How.
        ending: Ending,
    },
    /// A peer answered a question; `None` if no answer came.
    Told {
        /// The question.
        ask: AskId,
        /// The answer.
        word: Option<Word>,
    },
    /// A peer asks this process.
    Asked {
        /// The driver's name for the question.
        ask: AskId,
        /// What it asks.
        question: Question,
    },
    /// A call to the store ended.
    Stored {
        /// The request.
        id: RequestId,
        /// How.
        result: StoreResult,
    },
    /// The caller left without waiting for its answer.
    Gone(RequestId),
    /// A new view is in force.
    View(Arc<View>),
    /// Time passed.
    Tick,
    /// The process is to stop: no new key may run any more.
    Leave,
}

/// What the gate wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Hand the request to the dispatcher.
    Run(Arrival),
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
    /// Send the whole request to its key's owner.
    Forward {
        /// The request.
        id: RequestId,
        /// The owner.
        peer: Peer,
        /// Time after which to give up.
        budget: Duration,
    },
    /// Ask a peer.
    Ask {
        /// Name of the question, for the answer.
        ask: AskId,
        /// The peer.
        peer: Peer,
        /// The question.
        question: Question,
        /// Time after which to give up.
        budget: Duration,
    },
    /// Answer a peer's question.
    Tell {
        /// The driver's name for the question.
        ask: AskId,
        /// The answer.
        word: Word,
    },
    /// Call the platform's store about a key that its caller chose.
    Store {
        /// The request.
        id: RequestId,
        /// The key.
        key: Arc<str>,
        /// The call.
        call: StoreCall,
        /// Time after which to give up.
        budget: Duration,
    },
    /// Look-up answers carry this key prefix from now on; `None`: none.
    Issue(Option<Prefix>),
}

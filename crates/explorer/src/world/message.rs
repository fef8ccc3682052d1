//! What is under way between processes, targets and the store.

use core::fmt;

use steer::process::dispatch;
use steer::request::{arrival, record};
use steer::version::view;

/// Which request a message is about: its key, and which body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Payload {
    /// Index of the key.
    pub key: usize,
    /// Which body.
    pub body: u32,
}

impl fmt::Display for Payload {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "key{}", self.key)?;
        match self.body {
            0 => Ok(()),
            body => write!(f, "/body{body}"),
        }
    }
}

/// How a peer came by a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HopKind {
    /// To the key's owner.
    Forward,
    /// To be served there, as this attempt.
    Serve(arrival::AttemptId),
}

/// Who waits for a message's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// The caller of this copy.
    Caller(usize),
    /// A request of a process.
    Hop {
        /// Its process.
        process: usize,
        /// Which incarnation of it.
        incarnation: view::Incarnation,
        /// Its request.
        id: arrival::RequestId,
        /// How the request was passed on.
        kind: HopKind,
    },
    /// A question of a process.
    Ask {
        /// Its process.
        process: usize,
        /// Which incarnation of it.
        incarnation: view::Incarnation,
        /// Its question.
        ask: record::QuestionId,
    },
}

impl Sender {
    /// The process that waits; `None` for a caller.
    #[must_use]
    pub const fn process(&self) -> Option<(usize, view::Incarnation)> {
        match *self {
            Self::Caller(_) => None,
            Self::Hop {
                process,
                incarnation,
                ..
            }
            | Self::Ask {
                process,
                incarnation,
                ..
            } => Some((process, incarnation)),
        }
    }
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A request to the process at an address.
    Hop {
        /// Process that listens there.
        to: usize,
        /// The request.
        payload: Payload,
    },
    /// How a hop, or a send to a target, ended.
    Ended(dispatch::AttemptOutcome),
    /// A question to the process at an address.
    Ask {
        /// Process that listens there.
        to: usize,
        /// The question.
        question: record::Question,
    },
    /// The answer to a question; `None`: none came.
    Told(Option<record::Reply>),
    /// A request to a target.
    Run(Payload),
    /// A call to the store.
    Store(Payload, record::StoreCall),
    /// How a call to the store ended.
    Stored(record::StoreResult),
}

/// Something under way.
#[derive(Clone, Debug)]
pub struct Message {
    /// Names it in the trace.
    pub serial: u32,
    /// The process that acted last when it was sent: its sender, unless that is
    /// a target or the store.
    pub by: usize,
    /// Who waits for an answer, or is being answered.
    pub sender: Sender,
    /// What it says.
    pub kind: Kind,
    /// Whether it is delayed until nothing else is left to do.
    pub held: bool,
    /// Whether its sender has been told already that it failed.
    pub detached: bool,
}

impl fmt::Display for Message {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "m{} ", self.serial)?;
        match &self.kind {
            Kind::Hop { to, payload } => write!(f, "{payload} to entry{to}"),
            Kind::Run(payload) => write!(f, "{payload} to a target"),
            Kind::Ask { to, question } => {
                let word = match question {
                    record::Question::Claim(_) => "claim",
                    record::Question::Seal(_) => "seal",
                    record::Question::Epoch => "epoch?",
                };
                write!(f, "{word} to entry{to}")
            }
            Kind::Store(payload, record::StoreCall::Create(_)) => write!(f, "create {payload}"),
            Kind::Store(payload, record::StoreCall::Read) => write!(f, "read {payload}"),
            Kind::Stored(result) => write!(f, "store says {result:?}"),
            Kind::Told(Some(word)) => write!(f, "word \"{word}\""),
            Kind::Told(None) => f.write_str("no word"),
            Kind::Ended(dispatch::AttemptOutcome::Answered(_)) => f.write_str("answer"),
            Kind::Ended(dispatch::AttemptOutcome::PeerRefused(refusal)) => {
                write!(f, "refusal: {refusal}")
            }
            Kind::Ended(other) => write!(f, "ending {other:?}"),
        }?;
        if let Some((process, _)) = self.sender.process() {
            let back = matches!(self.kind, Kind::Ended(_) | Kind::Told(_) | Kind::Stored(_));
            let word = if back { "for" } else { "from" };
            write!(f, " {word} entry{process}")?;
        }
        Ok(())
    }
}

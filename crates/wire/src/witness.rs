//! Questions to the witness of a key and its replies.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use steer::request::record;

/// Twin of [`record::Question`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Question {
    /// Records that the key's request is about to be sent.
    Claim(String),
    /// Seals the key: unless it has been claimed, its request never runs.
    Seal(String),
    /// Asks for the witness's current epoch.
    Epoch,
}

/// Twin of [`record::Reply`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The key is claimed: its request may have run.
    Claimed,
    /// The key is sealed: its request has not run and never will.
    Sealed,
    /// The key's epoch is too old or not yet reached, so that its state is unknown.
    Expired,
    /// The witness has no room for another record.
    Full,
    /// The key names another process as its witness.
    Foreign,
    /// Current epoch of the witness.
    Epoch(u64),
}

impl From<&record::Question> for Question {
    fn from(question: &record::Question) -> Self {
        match question {
            record::Question::Claim(key) => Self::Claim(key.as_ref().to_owned()),
            record::Question::Seal(key) => Self::Seal(key.as_ref().to_owned()),
            record::Question::Epoch => Self::Epoch,
        }
    }
}

impl From<Question> for record::Question {
    fn from(question: Question) -> Self {
        match question {
            Question::Claim(key) => Self::Claim(Arc::from(key)),
            Question::Seal(key) => Self::Seal(Arc::from(key)),
            Question::Epoch => Self::Epoch,
        }
    }
}

impl From<record::Reply> for Reply {
    fn from(reply: record::Reply) -> Self {
        match reply {
            record::Reply::Claimed => Self::Claimed,
            record::Reply::Sealed => Self::Sealed,
            record::Reply::Expired => Self::Expired,
            record::Reply::Full => Self::Full,
            record::Reply::Foreign => Self::Foreign,
            record::Reply::Epoch(epoch) => Self::Epoch(epoch),
        }
    }
}

impl From<Reply> for record::Reply {
    fn from(reply: Reply) -> Self {
        match reply {
            Reply::Claimed => Self::Claimed,
            Reply::Sealed => Self::Sealed,
            Reply::Expired => Self::Expired,
            Reply::Full => Self::Full,
            Reply::Foreign => Self::Foreign,
            Reply::Epoch(epoch) => Self::Epoch(epoch),
        }
    }
}

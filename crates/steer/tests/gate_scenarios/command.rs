//! One line of a scenario: a verb and `name=value` arguments.

use std::sync::Arc;

use steer::process::dispatch;
use steer::request::{answer, outcome, record};

pub struct Command<'a> {
    pub verb: &'a str,
    arguments: Vec<(&'a str, &'a str)>,
}

impl<'a> Command<'a> {
    pub fn parse(text: &'a str) -> Self {
        let mut parts = text.split_whitespace();
        Self {
            verb: parts.next().expect("a command has a verb"),
            arguments: parts
                .map(|part| part.split_once('=').expect("arguments are name=value"))
                .collect(),
        }
    }

    pub fn get(&self, name: &str) -> Option<&'a str> {
        let found = self.arguments.iter().find(|(n, _)| *n == name);
        found.map(|&(_, value)| value)
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        let number = |text: &str| text.parse().expect("the argument is a number");
        self.get(name).map(number)
    }

    pub fn count(&self, name: &str, default: usize) -> usize {
        let small = |n| usize::try_from(n).expect("a small number");
        self.number(name).map_or(default, small)
    }

    pub fn hop_outcome(&self) -> dispatch::AttemptOutcome {
        match self.get("how").expect("the command gives the outcome") {
            "answered" => dispatch::AttemptOutcome::Answered(Arc::new(answer::Answer {
                status: 200,
                headers: Vec::new(),
                body: b"done".as_slice().into(),
            })),
            "shed" => dispatch::AttemptOutcome::Refused {
                after: None,
                leaving: false,
            },
            "leaving" => dispatch::AttemptOutcome::Refused {
                after: None,
                leaving: true,
            },
            "unreachable" => dispatch::AttemptOutcome::Unreachable,
            "broken" => dispatch::AttemptOutcome::Broken,
            "cut-short" => dispatch::AttemptOutcome::BadAnswer,
            "timed-out" => dispatch::AttemptOutcome::TimedOut,
            "peer-not-run" => dispatch::AttemptOutcome::PeerRefused(outcome::Refusal::not_run(
                outcome::Reason::Overloaded,
                None,
            )),
            "peer-unknown" => dispatch::AttemptOutcome::PeerRefused(outcome::Refusal::unknown(
                outcome::Reason::Lost,
                None,
            )),
            "not-owner" => dispatch::AttemptOutcome::PeerRefused(outcome::Refusal::unknown(
                outcome::Reason::OwnerGone,
                None,
            )),
            other => panic!("no hop outcome is called {other}"),
        }
    }

    pub fn reply(&self) -> Option<record::Reply> {
        match self.get("word").expect("the command gives a reply") {
            "claimed" => Some(record::Reply::Claimed),
            "sealed" => Some(record::Reply::Sealed),
            "expired" => Some(record::Reply::Expired),
            "full" => Some(record::Reply::Full),
            "foreign" => Some(record::Reply::Foreign),
            "epoch" => Some(record::Reply::Epoch(self.number("epoch").unwrap_or(0))),
            "none" => None,
            other => panic!("no reply is called {other}"),
        }
    }

    pub fn store_result(&self) -> record::StoreResult {
        match self
            .get("how")
            .expect("the command says how the call ended")
        {
            "created" => record::StoreResult::Created,
            "absent" => record::StoreResult::Absent,
            "away" => record::StoreResult::Unreachable,
            "lost" => record::StoreResult::Unknown,
            "unreadable" => record::StoreResult::Found(None),
            attempt => record::StoreResult::Found(Some(
                record::Claim::try_from(attempt).expect("an attempt"),
            )),
        }
    }
}

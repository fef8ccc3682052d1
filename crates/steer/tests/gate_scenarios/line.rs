//! One line of a scenario: a word and `name=value` arguments.

use std::sync::Arc;

use steer::process::dispatch::Ending;
use steer::request::answer::Answer;
use steer::request::outcome::{Reason, Refusal};
use steer::request::record::{Attempt, StoreResult, Word};

pub struct Line<'a> {
    pub word: &'a str,
    arguments: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    pub fn parse(text: &'a str) -> Self {
        let mut parts = text.split_whitespace();
        Self {
            word: parts.next().expect("a line has a word"),
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

    pub fn count(&self, name: &str, usual: usize) -> usize {
        let small = |n| usize::try_from(n).expect("a small number");
        self.number(name).map_or(usual, small)
    }

    pub fn ending(&self) -> Ending {
        match self.get("how").expect("the line says how it ended") {
            "answered" => Ending::Answered(Arc::new(Answer {
                status: 200,
                headers: Vec::new(),
                body: b"done".as_slice().into(),
            })),
            "shed" => Ending::Refused {
                after: None,
                leaving: false,
            },
            "leaving" => Ending::Refused {
                after: None,
                leaving: true,
            },
            "unreachable" => Ending::Unreachable,
            "broken" => Ending::Broken,
            "cut-short" => Ending::BadAnswer,
            "timed-out" => Ending::TimedOut,
            "peer-not-run" => Ending::PeerRefused(Refusal::not_run(Reason::Overloaded, None)),
            "peer-unknown" => Ending::PeerRefused(Refusal::unknown(Reason::Lost, None)),
            "not-owner" => Ending::PeerRefused(Refusal::unknown(Reason::OwnerGone, None)),
            other => panic!("no ending is called {other}"),
        }
    }

    pub fn told(&self) -> Option<Word> {
        match self.get("word").expect("the line gives a word") {
            "claimed" => Some(Word::Claimed),
            "sealed" => Some(Word::Sealed),
            "expired" => Some(Word::Expired),
            "full" => Some(Word::Full),
            "foreign" => Some(Word::Foreign),
            "epoch" => Some(Word::Epoch(self.number("epoch").unwrap_or(0))),
            "none" => None,
            other => panic!("no word is called {other}"),
        }
    }

    pub fn stored(&self) -> StoreResult {
        match self.get("how").expect("the line says how the call ended") {
            "created" => StoreResult::Created,
            "absent" => StoreResult::Absent,
            "away" => StoreResult::Away,
            "lost" => StoreResult::Lost,
            "unreadable" => StoreResult::Found(None),
            attempt => StoreResult::Found(Some(Attempt::try_from(attempt).expect("an attempt"))),
        }
    }
}

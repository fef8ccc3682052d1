//! Requests that the gate has not answered yet.
//!
//! Invariant: sorted by request; each request stands here once, and leaves with
//! exactly one answer.

use std::sync::Arc;

use super::{book, counts};
use crate::clock;
use crate::request::{admission, arrival, key, record};
use crate::version::view;

/// How far a held request has come.
pub enum Stage {
    /// Its witness has been asked for a claim.
    Claiming {
        /// The question.
        ask: record::QuestionId,
        /// Who was asked.
        witness: view::Incarnation,
        /// When to give up waiting.
        wait: clock::Time,
        /// What to run on the witness's word.
        arrival: arrival::Arrival,
    },
    /// The store has been asked for a claim.
    Storing {
        /// What is to hold the key.
        attempt: record::Claim,
        /// The call under way.
        call: record::StoreCall,
        /// Calls made.
        tries: u32,
        /// What to run once the key is claimed.
        arrival: arrival::Arrival,
    },
    /// The dispatcher has it; the gate keeps no time for it.
    Running,
    /// Waits for the outcome of an earlier copy.
    Waiting,
    /// The key's owner has been sent it.
    Forwarding {
        /// The key, if it may name a witness.
        key: Option<key::Issued>,
        /// The request.
        arrival: arrival::Arrival,
    },
    /// The key's witness has been asked to seal the key.
    Sealing {
        /// The question.
        ask: record::QuestionId,
        /// When to give up waiting.
        wait: clock::Time,
    },
}

/// A request in the gate.
pub struct Held {
    /// The request.
    pub id: arrival::RequestId,
    /// Who asks.
    pub caller: Arc<str>,
    /// Its key's record.
    pub name: book::Name,
    /// When its caller stops waiting.
    pub until: clock::Time,
    /// How far it has come.
    pub stage: Stage,
}

/// All held requests.
#[derive(Default)]
pub struct HeldSet {
    items: Vec<Held>,
    callers: admission::CallerCounts,
}

impl HeldSet {
    /// Number of requests held.
    pub const fn len(&self) -> usize {
        self.items.len()
    }

    /// Number of this caller's requests held.
    pub fn of(&self, caller: &str) -> usize {
        self.callers.get(caller)
    }

    /// Adds a request.
    pub fn insert(&mut self, held: Held) {
        self.callers.add(&held.caller);
        let at = self.items.partition_point(|h| h.id < held.id);
        self.items.insert(at, held);
    }

    /// The request, if it is held.
    pub fn get(&self, id: arrival::RequestId) -> Option<&Held> {
        let at = self.search(id)?;
        Some(&self.items[at])
    }

    /// The stage of a request, to be changed.
    pub fn stage_mut(&mut self, id: arrival::RequestId) -> Option<&mut Stage> {
        let at = self.search(id)?;
        Some(&mut self.items[at].stage)
    }

    /// Takes a request out.
    pub fn remove(&mut self, id: arrival::RequestId) -> Option<Held> {
        let at = self.search(id)?;
        let held = self.items.remove(at);
        self.callers.remove(&held.caller);
        Some(held)
    }

    /// The request that waits for the answer to `ask`.
    pub fn asking(&self, ask: record::QuestionId) -> Option<arrival::RequestId> {
        let waits = |h: &&Held| match h.stage {
            Stage::Claiming { ask: a, .. } | Stage::Sealing { ask: a, .. } => a == ask,
            _ => false,
        };
        self.items.iter().find(waits).map(|h| h.id)
    }

    /// Requests whose present stage has lasted too long.
    pub fn overdue(&self, now: clock::Time) -> Vec<arrival::RequestId> {
        let late = |h: &&Held| match h.stage {
            Stage::Running => false,
            Stage::Claiming { wait, .. } | Stage::Sealing { wait, .. } => wait.min(h.until) <= now,
            _ => h.until <= now,
        };
        self.items.iter().filter(late).map(|h| h.id).collect()
    }

    /// Number of requests at each stage.
    pub fn stages(&self) -> counts::Stages {
        let mut stages = counts::Stages::default();
        for held in &self.items {
            let count = match held.stage {
                Stage::Claiming { .. } => &mut stages.claiming,
                Stage::Storing { .. } => &mut stages.storing,
                Stage::Running => &mut stages.running,
                Stage::Waiting => &mut stages.waiting,
                Stage::Forwarding { .. } => &mut stages.forwarding,
                Stage::Sealing { .. } => &mut stages.sealing,
            };
            *count += 1;
        }
        stages
    }

    fn search(&self, id: arrival::RequestId) -> Option<usize> {
        self.items.binary_search_by_key(&id, |h| h.id).ok()
    }
}

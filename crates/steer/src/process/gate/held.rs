//! Requests that the gate has not answered yet.
//!
//! Invariant: sorted by request; each request stands here once, and leaves with
//! exactly one answer.

use std::sync::Arc;

use super::book::Name;
use super::counts::Stages;
use crate::clock::Time;
use crate::request::admission::Counts;
use crate::request::arrival::{Arrival, RequestId};
use crate::request::key::Issued;
use crate::request::record::{AskId, Attempt, StoreCall};
use crate::version::view::Incarnation;

/// How far a held request has come.
pub enum Stage {
    /// Its witness has been asked for a claim.
    Claiming {
        /// The question.
        ask: AskId,
        /// Who was asked.
        witness: Incarnation,
        /// When to give up waiting.
        wait: Time,
        /// What to run on the witness's word.
        arrival: Arrival,
    },
    /// The store has been asked for a claim.
    Storing {
        /// What is to hold the key.
        attempt: Attempt,
        /// The call under way.
        call: StoreCall,
        /// Calls made.
        tries: u32,
        /// What to run once the key is claimed.
        arrival: Arrival,
    },
    /// The dispatcher has it; the gate keeps no time for it.
    Running,
    /// Waits for the outcome of an earlier copy.
    Waiting,
    /// The key's owner has been sent it.
    Forwarding {
        /// The key, if it may name a witness.
        key: Option<Issued>,
        /// The request.
        arrival: Arrival,
    },
    /// The key's witness has been asked to seal the key.
    Sealing {
        /// The question.
        ask: AskId,
        /// When to give up waiting.
        wait: Time,
    },
}

/// A request in the gate.
pub struct Held {
    /// The request.
    pub id: RequestId,
    /// Who asks.
    pub caller: Arc<str>,
    /// Its key's record.
    pub name: Name,
    /// When its caller stops waiting.
    pub until: Time,
    /// How far it has come.
    pub stage: Stage,
}

/// All held requests.
#[derive(Default)]
pub struct HeldSet {
    items: Vec<Held>,
    callers: Counts,
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
    pub fn get(&self, id: RequestId) -> Option<&Held> {
        let at = self.search(id)?;
        Some(&self.items[at])
    }

    /// The stage of a request, to be changed.
    pub fn stage_mut(&mut self, id: RequestId) -> Option<&mut Stage> {
        let at = self.search(id)?;
        Some(&mut self.items[at].stage)
    }

    /// Takes a request out.
    pub fn remove(&mut self, id: RequestId) -> Option<Held> {
        let at = self.search(id)?;
        let held = self.items.remove(at);
        self.callers.remove(&held.caller);
        Some(held)
    }

    /// The request that waits for the answer to `ask`.
    pub fn asking(&self, ask: AskId) -> Option<RequestId> {
        let waits = |h: &&Held| match h.stage {
            Stage::Claiming { ask: a, .. } | Stage::Sealing { ask: a, .. } => a == ask,
            _ => false,
        };
        self.items.iter().find(waits).map(|h| h.id)
    }

    /// Requests whose present stage has lasted too long.
    pub fn overdue(&self, now: Time) -> Vec<RequestId> {
        let late = |h: &&Held| match h.stage {
            Stage::Running => false,
            Stage::Claiming { wait, .. } | Stage::Sealing { wait, .. } => wait.min(h.until) <= now,
            _ => h.until <= now,
        };
        self.items.iter().filter(late).map(|h| h.id).collect()
    }

    /// Number of requests at each stage.
    pub fn stages(&self) -> Stages {
        let mut stages = Stages::default();
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

    fn search(&self, id: RequestId) -> Option<usize> {
        self.items.binary_search_by_key(&id, |h| h.id).ok()
    }
}

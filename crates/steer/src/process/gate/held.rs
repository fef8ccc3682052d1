//! Requests that the gate has not answered yet.
//!
//! Invariant: sorted by request id; each request is listed once and is answered
//! at most once.

use std::sync::Arc;

use super::{counts, record_table};
use crate::clock;
use crate::request::{admission, arrival, key, record};
use crate::version::view;

/// Stage of a held request.
pub enum Stage {
    /// The witness has been asked for a claim.
    Claiming {
        /// The question.
        ask: record::QuestionId,
        /// Process that was asked.
        witness: view::Incarnation,
        /// Time at which to stop waiting for the reply.
        wait_until: clock::Time,
        /// Request to run once the witness has recorded the claim.
        arrival: arrival::Arrival,
    },
    /// The store has been asked for a claim.
    Storing {
        /// Claim to be stored for the key.
        attempt: record::Claim,
        /// Call in progress.
        call: record::StoreCall,
        /// Calls made.
        tries: u32,
        /// Request to run once the key is claimed.
        arrival: arrival::Arrival,
    },
    /// The dispatcher has the request and enforces its deadline.
    Running,
    /// Waits for the outcome of an earlier copy.
    Waiting,
    /// The request was forwarded to the key's owner.
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
        /// Time at which to stop waiting for the reply.
        wait_until: clock::Time,
    },
}

/// A request held by the gate.
pub struct HeldRequest {
    /// The request.
    pub id: arrival::RequestId,
    /// Caller that sent it.
    pub caller: Arc<str>,
    /// Record of its key.
    pub record_id: record_table::RecordId,
    /// Time at which its caller stops waiting.
    pub expires_at: clock::Time,
    /// Present stage.
    pub stage: Stage,
}

/// All held requests.
#[derive(Default)]
pub struct HeldSet {
    requests: Vec<HeldRequest>,
    callers: admission::CallerCounts,
}

impl HeldSet {
    /// Number of requests held.
    pub const fn len(&self) -> usize {
        self.requests.len()
    }

    /// Number of this caller's requests held.
    pub fn count_of(&self, caller: &str) -> usize {
        self.callers.get(caller)
    }

    /// Adds a request.
    pub fn insert(&mut self, held: HeldRequest) {
        self.callers.add(&held.caller);
        let at = self.requests.partition_point(|h| h.id < held.id);
        self.requests.insert(at, held);
    }

    /// Returns the request, if it is held.
    pub fn get(&self, id: arrival::RequestId) -> Option<&HeldRequest> {
        let at = self.search(id)?;
        Some(&self.requests[at])
    }

    /// Returns the stage of a request for modification.
    pub fn stage_mut(&mut self, id: arrival::RequestId) -> Option<&mut Stage> {
        let at = self.search(id)?;
        Some(&mut self.requests[at].stage)
    }

    /// Removes a request and returns it.
    pub fn remove(&mut self, id: arrival::RequestId) -> Option<HeldRequest> {
        let at = self.search(id)?;
        let held = self.requests.remove(at);
        self.callers.remove(&held.caller);
        Some(held)
    }

    /// Finds the request that waits for the reply to `ask`.
    pub fn waiting_for(&self, ask: record::QuestionId) -> Option<arrival::RequestId> {
        let is_waiting = |h: &&HeldRequest| match h.stage {
            Stage::Claiming { ask: a, .. } | Stage::Sealing { ask: a, .. } => a == ask,
            _ => false,
        };
        self.requests.iter().find(is_waiting).map(|h| h.id)
    }

    /// Lists the requests whose stage has passed its time limit.
    pub fn overdue(&self, now: clock::Time) -> Vec<arrival::RequestId> {
        let is_overdue = |h: &&HeldRequest| match h.stage {
            Stage::Running => false,
            Stage::Claiming { wait_until, .. } | Stage::Sealing { wait_until, .. } => {
                wait_until.min(h.expires_at) <= now
            }
            _ => h.expires_at <= now,
        };
        self.requests
            .iter()
            .filter(is_overdue)
            .map(|h| h.id)
            .collect()
    }

    /// Number of requests at each stage.
    pub fn stages(&self) -> counts::Stages {
        let mut stages = counts::Stages::default();
        for held in &self.requests {
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
        self.requests.binary_search_by_key(&id, |h| h.id).ok()
    }
}

//! State of the engine: unfinished requests, attempts and questions.
//!
//! Invariant: lists are sorted by id, since ids are assigned in ascending order. A
//! request's content is kept until the dispatcher settles it, even after the caller
//! has disconnected: a non-idempotent request is still finished and recorded.

use std::sync::Arc;

use steer::process::{dispatch, traffic};
use steer::request::{arrival, record};
use wire::peer;

use crate::daemon::inbound::Inbound;

struct PendingRequest {
    id: arrival::RequestId,
    request: Arc<Inbound>,
    /// `None` once the caller has disconnected.
    mailbox: Option<async_channel::Sender<peer::FinalResult>>,
}

/// An attempt in progress.
pub struct ActiveAttempt {
    id: arrival::AttemptId,
    /// Name of the attempt on the wire.
    pub name: Arc<str>,
    /// Target or peer that it was sent to.
    pub destination: dispatch::Destination,
    /// Dropping the task closes the attempt's connection.
    _task: smol::Task<()>,
}

/// A peer's question that waits for an answer of type `T`.
struct PendingQuestion<T> {
    id: record::QuestionId,
    mailbox: async_channel::Sender<T>,
}

/// Answers a question. A send error is ignored: the peer has timed out and treats
/// the question as unanswered.
fn answer<T>(questions: &mut Vec<PendingQuestion<T>>, id: record::QuestionId, with: T) {
    if let Ok(at) = questions.binary_search_by_key(&id, |a| a.id) {
        let _ = questions.remove(at).mailbox.try_send(with);
    }
}

/// State of the engine behind its lock.
pub struct Inner {
    /// The dispatcher and the other traffic decisions.
    pub decisions: traffic::Traffic,
    requests: Vec<PendingRequest>,
    attempts: Vec<ActiveAttempt>,
    questions: Vec<PendingQuestion<record::Reply>>,
    loans: Vec<PendingQuestion<u64>>,
    next: u64,
}

impl Inner {
    /// Creates a state with no requests.
    pub const fn new(decisions: traffic::Traffic) -> Self {
        Self {
            decisions,
            requests: Vec::new(),
            attempts: Vec::new(),
            questions: Vec::new(),
            loans: Vec::new(),
            next: 0,
        }
    }

    /// Assigns the id of a request.
    pub const fn next_request(&mut self) -> arrival::RequestId {
        self.next += 1;
        arrival::RequestId(self.next)
    }

    /// Adds a request, which stays until it is settled.
    pub fn admit(
        &mut self,
        id: arrival::RequestId,
        request: Inbound,
        mailbox: async_channel::Sender<peer::FinalResult>,
    ) {
        self.requests.push(PendingRequest {
            id,
            request: Arc::new(request),
            mailbox: Some(mailbox),
        });
    }

    /// Drops the mailbox of a request; returns false if the request is settled or its
    /// mailbox is gone already.
    pub fn abandon(&mut self, id: arrival::RequestId) -> bool {
        match self.requests.binary_search_by_key(&id, |p| p.id) {
            Ok(at) => self.requests[at].mailbox.take().is_some(),
            Err(_) => false,
        }
    }

    /// Returns a request that isn't settled.
    pub fn request(&self, id: arrival::RequestId) -> Option<Arc<Inbound>> {
        let at = self.requests.binary_search_by_key(&id, |p| p.id).ok()?;
        Some(Arc::clone(&self.requests[at].request))
    }

    /// Number of requests whose caller waits.
    pub fn waiting(&self) -> usize {
        self.requests.iter().filter(|p| p.mailbox.is_some()).count()
    }

    /// Removes a request and sends its final answer to the caller, if one waits.
    pub fn settle(&mut self, id: arrival::RequestId, settled: peer::FinalResult) {
        let Ok(at) = self.requests.binary_search_by_key(&id, |p| p.id) else {
            return;
        };
        if let Some(mailbox) = self.requests.remove(at).mailbox {
            // Fails if the receiver was dropped; no caller waits then.
            let _ = mailbox.try_send(settled);
        }
    }

    /// Adds an attempt with its task.
    pub fn add_attempt(
        &mut self,
        id: arrival::AttemptId,
        name: Arc<str>,
        destination: dispatch::Destination,
        task: smol::Task<()>,
    ) {
        let active = ActiveAttempt {
            id,
            name,
            destination,
            _task: task,
        };
        self.attempts.push(active);
    }

    /// Removes an attempt; `None` if it has ended or was cancelled.
    pub fn remove_attempt(&mut self, id: arrival::AttemptId) -> Option<ActiveAttempt> {
        let at = self.attempts.binary_search_by_key(&id, |f| f.id).ok()?;
        Some(self.attempts.remove(at))
    }

    /// Adds a peer's question and assigns its id.
    pub fn add_question(
        &mut self,
        mailbox: async_channel::Sender<record::Reply>,
    ) -> record::QuestionId {
        self.next += 1;
        let id = record::QuestionId(self.next);
        self.questions.push(PendingQuestion { id, mailbox });
        id
    }

    /// Answers a peer's question and removes it.
    pub fn answer_question(&mut self, id: record::QuestionId, reply: record::Reply) {
        answer(&mut self.questions, id, reply);
    }

    /// Adds a peer's loan request and assigns its id.
    pub fn add_loan(&mut self, mailbox: async_channel::Sender<u64>) -> record::QuestionId {
        self.next += 1;
        let id = record::QuestionId(self.next);
        self.loans.push(PendingQuestion { id, mailbox });
        id
    }

    /// Answers a peer's loan request and removes it.
    pub fn answer_loan(&mut self, id: record::QuestionId, amount: u64) {
        answer(&mut self.loans, id, amount);
    }
}

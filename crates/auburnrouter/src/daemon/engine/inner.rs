//! What the engine keeps for each request, attempt and question.
//!
//! Invariant: lists are sorted, since names are handed out in rising order. A
//! request's bytes stay until the decisions settle it, also when its caller
//! has left: what must not repeat is finished and recorded all the same.

use std::sync::Arc;

use steer::process::{dispatch, traffic};
use steer::request::{arrival, record};
use wire::peer;

use crate::daemon::inbound::Inbound;

struct Pending {
    id: arrival::RequestId,
    request: Arc<Inbound>,
    /// `None` once the caller has left.
    mailbox: Option<async_channel::Sender<peer::FinalResult>>,
}

/// An attempt on its way.
pub struct ActiveAttempt {
    id: arrival::AttemptId,
    /// Its name on the wire.
    pub name: Arc<str>,
    /// Where it goes.
    pub destination: dispatch::Destination,
    /// Dropping it drops the attempt's connection.
    _task: smol::Task<()>,
}

/// A peer's question, until it is answered with a `T`.
struct PendingQuestion<T> {
    id: record::QuestionId,
    mailbox: async_channel::Sender<T>,
}

/// Answers a question. The peer may have given up; it then treats the answer as
/// not given.
fn answer<T>(questions: &mut Vec<PendingQuestion<T>>, id: record::QuestionId, with: T) {
    if let Ok(at) = questions.binary_search_by_key(&id, |a| a.id) {
        let _ = questions.remove(at).mailbox.try_send(with);
    }
}

/// The engine's state behind its lock.
pub struct Inner {
    /// The decisions.
    pub decide: traffic::Traffic,
    requests: Vec<Pending>,
    attempts: Vec<ActiveAttempt>,
    questions: Vec<PendingQuestion<record::Reply>>,
    loans: Vec<PendingQuestion<u64>>,
    next: u64,
}

impl Inner {
    /// Nothing in flight.
    pub const fn new(decide: traffic::Traffic) -> Self {
        Self {
            decide,
            requests: Vec::new(),
            attempts: Vec::new(),
            questions: Vec::new(),
            loans: Vec::new(),
            next: 0,
        }
    }

    /// A name for a request.
    pub const fn next_request(&mut self) -> arrival::RequestId {
        self.next += 1;
        arrival::RequestId(self.next)
    }

    /// Keeps a request until it is settled.
    pub fn admit(
        &mut self,
        id: arrival::RequestId,
        request: Inbound,
        mailbox: async_channel::Sender<peer::FinalResult>,
    ) {
        self.requests.push(Pending {
            id,
            request: Arc::new(request),
            mailbox: Some(mailbox),
        });
    }

    /// Forgets who waits for a request; false if it is settled already.
    pub fn abandon(&mut self, id: arrival::RequestId) -> bool {
        match self.requests.binary_search_by_key(&id, |p| p.id) {
            Ok(at) => self.requests[at].mailbox.take().is_some(),
            Err(_) => false,
        }
    }

    /// A request that isn't settled.
    pub fn request(&self, id: arrival::RequestId) -> Option<Arc<Inbound>> {
        let at = self.requests.binary_search_by_key(&id, |p| p.id).ok()?;
        Some(Arc::clone(&self.requests[at].request))
    }

    /// Requests whose caller waits.
    pub fn waiting(&self) -> usize {
        self.requests.iter().filter(|p| p.mailbox.is_some()).count()
    }

    /// Gives a request its settled answer.
    pub fn settle(&mut self, id: arrival::RequestId, settled: peer::FinalResult) {
        let Ok(at) = self.requests.binary_search_by_key(&id, |p| p.id) else {
            return;
        };
        if let Some(mailbox) = self.requests.remove(at).mailbox {
            // Nobody may be waiting any more; then nobody is to be told.
            let _ = mailbox.try_send(settled);
        }
    }

    /// Keeps an attempt's task.
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

    /// Takes an attempt out; `None` if it has ended or was cancelled.
    pub fn remove_attempt(&mut self, id: arrival::AttemptId) -> Option<ActiveAttempt> {
        let at = self.attempts.binary_search_by_key(&id, |f| f.id).ok()?;
        Some(self.attempts.remove(at))
    }

    /// Keeps a peer's question until it is answered.
    pub fn add_question(
        &mut self,
        mailbox: async_channel::Sender<record::Reply>,
    ) -> record::QuestionId {
        self.next += 1;
        let id = record::QuestionId(self.next);
        self.questions.push(PendingQuestion { id, mailbox });
        id
    }

    /// Answers a peer's question.
    pub fn answer_question(&mut self, id: record::QuestionId, reply: record::Reply) {
        answer(&mut self.questions, id, reply);
    }

    /// Keeps a peer's wish for a loan until it is answered.
    pub fn add_loan(&mut self, mailbox: async_channel::Sender<u64>) -> record::QuestionId {
        self.next += 1;
        let id = record::QuestionId(self.next);
        self.loans.push(PendingQuestion { id, mailbox });
        id
    }

    /// Answers a peer's wish for a loan.
    pub fn answer_loan(&mut self, id: record::QuestionId, amount: u64) {
        answer(&mut self.loans, id, amount);
    }
}

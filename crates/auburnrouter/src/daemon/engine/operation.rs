//! Asynchronous actions of the dispatcher.
//!
//! Invariant: an operation with a result reports it at most once; an attempt reports
//! exactly once unless it is cancelled.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use steer::clock::Time;
use steer::process::{dispatch, share, traffic};
use steer::request::{arrival, record};

use super::{Engine, claim};
use crate::daemon::inbound::Inbound;
use crate::daemon::{outbound, peers};

/// Kind and parameters of an operation.
pub enum Kind {
    /// Send a request to a target or a peer.
    Attempt {
        /// Id of the request.
        id: arrival::RequestId,
        /// Id of the attempt.
        attempt: arrival::AttemptId,
        /// Name of the attempt on the wire.
        name: Arc<str>,
        /// Target or peer to send it to.
        destination: dispatch::Destination,
        /// Request to send.
        request: Arc<Inbound>,
    },
    /// Forward a request to the owner of its key.
    Forward {
        /// Id of the request.
        id: arrival::RequestId,
        /// Address of the owner's peer listener.
        addr: SocketAddr,
        /// Request to send.
        request: Arc<Inbound>,
    },
    /// Ask a witness about a key.
    Ask {
        /// Id of the question.
        ask: record::QuestionId,
        /// Address of the witness's peer listener.
        addr: SocketAddr,
        /// The question.
        question: record::Question,
    },
    /// Claim a key in the store, or read its claim.
    Store {
        /// Id of the request.
        id: arrival::RequestId,
        /// The key.
        key: Arc<str>,
        /// Call that creates or reads the claim.
        call: record::StoreCall,
    },
    /// Borrow part of a peer's share of a cap.
    Borrow {
        /// Address of the peer's listener.
        addr: SocketAddr,
        /// Route that the cap applies to.
        route: share::Route,
        /// Amount requested.
        amount: u64,
        /// Time of the decision to borrow.
        asked: Time,
    },
    /// Query a target's load and state.
    Probe {
        /// Name of the target.
        target: Arc<str>,
        /// Address of the target.
        addr: SocketAddr,
    },
    /// Report to the peers how many targets broke under a request.
    Suspect {
        /// Fingerprint of the request.
        fingerprint: arrival::Fingerprint,
        /// Number of targets that broke.
        strikes: u8,
    },
    /// Notify a target that an attempt was cancelled.
    Cancel {
        /// Address of the target.
        addr: SocketAddr,
        /// Name of the attempt on the wire.
        name: Arc<str>,
    },
}

/// An operation in progress.
pub struct Operation {
    /// Engine that gets the result.
    pub engine: Arc<Engine>,
    /// Kind and parameters.
    pub kind: Kind,
    /// Time limit.
    pub budget: Duration,
}

impl Operation {
    /// Executes the operation and reports its result to the engine.
    pub async fn run(self) {
        let Self {
            engine,
            kind,
            budget,
        } = self;
        match kind {
            Kind::Attempt {
                id,
                attempt,
                name,
                destination,
                request,
            } => {
                let result = engine
                    .send_attempt(&destination, &name, &request, budget)
                    .await;
                engine.finish_attempt(id, attempt, &destination, result);
            }
            Kind::Forward { id, addr, request } => {
                let peers = &engine.resources.peers;
                let outcome = peers
                    .forward(addr, &request, budget, engine.hop(true))
                    .await;
                engine.report(traffic::Event::Forwarded { id, outcome });
            }
            Kind::Ask {
                ask,
                addr,
                question,
            } => {
                let reply = engine.resources.peers.ask(addr, &question, budget).await;
                engine.report(traffic::Event::AskEnded { ask, reply });
            }
            Kind::Store { id, key, call } => {
                let result = claim::settle(&*engine.resources.store, &key, call, budget).await;
                engine.report(traffic::Event::Stored { id, result });
            }
            Kind::Borrow {
                addr,
                route,
                amount,
                asked,
            } => {
                let peers = &engine.resources.peers;
                let lent = peers.borrow(addr, &route, amount, budget).await;
                if let Some(amount) = lent {
                    engine.report(traffic::Event::LoanGranted {
                        route,
                        amount,
                        asked_at: asked,
                    });
                }
            }
            Kind::Probe { target, addr } => {
                let report = engine.resources.outbound.probe(addr, budget).await;
                engine.report(traffic::Event::Probed { target, report });
            }
            Kind::Suspect {
                fingerprint,
                strikes,
            } => {
                let peers = engine.peer_addrs.load();
                let digest = fingerprint;
                engine
                    .resources
                    .peers
                    .suspect(&peers, digest, strikes, budget);
            }
            Kind::Cancel { addr, name } => engine.resources.outbound.cancel(addr, &name).await,
        }
    }
}

impl Engine {
    async fn send_attempt(
        &self,
        destination: &dispatch::Destination,
        name: &str,
        request: &Inbound,
        budget: Duration,
    ) -> outbound::AttemptResult {
        match destination {
            dispatch::Destination::Target { addr, .. } => {
                let attempt = outbound::Attempt {
                    name,
                    addr: *addr,
                    request,
                    budget,
                };
                self.resources.outbound.send(attempt).await
            }
            dispatch::Destination::Member { peer, .. } => {
                let peers = &self.resources.peers;
                let outcome = peers.forward(*peer, request, budget, self.hop(false)).await;
                outcome.into()
            }
        }
    }

    fn finish_attempt(
        &self,
        id: arrival::RequestId,
        attempt: arrival::AttemptId,
        destination: &dispatch::Destination,
        result: outbound::AttemptResult,
    ) {
        let mut inner = self.lock();
        let Some(active) = inner.remove_attempt(attempt) else {
            return;
        };
        if let Some(report) = result.report {
            let target = Arc::clone(destination.name());
            self.handle(&mut inner, traffic::Event::Report { target, report });
        }
        let event = traffic::Event::Ended {
            id,
            attempt,
            outcome: result.outcome,
        };
        self.handle(&mut inner, event);
        drop(inner);
        // `active` owns the task that runs this function. Dropping it earlier would
        // cancel the task before the report.
        drop(active);
    }

    /// Describes a hop to the peer that receives the request.
    fn hop(&self, owned: bool) -> peers::Hop {
        let region = self.region.load();
        let via = region.as_ref().map(|name| Arc::clone(&**name));
        peers::Hop { owned, via }
    }

    fn report(&self, event: traffic::Event) {
        self.handle(&mut self.lock(), event);
    }
}

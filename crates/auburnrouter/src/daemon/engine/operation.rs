//! One action that takes time: carried out, then reported to the decisions.
//!
//! Invariant: an operation reports exactly once, unless it is cancelled.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use steer::clock::Time;
use steer::process::{dispatch, share, traffic};
use steer::request::{arrival, record};

use super::{Engine, claim};
use crate::daemon::inbound::Inbound;
use crate::daemon::{outbound, peers};

/// What is to be done.
pub enum Kind {
    /// Send a request to a destination.
    Attempt {
        /// The request's name.
        id: arrival::RequestId,
        /// The attempt's name.
        attempt: arrival::AttemptId,
        /// Its name on the wire.
        name: Arc<str>,
        /// Where to.
        destination: dispatch::Destination,
        /// What to send.
        request: Arc<Inbound>,
    },
    /// Send a request to its key's owner.
    Forward {
        /// The request's name.
        id: arrival::RequestId,
        /// Where the owner listens.
        addr: SocketAddr,
        /// What to send.
        request: Arc<Inbound>,
    },
    /// Ask a witness.
    Ask {
        /// The question's name.
        ask: record::QuestionId,
        /// Where the witness listens.
        addr: SocketAddr,
        /// The question.
        question: record::Question,
    },
    /// Claim a key in the store, or read its claim.
    Store {
        /// The request's name.
        id: arrival::RequestId,
        /// The key.
        key: Arc<str>,
        /// The call.
        call: record::StoreCall,
    },
    /// Ask a peer for a part of a cap.
    Borrow {
        /// Where the peer listens.
        addr: SocketAddr,
        /// The cap.
        route: share::Route,
        /// How much of it.
        amount: u64,
        /// When the decision was made.
        asked: Time,
    },
    /// Ask a target how it is.
    Probe {
        /// Its name.
        target: Arc<str>,
        /// Where it listens.
        addr: SocketAddr,
    },
    /// Tell the peers how many targets broke under a request.
    Suspect {
        /// The request's fingerprint.
        fingerprint: arrival::Fingerprint,
        /// Targets that broke.
        strikes: u8,
    },
    /// Tell a target that an answer is no longer wanted.
    Cancel {
        /// Where the target listens.
        addr: SocketAddr,
        /// The attempt's name on the wire.
        name: Arc<str>,
    },
}

/// An action under way.
pub struct Operation {
    /// Whom to report to.
    pub engine: Arc<Engine>,
    /// What to do.
    pub kind: Kind,
    /// Time for it.
    pub budget: Duration,
}

impl Operation {
    /// Carries it out and reports.
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
                let ended = engine
                    .send_attempt(&destination, &name, &request, budget)
                    .await;
                engine.finish_attempt(id, attempt, &destination, ended);
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
        ended: outbound::AttemptResult,
    ) {
        let mut inner = self.lock();
        let Some(active) = inner.remove_attempt(attempt) else {
            return;
        };
        if let Some(report) = ended.report {
            let target = Arc::clone(destination.name());
            self.handle(&mut inner, traffic::Event::Report { target, report });
        }
        let event = traffic::Event::Ended {
            id,
            attempt,
            outcome: ended.outcome,
        };
        self.handle(&mut inner, event);
        drop(inner);
        // The attempt holds the very task that runs this; dropped any earlier,
        // it would be cancelled in the middle of its report.
        drop(active);
    }

    /// What a peer is told of a hop.
    fn hop(&self, owned: bool) -> peers::Hop {
        let region = self.region.load();
        let via = region.as_ref().map(|name| Arc::clone(&**name));
        peers::Hop { owned, via }
    }

    fn report(&self, event: traffic::Event) {
        self.handle(&mut self.lock(), event);
    }
}

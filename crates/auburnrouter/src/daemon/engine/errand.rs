//! One action that takes time: carried out, then reported to the decisions.
//!
//! Invariant: an errand reports exactly once, unless it is cancelled.

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
    /// Send a request to a place.
    Attempt {
        /// The request's name.
        id: arrival::RequestId,
        /// The attempt's name.
        attempt: arrival::AttemptId,
        /// Its name on the wire.
        name: Arc<str>,
        /// Where to.
        place: dispatch::Destination,
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
pub struct Errand {
    /// Whom to report to.
    pub engine: Arc<Engine>,
    /// What to do.
    pub kind: Kind,
    /// Time for it.
    pub budget: Duration,
}

impl Errand {
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
                place,
                request,
            } => {
                let ended = engine.carry(&place, &name, &request, budget).await;
                engine.ended(id, attempt, &place, ended);
            }
            Kind::Forward { id, addr, request } => {
                let calls = &engine.means.peers;
                let ending = calls
                    .forward(addr, &request, budget, engine.hop(true))
                    .await;
                engine.report(traffic::Event::Forwarded {
                    id,
                    outcome: ending,
                });
            }
            Kind::Ask {
                ask,
                addr,
                question,
            } => {
                let word = engine.means.peers.ask(addr, &question, budget).await;
                engine.report(traffic::Event::AskEnded { ask, reply: word });
            }
            Kind::Store { id, key, call } => {
                let result = claim::settle(&*engine.means.store, &key, call, budget).await;
                engine.report(traffic::Event::Stored { id, result });
            }
            Kind::Borrow {
                addr,
                route,
                amount,
                asked,
            } => {
                let calls = &engine.means.peers;
                let lent = calls.borrow(addr, &route, amount, budget).await;
                if let Some(amount) = lent {
                    engine.report(traffic::Event::LoanGranted {
                        route,
                        amount,
                        asked_at: asked,
                    });
                }
            }
            Kind::Probe { target, addr } => {
                let report = engine.means.outbound.probe(addr, budget).await;
                engine.report(traffic::Event::Probed { target, report });
            }
            Kind::Suspect {
                fingerprint,
                strikes,
            } => {
                let peers = engine.others.load();
                let print = fingerprint;
                engine.means.peers.suspect(&peers, print, strikes, budget);
            }
            Kind::Cancel { addr, name } => engine.means.outbound.cancel(addr, &name).await,
        }
    }
}

impl Engine {
    async fn carry(
        &self,
        place: &dispatch::Destination,
        name: &str,
        request: &Inbound,
        budget: Duration,
    ) -> outbound::Ended {
        match place {
            dispatch::Destination::Target { addr, .. } => {
                let attempt = outbound::Attempt {
                    name,
                    addr: *addr,
                    request,
                    budget,
                };
                self.means.outbound.send(attempt).await
            }
            dispatch::Destination::Member { peer, .. } => {
                let calls = &self.means.peers;
                let ending = calls.forward(*peer, request, budget, self.hop(false)).await;
                ending.into()
            }
        }
    }

    fn ended(
        &self,
        id: arrival::RequestId,
        attempt: arrival::AttemptId,
        place: &dispatch::Destination,
        ended: outbound::Ended,
    ) {
        let mut inner = self.lock();
        let Some(flight) = inner.land(attempt) else {
            return;
        };
        if let Some(report) = ended.report {
            let target = Arc::clone(place.name());
            self.handle(&mut inner, traffic::Event::Report { target, report });
        }
        let event = traffic::Event::Ended {
            id,
            attempt,
            outcome: ended.ending,
        };
        self.handle(&mut inner, event);
        drop(inner);
        // The flight holds the very task that runs this; dropped any earlier,
        // it would be cancelled in the middle of its report.
        drop(flight);
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

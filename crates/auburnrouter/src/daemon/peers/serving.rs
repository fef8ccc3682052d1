//! Serves peers' calls.
//!
//! Invariant: requests run on the traffic threads and control messages on the control
//! thread, so that heartbeats don't queue behind requests.

use std::sync::Arc;
use std::time::Duration;

use async_compat::CompatExt;
use futures_lite::{StreamExt, future};
use intent::document;
use settings::secret::Secret;
use smol::net;
use steer::process::config;
use steer::process::control::message;
use steer::request::arrival;
use tarpc::server::{self, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{context, serde_transport};
use trillium_http::Stopper;
use wire::{heartbeat, peer, witness};

use super::{ConnectionKind, Peer, frames, handshake};
use crate::daemon::control;
use crate::daemon::engine::{Engine, RequestOptions};
use crate::daemon::inbound::Inbound;
use crate::daemon::workers::Executor;

/// Pause after a failed accept. When file descriptors run out, an immediate retry
/// would spin until some are closed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// State of the peers' listener.
#[derive(Clone)]
pub struct Service {
    /// Secret shared by all entry instances.
    pub secret: Secret,
    /// Engine that serves forwarded requests.
    pub engine: Arc<Engine>,
    /// Receiver of control messages.
    pub control: control::Handle,
    /// Executor of connections for requests.
    pub traffic_executor: Executor,
    /// Executor of connections for control.
    pub control_executor: Executor,
}

/// Accepts connections until stopped; calls in progress continue.
pub async fn serve(socket: net::TcpListener, service: Service, stopper: Stopper) {
    loop {
        let accepted = async { Some(socket.accept().await) };
        let end = async {
            stopper.clone().await;
            None
        };
        match future::or(end, accepted).await {
            None => return,
            Some(Err(_)) => {
                smol::Timer::after(ACCEPT_PAUSE).await;
            }
            Some(Ok((stream, _))) => {
                let service = service.clone();
                let control_executor = Arc::clone(&service.control_executor);
                control_executor
                    .spawn(authenticate(stream, service))
                    .detach();
            }
        }
    }
}

async fn authenticate(mut stream: net::TcpStream, service: Service) {
    // Not fatal: without it answers are only delayed a little.
    let _ = stream.set_nodelay(true);
    let Ok(kind) = handshake::accept(&mut stream, &service.secret).await else {
        return;
    };
    let executor = match kind {
        ConnectionKind::Traffic => Arc::clone(&service.traffic_executor),
        ConnectionKind::Control => Arc::clone(&service.control_executor),
    };
    let peer_server = PeerServer {
        engine: service.engine,
        control: service.control,
    };
    let serve = connection(stream, peer_server, Arc::clone(&executor));
    executor.spawn(serve).detach();
}

async fn connection(stream: net::TcpStream, peer_server: PeerServer, executor: Executor) {
    let transport = serde_transport::new(frames(stream), Bincode::default());
    let channel = server::BaseChannel::with_defaults(transport);
    let calls = channel.execute(peer_server.serve());
    let run = async move {
        let mut calls = std::pin::pin!(calls);
        while let Some(call) = calls.next().await {
            executor.spawn(call.compat()).detach();
        }
    };
    run.compat().await;
}

#[derive(Clone)]
struct PeerServer {
    engine: Arc<Engine>,
    control: control::Handle,
}

impl Peer for PeerServer {
    async fn forward(self, _: context::Context, forward: peer::Forward) -> peer::Forwarded {
        let origin = if forward.owned {
            arrival::Origin::Forward
        } else {
            arrival::Origin::Peer
        };
        let options = RequestOptions {
            deadline: Some(Duration::from_millis(forward.deadline_ms)),
            origin,
            via: forward.sender_region.as_deref().map(Arc::from),
        };
        let settled = self.engine.serve(incoming(forward), options).await;
        peer::Forwarded::from(&settled)
    }

    async fn tell(self, _: context::Context, message: Vec<u8>) {
        // A malformed message is dropped; senders tolerate the loss of messages.
        let Ok(message) = heartbeat::Message::decode(&message) else {
            return;
        };
        if let Ok(message) = message::Message::try_from(message)
            && has_valid_hashes(&message)
        {
            self.control.receive(message);
        }
    }

    async fn who(self, _: context::Context) -> peer::PeerInfo {
        let identity = self.control.identity();
        peer::PeerInfo {
            name: identity.name.as_ref().to_owned(),
            domain: identity.domain.as_ref().to_owned(),
            peer: identity.peer,
            version: self.control.version(),
        }
    }

    async fn suspect(self, _: context::Context, suspect: peer::Suspect) {
        let fingerprint = arrival::Fingerprint(suspect.fingerprint);
        self.engine.handle_suspect(fingerprint, suspect.strikes);
    }

    async fn lend(self, _: context::Context, route: wire::share::Route, amount: u64) -> u64 {
        self.engine.lend(route.into(), amount).await
    }

    async fn witness(
        self,
        _: context::Context,
        question: witness::Question,
    ) -> Option<witness::Reply> {
        let reply = self.engine.witness(question.into()).await?;
        Some(reply.into())
    }
}

/// Returns true if each body in a message matches its hash. Control relies on it and
/// would otherwise install content that was never accepted.
fn has_valid_hashes(message: &message::Message) -> bool {
    match &message.content {
        message::Content::Bodies(bodies) => {
            let is_valid = |b: &config::Body| document::hash(&b.bytes) == b.hash;
            bodies.iter().all(is_valid)
        }
        _ => true,
    }
}

fn incoming(forward: peer::Forward) -> Inbound {
    let headers = forward.headers.into_iter();
    Inbound {
        service: forward.service.into(),
        method: forward.method.into(),
        path: forward.path.into(),
        headers: headers.map(|h| (h.name.into(), h.value.into())).collect(),
        body: forward.body.into(),
        caller: forward.caller.into(),
        key: forward.key.map(Into::into),
        caller_region: forward.caller_region.map(Into::into),
    }
}

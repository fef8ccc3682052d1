//! Calls taken from peers.
//!
//! Invariant: requests run on the traffic threads and control's messages on the
//! control thread, so that heartbeats don't wait behind requests.

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

use super::{Lane, Peer, frames, handshake};
use crate::daemon::control;
use crate::daemon::engine::{Engine, Terms};
use crate::daemon::inbound::Inbound;
use crate::daemon::workers::Executor;

/// Pause after a failed accept: descriptors ran out, and trying at once would
/// spin until some are returned.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What serving peers needs.
#[derive(Clone)]
pub struct Serving {
    /// What both ends have to know.
    pub secret: Secret,
    /// Where requests go.
    pub engine: Arc<Engine>,
    /// Where messages of control go.
    pub control: control::Handle,
    /// Where connections for requests run.
    pub traffic: Executor,
    /// Where connections for control run, so that heartbeats don't wait behind
    /// requests.
    pub steering: Executor,
}

/// Takes calls until stopped; calls in progress go on.
pub async fn serve(socket: net::TcpListener, serving: Serving, stopper: Stopper) {
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
                let serving = serving.clone();
                let steering = Arc::clone(&serving.steering);
                steering.spawn(greet(stream, serving)).detach();
            }
        }
    }
}

async fn greet(mut stream: net::TcpStream, serving: Serving) {
    // Not fatal: answers are only a little later without it.
    let _ = stream.set_nodelay(true);
    let Ok(lane) = handshake::demand(&mut stream, &serving.secret).await else {
        return;
    };
    let executor = match lane {
        Lane::Traffic => Arc::clone(&serving.traffic),
        Lane::Control => Arc::clone(&serving.steering),
    };
    let answering = Answering {
        engine: serving.engine,
        control: serving.control,
    };
    let serve = connection(stream, answering, Arc::clone(&executor));
    executor.spawn(serve).detach();
}

async fn connection(stream: net::TcpStream, answering: Answering, executor: Executor) {
    let transport = serde_transport::new(frames(stream), Bincode::default());
    let channel = server::BaseChannel::with_defaults(transport);
    let calls = channel.execute(answering.serve());
    let run = async move {
        let mut calls = std::pin::pin!(calls);
        while let Some(call) = calls.next().await {
            executor.spawn(call.compat()).detach();
        }
    };
    run.compat().await;
}

#[derive(Clone)]
struct Answering {
    engine: Arc<Engine>,
    control: control::Handle,
}

impl Peer for Answering {
    async fn forward(self, _: context::Context, forward: peer::Forward) -> peer::Forwarded {
        let origin = if forward.owned {
            arrival::Origin::Forward
        } else {
            arrival::Origin::Peer
        };
        let terms = Terms {
            deadline: Some(Duration::from_millis(forward.deadline_ms)),
            origin,
            via: forward.via.as_deref().map(Arc::from),
        };
        let settled = self.engine.serve(incoming(forward), terms).await;
        peer::Forwarded::from(&settled)
    }

    async fn tell(self, _: context::Context, message: Vec<u8>) {
        // What can't be read is as good as lost.
        let Ok(message) = heartbeat::Message::decode(&message) else {
            return;
        };
        if let Ok(message) = message::Message::try_from(message)
            && is_whole(&message)
        {
            self.control.receive(message);
        }
    }

    async fn who(self, _: context::Context) -> peer::Who {
        let me = self.control.identity();
        peer::Who {
            name: me.name.as_ref().to_owned(),
            domain: me.domain.as_ref().to_owned(),
            peer: me.peer,
            version: self.control.version(),
        }
    }

    async fn suspect(self, _: context::Context, suspect: peer::Suspect) {
        let print = arrival::Fingerprint(suspect.fingerprint);
        self.engine.suspected(print, suspect.strikes);
    }

    async fn lend(self, _: context::Context, route: wire::share::Route, amount: u64) -> u64 {
        self.engine.lend(route.into(), amount).await
    }

    async fn witness(
        self,
        _: context::Context,
        question: witness::Question,
    ) -> Option<witness::Word> {
        let word = self.engine.witness(question.into()).await?;
        Some(word.into())
    }
}

/// Whether each body in a message has the hash that it claims: control trusts
/// that, and would otherwise install what nobody accepted.
fn is_whole(message: &message::Message) -> bool {
    match &message.content {
        message::Content::Bodies(bodies) => {
            let right = |b: &config::Body| document::hash(&b.bytes) == b.hash;
            bodies.iter().all(right)
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
        home: forward.home.map(Into::into),
    }
}

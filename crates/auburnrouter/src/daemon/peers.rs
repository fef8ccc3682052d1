//! Calls between entry instances, by `tarpc` over TCP.
//!
//! The library's futures want the timer context of another runtime; each is
//! wrapped in a compatibility layer that provides it.
//!
//! Invariant: no call is taken or made on a connection before both ends have
//! shown that they know the shared secret.

mod handshake;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_compat::{Compat, CompatExt};
use futures_lite::{StreamExt, future};
use intent::instance;
use settings::secret::Secret;
use smol::net;
use steer::process::dispatch;
use steer::request::{arrival, record};
use steer::version::view;
use tarpc::server::{self, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tarpc::{client, context, serde_transport};
use trillium_http::Stopper;
use wire::{peer, witness};

use super::engine::{Engine, Terms};
use super::inbound::Inbound;
use super::workers::Executor;

/// Calls an entry instance takes from its peers.
#[tarpc::service]
pub trait Peer {
    /// Runs a request that another domain's entry instance passes on.
    async fn forward(request: peer::Forward) -> peer::Forwarded;

    /// Tells of itself and hears of the other end.
    async fn meet(member: peer::Member) -> peer::Member;

    /// Hears how many targets broke under a request.
    async fn suspect(suspect: peer::Suspect);

    /// Answers as a witness; `None` if this process is ending.
    async fn witness(question: witness::Question) -> Option<witness::Word>;
}

/// Time for a connection to a peer to open.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// Longest message in bytes.
const MESSAGE_MAX: usize = 20 << 20;

/// A peer whose connection is open.
struct Known {
    addr: SocketAddr,
    client: PeerClient,
}

/// Connections to peers, sorted by address.
pub struct Peers {
    executor: Executor,
    secret: Secret,
    known: Mutex<Vec<Known>>,
}

impl Peers {
    /// No connections yet.
    #[must_use]
    pub const fn new(executor: Executor, secret: Secret) -> Self {
        Self {
            executor,
            secret,
            known: Mutex::new(Vec::new()),
        }
    }

    /// Passes a request on and waits for what becomes of it. `owned` says that
    /// the other end is asked as the owner of the request's key.
    pub async fn forward(
        &self,
        addr: SocketAddr,
        request: &Inbound,
        budget: Duration,
        owned: bool,
    ) -> dispatch::Ending {
        let forward = outgoing(request, budget, owned);
        let Some(client) = self.client(addr).await else {
            return dispatch::Ending::Unreachable;
        };
        let call = client.forward(context(budget), forward).compat();
        match call.await {
            Ok(forwarded) => ending(forwarded),
            Err(client::RpcError::DeadlineExceeded) => dispatch::Ending::TimedOut,
            Err(_) => {
                self.forget(addr);
                dispatch::Ending::Broken
            }
        }
    }

    /// Tells a peer of this process and hears of it.
    pub async fn meet(
        &self,
        addr: SocketAddr,
        me: instance::Member,
    ) -> Option<Vec<instance::Member>> {
        let late = async {
            smol::Timer::after(CONNECT_TIME).await;
            None
        };
        let met = async {
            let client = self.client(addr).await?;
            let call = client.meet(context(CONNECT_TIME), spoken(&me)).compat();
            let Ok(member) = call.await else {
                self.forget(addr);
                return None;
            };
            Some(vec![heard(member)])
        };
        future::or(met, late).await
    }

    /// Asks a witness; `None` if no answer came.
    pub async fn ask(
        &self,
        addr: SocketAddr,
        question: &record::Question,
        budget: Duration,
    ) -> Option<record::Word> {
        let late = async {
            smol::Timer::after(budget).await;
            None
        };
        let asked = async {
            let client = self.client(addr).await?;
            let call = client.witness(context(budget), question.into()).compat();
            let Ok(word) = call.await else {
                self.forget(addr);
                return None;
            };
            word.map(record::Word::from)
        };
        future::or(asked, late).await
    }

    /// Tells every peer known how many targets broke under a request. Best
    /// effort: whoever misses it finds out by two targets of its own.
    pub async fn suspect(&self, print: arrival::Fingerprint, strikes: u8, budget: Duration) {
        let clients: Vec<PeerClient> = {
            let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
            known.iter().map(|k| k.client.clone()).collect()
        };
        for client in clients {
            let word = peer::Suspect {
                fingerprint: print.0,
                strikes,
            };
            let tell = async move {
                // A peer that can't be told is found out by other means.
                let _ = client.suspect(context(budget), word).await;
            };
            self.executor.spawn(tell.compat()).detach();
        }
    }

    async fn client(&self, addr: SocketAddr) -> Option<PeerClient> {
        if let Some(client) = self.find(addr) {
            return Some(client);
        }
        let late = async {
            smol::Timer::after(CONNECT_TIME).await;
            None
        };
        let client = future::or(self.connect(addr), late).await?;
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let client_too = client.clone();
        match known.binary_search_by_key(&addr, |k| k.addr) {
            Ok(at) => known[at].client = client_too,
            Err(at) => known.insert(
                at,
                Known {
                    addr,
                    client: client_too,
                },
            ),
        }
        Some(client)
    }

    fn find(&self, addr: SocketAddr) -> Option<PeerClient> {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let at = known.binary_search_by_key(&addr, |k| k.addr).ok()?;
        Some(known[at].client.clone())
    }

    fn forget(&self, addr: SocketAddr) {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        if let Ok(at) = known.binary_search_by_key(&addr, |k| k.addr) {
            known.remove(at);
        }
    }

    async fn connect(&self, addr: SocketAddr) -> Option<PeerClient> {
        let mut stream = net::TcpStream::connect(addr).await.ok()?;
        // Not fatal: calls are only a little later without it.
        let _ = stream.set_nodelay(true);
        handshake::offer(&mut stream, &self.secret).await.ok()?;
        let transport = serde_transport::new(frames(stream), Bincode::default());
        let new = PeerClient::new(client::Config::default(), transport);
        let dispatch = new.dispatch.compat();
        let run = async {
            // Every call on a connection that ends gets an error of its own.
            let _ = dispatch.await;
        };
        self.executor.spawn(run).detach();
        Some(new.client)
    }
}

type Frames = tarpc::tokio_util::codec::Framed<Compat<net::TcpStream>, LengthDelimitedCodec>;

fn frames(stream: net::TcpStream) -> Frames {
    LengthDelimitedCodec::builder()
        .max_frame_length(MESSAGE_MAX)
        .new_framed(Compat::new(stream))
}

fn context(budget: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + budget;
    context
}

fn outgoing(request: &Inbound, budget: Duration, owned: bool) -> peer::Forward {
    let header = |(name, value): &(Arc<str>, Arc<str>)| peer::Header {
        name: name.as_ref().to_owned(),
        value: value.as_ref().to_owned(),
    };
    peer::Forward {
        service: request.service.as_ref().to_owned(),
        method: request.method.as_ref().to_owned(),
        path: request.path.as_ref().to_owned(),
        headers: request.headers.iter().map(header).collect(),
        body: request.body.to_vec(),
        caller: request.caller.as_ref().to_owned(),
        key: request.key.as_deref().map(str::to_owned),
        deadline_ms: u64::try_from(budget.as_millis()).unwrap_or(u64::MAX),
        owned,
    }
}

fn ending(forwarded: peer::Forwarded) -> dispatch::Ending {
    match peer::Settled::try_from(forwarded) {
        Ok(Ok(answer)) => dispatch::Ending::Answered(answer),
        Ok(Err(refusal)) => dispatch::Ending::PeerRefused(refusal),
        Err(_) => dispatch::Ending::BadAnswer,
    }
}

/// Says what this process tells of itself.
pub type Myself = Arc<dyn Fn(SocketAddr) -> peer::Member + Send + Sync>;

/// Takes calls until stopped; calls in progress go on.
pub async fn serve(
    socket: net::TcpListener,
    secret: Secret,
    engine: Arc<Engine>,
    myself: Myself,
    executor: Executor,
    stopper: Stopper,
) {
    loop {
        let accepted = async { Some(socket.accept().await) };
        let end = async {
            stopper.clone().await;
            None
        };
        match future::or(end, accepted).await {
            None => return,
            Some(Err(_)) => {
                smol::Timer::after(Duration::from_millis(20)).await;
            }
            Some(Ok((stream, _))) => {
                let answer = Answering {
                    engine: Arc::clone(&engine),
                    myself: Arc::clone(&myself),
                };
                let serve = connection(stream, secret.clone(), answer, Arc::clone(&executor));
                executor.spawn(serve).detach();
            }
        }
    }
}

async fn connection(
    mut stream: net::TcpStream,
    secret: Secret,
    answering: Answering,
    executor: Executor,
) {
    let _ = stream.set_nodelay(true);
    if handshake::demand(&mut stream, &secret).await.is_err() {
        return;
    }
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
    myself: Myself,
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
        };
        let settled = self.engine.serve(incoming(forward), terms).await;
        peer::Forwarded::from(&settled)
    }

    async fn meet(self, _: context::Context, met: peer::Member) -> peer::Member {
        (self.myself)(met.peer)
    }

    async fn suspect(self, _: context::Context, suspect: peer::Suspect) {
        let print = arrival::Fingerprint(suspect.fingerprint);
        self.engine.suspected(print, suspect.strikes);
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

/// What a process tells of itself.
pub fn spoken(member: &instance::Member) -> peer::Member {
    peer::Member {
        name: member.name.as_ref().to_owned(),
        incarnation: member.incarnation.0,
        domain: member.domain.as_ref().to_owned(),
        addr: member.addr,
        peer: member.peer,
        leaving: member.state == view::State::Leaving,
    }
}

fn heard(member: peer::Member) -> instance::Member {
    let state = if member.leaving {
        view::State::Leaving
    } else {
        view::State::Live
    };
    instance::Member {
        name: member.name.into(),
        incarnation: view::Incarnation(member.incarnation),
        domain: member.domain.into(),
        addr: member.addr,
        peer: member.peer,
        state,
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
    }
}

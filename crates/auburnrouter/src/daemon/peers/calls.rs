//! Calls made to peers.
//!
//! Invariant: [`dispatch::AttemptOutcome::Unreachable`] is only said when nothing of
//! the request left; a connection on which a call got no answer in time is not
//! used again, since whatever it waits for may never come.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_compat::CompatExt;
use futures_lite::future;
use settings::secret::Secret;
use smol::net;
use steer::process::control::message;
use steer::process::{dispatch, share};
use steer::request::{arrival, record};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, serde_transport};
use wire::{heartbeat, peer};

use super::{Lane, PeerClient, context, frames, handshake};
use crate::daemon::inbound::Inbound;
use crate::daemon::workers::Executor;

/// Time for a connection to a peer to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for a message of control to be taken.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between looks at messages still under way.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A peer whose connection is open.
struct Connection {
    addr: SocketAddr,
    client: PeerClient,
}

/// What the other end is told of a request's hop.
#[derive(Clone, Debug)]
pub struct Hop {
    /// Whether it is asked as the owner of the request's key.
    pub owned: bool,
    /// Name of this process's region, if known.
    pub via: Option<Arc<str>>,
}

/// Bytes and messages of control sent by this process.
#[derive(Debug, Default)]
pub struct Counts {
    messages: AtomicU64,
    bytes: AtomicU64,
}

impl Counts {
    fn sent(&self, bytes: usize) {
        self.messages.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Messages sent.
    pub fn messages(&self) -> u64 {
        self.messages.load(Ordering::Relaxed)
    }

    /// Bytes sent, without the framing of calls.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

/// Counts a message for as long as it is under way.
struct SendGuard(Arc<AtomicUsize>);

impl SendGuard {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(count))
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Connections to peers, sorted by address.
pub struct Peers {
    executor: Executor,
    secret: Secret,
    lane: Lane,
    connections: Mutex<Vec<Connection>>,
    sending: Arc<AtomicUsize>,
    counts: Counts,
}

impl Peers {
    /// No connections yet.
    #[must_use]
    pub fn new(executor: Executor, secret: Secret, lane: Lane) -> Self {
        Self {
            executor,
            secret,
            lane,
            connections: Mutex::new(Vec::new()),
            sending: Arc::default(),
            counts: Counts::default(),
        }
    }

    /// What was sent so far.
    #[must_use]
    pub const fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Passes a request on and waits for what becomes of it.
    pub async fn forward(
        &self,
        addr: SocketAddr,
        request: &Inbound,
        budget: Duration,
        hop: Hop,
    ) -> dispatch::AttemptOutcome {
        let forward = outgoing(request, budget, &hop);
        let Some(client) = self.client(addr).await else {
            return dispatch::AttemptOutcome::Unreachable;
        };
        let call = client.forward(context(budget), forward).compat();
        match call.await {
            Ok(forwarded) => attempt_outcome(forwarded),
            Err(client::RpcError::DeadlineExceeded) => {
                self.forget(addr);
                dispatch::AttemptOutcome::TimedOut
            }
            Err(_) => {
                self.forget(addr);
                dispatch::AttemptOutcome::Broken
            }
        }
    }

    /// Sends a message of control; it may be lost.
    pub fn tell(self: &Arc<Self>, to: SocketAddr, message: &message::Message) {
        let Ok(bytes) = heartbeat::Message::from(message).encode() else {
            return;
        };
        self.counts.sent(bytes.len());
        let peers = Arc::clone(self);
        let sending = SendGuard::new(&self.sending);
        let work = async move {
            let _sending = sending;
            let Some(client) = peers.client(to).await else {
                return;
            };
            let call = client.tell(context(SEND_TIMEOUT), bytes);
            if call.await.is_err() {
                peers.forget(to);
            }
        };
        self.executor.spawn(work.compat()).detach();
    }

    /// Waits until messages under way have left, or had their time.
    pub async fn flush(&self) {
        let until = Instant::now() + SEND_TIMEOUT;
        while self.sending.load(Ordering::Relaxed) > 0 && Instant::now() < until {
            smol::Timer::after(FLUSH_POLL_INTERVAL).await;
        }
    }

    /// Asks who listens at an address.
    pub async fn who(&self, addr: SocketAddr) -> Option<peer::Who> {
        let client = self.client(addr).await?;
        let call = client.who(context(CONNECT_TIMEOUT)).compat();
        let Ok(who) = call.await else {
            self.forget(addr);
            return None;
        };
        Some(who)
    }

    /// Asks a witness; `None` if no answer came.
    pub async fn ask(
        &self,
        addr: SocketAddr,
        question: &record::Question,
        budget: Duration,
    ) -> Option<record::Reply> {
        let late = async {
            smol::Timer::after(budget).await;
            None
        };
        let exchange = async {
            let client = self.client(addr).await?;
            let call = client.witness(context(budget), question.into()).compat();
            let Ok(reply) = call.await else {
                self.forget(addr);
                return None;
            };
            reply.map(record::Reply::from)
        };
        let reply = future::or(exchange, late).await;
        if reply.is_none() {
            self.forget(addr);
        }
        reply
    }

    /// Asks a peer for a part of a cap; `None` if it lends none in time.
    pub async fn borrow(
        &self,
        addr: SocketAddr,
        route: &share::Route,
        amount: u64,
        budget: Duration,
    ) -> Option<u64> {
        let client = self.client(addr).await?;
        let call = client.lend(context(budget), route.into(), amount).compat();
        call.await.ok().filter(|&lent| lent > 0)
    }

    /// Tells peers how many targets broke under a request. Best effort: whoever
    /// misses it finds out by two targets of its own.
    pub fn suspect(
        self: &Arc<Self>,
        to: &[SocketAddr],
        fingerprint: arrival::Fingerprint,
        strikes: u8,
        budget: Duration,
    ) {
        let suspect = peer::Suspect {
            fingerprint: fingerprint.0,
            strikes,
        };
        for &addr in to {
            let peers = Arc::clone(self);
            let send = async move {
                if let Some(client) = peers.client(addr).await {
                    // A peer that can't be told is found out by other means.
                    let _ = client.suspect(context(budget), suspect).await;
                }
            };
            self.executor.spawn(send.compat()).detach();
        }
    }

    async fn client(&self, addr: SocketAddr) -> Option<PeerClient> {
        if let Some(client) = self.find(addr) {
            return Some(client);
        }
        let late = async {
            smol::Timer::after(CONNECT_TIMEOUT).await;
            None
        };
        let client = future::or(self.connect(addr), late).await?;
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let copy = client.clone();
        match connections.binary_search_by_key(&addr, |k| k.addr) {
            Ok(at) => connections[at].client = copy,
            Err(at) => connections.insert(at, Connection { addr, client: copy }),
        }
        Some(client)
    }

    fn find(&self, addr: SocketAddr) -> Option<PeerClient> {
        let connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let at = connections.binary_search_by_key(&addr, |k| k.addr).ok()?;
        Some(connections[at].client.clone())
    }

    fn forget(&self, addr: SocketAddr) {
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Ok(at) = connections.binary_search_by_key(&addr, |k| k.addr) {
            connections.remove(at);
        }
    }

    async fn connect(&self, addr: SocketAddr) -> Option<PeerClient> {
        let mut stream = net::TcpStream::connect(addr).await.ok()?;
        // Not fatal: calls are only a little later without it.
        let _ = stream.set_nodelay(true);
        handshake::connect(&mut stream, &self.secret, self.lane)
            .await
            .ok()?;
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

fn outgoing(request: &Inbound, budget: Duration, hop: &Hop) -> peer::Forward {
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
        owned: hop.owned,
        home: request.caller_region.as_deref().map(str::to_owned),
        via: hop.via.as_deref().map(str::to_owned),
    }
}

fn attempt_outcome(forwarded: peer::Forwarded) -> dispatch::AttemptOutcome {
    match peer::Settled::try_from(forwarded) {
        Ok(Ok(answer)) => dispatch::AttemptOutcome::Answered(answer),
        Ok(Err(refusal)) => dispatch::AttemptOutcome::PeerRefused(refusal),
        Err(_) => dispatch::AttemptOutcome::BadAnswer,
    }
}

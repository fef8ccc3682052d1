//! Client of peers.
//!
//! Invariant: [`dispatch::AttemptOutcome::Unreachable`] is returned only if no byte of
//! the request was sent. A connection on which a request or a question timed out is
//! not reused, since it may be broken.

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

use super::{ConnectionKind, PeerClient, context, frames, handshake};
use crate::daemon::inbound::Inbound;
use crate::daemon::workers::Executor;

/// Timeout for connecting to a peer, and of a call for its identity.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a call with a control message.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which a flush polls for messages in flight.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Client on an open connection to a peer.
struct Connection {
    addr: SocketAddr,
    client: PeerClient,
}

/// Description of a hop, sent along with a forwarded request.
#[derive(Clone, Debug)]
pub struct Hop {
    /// True if the request is sent to the owner of its key.
    pub owned: bool,
    /// Name of this process's region, if known.
    pub via: Option<Arc<str>>,
}

/// Counts of control messages and their bytes sent by this process.
#[derive(Debug, Default)]
pub struct Counts {
    messages: AtomicU64,
    bytes: AtomicU64,
}

impl Counts {
    fn record_sent(&self, bytes: usize) {
        self.messages.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Number of messages sent.
    pub fn messages(&self) -> u64 {
        self.messages.load(Ordering::Relaxed)
    }

    /// Number of bytes sent; the framing of calls is not counted.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

/// Counts a message while it is in flight.
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

/// Client of all peers; connections are sorted by address.
pub struct Peers {
    executor: Executor,
    secret: Secret,
    kind: ConnectionKind,
    connections: Mutex<Vec<Connection>>,
    sending: Arc<AtomicUsize>,
    counts: Counts,
}

impl Peers {
    /// Creates a client without connections.
    #[must_use]
    pub fn new(executor: Executor, secret: Secret, kind: ConnectionKind) -> Self {
        Self {
            executor,
            secret,
            kind,
            connections: Mutex::new(Vec::new()),
            sending: Arc::default(),
            counts: Counts::default(),
        }
    }

    /// Counts of what was sent so far.
    #[must_use]
    pub const fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Forwards a request and waits for its outcome.
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

    /// Sends a control message, without a guarantee of delivery.
    pub fn tell(self: &Arc<Self>, to: SocketAddr, message: &message::Message) {
        let Ok(bytes) = heartbeat::Message::from(message).encode() else {
            return;
        };
        self.counts.record_sent(bytes.len());
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

    /// Waits until no message is in flight, for at most [`SEND_TIMEOUT`].
    pub async fn flush(&self) {
        let until = Instant::now() + SEND_TIMEOUT;
        while self.sending.load(Ordering::Relaxed) > 0 && Instant::now() < until {
            smol::Timer::after(FLUSH_POLL_INTERVAL).await;
        }
    }

    /// Queries the identity of the instance at an address; `None` if the call fails.
    pub async fn who(&self, addr: SocketAddr) -> Option<peer::PeerInfo> {
        let client = self.client(addr).await?;
        let call = client.who(context(CONNECT_TIMEOUT)).compat();
        let Ok(who) = call.await else {
            self.forget(addr);
            return None;
        };
        Some(who)
    }

    /// Asks a witness about a key; `None` without an answer in time.
    pub async fn ask(
        &self,
        addr: SocketAddr,
        question: &record::Question,
        budget: Duration,
    ) -> Option<record::Reply> {
        let timeout = async {
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
        let reply = future::or(exchange, timeout).await;
        if reply.is_none() {
            self.forget(addr);
        }
        reply
    }

    /// Borrows part of a peer's share of a cap; `None` if the peer lends nothing in
    /// time.
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

    /// Reports to peers how many targets broke under a request. Best effort: a peer
    /// that misses the report detects the request by two broken targets of its own.
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
                    // An unreachable peer is detected by other means.
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
        let timeout = async {
            smol::Timer::after(CONNECT_TIMEOUT).await;
            None
        };
        let client = future::or(self.connect(addr), timeout).await?;
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
        // Not fatal: without it calls are only delayed a little.
        let _ = stream.set_nodelay(true);
        handshake::connect(&mut stream, &self.secret, self.kind)
            .await
            .ok()?;
        let transport = serde_transport::new(frames(stream), Bincode::default());
        let new = PeerClient::new(client::Config::default(), transport);
        let dispatch = new.dispatch.compat();
        let run = async {
            // The error is dropped: each call on the connection gets one of its own.
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
    match peer::FinalResult::try_from(forwarded) {
        Ok(Ok(answer)) => dispatch::AttemptOutcome::Answered(answer),
        Ok(Err(refusal)) => dispatch::AttemptOutcome::PeerRefused(refusal),
        Err(_) => dispatch::AttemptOutcome::BadAnswer,
    }
}

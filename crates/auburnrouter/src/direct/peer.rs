//! Calls between instances: what one knows of the platform's store, for another.
//!
//! A call waits for news, as a watch of the store does, so that an instance that
//! reads from another knows of a change as soon as that one does.
//!
//! Invariants: each call is bounded in time, as a connection may go silent
//! without a reset; an answer is never older than what the asked instance had
//! applied when it answered.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_compat::CompatExt;
use futures_lite::{StreamExt, future};
use smol::net;
use steer::clock::Time;
use tarpc::server::{self, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context, serde_transport};
use wire::near::Changes;

use super::{Executor, Shared, lock};
use crate::daemon::peers;

/// Calls that an instance takes from others.
#[tarpc::service]
pub trait Peer {
    /// What the caller, who knows everything up to revision `known`, has missed:
    /// as soon as there is something, or the store has confirmed that there is
    /// nothing, at the latest after `wait_ms`.
    async fn changes(known: u64, wait_ms: u32) -> Changes;
}

/// Time for a call to another instance beyond what it waits for news.
const CALL: Duration = Duration::from_millis(700);

/// Time to connect to another instance. One that is cut off doesn't answer, and
/// there are others to ask.
const CONNECT: Duration = Duration::from_millis(300);

/// Longest wait for news that is granted.
const WAIT_MOST: Duration = Duration::from_secs(10);

/// Pause after the system refused to accept.
const REFUSED: Duration = Duration::from_millis(250);

/// Changes since everything was last packed from which on it is packed anew.
const REPACK: usize = 64;

/// Everything, packed for instances that start; many often do at a time.
#[derive(Debug, Default)]
pub struct SnapshotCache(Mutex<Option<Changes>>);

/// Answers other instances until the process ends.
pub async fn serve(shared: Arc<Shared>, socket: net::TcpListener, executor: Executor) {
    loop {
        let Ok((stream, _)) = socket.accept().await else {
            smol::Timer::after(REFUSED).await;
            continue;
        };
        let transport = serde_transport::new(peers::frames(stream), Bincode::default());
        let channel = server::BaseChannel::with_defaults(transport);
        let calls = channel.execute(Answering(Arc::clone(&shared)).serve());
        let calls_on = Arc::clone(&executor);
        let run = async move {
            let mut calls = std::pin::pin!(calls);
            while let Some(call) = calls.next().await {
                calls_on.spawn(call.compat()).detach();
            }
        };
        executor.spawn(run.compat()).detach();
    }
}

#[derive(Clone)]
struct Answering(Arc<Shared>);

impl Peer for Answering {
    async fn changes(self, _: context::Context, known: u64, wait_ms: u32) -> Changes {
        let shared = &self.0;
        let asked = shared.now();
        let told = shared.updated.listen();
        if lock(&shared.replica).revision() <= known {
            let wait = Duration::from_millis(wait_ms.into()).min(WAIT_MOST);
            let over = async {
                smol::Timer::after(wait).await;
            };
            future::or(told, over).await;
        }
        changes(shared, known, asked)
    }
}

fn changes(shared: &Shared, known: u64, asked: Time) -> Changes {
    // Read before the replica, which then holds at least what they speak of.
    let (contact, stale, held) =
        shared.read(|now, d| (d.contact(now), d.staleness(now), now.since(asked)));
    let replica = lock(&shared.replica);
    let update = replica.since(known);
    if !update.whole || update.revision == 0 {
        return Changes::new(&update, contact).answered(stale, held);
    }
    let mut packed = lock(&shared.snapshot_cache.0);
    if let Some(old) = &*packed {
        let missed = replica.since(old.revision);
        if !missed.whole && missed.items.len() < REPACK {
            // The receiver asks for the few changes since at once.
            let stale = stale.filter(|_| missed.items.is_empty());
            return old.clone().confirmed(contact).answered(stale, held);
        }
    }
    let new = Changes::new(&update, contact);
    *packed = Some(new.clone());
    new.answered(stale, held)
}

/// A connection to another instance.
pub struct Connection {
    addr: SocketAddr,
    calls: PeerClient,
    /// Carries the calls; ends when it is dropped.
    _carrier: smol::Task<()>,
}

impl Connection {
    /// Connects; `None` if nobody answers in time.
    pub async fn open(addr: SocketAddr, executor: &Executor) -> Option<Self> {
        let late = async {
            smol::Timer::after(CONNECT).await;
            None
        };
        let connect = async { net::TcpStream::connect(addr).await.ok() };
        let stream = future::or(connect, late).await?;
        let transport = serde_transport::new(peers::frames(stream), Bincode::default());
        let calls = PeerClient::new(client::Config::default(), transport);
        let dispatch = calls.dispatch;
        let carry = async move {
            // It ends with the connection; each call says itself what became of it.
            let _ = dispatch.await;
        };
        Some(Self {
            addr,
            calls: calls.client,
            _carrier: executor.spawn(carry.compat()),
        })
    }

    /// Where it leads.
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// What was missed since `known`, at the latest after `wait`; `None` if no
    /// answer came in time.
    pub async fn changes(&self, known: u64, wait: Duration) -> Option<Changes> {
        let span = wait + CALL;
        let mut context = context::current();
        context.deadline = Instant::now() + span;
        let wait = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
        let late = async {
            smol::Timer::after(span).await;
            None
        };
        let call = async { self.calls.changes(context, known, wait).await.ok() };
        future::or(call.compat(), late).await
    }
}

//! Accepts connections on one listener and serves HTTP on them.
//!
//! The server adapter of the HTTP library isn't used: it closes connections beyond
//! its limit without an answer, reads addresses from the environment, and leaves
//! the number of threads to its own executor.
//!
//! Invariant: a connection beyond the limit and a request that can't be parsed get
//! a typed rejection, not a silent close.

use std::future::Future;
use std::io;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures_lite::AsyncWriteExt;
use futures_lite::future;
use smol::net;
use trillium_http::{HttpConfig, Stopper};

use super::guarded::{Bounds, Conn, Guarded, ServingFlag};
use super::reply;
use super::workers::Executor;

/// Limits of one listener.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bounds on each connection.
    pub bounds: Bounds,
    /// Maximum size of a request head.
    pub head_bytes: usize,
    /// Maximum size of a request body.
    pub body_bytes: u64,
    /// Maximum number of open connections.
    pub connections: usize,
}

/// The remote end of a connection.
#[derive(Clone, Debug)]
pub struct Peer {
    /// IP address of the remote end.
    pub ip: IpAddr,
    /// Flag to set once a request has been received completely.
    pub serving: ServingFlag,
}

/// One listener with the count of its open connections.
pub struct Listener {
    limits: Limits,
    executor: Executor,
    stopper: Stopper,
    open: Arc<AtomicUsize>,
}

/// Decrements the count of open connections when dropped.
struct OpenGuard(Arc<AtomicUsize>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Pause after a failed accept. When file descriptors run out, an immediate retry
/// would spin until some are closed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

impl Listener {
    /// Creates a listener that serves on `executor` until `stopper` stops.
    #[must_use]
    pub fn new(limits: Limits, executor: Executor, stopper: Stopper) -> Self {
        Self {
            limits,
            executor,
            stopper,
            open: Arc::default(),
        }
    }

    /// Shared count of open connections.
    #[must_use]
    pub fn count(&self) -> Arc<AtomicUsize> {
        Arc::clone(&self.open)
    }

    /// Accepts until stopped. Connections in use continue; [`Listener::count`]
    /// drops to 0 when all have ended.
    pub async fn run<H, F>(self, socket: net::TcpListener, handler: H)
    where
        H: Fn(Conn, Peer) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Conn> + Send + 'static,
    {
        while let Some(accepted) = self.accept(&socket).await {
            match accepted {
                Ok((stream, addr)) => self.spawn_connection(stream, addr.ip(), handler.clone()),
                Err(_) => {
                    smol::Timer::after(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn accept(
        &self,
        socket: &net::TcpListener,
    ) -> Option<io::Result<(net::TcpStream, std::net::SocketAddr)>> {
        let accepted = async { Some(socket.accept().await) };
        let stopped = async {
            self.stopper.clone().await;
            None
        };
        future::or(stopped, accepted).await
    }

    fn spawn_connection<H, F>(&self, stream: net::TcpStream, ip: IpAddr, handler: H)
    where
        H: Fn(Conn, Peer) -> F + Send + Sync + 'static,
        F: Future<Output = Conn> + Send + 'static,
    {
        let is_over_limit = self.open.fetch_add(1, Ordering::Relaxed) >= self.limits.connections;
        let open = OpenGuard(Arc::clone(&self.open));
        let limits = self.limits;
        let stopper = self.stopper.clone();
        let task = async move {
            let _open = open;
            if is_over_limit {
                refuse(stream, reply::TOO_MANY_CONNECTIONS).await;
            } else {
                serve(stream, ip, limits, stopper, handler).await;
            }
        };
        self.executor.spawn(task).detach();
    }
}

async fn serve<H, F>(
    stream: net::TcpStream,
    ip: IpAddr,
    limits: Limits,
    stopper: Stopper,
    handler: H,
) where
    H: Fn(Conn, Peer) -> F + Send + Sync,
    F: Future<Output = Conn> + Send,
{
    // Not fatal: without it answers are only delayed a little.
    let _ = stream.set_nodelay(true);
    let raw = stream.clone();
    let guarded = Guarded::new(stream, limits.bounds, reply::REQUEST_TIMEOUT);
    let peer = Peer {
        ip,
        serving: guarded.serving(),
    };
    let config = HttpConfig::default()
        .with_head_max_len(limits.head_bytes)
        .with_received_body_max_len(limits.body_bytes);
    let handle = |conn: Conn| handler(conn, peer.clone());
    let ended = Conn::map_with_config(config, guarded, stopper, handle).await;
    match ended {
        Ok(_) | Err(trillium_http::Error::Closed | trillium_http::Error::Io(_)) => {}
        Err(trillium_http::Error::HeadersTooLong) => refuse(raw, reply::HEAD_TOO_LONG).await,
        Err(_) => refuse(raw, reply::MALFORMED_HEAD).await,
    }
}

async fn refuse(mut stream: net::TcpStream, text: &'static [u8]) {
    // Best effort: the remote end may have closed already.
    let _ = stream.write_all(text).await;
    let _ = stream.close().await;
}

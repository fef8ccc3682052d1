//! Accepts connections on one listener and speaks HTTP on them.
//!
//! The server adapter of the HTTP library isn't used: it counts connections by
//! closing them without a word, takes addresses from the environment, and
//! leaves the number of threads to its own executor.
//!
//! Invariant: whoever connects gets a typed refusal or an answer, also when
//! there are too many connections or the request can't be parsed.

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

/// Bounds on one listener.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bounds on each connection.
    pub bounds: Bounds,
    /// Longest request head in bytes.
    pub head_bytes: usize,
    /// Longest request body in bytes.
    pub body_bytes: u64,
    /// Connections at a time.
    pub connections: usize,
}

/// Whom a request comes from.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Address of the other end.
    pub ip: IpAddr,
    /// To be set once the request is whole.
    pub serving: ServingFlag,
}

/// One listener and its connections.
pub struct Listener {
    limits: Limits,
    executor: Executor,
    stopper: Stopper,
    open: Arc<AtomicUsize>,
}

/// Counts a connection for as long as it lives.
struct OpenGuard(Arc<AtomicUsize>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Pause after a failed accept: descriptors ran out, and trying at once would
/// spin until some are returned.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

impl Listener {
    /// A listener that serves on `executor` until `stopper` stops.
    #[must_use]
    pub fn new(limits: Limits, executor: Executor, stopper: Stopper) -> Self {
        Self {
            limits,
            executor,
            stopper,
            open: Arc::default(),
        }
    }

    /// Number of open connections.
    #[must_use]
    pub fn count(&self) -> Arc<AtomicUsize> {
        Arc::clone(&self.open)
    }

    /// Accepts until stopped. Connections in use go on; [`Listener::count`]
    /// tells when they have ended.
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
    // Not fatal: answers are only a little later without it.
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
        Err(_) => refuse(raw, reply::MALFORMED).await,
    }
}

async fn refuse(mut stream: net::TcpStream, text: &'static [u8]) {
    // Best effort: the other end may be gone already.
    let _ = stream.write_all(text).await;
    let _ = stream.close().await;
}

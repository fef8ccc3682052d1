//! HTTP connections kept for reuse.
//!
//! The HTTP client of the house's library can't tell a request that never left
//! from one that may have, asks for `100-continue` before each body, reads a
//! body that ends with its connection as empty, and panics on a status that it
//! doesn't know. `hyper`, its nearest kin, does none of that.
//!
//! Invariants: [`Error::Unsent`] is only said when no byte of the request left
//! this process; only a connection whose last answer was read to its end goes back to the
//! pool. A cancelled, late or broken exchange drops its connection, so that a
//! late answer can't be read as the answer to the next request.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_lite::future;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1;
use smol::net;
use thiserror::Error;

/// A request as it is sent: in one piece.
pub type Request = hyper::Request<Full<Bytes>>;

/// Where the connections are driven.
pub type Executor = Arc<smol::Executor<'static>>;

/// Why there is no answer's head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// No byte of the request left.
    #[error("no connection could be opened; check that the other end listens")]
    Unsent,
    /// The connection broke after some byte may have left.
    #[error("the connection broke; the request may have run")]
    Broken,
    /// What came back is not HTTP.
    #[error("the answer can't be parsed; the request may have run")]
    Garbled,
}

/// An open connection. Dropping it closes the socket, whatever is in flight.
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    /// Moves the bytes; ends with the connection.
    _driver: smol::Task<()>,
}

/// An answer's head, and the connection its body comes on.
pub struct Exchange {
    /// The head, and the body still to be read.
    pub response: hyper::Response<Incoming>,
    /// To be put back once the body is read to its end.
    pub connection: Connection,
}

/// Idle connections to one address.
struct Idle {
    addr: SocketAddr,
    connections: Vec<Connection>,
}

/// Bounds of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Idle connections kept for each address.
    pub idle: usize,
    /// Time to open a connection. Where packets are dropped it is what tells
    /// "not sent" apart from "sent, and no answer in time".
    pub connect: Duration,
}

/// Idle connections, sorted by address.
pub struct Pool {
    executor: Executor,
    limits: Limits,
    idle: Mutex<Vec<Idle>>,
}

impl Pool {
    /// An empty pool.
    #[must_use]
    pub const fn new(executor: Executor, limits: Limits) -> Self {
        Self {
            executor,
            limits,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Sends a request on an idle connection, or else on a new one. A kept
    /// connection that turns out closed before anything left is passed over.
    ///
    /// # Errors
    /// No head of an answer came; says whether the request may have left.
    pub async fn send(&self, addr: SocketAddr, request: Request) -> Result<Exchange, Error> {
        let mut request = request;
        while let Some(connection) = self.take(addr) {
            match exchange(connection, request).await {
                Ok(exchange) => return Ok(exchange),
                Err((_, Some(unsent))) => request = unsent,
                Err((error, None)) => return Err(error),
            }
        }
        let connection = self.connect(addr).await?;
        exchange(connection, request)
            .await
            .map_err(|(error, _)| error)
    }

    /// Keeps a connection for reuse, unless there are enough.
    pub fn put_back(&self, addr: SocketAddr, connection: Connection) {
        let mut idle = self.lock();
        let at = match idle.binary_search_by_key(&addr, |i| i.addr) {
            Ok(at) => at,
            Err(at) => {
                let connections = Vec::new();
                idle.insert(at, Idle { addr, connections });
                at
            }
        };
        if idle[at].connections.len() < self.limits.idle {
            idle[at].connections.push(connection);
        }
    }

    fn take(&self, addr: SocketAddr) -> Option<Connection> {
        let mut idle = self.lock();
        let at = idle.binary_search_by_key(&addr, |i| i.addr).ok()?;
        let connections = &mut idle[at].connections;
        while let Some(connection) = connections.pop() {
            if !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        idle.remove(at);
        None
    }

    async fn connect(&self, addr: SocketAddr) -> Result<Connection, Error> {
        let opened = async { net::TcpStream::connect(addr).await.ok() };
        let late = async {
            smol::Timer::after(self.limits.connect).await;
            None
        };
        let stream = future::or(opened, late).await.ok_or(Error::Unsent)?;
        // Not fatal: requests are only a little later without it.
        let _ = stream.set_nodelay(true);
        let io = smol_hyper::rt::FuturesIo::new(stream);
        let (sender, driver) = http1::handshake(io).await.map_err(|_| Error::Unsent)?;
        let driver = self.executor.spawn(async {
            // Whoever waits on the connection is told of its end.
            let _ = driver.await;
        });
        Ok(Connection {
            sender,
            _driver: driver,
        })
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends on one connection; an error hands the request back if it never left.
async fn exchange(
    mut connection: Connection,
    request: Request,
) -> Result<Exchange, (Error, Option<Request>)> {
    if connection.sender.ready().await.is_err() {
        return Err((Error::Unsent, Some(request)));
    }
    match connection.sender.try_send_request(request).await {
        Ok(response) => Ok(Exchange {
            response,
            connection,
        }),
        Err(mut failed) => match failed.take_message() {
            Some(unsent) => Err((Error::Unsent, Some(unsent))),
            None if failed.error().is_parse() => Err((Error::Garbled, None)),
            None => Err((Error::Broken, None)),
        },
    }
}

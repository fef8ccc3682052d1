//! HTTP connections kept for reuse: opened, used, closed.
//!
//! The HTTP client of the house's library can't tell a request that never left
//! from one that may have, asks for `100-continue` before each body, reads a
//! body that ends with its connection as empty, and panics on a status that it
//! doesn't know. `hyper`, its nearest kin, does none of that. How many
//! connections are open, and which may be used again, is decided by
//! [`steer::connection::pool`].
//!
//! Invariants: [`Error::Unsent`] is only said when no byte of the request left
//! this process; only a connection whose last answer was read to its end goes
//! back to the pool. A cancelled, late or broken exchange drops its connection,
//! so that a late answer can't be read as the answer to the next request.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use futures_lite::future;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1;
use smol::net;
use steer::clock::Time;
use steer::connection::pool;
use thiserror::Error;

/// A request as it is sent: in one piece.
pub type Request = hyper::Request<Full<Bytes>>;

/// Where the connections are driven.
pub type Executor = Arc<smol::Executor<'static>>;

/// Bounds of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Connections open to each address at a time.
    pub connections_max: usize,
    /// Connections kept open to each address ahead of need.
    pub warm_connections: usize,
    /// Time to open a connection. Where packets are dropped it is what tells
    /// "not sent" apart from "sent, and no answer in time".
    pub connect_timeout: Duration,
}

/// Why there is no answer's head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// No byte of the request left.
    #[error("no connection could be opened; check that the other end listens")]
    Unsent,
    /// As many connections are open as may be.
    #[error("as many connections as allowed are in use; allow more, or ask later")]
    Full,
    /// The connection broke after some byte may have left.
    #[error("the connection broke; the request may have run")]
    Broken,
    /// What came back is not HTTP.
    #[error("the answer can't be parsed; the request may have run")]
    Malformed,
}

/// An open connection. Dropping it closes the socket, whatever is in flight.
struct HttpLink {
    sender: http1::SendRequest<Full<Bytes>>,
    /// Whether a request was sent on it.
    is_used: bool,
    /// Moves the bytes; ends with the connection.
    _driver: smol::Task<()>,
}

type Busy = pool::Connection<HttpLink, pool::Busy>;

/// Counts a connection as open until it is given back or dropped.
struct OpenSlot {
    pool: Arc<Pool>,
    addr: SocketAddr,
    is_returned: bool,
}

impl Drop for OpenSlot {
    fn drop(&mut self) {
        if !self.is_returned {
            self.pool.release(self.addr);
        }
    }
}

/// An answer's head, and the connection its body comes on.
pub struct Exchange {
    /// The head, and the body still to be read.
    pub response: hyper::Response<Incoming>,
    is_first: bool,
    busy: Busy,
    slot: OpenSlot,
}

/// What is left of an exchange while its body is read.
pub struct PendingBody {
    is_first: bool,
    busy: Busy,
    slot: OpenSlot,
}

impl Exchange {
    /// The answer, apart from the connection it comes on.
    #[must_use]
    pub fn split(self) -> (hyper::Response<Incoming>, PendingBody) {
        let Self {
            response,
            is_first,
            busy,
            slot,
        } = self;
        let pending = PendingBody {
            is_first,
            busy,
            slot,
        };
        (response, pending)
    }
}

impl PendingBody {
    /// Whether the exchange was the first on its connection, so that nothing
    /// left over from an earlier one can have been taken for its answer.
    #[must_use]
    pub const fn is_first(&self) -> bool {
        self.is_first
    }

    /// The answer was read to its end: the connection may be used again.
    pub fn put_back(self) {
        let Self { busy, mut slot, .. } = self;
        let idle = busy.into_idle();
        slot.is_returned = true;
        let pool = Arc::clone(&slot.pool);
        let now = pool.now();
        pool.with(slot.addr, |connections| connections.put(now, idle));
    }
}

/// The connections to one address.
struct AddressPool {
    addr: SocketAddr,
    pool: pool::Pool<HttpLink>,
}

/// Connections to all addresses, sorted by address.
pub struct Pool {
    start: Instant,
    executor: Executor,
    limits: Limits,
    pools: Mutex<Vec<AddressPool>>,
}

impl Pool {
    /// No connections yet.
    #[must_use]
    pub fn new(executor: Executor, limits: Limits) -> Arc<Self> {
        Arc::new(Self {
            start: Instant::now(),
            executor,
            limits,
            pools: Mutex::new(Vec::new()),
        })
    }

    /// Sends a request on an idle connection, or else on a new one. A kept
    /// connection that turns out closed before anything left is passed over.
    ///
    /// # Errors
    /// No head of an answer came; says whether the request may have left.
    pub async fn send(
        self: &Arc<Self>,
        addr: SocketAddr,
        request: Request,
    ) -> Result<Exchange, Error> {
        let mut request = request;
        loop {
            let checkout = self.with(addr, pool::Pool::take);
            let (busy, is_new) = match checkout {
                pool::Checkout::Full => return Err(Error::Full),
                pool::Checkout::Open(busy) => (Some(busy), false),
                pool::Checkout::Permit => (None, true),
            };
            let slot = OpenSlot {
                pool: Arc::clone(self),
                addr,
                is_returned: false,
            };
            let busy = match busy {
                Some(busy) => busy,
                None => pool::Connection::opened(self.connect(addr).await?),
            };
            match exchange(busy, slot, request).await {
                Ok(exchange) => return Ok(exchange),
                Err((_, Some(unsent))) if !is_new => request = unsent,
                Err((error, _)) => return Err(error),
            }
        }
    }

    /// Sends a request on a connection of its own, which is closed after it.
    /// Nothing left over from another exchange can be taken for its answer, and
    /// no idle connection can close under it: whether it ran stays known.
    ///
    /// # Errors
    /// No head of an answer came; says whether the request may have left.
    pub async fn send_dedicated(
        self: &Arc<Self>,
        addr: SocketAddr,
        request: Request,
    ) -> Result<Exchange, Error> {
        match self.with(addr, pool::Pool::permit) {
            pool::Checkout::Full => Err(Error::Full),
            pool::Checkout::Open(_) | pool::Checkout::Permit => {
                let slot = OpenSlot {
                    pool: Arc::clone(self),
                    addr,
                    is_returned: false,
                };
                let busy = pool::Connection::opened(self.connect(addr).await?);
                let answered = exchange(busy, slot, request).await;
                answered.map_err(|(error, _)| error)
            }
        }
    }

    /// Keeps to these addresses, sorted, and drops the idle connections of
    /// all others.
    pub fn retain_addresses(&self, addrs: &[SocketAddr]) {
        let mut pools = self.lock();
        pools.retain(|p| p.pool.open() > 0 && addrs.binary_search(&p.addr).is_ok());
        drop(pools);
        for &addr in addrs {
            self.with(addr, |_| ());
        }
    }

    /// Opens connections ahead of need and closes those idle too long.
    pub fn maintain(self: &Arc<Self>) {
        let now = self.now();
        let mut wanted = Vec::new();
        let mut stale = Vec::new();
        for entry in self.lock().iter_mut() {
            stale.extend(entry.pool.expire(now));
            if entry.pool.reserve_warm() {
                wanted.push(entry.addr);
            }
        }
        drop(stale);
        for addr in wanted {
            let shared = Arc::clone(self);
            let warm = async move {
                match shared.connect(addr).await {
                    Ok(link) => {
                        let idle = pool::Connection::warm(link);
                        shared.with(addr, |connections| connections.put(now, idle));
                    }
                    Err(_) => shared.release(addr),
                }
            };
            self.executor.spawn(warm).detach();
        }
    }

    async fn connect(&self, addr: SocketAddr) -> Result<HttpLink, Error> {
        let opened = async { net::TcpStream::connect(addr).await.ok() };
        let late = async {
            smol::Timer::after(self.limits.connect_timeout).await;
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
        Ok(HttpLink {
            sender,
            is_used: false,
            _driver: driver,
        })
    }

    /// A connection was closed. Its address may be gone from the list.
    fn release(&self, addr: SocketAddr) {
        let mut pools = self.lock();
        if let Ok(at) = pools.binary_search_by_key(&addr, |p| p.addr) {
            pools[at].pool.release();
        }
    }

    fn with<T>(
        &self,
        addr: SocketAddr,
        operation: impl FnOnce(&mut pool::Pool<HttpLink>) -> T,
    ) -> T {
        let mut pools = self.lock();
        let at = match pools.binary_search_by_key(&addr, |p| p.addr) {
            Ok(at) => at,
            Err(at) => {
                let pool =
                    pool::Pool::new(self.limits.connections_max, self.limits.warm_connections);
                pools.insert(at, AddressPool { addr, pool });
                at
            }
        };
        operation(&mut pools[at].pool)
    }

    fn now(&self) -> Time {
        let micros = self.start.elapsed().as_micros();
        Time::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    fn lock(&self) -> MutexGuard<'_, Vec<AddressPool>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends on one connection; an error hands the request back if it never left.
async fn exchange(
    mut busy: Busy,
    slot: OpenSlot,
    request: Request,
) -> Result<Exchange, (Error, Option<Request>)> {
    let link = busy.get();
    if link.sender.ready().await.is_err() {
        return Err((Error::Unsent, Some(request)));
    }
    let is_first = !link.is_used;
    link.is_used = true;
    match link.sender.try_send_request(request).await {
        Ok(response) => Ok(Exchange {
            response,
            is_first,
            busy,
            slot,
        }),
        Err(mut failed) => match failed.take_message() {
            Some(unsent) => Err((Error::Unsent, Some(unsent))),
            None if failed.error().is_parse() => Err((Error::Malformed, None)),
            None => Err((Error::Broken, None)),
        },
    }
}

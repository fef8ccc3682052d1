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
    pub bound: usize,
    /// Connections kept open to each address ahead of need.
    pub warm: usize,
    /// Time to open a connection. Where packets are dropped it is what tells
    /// "not sent" apart from "sent, and no answer in time".
    pub connect: Duration,
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
    Garbled,
}

/// An open connection. Dropping it closes the socket, whatever is in flight.
struct Link {
    sender: http1::SendRequest<Full<Bytes>>,
    /// Whether a request was sent on it.
    used: bool,
    /// Moves the bytes; ends with the connection.
    _driver: smol::Task<()>,
}

type Busy = pool::Connection<Link, pool::Busy>;

/// Counts a connection as open until it is given back or dropped.
struct Seat {
    pool: Arc<Pool>,
    addr: SocketAddr,
    kept: bool,
}

impl Drop for Seat {
    fn drop(&mut self) {
        if !self.kept {
            self.pool.closed(self.addr);
        }
    }
}

/// An answer's head, and the connection its body comes on.
pub struct Exchange {
    /// The head, and the body still to be read.
    pub response: hyper::Response<Incoming>,
    first: bool,
    busy: Busy,
    seat: Seat,
}

/// What is left of an exchange while its body is read.
pub struct Rest {
    first: bool,
    busy: Busy,
    seat: Seat,
}

impl Exchange {
    /// The answer, apart from the connection it comes on.
    #[must_use]
    pub fn split(self) -> (hyper::Response<Incoming>, Rest) {
        let Self {
            response,
            first,
            busy,
            seat,
        } = self;
        let rest = Rest { first, busy, seat };
        (response, rest)
    }
}

impl Rest {
    /// Whether the exchange was the first on its connection, so that nothing
    /// left over from an earlier one can have been taken for its answer.
    #[must_use]
    pub const fn is_first(&self) -> bool {
        self.first
    }

    /// The answer was read to its end: the connection may be used again.
    pub fn put_back(self) {
        let Self { busy, mut seat, .. } = self;
        let idle = busy.into_idle();
        seat.kept = true;
        let pool = Arc::clone(&seat.pool);
        let now = pool.now();
        pool.with(seat.addr, |kept| kept.put(now, idle));
    }
}

/// The connections to one address.
struct Kept {
    addr: SocketAddr,
    pool: pool::Pool<Link>,
}

/// Connections to all addresses, sorted by address.
pub struct Pool {
    start: Instant,
    executor: Executor,
    limits: Limits,
    kept: Mutex<Vec<Kept>>,
}

impl Pool {
    /// No connections yet.
    #[must_use]
    pub fn new(executor: Executor, limits: Limits) -> Arc<Self> {
        Arc::new(Self {
            start: Instant::now(),
            executor,
            limits,
            kept: Mutex::new(Vec::new()),
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
            let taken = self.with(addr, pool::Pool::take);
            let (busy, fresh) = match taken {
                pool::Checkout::Full => return Err(Error::Full),
                pool::Checkout::Open(busy) => (Some(busy), false),
                pool::Checkout::Permit => (None, true),
            };
            let seat = Seat {
                pool: Arc::clone(self),
                addr,
                kept: false,
            };
            let busy = match busy {
                Some(busy) => busy,
                None => pool::Connection::opened(self.connect(addr).await?),
            };
            match exchange(busy, seat, request).await {
                Ok(exchange) => return Ok(exchange),
                Err((_, Some(unsent))) if !fresh => request = unsent,
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
    pub async fn send_alone(
        self: &Arc<Self>,
        addr: SocketAddr,
        request: Request,
    ) -> Result<Exchange, Error> {
        match self.with(addr, pool::Pool::permit) {
            pool::Checkout::Full => Err(Error::Full),
            pool::Checkout::Open(_) | pool::Checkout::Permit => {
                let seat = Seat {
                    pool: Arc::clone(self),
                    addr,
                    kept: false,
                };
                let busy = pool::Connection::opened(self.connect(addr).await?);
                let answered = exchange(busy, seat, request).await;
                answered.map_err(|(error, _)| error)
            }
        }
    }

    /// Keeps to these addresses, sorted, and drops the idle connections of
    /// all others.
    pub fn renew(&self, addrs: &[SocketAddr]) {
        let mut kept = self.lock();
        kept.retain(|t| t.pool.open() > 0 && addrs.binary_search(&t.addr).is_ok());
        drop(kept);
        for &addr in addrs {
            self.with(addr, |_| ());
        }
    }

    /// Opens connections ahead of need and closes those idle too long.
    pub fn upkeep(self: &Arc<Self>) {
        let now = self.now();
        let mut wanted = Vec::new();
        let mut stale = Vec::new();
        for kept in self.lock().iter_mut() {
            stale.extend(kept.pool.expire(now));
            if kept.pool.reserve_warm() {
                wanted.push(kept.addr);
            }
        }
        drop(stale);
        for addr in wanted {
            let all = Arc::clone(self);
            let warm = async move {
                match all.connect(addr).await {
                    Ok(link) => {
                        let idle = pool::Connection::warm(link);
                        all.with(addr, |kept| kept.put(now, idle));
                    }
                    Err(_) => all.closed(addr),
                }
            };
            self.executor.spawn(warm).detach();
        }
    }

    async fn connect(&self, addr: SocketAddr) -> Result<Link, Error> {
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
        Ok(Link {
            sender,
            used: false,
            _driver: driver,
        })
    }

    /// A connection was closed. Its address may be gone from the list.
    fn closed(&self, addr: SocketAddr) {
        let mut kept = self.lock();
        if let Ok(at) = kept.binary_search_by_key(&addr, |t| t.addr) {
            kept[at].pool.release();
        }
    }

    fn with<T>(&self, addr: SocketAddr, work: impl FnOnce(&mut pool::Pool<Link>) -> T) -> T {
        let mut kept = self.lock();
        let at = match kept.binary_search_by_key(&addr, |t| t.addr) {
            Ok(at) => at,
            Err(at) => {
                let pool = pool::Pool::new(self.limits.bound, self.limits.warm);
                kept.insert(at, Kept { addr, pool });
                at
            }
        };
        work(&mut kept[at].pool)
    }

    fn now(&self) -> Time {
        let micros = self.start.elapsed().as_micros();
        Time::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Kept>> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends on one connection; an error hands the request back if it never left.
async fn exchange(
    mut busy: Busy,
    seat: Seat,
    request: Request,
) -> Result<Exchange, (Error, Option<Request>)> {
    let link = busy.get();
    if link.sender.ready().await.is_err() {
        return Err((Error::Unsent, Some(request)));
    }
    let first = !link.used;
    link.used = true;
    match link.sender.try_send_request(request).await {
        Ok(response) => Ok(Exchange {
            response,
            first,
            busy,
            seat,
        }),
        Err(mut failed) => match failed.take_message() {
            Some(unsent) => Err((Error::Unsent, Some(unsent))),
            None if failed.error().is_parse() => Err((Error::Garbled, None)),
            None => Err((Error::Broken, None)),
        },
    }
}

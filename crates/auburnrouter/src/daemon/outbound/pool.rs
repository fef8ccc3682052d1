//! Connections to targets: opened, kept for reuse, closed.
//!
//! How many are open, and which may be used again, is decided by
//! [`steer::connection::pool`].
//!
//! Invariant: only a connection whose last answer was read to its end goes back
//! to the pool. A cancelled, late or broken exchange drops its connection, so
//! that a late answer can't be read as the answer to the next request.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1;
use smol::net;
use steer::clock::Time;
use steer::connection::pool;
use thiserror::Error;

use super::Request;
use crate::daemon::workers::Executor;

/// Connections kept open to each target ahead of need.
const WARM: usize = 2;

/// Why there is no answer's head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// No byte of the request left.
    #[error("no connection could be opened; check that the target listens")]
    Unsent,
    /// As many connections are open as may be.
    #[error("all connections to the target are in use; raise `target_connections`")]
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
    /// Moves the bytes; ends with the connection.
    _driver: smol::Task<()>,
}

type Busy = pool::Connection<Link, pool::Busy>;

/// Counts a connection as open until it is given back or dropped.
struct Seat {
    pools: Arc<Pools>,
    addr: SocketAddr,
    kept: bool,
}

impl Drop for Seat {
    fn drop(&mut self) {
        if !self.kept {
            self.pools.closed(self.addr);
        }
    }
}

/// An answer's head, and the connection its body comes on.
pub struct Exchange {
    /// The head, and the body still to be read.
    pub response: hyper::Response<Incoming>,
    busy: Busy,
    seat: Seat,
}

/// What is left of an exchange while its body is read.
pub struct Rest {
    busy: Busy,
    seat: Seat,
}

impl Exchange {
    /// The answer, apart from the connection it comes on.
    pub fn split(self) -> (hyper::Response<Incoming>, Rest) {
        let Self {
            response,
            busy,
            seat,
        } = self;
        (response, Rest { busy, seat })
    }
}

impl Rest {
    /// The answer was read to its end: the connection may be used again.
    pub fn put_back(self, now: Time) {
        let Self { busy, mut seat } = self;
        let idle = busy.whole();
        seat.kept = true;
        let pools = Arc::clone(&seat.pools);
        pools.with(seat.addr, |pool| pool.give(now, idle));
    }
}

/// The connections of one target.
struct Target {
    addr: SocketAddr,
    pool: pool::Pool<Link>,
}

/// Pools of all targets, sorted by address.
pub struct Pools {
    executor: Executor,
    bound: usize,
    targets: Mutex<Vec<Target>>,
}

impl Pools {
    /// No connections yet; at most `bound` to each target.
    pub fn new(executor: Executor, bound: usize) -> Arc<Self> {
        Arc::new(Self {
            executor,
            bound,
            targets: Mutex::new(Vec::new()),
        })
    }

    /// Sends a request on an idle connection, or else on a new one. A kept
    /// connection that turns out closed before anything left is passed over.
    pub async fn send(
        self: &Arc<Self>,
        addr: SocketAddr,
        request: Request,
    ) -> Result<Exchange, Error> {
        let mut request = request;
        loop {
            let taken = self.with(addr, pool::Pool::take);
            let (busy, fresh) = match taken {
                pool::Taken::Full => return Err(Error::Full),
                pool::Taken::Open(busy) => (Some(busy), false),
                pool::Taken::Permit => (None, true),
            };
            let seat = Seat {
                pools: Arc::clone(self),
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

    /// Keeps pools for these targets, sorted, and drops the idle connections of
    /// all others.
    pub fn renew(&self, addrs: &[SocketAddr]) {
        let mut targets = self.lock();
        targets.retain(|t| t.pool.open() > 0 && addrs.binary_search(&t.addr).is_ok());
        drop(targets);
        for &addr in addrs {
            self.with(addr, |_| ());
        }
    }

    /// Opens connections ahead of need and closes those idle too long.
    pub fn upkeep(self: &Arc<Self>, now: Time) {
        let mut wanted = Vec::new();
        let mut stale = Vec::new();
        for target in self.lock().iter_mut() {
            stale.extend(target.pool.expire(now));
            if target.pool.wants() {
                wanted.push(target.addr);
            }
        }
        drop(stale);
        for addr in wanted {
            let pools = Arc::clone(self);
            let warm = async move {
                match pools.connect(addr).await {
                    Ok(link) => {
                        let idle = pool::Connection::warm(link);
                        pools.with(addr, |pool| pool.give(now, idle));
                    }
                    Err(_) => pools.closed(addr),
                }
            };
            self.executor.spawn(warm).detach();
        }
    }

    async fn connect(&self, addr: SocketAddr) -> Result<Link, Error> {
        let stream = net::TcpStream::connect(addr).await;
        let stream = stream.map_err(|_| Error::Unsent)?;
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
            _driver: driver,
        })
    }

    /// A connection was closed. Its target may be gone from the list.
    fn closed(&self, addr: SocketAddr) {
        let mut targets = self.lock();
        if let Ok(at) = targets.binary_search_by_key(&addr, |t| t.addr) {
            targets[at].pool.closed();
        }
    }

    fn with<T>(&self, addr: SocketAddr, work: impl FnOnce(&mut pool::Pool<Link>) -> T) -> T {
        let mut targets = self.lock();
        let at = match targets.binary_search_by_key(&addr, |t| t.addr) {
            Ok(at) => at,
            Err(at) => {
                let pool = pool::Pool::new(self.bound, WARM);
                targets.insert(at, Target { addr, pool });
                at
            }
        };
        work(&mut targets[at].pool)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Target>> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends on one connection; an error hands the request back if it never left.
async fn exchange(
    mut busy: Busy,
    seat: Seat,
    request: Request,
) -> Result<Exchange, (Error, Option<Request>)> {
    let sender = &mut busy.get().sender;
    if sender.ready().await.is_err() {
        return Err((Error::Unsent, Some(request)));
    }
    match sender.try_send_request(request).await {
        Ok(response) => Ok(Exchange {
            response,
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

//! Client-side HTTP/1.1 connection pool.
//!
//! It is built on `hyper`, since `trillium-client` can't tell a request that was
//! never sent from one that may have been, sends `Expect: 100-continue` before each
//! body, reads a body delimited by the end of its connection as empty, and panics on
//! an unknown status.
//! [`steer::connection::pool`] decides how many connections are open and which are
//! reused.
//!
//! Invariants: [`Error::Unreachable`] and [`Error::Unsent`] are returned only if no byte
//! of the request left this process. Only a connection whose last response was read to its end returns
//! to the pool: a cancelled, late or broken exchange drops its connection, so that
//! a late response can't be read as the response to the next request. Neither does one
//! that carried a long request body, since the next request could wait behind it.

mod progress;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use futures_lite::future;
use http_body_util::Full;
use hyper::StatusCode;
use hyper::body::{Body, Bytes};
use hyper::client::conn::http1;
use smol::net;
use steer::clock::Time;
use steer::connection::pool;
use thiserror::Error;

pub use progress::ResponseBody;
use progress::{Allowance, Metered};

/// Request with its complete body.
pub type Request = hyper::Request<Full<Bytes>>;

/// Executor that drives the connections.
pub type Executor = Arc<smol::Executor<'static>>;

/// Limits of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Upper bound on open connections to each address.
    pub connections_max: usize,
    /// Idle connections opened to each address ahead of demand.
    pub warm_connections: usize,
    /// Timeout for opening a connection. Where packets are dropped, only this timeout
    /// distinguishes a request that was not sent from one without an answer in
    /// time.
    pub connect_timeout: Duration,
    /// Largest read buffer of a connection in bytes, 8192 at least, which also bounds the
    /// head of a response; `None` for the library's bound of some 400 KiB.
    pub read_buffer_max: Option<usize>,
}

/// Whether a status may be that of a response that answers a request: HTTP defines none
/// above 599, and after an interim response another one follows.
#[must_use]
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Read buffers that a peer may fill while its response makes no progress. More than
/// one, since bytes are read ahead of what has been taken of the body.
const BUFFERS_WITHOUT_PROGRESS: usize = 8;

/// Longest request body, in bytes, that a connection carries and is used again. A peer may
/// respond before it has read a body, and reads the next request only behind the rest of it,
/// however much later. What the system holds of it can't be told.
const REUSABLE_BODY_BYTES_MAX: u64 = 8 << 10;

/// The library's bound on a read buffer, in bytes.
const LIBRARY_BUFFER_MAX: usize = 400 << 10;

/// How a connection failed to open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFault {
    /// The peer's machine refused it: nothing listens on the address.
    Refused,
    /// It was reset while it was being opened.
    Reset,
    /// It was not open within the connect timeout.
    TimedOut,
    /// The system reported another error.
    Other,
}

impl ConnectFault {
    /// Name in log lines and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Reset => "reset",
            Self::TimedOut => "timeout",
            Self::Other => "other",
        }
    }
}

impl From<io::Error> for ConnectFault {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => Self::Refused,
            io::ErrorKind::ConnectionReset => Self::Reset,
            io::ErrorKind::TimedOut => Self::TimedOut,
            _ => Self::Other,
        }
    }
}

/// Reasons why no response head was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// No connection could be opened; nothing was sent.
    #[error("the request was not sent: no connection to the peer; check that it listens")]
    Unreachable(ConnectFault),
    /// The connection was closed before a byte of the request was sent.
    #[error("the request was not sent: the peer closed the connection; retry it")]
    Unsent,
    /// The limit on open connections is reached; nothing was sent.
    #[error(
        "the limit on open connections to the address is reached; nothing was sent; raise the limit or retry later"
    )]
    Full,
    /// The sender's condition no longer held when a connection was ready; nothing was
    /// sent.
    #[error("the request was withheld before it was sent; decide anew where to send it")]
    Withheld,
    /// The connection broke after a byte may have been sent.
    #[error("the connection broke; the request may have been executed")]
    Broken,
    /// The response is not valid HTTP, has a status that is none, or goes on without making progress.
    #[error("malformed response; the request may have been executed")]
    Malformed,
}

/// Open HTTP connection. Dropping it closes the socket, even with a request in
/// flight.
struct HttpLink {
    sender: http1::SendRequest<Full<Bytes>>,
    allowance: Allowance,
    /// Whether a request was sent on this connection.
    is_used: bool,
    /// Task that performs the I/O; it is cancelled when dropped.
    _driver: smol::Task<()>,
}

type Busy = pool::Connection<HttpLink, pool::Busy>;

/// Guard that counts a connection as open. Dropping it frees the count, unless the
/// connection was returned to the pool.
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

/// Response head, with the connection that carries the body.
pub struct Exchange {
    /// Response head, and the body still to be read.
    pub response: hyper::Response<ResponseBody>,
    is_first: bool,
    is_reusable: bool,
    busy: Busy,
    slot: OpenSlot,
}

/// Connection of an exchange whose response body is being read. Dropping it closes
/// the connection.
pub struct PendingBody {
    is_first: bool,
    is_reusable: bool,
    busy: Busy,
    slot: OpenSlot,
}

impl Exchange {
    /// Separates the response from its connection.
    #[must_use]
    pub fn split(self) -> (hyper::Response<ResponseBody>, PendingBody) {
        let Self {
            response,
            is_first,
            is_reusable,
            busy,
            slot,
        } = self;
        let pending = PendingBody {
            is_first,
            is_reusable,
            busy,
            slot,
        };
        (response, pending)
    }
}

impl PendingBody {
    /// Returns whether the exchange was the first on its connection, so that its
    /// response can't be a leftover of an earlier exchange.
    #[must_use]
    pub const fn is_first(&self) -> bool {
        self.is_first
    }

    /// Returns the connection to the pool, or closes it if the request's body was long. To be
    /// called only once the response body was read to its end.
    pub fn put_back(self) {
        if !self.is_reusable {
            return;
        }
        let Self { busy, mut slot, .. } = self;
        let idle = busy.into_idle();
        slot.is_returned = true;
        let pool = Arc::clone(&slot.pool);
        let now = pool.now();
        pool.with(slot.addr, |connections| connections.put(now, idle));
    }
}

/// Connections to one address.
struct AddressPool {
    addr: SocketAddr,
    pool: pool::Pool<HttpLink>,
}

/// Pool of connections to any number of addresses, sorted by address.
pub struct Pool {
    start: Instant,
    executor: Executor,
    limits: Limits,
    /// Addresses of peers, each with the one to connect to instead; sorted.
    translations: Vec<(SocketAddr, SocketAddr)>,
    pools: Mutex<Vec<AddressPool>>,
}

impl Pool {
    /// Creates a pool without connections.
    #[must_use]
    pub fn new(executor: Executor, limits: Limits) -> Arc<Self> {
        Self::with_translations(executor, limits, Vec::new())
    }

    /// Creates a pool without connections, which reaches some peers at other addresses
    /// than those that requests name: pairs of both, sorted.
    #[must_use]
    pub fn with_translations(
        executor: Executor,
        limits: Limits,
        translations: Vec<(SocketAddr, SocketAddr)>,
    ) -> Arc<Self> {
        Arc::new(Self {
            start: Instant::now(),
            executor,
            limits,
            translations,
            pools: Mutex::new(Vec::new()),
        })
    }

    /// Sends a request on an idle connection, or on a new one if there is none. If an
    /// idle connection turns out to be closed before a byte was sent, the next one is
    /// tried.
    ///
    /// # Errors
    /// If no response head arrived; the error tells whether the request may have been
    /// sent.
    pub async fn send(
        self: &Arc<Self>,
        addr: SocketAddr,
        request: Request,
    ) -> Result<Exchange, Error> {
        self.send_if(addr, request, |_| true).await
    }

    /// Like [`Pool::send`], but calls `prepare` when a connection is ready for the request:
    /// it sets what depends on that moment, and the request is sent only if it returns
    /// true.
    ///
    /// # Errors
    /// [`Error::Withheld`] if it returns false; otherwise those of [`Pool::send`].
    pub async fn send_if(
        self: &Arc<Self>,
        addr: SocketAddr,
        request: Request,
        prepare: impl Fn(&mut Request) -> bool,
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
            match exchange(busy, slot, request, &prepare).await {
                Ok(exchange) => return Ok(exchange),
                Err((Error::Withheld, _)) => return Err(Error::Withheld),
                Err((_, Some(unsent))) if !is_new => request = unsent,
                Err((error, _)) => return Err(error),
            }
        }
    }

    /// Sends a request on a new connection if `prepare` allows it when that is open. Its
    /// response can't be a leftover of an earlier exchange, and no idle connection can
    /// be closed by the peer just as the request is sent, which would leave its outcome
    /// unknown.
    ///
    /// # Errors
    /// [`Error::Withheld`] if `prepare` returns false, another if no response head
    /// arrived; the error tells whether the request may have been sent.
    pub async fn send_dedicated_if(
        self: &Arc<Self>,
        addr: SocketAddr,
        request: Request,
        prepare: impl Fn(&mut Request) -> bool,
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
                let answered = exchange(busy, slot, request, &prepare).await;
                answered.map_err(|(error, _)| error)
            }
        }
    }

    /// Opens a connection and closes it, to see whether the peer can be reached.
    ///
    /// # Errors
    /// [`Error::Unreachable`] if no connection opens in time.
    pub async fn probe(&self, addr: SocketAddr) -> Result<(), Error> {
        self.connect(addr).await.map(drop)
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        let mut pools = self.lock();
        let closed: Vec<HttpLink> = pools.iter_mut().flat_map(|p| p.pool.drain_idle()).collect();
        drop(pools);
        drop(closed);
    }

    /// Keeps the pools of these addresses, which must be sorted, and drops the idle
    /// connections to all others.
    pub fn retain_addresses(&self, addrs: &[SocketAddr]) {
        let mut pools = self.lock();
        pools.retain(|p| p.pool.open() > 0 && addrs.binary_search(&p.addr).is_ok());
        drop(pools);
        for &addr in addrs {
            self.with(addr, |_| ());
        }
    }

    /// Opens connections ahead of demand and closes those that were idle too long.
    pub fn maintain(self: &Arc<Self>) {
        let now = self.now();
        let mut to_warm = Vec::new();
        let mut expired = Vec::new();
        for entry in self.lock().iter_mut() {
            expired.extend(entry.pool.expire(now));
            if entry.pool.reserve_warm() {
                to_warm.push(entry.addr);
            }
        }
        drop(expired);
        for addr in to_warm {
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
        let found = self.translations.binary_search_by_key(&addr, |t| t.0);
        let addr = found.map_or(addr, |at| self.translations[at].1);
        let opened = async { net::TcpStream::connect(addr).await.map_err(From::from) };
        let timeout = async {
            smol::Timer::after(self.limits.connect_timeout).await;
            Err(ConnectFault::TimedOut)
        };
        let stream = future::or(opened, timeout).await;
        let stream = stream.map_err(Error::Unreachable)?;
        // An error is harmless: without it, requests are slightly delayed.
        let _ = stream.set_nodelay(true);
        let buffer = self.limits.read_buffer_max.unwrap_or(LIBRARY_BUFFER_MAX);
        let allowance = Allowance::new(BUFFERS_WITHOUT_PROGRESS * buffer);
        let metered = Metered {
            stream,
            allowance: allowance.clone(),
        };
        let io = smol_hyper::rt::FuturesIo::new(metered);
        let mut builder = http1::Builder::new();
        // Otherwise a body is copied to the connection's buffer, which keeps its size.
        builder.writev(true);
        if let Some(bytes) = self.limits.read_buffer_max {
            builder.max_buf_size(bytes);
        }
        let (sender, driver) = builder.handshake(io).await.map_err(|_| Error::Unsent)?;
        let driver = self.executor.spawn(async {
            // Errors are reported to the pending request by the sender.
            let _ = driver.await;
        });
        Ok(HttpLink {
            sender,
            allowance,
            is_used: false,
            _driver: driver,
        })
    }

    /// Counts a connection as closed. Its address may have been removed meanwhile.
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

/// Sends a request on one connection, unless `prepare` returns false when that is ready;
/// then the connection returns to the pool. An error includes the request if no byte of
/// it was sent.
async fn exchange(
    mut busy: Busy,
    slot: OpenSlot,
    mut request: Request,
    prepare: &impl Fn(&mut Request) -> bool,
) -> Result<Exchange, (Error, Option<Request>)> {
    let link = busy.get();
    if link.sender.ready().await.is_err() {
        return Err((Error::Unsent, Some(request)));
    }
    let is_first = !link.is_used;
    if !prepare(&mut request) {
        let unused = PendingBody {
            is_first,
            is_reusable: true,
            busy,
            slot,
        };
        unused.put_back();
        return Err((Error::Withheld, Some(request)));
    }
    link.is_used = true;
    link.allowance.renew();
    let allowance = link.allowance.clone();
    let length = request.body().size_hint().exact();
    let is_reusable = length.is_some_and(|length| length <= REUSABLE_BODY_BYTES_MAX);
    match link.sender.try_send_request(request).await {
        Ok(response) if !is_final(response.status()) => Err((Error::Malformed, None)),
        Ok(response) => Ok(Exchange {
            response: response.map(|incoming| ResponseBody {
                incoming,
                allowance,
            }),
            is_first,
            is_reusable,
            busy,
            slot,
        }),
        Err(mut failed) => match failed.take_message() {
            Some(unsent) => Err((Error::Unsent, Some(unsent))),
            None if failed.error().is_parse() || allowance.is_used_up() => {
                Err((Error::Malformed, None))
            }
            None => Err((Error::Broken, None)),
        },
    }
}

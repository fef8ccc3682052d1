//! Accepts connections and drains them at shutdown; defines the service that answers
//! their requests.
//!
//! Invariant: a connection is counted from its accept until it is closed.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use futures_lite::{AsyncWriteExt, future};
use http1::fault::Fault;
use hyper::StatusCode;
use hyper::body::Bytes;
use settings::direct::Settings;
use smol::net;

use super::connection::{Caller, Connection, IncomingRequest};
use super::{Executor, Phase, Shared};

/// Response to a caller, with its complete body.
pub type Response = hyper::Response<Bytes>;

/// Answers the requests of connections.
pub trait Service: Clone + Send + Sync + 'static {
    /// Memory reserved for the body of a request; released on drop.
    type Reservation: Send + 'static;

    /// Limits on a connection and its requests, as currently configured.
    fn limits(&self) -> Limits;

    /// Reserves memory for a body of `length` bytes, or of unknown length. `None` if
    /// there is not enough.
    fn reserve_body(&self, length: Option<u64>) -> Option<Self::Reservation>;

    /// Builds the last response on a connection whose input can't be read further.
    fn error_response(&self, caller: Caller, error: ReadError) -> Response;

    /// Whether a request may run more than once. Only then do other requests of its
    /// connection run at the same time.
    fn is_idempotent(&self, request: &hyper::Request<Bytes>) -> bool;

    /// Answers a request. Dropping the future cancels the request.
    fn answer(
        &self,
        incoming: IncomingRequest<Self::Reservation>,
    ) -> impl Future<Output = Response> + Send + use<Self>;

    /// State of the process.
    fn shared(&self) -> &Arc<Shared>;

    /// Whether the process is shutting down.
    fn is_leaving(&self) -> bool {
        self.shared().phase() >= Phase::Leaving
    }
}

/// Why a request is not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// It is malformed or exceeds a size limit.
    Fault(Fault),
    /// Not enough memory is left for its body.
    NoMemory,
    /// It did not arrive within the request timeout.
    TimedOut,
}

impl ReadError {
    /// Status of the response.
    pub const fn status(self) -> StatusCode {
        match self {
            Self::Fault(fault) => fault.status(),
            Self::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
            Self::TimedOut => StatusCode::REQUEST_TIMEOUT,
        }
    }

    /// Cause as counted in metrics and logged.
    pub const fn cause(self) -> &'static str {
        match self {
            Self::Fault(Fault::Head) => "head",
            Self::Fault(Fault::LongHead) => "long-head",
            Self::Fault(Fault::Length) => "length",
            Self::Fault(Fault::Chunk) => "chunk",
            Self::Fault(Fault::LongBody) => "long-body",
            Self::NoMemory => "memory",
            Self::TimedOut => "slow",
        }
    }
}

/// Counts open connections and enforces their maximum. Clones share the count.
#[derive(Clone, Debug)]
pub struct ConnectionCount {
    open: Arc<AtomicUsize>,
    max: usize,
}

impl ConnectionCount {
    /// Allows `max` connections at a time.
    pub fn new(max: usize) -> Self {
        Self {
            open: Arc::default(),
            max,
        }
    }

    /// Counts one more connection until the guard is dropped; `None` at the maximum.
    fn acquire(&self) -> Option<CountGuard> {
        let guard = CountGuard(Arc::clone(&self.open));
        let before = self.open.fetch_add(1, Ordering::Relaxed);
        // At the maximum, the drop of `guard` takes the count back.
        (before < self.max).then_some(guard)
    }

    /// Number of open connections.
    pub fn get(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }
}

/// File descriptors kept back for the log, listeners, the store and other instances.
const RESERVED_DESCRIPTORS: u64 = 48;

/// Callers' connections allowed at a time: half of the usable file descriptors, as
/// each request also needs a connection to a target.
pub fn max_connections(settings: &Settings) -> usize {
    let max = settings.descriptors.saturating_sub(RESERVED_DESCRIPTORS) / 2;
    usize::try_from(max).unwrap_or(usize::MAX)
}

/// Counts one open connection until it is dropped.
struct CountGuard(Arc<AtomicUsize>);

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Limits on a connection and each request on it.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest head of a request, in bytes.
    pub head: usize,
    /// Longest body, in bytes.
    pub body: usize,
    /// Time for a request to arrive completely, and for blocked output to move on.
    pub request_timeout: Duration,
    /// Time after which a connection without requests is closed.
    pub idle_timeout: Duration,
}

/// Delay after a failed accept. When descriptors run out, a retry without a delay
/// would spin until some are closed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Response to a connection beyond the maximum; its request is not read.
const TOO_MANY_CONNECTIONS: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Accepts connections and serves each in a task of its own. Ends when the process
/// starts to close connections, and closes the socket, so that callers are refused at
/// once. What they had opened by then is served, or closed if no request has arrived.
pub async fn accept<S: Service>(
    service: S,
    socket: net::TcpListener,
    executor: Executor,
    count: ConnectionCount,
) {
    let shared = Arc::clone(service.shared());
    let next_id = AtomicU64::new(0);
    loop {
        // Connections that are open already go first, or closing the socket would reset them.
        let accepted = async { Some(socket.accept().await) };
        let closing = async {
            shared.until_closing().await;
            None
        };
        let (mut stream, addr) = match future::or(accepted, closing).await {
            None => return,
            Some(Ok(accepted)) => accepted,
            Some(Err(_)) => {
                smol::Timer::after(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Some(guard) = count.acquire() else {
            shared.metrics.rejected_connections.inc();
            // Best effort: the caller may have disconnected already.
            let _ = stream.write(TOO_MANY_CONNECTIONS).await;
            continue;
        };
        // Not fatal: without it answers are only a little later.
        let _ = stream.set_nodelay(true);
        let caller = Caller {
            ip: addr.ip(),
            connection_id: next_id.fetch_add(1, Ordering::Relaxed),
        };
        let connection = Connection::new(service.clone(), stream, caller);
        let shared = Arc::clone(&shared);
        let serve = async move {
            let _guard = guard;
            connection.serve(shared.until_closing()).await;
        };
        executor.spawn(serve).detach();
    }
}

/// Fraction of the grace period during which a stopping process accepts connections
/// and keeps idle ones open: callers use its address until they resolve it again.
const CLOSE_IDLE_RATIO: f64 = 0.45;

/// Time before the end of the grace period that the process keeps to end by itself.
const END_RESERVE: Duration = Duration::from_millis(300);

/// Largest part of a short grace period that is kept for it.
const END_RESERVE_RATIO_MAX: f64 = 0.1;

/// Time without any open connection after which draining ends early.
const NO_CONNECTIONS_PERIOD: Duration = Duration::from_millis(300);

/// Time between two looks at the connections that are open.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Longest time from the stop signal to the end of the process.
pub fn shutdown_timeout(settings: &Settings) -> Duration {
    let grace = settings.bounds.grace;
    let reserve = END_RESERVE.min(grace.mul_f64(END_RESERVE_RATIO_MAX));
    grace.saturating_sub(reserve)
}

/// Waits until no connection has been open for a while, [`shutdown_timeout`] from
/// `start` at most, and closes idle connections on the way.
pub async fn drain(shared: &Shared, start: Instant) {
    let grace = shared.settings.bounds.grace;
    let count = &shared.connections;
    let mut last_open = start;
    loop {
        let left = shutdown_timeout(&shared.settings).saturating_sub(start.elapsed());
        if left.is_zero() {
            return;
        }
        if start.elapsed() > grace.mul_f64(CLOSE_IDLE_RATIO) {
            shared.start_closing();
        }
        if count.get() > 0 || shared.relayed.get() > 0 || shared.phase() < Phase::Closing {
            last_open = Instant::now();
        }
        if last_open.elapsed() >= NO_CONNECTIONS_PERIOD {
            return;
        }
        smol::Timer::after(DRAIN_CHECK_INTERVAL.min(left)).await;
    }
}

/// Response without a body.
pub fn empty_response(status: StatusCode) -> Response {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    response
}

//! Listening, and what whoever answers callers must say to connections.
//!
//! Invariant: a connection is counted from its accepting to its end.

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

use super::connection::{Arrival, Caller, Connection};
use super::{Executor, Phase, Shared};

/// An answer as it leaves.
pub type Response = hyper::Response<Bytes>;

/// Answers the requests of connections.
pub trait Service: Clone + Send + Sync + 'static {
    /// Memory reserved for the body of a request; released on drop.
    type Reservation: Send + 'static;

    /// Bounds on a connection that is opened now.
    fn limits(&self) -> Limits;

    /// Reserves memory for a body of `length` bytes, or of unknown length. `None` if
    /// there is not enough.
    fn reserve_body(&self, length: Option<u64>) -> Option<Self::Reservation>;

    /// Tells a caller why its connection ends unread.
    fn refuse(&self, caller: Caller, why: Refusal) -> Response;

    /// Whether a request may repeat, so that others may run beside it.
    fn is_idempotent(&self, request: &hyper::Request<Bytes>) -> bool;

    /// Answers a request. Dropped, it must not run any further.
    fn answer(
        &self,
        arrival: Arrival<Self::Reservation>,
    ) -> impl Future<Output = Response> + Send + use<Self>;

    /// The process all this is in.
    fn shared(&self) -> &Arc<Shared>;

    /// Whether the process is on its way out.
    fn is_leaving(&self) -> bool {
        self.shared().phase() >= Phase::Leaving
    }
}

/// Why something that a caller sends isn't read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It can't be read.
    Fault(Fault),
    /// There is no memory for its body.
    NoRoom,
    /// It didn't arrive in time.
    Slow,
}

impl Refusal {
    /// The status that says so.
    pub const fn status(self) -> StatusCode {
        match self {
            Self::Fault(fault) => fault.status(),
            Self::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
            Self::Slow => StatusCode::REQUEST_TIMEOUT,
        }
    }

    /// A word for log lines.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Fault(Fault::Head) => "head",
            Self::Fault(Fault::LongHead) => "long-head",
            Self::Fault(Fault::Length) => "length",
            Self::Fault(Fault::Chunk) => "chunk",
            Self::Fault(Fault::LongBody) => "long-body",
            Self::NoRoom => "memory",
            Self::Slow => "slow",
        }
    }
}

/// Open connections, and how many there may be.
#[derive(Clone, Debug)]
pub struct ConnectionCount {
    open: Arc<AtomicUsize>,
    most: usize,
}

impl ConnectionCount {
    /// None open, `most` at a time.
    pub fn new(most: usize) -> Self {
        Self {
            open: Arc::default(),
            most,
        }
    }

    /// Counts one more, if there is room for it.
    fn enter(&self) -> Option<Entered> {
        let entered = Entered(Arc::clone(&self.open));
        let before = self.open.fetch_add(1, Ordering::Relaxed);
        // Dropped here, it is no longer counted.
        (before < self.most).then_some(entered)
    }

    /// How many there are.
    pub fn get(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }
}

/// Descriptors that callers' connections leave to the log, listeners, the store
/// and other instances.
const RESERVE: u64 = 48;

/// Callers' connections at a time: each request needs a connection to a target
/// besides its own.
pub fn max_connections(settings: &Settings) -> usize {
    let most = settings.descriptors.saturating_sub(RESERVE) / 2;
    usize::try_from(most).unwrap_or(usize::MAX)
}

struct Entered(Arc<AtomicUsize>);

impl Drop for Entered {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Bounds on what one caller may hold, where the operator sets none.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest head of a request in bytes.
    pub head: usize,
    /// Longest body in bytes.
    pub body: usize,
    /// Time for a request to arrive.
    pub whole: Duration,
    /// Time that a connection may lie idle.
    pub idle: Duration,
}

/// Pause after a failed accept: descriptors ran out, and trying at once would
/// spin until some are returned.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Sent to a caller for whom there is no connection; its request isn't read.
const TOO_MANY: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Accepts until the process closes its connections. A request that came later
/// than that could outlast the grace time and be cut.
pub async fn accept<S: Service>(
    service: S,
    socket: net::TcpListener,
    executor: Executor,
    count: ConnectionCount,
) {
    let shared = Arc::clone(service.shared());
    let numbers = AtomicU64::new(0);
    loop {
        let accepted = async { Some(socket.accept().await) };
        let closing = async {
            shared.until_closing().await;
            None
        };
        let (mut stream, addr) = match future::or(closing, accepted).await {
            None => return,
            Some(Ok(accepted)) => accepted,
            Some(Err(_)) => {
                smol::Timer::after(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Some(entered) = count.enter() else {
            shared.metrics.rejected_connections.inc();
            // It may have left already; its request isn't read in any case.
            let _ = stream.write(TOO_MANY).await;
            continue;
        };
        // Not fatal: answers are only a little later without it.
        let _ = stream.set_nodelay(true);
        let caller = Caller {
            ip: addr.ip(),
            number: numbers.fetch_add(1, Ordering::Relaxed),
        };
        let connection = Connection::new(service.clone(), stream, caller);
        let shared = Arc::clone(&shared);
        let serve = async move {
            let _entered = entered;
            connection.serve(shared.until_closing()).await;
        };
        executor.spawn(serve).detach();
    }
}

/// Part of the grace time for which a leaving process keeps idle connections
/// open: callers that still know its address come until they have asked anew.
const LINGER: f64 = 0.45;

/// Part of the grace time after which it ends, whatever is open.
const END: f64 = 0.93;

/// Time for which no connection may be open before the process ends.
const QUIET: Duration = Duration::from_millis(300);

/// Time from the word to stop to the end of the process, at most.
pub fn shutdown_timeout(settings: &Settings) -> Duration {
    settings.bounds.grace.mul_f64(END)
}

/// Waits until callers have gone, at most for the grace time, which runs since
/// `start`.
pub async fn drain(shared: &Shared, start: Instant) {
    let grace = shared.settings.bounds.grace;
    let count = &shared.connections;
    let mut quiet = start;
    while start.elapsed() < shutdown_timeout(&shared.settings) {
        if start.elapsed() > grace.mul_f64(LINGER) {
            shared.start_closing();
        }
        if count.get() > 0 || shared.phase() < Phase::Closing {
            quiet = Instant::now();
        }
        if quiet.elapsed() >= QUIET {
            return;
        }
        smol::Timer::after(Duration::from_millis(50)).await;
    }
}

/// An answer without a body.
pub fn empty(status: StatusCode) -> Response {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    response
}

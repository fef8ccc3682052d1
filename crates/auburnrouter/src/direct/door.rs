//! Listening, and speaking HTTP on what is accepted.
//!
//! `hyper` rather than the house's HTTP library: it rejects two lengths in one
//! request, drops a request's future when its caller closes the connection,
//! and can end idle connections without cutting a request.
//!
//! Invariant: a connection is counted from its accepting to its end.

use std::convert::Infallible;
use std::future::Future;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use futures_lite::{AsyncWriteExt, future};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use settings::direct::Settings;
use smol::net;
use smol_hyper::rt::FuturesIo;

use super::{Executor, Phase, Shared};
use crate::daemon::guarded::{Bounds, Guarded, Serving};

/// A request as it arrives.
pub type Request = hyper::Request<Incoming>;
/// An answer as it leaves.
pub type Response = hyper::Response<Full<Bytes>>;

/// Who a request comes from.
#[derive(Clone, Copy, Debug)]
pub struct Caller(pub IpAddr);

/// Open connections, and how many there may be.
#[derive(Clone, Debug)]
pub struct Count {
    open: Arc<AtomicUsize>,
    most: usize,
}

impl Count {
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
pub fn most(settings: &Settings) -> usize {
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

/// Smallest buffer that the HTTP library takes.
const BUFFER_LEAST: usize = 8192;

/// Pause after a failed accept: descriptors ran out, and trying at once would
/// spin until some are returned.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Sent to a caller whose request doesn't arrive in time.
const TOO_SLOW: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Sent to a caller for whom there is no connection; its request isn't read.
const TOO_MANY: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Accepts until the process closes its connections. A request that came later
/// than that could outlast the grace time and be cut.
pub async fn accept<H, F>(
    shared: Arc<Shared>,
    socket: net::TcpListener,
    executor: Executor,
    count: Count,
    limits: impl Fn(&Shared) -> Limits + Send + Sync + 'static,
    handle: H,
) where
    H: Fn(Arc<Shared>, Request, Serving) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    loop {
        let accepted = async { Some(socket.accept().await) };
        let closing = async {
            shared.closed().await;
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
            shared.metrics.turned_away.inc();
            // It may have left already; its request isn't read in any case.
            let _ = stream.write(TOO_MANY).await;
            continue;
        };
        let limits = limits(&shared);
        let shared = Arc::clone(&shared);
        let handle = handle.clone();
        let serve = async move {
            let _entered = entered;
            connection(shared, stream, Caller(addr.ip()), limits, handle).await;
        };
        executor.spawn(serve).detach();
    }
}

async fn connection<H, F>(
    shared: Arc<Shared>,
    stream: net::TcpStream,
    caller: Caller,
    limits: Limits,
    handle: H,
) where
    H: Fn(Arc<Shared>, Request, Serving) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    // Not fatal: answers are only a little later without it.
    let _ = stream.set_nodelay(true);
    let bounds = Bounds {
        whole: limits.whole,
        idle: limits.idle,
        ahead: limits.head + limits.body,
    };
    let guarded = Guarded::new(stream, bounds, TOO_SLOW);
    let serving = guarded.serving();
    let asked = Arc::clone(&shared);
    let service = service_fn(move |mut request: Request| {
        request.extensions_mut().insert(caller);
        let answer = handle(Arc::clone(&asked), request, serving.clone());
        let shared = Arc::clone(&asked);
        async move {
            let mut answer = answer.await;
            if shared.phase() >= Phase::Leaving {
                let close = hyper::header::HeaderValue::from_static("close");
                answer
                    .headers_mut()
                    .insert(hyper::header::CONNECTION, close);
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(limits.head.max(BUFFER_LEAST));
    let connection = builder.serve_connection(FuturesIo::new(guarded), service);
    let mut connection = std::pin::pin!(connection);
    let closing = async {
        shared.closed().await;
        None
    };
    let served = async { Some(connection.as_mut().await) };
    if future::or(served, closing).await.is_none() {
        connection.as_mut().graceful_shutdown();
        // Its caller or the connection ended: nobody is left to tell.
        let _ = connection.await;
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
pub fn last(settings: &Settings) -> Duration {
    settings.bounds.grace.mul_f64(END)
}

/// Waits until callers have gone, at most for the grace time, which runs since
/// `start`.
pub async fn drained(shared: &Shared, start: Instant) {
    let grace = shared.settings.bounds.grace;
    let count = &shared.count;
    let mut quiet = start;
    while start.elapsed() < last(&shared.settings) {
        if start.elapsed() > grace.mul_f64(LINGER) {
            shared.close();
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
pub fn empty(status: hyper::StatusCode) -> Response {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

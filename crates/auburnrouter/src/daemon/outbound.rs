//! Sends attempts, cancellations and probes to targets.
//!
//! Invariant: [`dispatch::AttemptOutcome::Unreachable`] is returned only if no byte of
//! the request left this process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use steer::process::dispatch;
use steer::request::answer;
use steer::version::view;
use wire::{headers, target};

use super::inbound::{self, Inbound};
use super::workers::Executor;

/// Maximum size of the body of a target's answer.
const ANSWER_MAX_BYTES: usize = 16 << 20;

/// Timeout for connecting to a target, which is in this failure domain. After it
/// the request has certainly not been sent and can go to another target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of connections opened to each target in advance.
const WARM_CONNECTIONS: usize = 2;

/// Timeout of the call that cancels an attempt at a target.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// Client of targets, with a connection pool.
pub struct Outbound {
    pool: Arc<pool::Pool>,
}

/// An attempt to be sent to a target.
pub struct Attempt<'a> {
    /// Name of the attempt, unique across processes.
    pub name: &'a str,
    /// Address of the target.
    pub addr: SocketAddr,
    /// Request to send.
    pub request: &'a Inbound,
    /// Time left until the deadline.
    pub budget: Duration,
}

/// Outcome of an attempt, with the target's report of its load and state.
pub struct AttemptResult {
    /// Outcome of the attempt.
    pub outcome: dispatch::AttemptOutcome,
    /// Report in the answer's headers, if any.
    pub report: Option<dispatch::Report>,
}

impl From<dispatch::AttemptOutcome> for AttemptResult {
    fn from(outcome: dispatch::AttemptOutcome) -> Self {
        Self {
            outcome,
            report: None,
        }
    }
}

impl Outbound {
    /// Creates a client that opens at most `connections_max` connections per target.
    #[must_use]
    pub fn new(executor: Executor, connections_max: usize) -> Self {
        let limits = pool::Limits {
            connections_max,
            warm_connections: WARM_CONNECTIONS,
            connect_timeout: CONNECT_TIMEOUT,
            read_buffer_max: None,
        };
        Self {
            pool: pool::Pool::new(executor, limits),
        }
    }

    /// Sets the targets; idle connections to others are dropped.
    pub fn set_targets(&self, mut addrs: Vec<SocketAddr>) {
        addrs.sort_unstable();
        addrs.dedup();
        self.pool.retain_addresses(&addrs);
    }

    /// Opens connections in advance and closes those idle for too long.
    pub fn maintain(&self) {
        self.pool.maintain();
    }

    /// Sends an attempt and waits for its answer until its budget is spent.
    pub async fn send(&self, attempt: Attempt<'_>) -> AttemptResult {
        let timeout = async {
            smol::Timer::after(attempt.budget).await;
            AttemptResult::from(dispatch::AttemptOutcome::TimedOut)
        };
        future::or(self.exchange(&attempt), timeout).await
    }

    /// Notifies a target that an attempt was cancelled.
    pub async fn cancel(&self, addr: SocketAddr, name: &str) {
        let request = hyper::Request::delete(format!("/attempts/{name}"))
            .header(hyper::header::HOST, addr.to_string())
            .body(Full::default());
        let Ok(request) = request else { return };
        let send = async {
            // Best effort: the closed connection also signals the cancellation.
            if let Ok(exchange) = self.pool.send(addr, request).await {
                let (response, rest) = exchange.split();
                if response.into_body().collect().await.is_ok() {
                    rest.put_back();
                }
            }
        };
        let timeout = async {
            smol::Timer::after(CANCEL_TIMEOUT).await;
        };
        future::or(send, timeout).await;
    }

    /// Queries a target's load and state; `None` without a valid answer in time.
    pub async fn probe(&self, addr: SocketAddr, budget: Duration) -> Option<dispatch::Report> {
        let request = hyper::Request::get("/health")
            .header(hyper::header::HOST, addr.to_string())
            .body(Full::default())
            .ok()?;
        let query = async {
            let exchange = self.pool.send(addr, request).await.ok()?;
            let (response, rest) = exchange.split();
            let body = collect(response.into_body()).await?;
            rest.put_back();
            let health: target::Health = serde_json::from_slice(&body).ok()?;
            Some(dispatch::Report {
                load: health.load,
                state: health.state.into(),
            })
        };
        let timeout = async {
            smol::Timer::after(budget).await;
            None
        };
        future::or(query, timeout).await
    }

    async fn exchange(&self, attempt: &Attempt<'_>) -> AttemptResult {
        let Some(request) = build(attempt) else {
            return dispatch::AttemptOutcome::Unreachable.into();
        };
        match self.pool.send(attempt.addr, request).await {
            Ok(exchange) => receive(attempt.name, exchange).await,
            Err(pool::Error::Full) => target_full(),
            Err(pool::Error::Unreachable(_) | pool::Error::Unsent | pool::Error::Withheld) => {
                dispatch::AttemptOutcome::Unreachable.into()
            }
            Err(pool::Error::Broken) => dispatch::AttemptOutcome::Broken.into(),
            Err(pool::Error::Malformed) => dispatch::AttemptOutcome::BadAnswer.into(),
        }
    }
}

/// Reads an answer and checks that it belongs to this attempt.
///
/// A target may answer a request twice, or after the attempt was abandoned, and the
/// late answer then arrives while the connection serves another attempt. Without the
/// check a caller would get the answer to another request, or "not run" because
/// another request was refused. An answer is accepted if it names this attempt, or
/// if it names none and is the first on its connection. The connection is reused
/// only after an answer that names this attempt.
async fn receive(name: &str, exchange: pool::Exchange) -> AttemptResult {
    let (response, rest) = exchange.split();
    let (head, body) = response.into_parts();
    let named = head.headers.get(headers::ATTEMPT_ID);
    let is_own = named.is_some_and(|named| named == name);
    if !is_own && (named.is_some() || !rest.is_first()) {
        return dispatch::AttemptOutcome::BadAnswer.into();
    }
    let report = report(&head.headers);
    let Some(body) = collect(body).await else {
        // The connection is dropped with its partially read answer.
        let outcome = dispatch::AttemptOutcome::BadAnswer;
        return AttemptResult { outcome, report };
    };
    if is_own {
        rest.put_back();
    }
    let outcome = match refusal(&head) {
        Some(outcome) => outcome,
        None => dispatch::AttemptOutcome::Answered(Arc::new(answer(&head, &body))),
    };
    AttemptResult { outcome, report }
}

/// Outcome when all connections to a target are in use; treated like a refusal by the
/// target, since no more requests can be sent to it from here.
fn target_full() -> AttemptResult {
    dispatch::AttemptOutcome::Refused {
        after: None,
        leaving: false,
    }
    .into()
}

fn build(attempt: &Attempt<'_>) -> Option<pool::Request> {
    let request = attempt.request;
    let mut builder = hyper::Request::builder()
        .method(&*request.method)
        .uri(&*request.path)
        .header(hyper::header::HOST, attempt.addr.to_string())
        .header(headers::ATTEMPT_ID, attempt.name)
        .header(headers::DEADLINE_MS, attempt.budget.as_millis().to_string());
    if let Some(key) = &request.key {
        builder = builder.header(headers::IDEMPOTENCY_KEY, &**key);
    }
    for (name, value) in &request.headers {
        builder = builder.header(&**name, &**value);
    }
    builder.body(Full::new(request.body.clone())).ok()
}

async fn collect(body: pool::ResponseBody) -> Option<Bytes> {
    let collected = Limited::new(body, ANSWER_MAX_BYTES).collect().await.ok()?;
    Some(collected.to_bytes())
}

fn report(fields: &hyper::HeaderMap) -> Option<dispatch::Report> {
    let text = |name| fields.get(name).and_then(|v| v.to_str().ok());
    let load = text(headers::TARGET_LOAD)?.parse().ok()?;
    let state = match text(headers::TARGET_STATE)? {
        "live" => view::State::Live,
        "leaving" => view::State::Leaving,
        _ => return None,
    };
    Some(dispatch::Report { load, state })
}

/// Outcome of a 503 with the header for a refused attempt. A 503 without the header
/// doesn't count as "not run": the service's own code may send it after the work.
fn refusal(head: &hyper::http::response::Parts) -> Option<dispatch::AttemptOutcome> {
    if head.status != hyper::StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let reason = head.headers.get(headers::TARGET_REFUSED)?;
    let after = head.headers.get(headers::RETRY_AFTER);
    let seconds = after.and_then(|v| v.to_str().ok()?.parse().ok());
    Some(dispatch::AttemptOutcome::Refused {
        after: seconds.map(Duration::from_secs),
        leaving: reason == "leaving",
    })
}

fn answer(head: &hyper::http::response::Parts, body: &Bytes) -> answer::Answer {
    let mut fields = Vec::with_capacity(head.headers.len());
    for (name, value) in &head.headers {
        let Ok(value) = value.to_str() else { continue };
        if inbound::is_hop_header(name.as_str()) {
            continue;
        }
        fields.push(answer::Header {
            name: name.as_str().into(),
            value: value.into(),
        });
    }
    answer::Answer {
        status: head.status.as_u16(),
        headers: fields,
        body: Arc::from(&body[..]),
    }
}

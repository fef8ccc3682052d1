//! Carries one attempt to a target and says how it ended.
//!
//! Invariant: [`dispatch::AttemptOutcome::Unreachable`] is only said when no byte of
//! the request left this process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use steer::process::dispatch;
use steer::request::answer;
use steer::version::view;
use wire::{headers, target};

use super::inbound::{self, Inbound};
use super::workers::Executor;

/// Longest answer taken from a target, in bytes.
const ANSWER_MAX_BYTES: usize = 16 << 20;

/// Time to open a connection to a target, which is in this failure domain.
/// Past it the request certainly did not leave, and may go elsewhere.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Connections kept open to each target ahead of need.
const WARM_CONNECTIONS: usize = 2;

/// Time allowed to tell a target that an attempt is cancelled.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// Connections to targets, and what is sent on them.
pub struct Outbound {
    pool: Arc<pool::Pool>,
}

/// An attempt as it crosses the wire.
pub struct Attempt<'a> {
    /// Name of the attempt, unique among all processes.
    pub name: &'a str,
    /// Where the target listens.
    pub addr: SocketAddr,
    /// What to send.
    pub request: &'a Inbound,
    /// Time left.
    pub budget: Duration,
}

/// How an attempt ended, and what the target said of itself.
pub struct AttemptResult {
    /// How it ended.
    pub outcome: dispatch::AttemptOutcome,
    /// The target's report, if it gave one.
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
    /// No connections yet; at most `connections_max` are opened to each target.
    #[must_use]
    pub fn new(executor: Executor, connections_max: usize) -> Self {
        let limits = pool::Limits {
            connections_max,
            warm_connections: WARM_CONNECTIONS,
            connect_timeout: CONNECT_TIMEOUT,
        };
        Self {
            pool: pool::Pool::new(executor, limits),
        }
    }

    /// Keeps connections to these targets only.
    pub fn set_targets(&self, mut addrs: Vec<SocketAddr>) {
        addrs.sort_unstable();
        addrs.dedup();
        self.pool.retain_addresses(&addrs);
    }

    /// Opens connections ahead of need and closes those idle too long.
    pub fn upkeep(&self) {
        self.pool.maintain();
    }

    /// Sends an attempt and waits for its end or for its budget to run out.
    pub async fn send(&self, attempt: Attempt<'_>) -> AttemptResult {
        let late = async {
            smol::Timer::after(attempt.budget).await;
            AttemptResult::from(dispatch::AttemptOutcome::TimedOut)
        };
        future::or(self.exchange(&attempt), late).await
    }

    /// Tells a target that an attempt's answer is no longer wanted.
    pub async fn cancel(&self, addr: SocketAddr, name: &str) {
        let request = hyper::Request::delete(format!("/attempts/{name}"))
            .header(hyper::header::HOST, addr.to_string())
            .body(Full::default());
        let Ok(request) = request else { return };
        let send = async {
            // Best effort: the broken connection says the same.
            if let Ok(exchange) = self.pool.send(addr, request).await {
                let (response, rest) = exchange.split();
                if response.into_body().collect().await.is_ok() {
                    rest.put_back();
                }
            }
        };
        let late = async {
            smol::Timer::after(CANCEL_TIMEOUT).await;
        };
        future::or(send, late).await;
    }

    /// Asks a target how it is; `None` if it doesn't say in time.
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
        let late = async {
            smol::Timer::after(budget).await;
            None
        };
        future::or(query, late).await
    }

    async fn exchange(&self, attempt: &Attempt<'_>) -> AttemptResult {
        let Some(request) = build(attempt) else {
            return dispatch::AttemptOutcome::Unreachable.into();
        };
        match self.pool.send(attempt.addr, request).await {
            Ok(exchange) => receive(attempt.name, exchange).await,
            Err(pool::Error::Full) => target_full(),
            Err(pool::Error::Unsent) => dispatch::AttemptOutcome::Unreachable.into(),
            Err(pool::Error::Broken) => dispatch::AttemptOutcome::Broken.into(),
            Err(pool::Error::Malformed) => dispatch::AttemptOutcome::BadAnswer.into(),
        }
    }
}

/// Reads an answer, and makes sure that it is this attempt's.
///
/// Failure: a target answers a request twice, or after it was given up, and the
/// second answer comes when the connection is in use again. Symptom: a caller
/// gets the answer to somebody else's request, or is told "not run" on the word
/// of another's refusal. It suffices that an answer names its attempt, or is
/// the first on its connection; a connection whose answer doesn't is dropped.
async fn receive(name: &str, exchange: pool::Exchange) -> AttemptResult {
    let (response, rest) = exchange.split();
    let (head, body) = response.into_parts();
    let named = head.headers.get(headers::ATTEMPT);
    let is_own = named.is_some_and(|named| named == name);
    if !is_own && (named.is_some() || !rest.is_first()) {
        return dispatch::AttemptOutcome::BadAnswer.into();
    }
    let report = report(&head.headers);
    let Some(body) = collect(body).await else {
        // The connection is dropped with its half-read answer.
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

/// As good as a refusal by the target: it has more than it can take from here.
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
        .header(headers::ATTEMPT, attempt.name)
        .header(headers::DEADLINE_MS, attempt.budget.as_millis().to_string());
    if let Some(key) = &request.key {
        builder = builder.header(headers::IDEMPOTENCY_KEY, &**key);
    }
    for (name, value) in &request.headers {
        builder = builder.header(&**name, &**value);
    }
    builder.body(Full::new(request.body.clone())).ok()
}

async fn collect(body: Incoming) -> Option<Bytes> {
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

/// A 503 counts as "not run" only with the header that says so: a 503 from the
/// service's own code may come after the work was done.
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

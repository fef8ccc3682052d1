//! Sends a request to one target and classifies the outcome of the attempt.
//!
//! Invariants: an answer is passed on only if it is complete and answers this
//! request. An attempt is reported as not run only if the target says so,
//! another target answered at its address, or no byte left this process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes};
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::{Method, StatusCode, Uri};
use platform::headers;
use pool::ConnectFault;
use steer::process::direct::AttemptOutcome;
use steer::process::direct::target::Feedback;

use super::Shared;
use super::memory::{AnswerCharge, Buffer};
use super::server::Response;

/// Longest body of a target's answer. Answers are buffered in full before they are
/// passed on, so that a truncated one is never taken for a complete one.
const ANSWER_MAX_BYTES: usize = 16 * 1024 * 1024;

/// A caller's complete request, as it is sent to targets.
#[derive(Clone, Debug)]
pub struct ForwardedRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers, without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Request id set by the caller; the answer must carry the same.
    pub id: Option<HeaderValue>,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Memory for its answer.
    pub memory: Arc<AnswerCharge>,
}

/// Where an attempt goes.
pub struct Destination<'a> {
    /// Name of the target.
    pub target: &'a str,
    /// Its address.
    pub addr: SocketAddr,
}

/// Result of an attempt.
pub struct Completion {
    /// Classification of the attempt.
    pub outcome: AttemptOutcome,
    /// The complete answer, whatever the outcome; `None` if none was received.
    pub answer: Option<Response>,
    /// Why no connection could be opened, if none could.
    pub connect_fault: Option<ConnectFault>,
}

impl Completion {
    /// An attempt that ended without a complete answer.
    pub fn without_answer(outcome: AttemptOutcome) -> Self {
        Self {
            outcome,
            answer: None,
            connect_fault: None,
        }
    }
}

/// Sends a request to a target and reads the complete answer. `remaining`
/// is called when a connection is ready, which may be some time later: it returns the
/// time that is left, which the target is told and the caller of this function
/// enforces, or `None` if nothing may be sent any more. `report` gets what the head of
/// the answer says of the target, whether or not the body follows.
pub async fn run(
    shared: &Arc<Shared>,
    to: &Destination<'_>,
    forwarded: &ForwardedRequest,
    remaining: impl Fn() -> Option<Duration>,
    report: impl FnOnce(Feedback, &HeaderMap),
) -> Completion {
    let Ok(request) = request(to.target, forwarded) else {
        return Completion::without_answer(AttemptOutcome::NotSent);
    };
    let pool = &shared.target_pool;
    let prepare = |request: &mut pool::Request| {
        let left = remaining();
        if let Some(left) = left {
            headers::set_deadline(request.headers_mut(), left);
        }
        left.is_some()
    };
    // A request that must not run twice gets a new connection: on a reused one that
    // the target is just closing, it would stay unknown whether it was received.
    let sent = if forwarded.is_idempotent {
        pool.send_if(to.addr, request, prepare).await
    } else {
        pool.send_dedicated_if(to.addr, request, prepare).await
    };
    let exchange = match sent {
        Ok(exchange) => exchange,
        Err(pool::Error::Unreachable(fault)) => {
            return Completion {
                connect_fault: Some(fault),
                ..Completion::without_answer(AttemptOutcome::Unreachable)
            };
        }
        Err(pool::Error::Unsent | pool::Error::Full) => {
            return Completion::without_answer(AttemptOutcome::NotSent);
        }
        Err(pool::Error::Withheld) => {
            return Completion::without_answer(AttemptOutcome::Withdrawn);
        }
        Err(pool::Error::Broken) => {
            return Completion::without_answer(AttemptOutcome::ConnectionLost);
        }
        Err(pool::Error::Malformed) => {
            return Completion::without_answer(AttemptOutcome::InvalidResponse);
        }
    };
    let (response, rest) = exchange.split();
    let (head, body) = response.into_parts();
    let info = headers::answer(&head.headers);
    let outcome = classify(head.status, &info, forwarded);
    if !matches!(
        outcome,
        AttemptOutcome::InvalidResponse | AttemptOutcome::WrongTarget
    ) {
        report(feedback(head.status, &info), &head.headers);
    }
    let body = match read_body(&forwarded.memory, body).await {
        Ok(body) => body,
        Err(failed) => return Completion::without_answer(failed),
    };
    if outcome != AttemptOutcome::InvalidResponse && forwarded.is_idempotent {
        rest.put_back();
    }
    let mut fields = head.headers;
    headers::strip(&mut fields);
    fields.remove(CONTENT_LENGTH);
    let mut answer = Response::new(body);
    answer
        .extensions_mut()
        .insert(Arc::clone(&forwarded.memory));
    *answer.status_mut() = head.status;
    *answer.headers_mut() = fields;
    Completion {
        outcome,
        answer: Some(answer),
        connect_fault: None,
    }
}

/// Reads the body of an answer at the target's pace, whatever the pace of its caller.
///
/// # Errors
/// The outcome of the attempt if the body is incomplete or there is no memory for it.
async fn read_body(
    memory: &AnswerCharge,
    body: impl Body<Data = Bytes, Error = pool::Error>,
) -> Result<Bytes, AttemptOutcome> {
    let announced = body.size_hint().exact();
    let announced = announced.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
    let capacity = announced.unwrap_or_default();
    if capacity > ANSWER_MAX_BYTES {
        return Err(AttemptOutcome::InvalidResponse);
    }
    if let Some(bytes) = announced {
        memory.record(bytes);
    }
    let mut buffer = allocate(memory, capacity).await?;
    let mut body = core::pin::pin!(body);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| match error {
            pool::Error::Malformed => AttemptOutcome::InvalidResponse,
            _ => AttemptOutcome::ConnectionLost,
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = buffer.len() + data.len();
        if length > ANSWER_MAX_BYTES {
            return Err(AttemptOutcome::InvalidResponse);
        }
        if length > buffer.capacity() {
            buffer = grow(memory, buffer, length).await?;
        }
        buffer.push(&data);
    }
    if announced.is_none() {
        memory.record(buffer.len());
    }
    Ok(buffer.freeze())
}

/// A buffer of this capacity, once there is memory for it.
async fn allocate(memory: &AnswerCharge, capacity: usize) -> Result<Buffer, AttemptOutcome> {
    if !memory.hold(capacity).await {
        return Err(AttemptOutcome::NoMemory);
    }
    Buffer::with_capacity(capacity).map_err(|_| AttemptOutcome::NoMemory)
}

/// The same buffer with room for `length` bytes, and more to come.
async fn grow(
    memory: &AnswerCharge,
    buffer: Buffer,
    length: usize,
) -> Result<Buffer, AttemptOutcome> {
    let capacity = length
        .max(buffer.capacity().saturating_mul(2))
        .min(ANSWER_MAX_BYTES);
    // Both are held while the bytes are copied.
    if !memory.hold(buffer.capacity() + capacity).await {
        return Err(AttemptOutcome::NoMemory);
    }
    let larger = buffer.grow(capacity).map_err(|_| AttemptOutcome::NoMemory);
    // Fewer bytes always have room.
    let _ = memory.try_hold(capacity);
    larger
}

/// What a target's answer reports of the target.
pub fn feedback(status: StatusCode, info: &headers::Answer) -> Feedback {
    let is_unavailable = status == StatusCode::SERVICE_UNAVAILABLE;
    Feedback {
        load: info.load.map(|l| l.running.saturating_add(l.waiting)),
        slowdown: info.load.and_then(|l| l.slowdown),
        limit: info.limit,
        backoff: info.backoff.filter(|_| is_unavailable),
        is_leaving: info.is_leaving,
    }
}

/// Classifies a complete answer by its status and headers.
fn classify(
    status: StatusCode,
    info: &headers::Answer,
    forwarded: &ForwardedRequest,
) -> AttemptOutcome {
    if forwarded.id.is_some() && info.id != forwarded.id {
        return AttemptOutcome::InvalidResponse;
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return AttemptOutcome::WrongTarget;
    }
    if info.is_not_run {
        return AttemptOutcome::NotRun;
    }
    if status.is_success() && (!info.has_seal || info.is_encoded) {
        return AttemptOutcome::InvalidResponse;
    }
    if status.is_server_error() || implies_not_run(status) {
        return AttemptOutcome::Failed;
    }
    AttemptOutcome::Answered
}

/// Whether callers take a status to mean that the request did not run. A target that
/// sends one of these without its not-run header may have run the request, so the
/// status must not be passed on.
pub fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

fn request(
    target: &str,
    forwarded: &ForwardedRequest,
) -> Result<pool::Request, hyper::http::Error> {
    let mut request = hyper::Request::builder()
        .method(forwarded.method.clone())
        .uri(forwarded.uri.clone())
        .body(Full::new(forwarded.body.clone()))?;
    let mut fields = forwarded.headers.clone();
    fields.remove(TRANSFER_ENCODING);
    fields.remove(CONTENT_LENGTH);
    headers::set_target(&mut fields, target);
    *request.headers_mut() = fields;
    Ok(request)
}

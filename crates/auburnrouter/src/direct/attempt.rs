//! One attempt of a request at one target.
//!
//! Invariants: an answer is handed on only when it is whole and is the answer
//! to this request; "not run" is only said when the target says so or no byte
//! left this process.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::{Method, StatusCode, Uri};
use platform::headers;
use steer::process::direct::target::Feedback;
use steer::process::direct::{Assignment, AttemptOutcome};

use super::Shared;
use super::server::Response;

/// Longest answer that is taken from a target. It is held whole, so that one
/// that breaks off is never mistaken for a complete one.
const ANSWER: usize = 16 * 1024 * 1024;

/// A caller's request, whole.
#[derive(Clone, Debug)]
pub struct Whole {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers, without those of the connection.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// What the caller calls it.
    pub id: Option<HeaderValue>,
    /// Whether it may run more than once.
    pub idempotent: bool,
}

/// How an attempt ended, and what the target said.
pub struct Ended {
    /// How.
    pub ending: AttemptOutcome,
    /// The target's whole answer.
    pub answer: Option<Response>,
    /// What the target says of itself, if the answer is its own.
    pub word: Option<Feedback>,
}

impl Ended {
    fn without(ending: AttemptOutcome) -> Self {
        Self {
            ending,
            answer: None,
            word: None,
        }
    }
}

/// Sends a request to a target and reads its whole answer.
pub async fn run(shared: &Arc<Shared>, go: &Assignment, whole: &Whole, left: Duration) -> Ended {
    let Ok(request) = request(go, whole, left) else {
        return Ended::without(AttemptOutcome::NotSent);
    };
    let pool = &shared.target_pool;
    // What must not run twice goes on a connection of its own: whether it was
    // sent is then never in doubt because an idle connection was just closing.
    let sent = if whole.idempotent {
        pool.send(go.addr, request).await
    } else {
        pool.send_alone(go.addr, request).await
    };
    let exchange = match sent {
        Ok(exchange) => exchange,
        Err(pool::Error::Unsent | pool::Error::Full) => {
            return Ended::without(AttemptOutcome::NotSent);
        }
        Err(pool::Error::Broken) => return Ended::without(AttemptOutcome::ConnectionLost),
        Err(pool::Error::Garbled) => return Ended::without(AttemptOutcome::InvalidResponse),
    };
    let (response, rest) = exchange.split();
    let (head, body) = response.into_parts();
    let Ok(body) = Limited::new(body, ANSWER).collect().await else {
        return Ended::without(AttemptOutcome::ConnectionLost);
    };
    let said = headers::answer(&head.headers);
    let ending = judge(head.status, &said, whole);
    if ending != AttemptOutcome::InvalidResponse && whole.idempotent {
        rest.put_back();
    }
    let mut fields = head.headers;
    headers::strip(&mut fields);
    fields.remove(CONTENT_LENGTH);
    let mut answer = Response::new(body.to_bytes());
    *answer.status_mut() = head.status;
    *answer.headers_mut() = fields;
    let own = !matches!(
        ending,
        AttemptOutcome::InvalidResponse | AttemptOutcome::WrongTarget
    );
    Ended {
        ending,
        answer: Some(answer),
        word: own.then_some(Feedback {
            load: said.load.map(|l| l.running.saturating_add(l.waiting)),
            limit: said.limit,
        }),
    }
}

/// What a whole answer means.
fn judge(status: StatusCode, said: &headers::Answer, whole: &Whole) -> AttemptOutcome {
    if whole.id.is_some() && said.id != whole.id {
        return AttemptOutcome::InvalidResponse;
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return AttemptOutcome::WrongTarget;
    }
    // No final answer, though it came as one.
    if status.is_informational() {
        return AttemptOutcome::InvalidResponse;
    }
    if said.not_run {
        return AttemptOutcome::NotRun;
    }
    if status.is_success() && (!said.sealed || said.encoded) {
        return AttemptOutcome::InvalidResponse;
    }
    if status.is_server_error() || promises(status) {
        return AttemptOutcome::Failed;
    }
    AttemptOutcome::Answered
}

/// Whether a status says to callers that the request has not run. A target
/// that sends one without saying so itself may have run it.
pub fn promises(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

fn request(
    go: &Assignment,
    whole: &Whole,
    left: Duration,
) -> Result<pool::Request, hyper::http::Error> {
    let mut request = hyper::Request::builder()
        .method(whole.method.clone())
        .uri(whole.uri.clone())
        .body(Full::new(whole.body.clone()))?;
    let mut fields = whole.headers.clone();
    fields.remove(TRANSFER_ENCODING);
    fields.remove(CONTENT_LENGTH);
    headers::address(&mut fields, &go.target, left);
    *request.headers_mut() = fields;
    Ok(request)
}

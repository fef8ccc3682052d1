//! The calls of a target.

use std::sync::Arc;
use std::time::Duration;

use smol::Timer;
use smol::future::FutureExt;
use trillium::{Conn, Handler, KnownHeaderName, Method, Status};
use wire::instance::State;
use wire::{headers, target};

use super::fault::Fault;
use super::work::{Ending, Request};
use super::{Echo, Shared, lock, work};
use crate::http;

pub(super) fn handler(shared: Arc<Shared>) -> impl Handler {
    move |conn: Conn| {
        let shared = Arc::clone(&shared);
        async move { route(&shared, conn).await }
    }
}

async fn route(shared: &Shared, mut conn: Conn) -> Conn {
    let attempt = conn.path().strip_prefix("/attempts/").map(str::to_owned);
    match (conn.method(), conn.path(), attempt) {
        (Method::Delete, _, Some(attempt)) => {
            lock(&shared.attempts).retain(|a| a.name != attempt);
            http::status(conn, Status::NoContent)
        }
        (Method::Get, "/health", _) => health(shared, conn).await,
        (Method::Get, "/executed", _) => executed(shared, conn),
        (Method::Post, "/fault", _) => {
            let Some(fault) = http::parse::<Fault>(&mut conn).await else {
                return http::status(conn, Status::BadRequest);
            };
            lock(&shared.faults).switch(fault);
            http::status(conn, Status::NoContent)
        }
        _ => serve(shared, conn).await,
    }
}

async fn health(shared: &Shared, conn: Conn) -> Conn {
    Timer::after(shared.config.probe).await;
    let (mut load, state) = shared.claim();
    let lag = lock(&shared.faults).lag();
    if lag > 0 {
        load = shared.load_before(Duration::from_millis(lag));
    }
    let slots = shared.config.slots;
    http::json(conn, Status::Ok, &target::Health { state, load, slots })
}

fn executed(shared: &Shared, conn: Conn) -> Conn {
    let all = lock(&shared.executed).clone();
    let some = match http::query(&conn, "key") {
        Some(key) => all.of_key(key),
        None => all,
    };
    http::json(conn, Status::Ok, &some)
}

async fn serve(shared: &Shared, mut conn: Conn) -> Conn {
    let Some(body) = http::body(&mut conn).await else {
        return http::cut(conn);
    };
    let request = request(&conn, &body);
    let crashed = async {
        shared.crashed().await;
        Ending::Lost
    };
    let ending = work::run(shared, &request).or(crashed).await;
    let conn = tell(shared, conn, &request);
    let faults = lock(&shared.faults).clone();
    let echo = match ending {
        Ending::Crashed => return crash(shared, conn),
        Ending::Lost => return http::cut(conn),
        Ending::Refused(word) => {
            return http::status(
                conn.with_response_header(headers::TARGET_REFUSED, word)
                    .with_response_header(headers::RETRY_AFTER, "1"),
                Status::ServiceUnavailable,
            );
        }
        Ending::Stopped => return http::status(conn, Status::GatewayTimeout),
        Ending::Done => echo(shared, &conn, request),
    };
    if faults.has(&Fault::Hang) {
        return hang(conn).await;
    }
    if faults.has(&Fault::Cut) {
        return http::cut(conn);
    }
    broken(conn, &faults, &echo).await
}

fn request(conn: &Conn, body: &[u8]) -> Request {
    let text = |name: &'static str| conn.request_headers().get_str(name).map(str::to_owned);
    let deadline = text(headers::DEADLINE_MS).and_then(|ms| ms.parse().ok());
    Request {
        key: text(headers::IDEMPOTENCY_KEY),
        attempt: text(headers::ATTEMPT_ID),
        deadline: deadline.map(Duration::from_millis),
        method: conn.method().to_string(),
        path: conn.path().to_owned(),
        body: String::from_utf8_lossy(body).into_owned(),
    }
}

/// Adds what the target says of itself.
fn tell(shared: &Shared, mut conn: Conn, request: &Request) -> Conn {
    let (load, state) = shared.claim();
    let state = match state {
        State::Live => "live",
        State::Leaving => "leaving",
    };
    if let Some(attempt) = &request.attempt {
        let lines = conn.response_headers_mut();
        lines.insert(headers::ATTEMPT_ID, attempt.clone());
    }
    conn.with_response_header(headers::TARGET_LOAD, load.to_string())
        .with_response_header(headers::TARGET_STATE, state)
}

fn echo(shared: &Shared, conn: &Conn, request: Request) -> Echo {
    let bytes = http::number(conn, "bytes").unwrap_or(0);
    let bytes = usize::try_from(bytes).unwrap_or(usize::MAX).min(PAD_MAX);
    Echo {
        target: shared.config.name.clone(),
        attempt: request.attempt,
        method: request.method,
        path: request.path,
        body: request.body,
        pad: "x".repeat(bytes),
    }
}

/// Longest filler in bytes.
const PAD_MAX: usize = 8 << 20;

async fn hang(mut conn: Conn) -> Conn {
    let never = std::future::pending::<()>();
    let stopper = conn.inner().stopper();
    conn.cancel_on_disconnect(stopper.stop_future(never)).await;
    http::cut(conn)
}

fn crash(shared: &Shared, conn: Conn) -> Conn {
    if shared.config.process {
        // As a crash does: no answer, no clean-up.
        std::process::abort();
    }
    shared.crash();
    http::cut(conn)
}

/// Answers, wholly or as the faults have it.
async fn broken(mut conn: Conn, faults: &super::fault::Faults, echo: &Echo) -> Conn {
    if faults.has(&Fault::Garbled) {
        http::raw(&mut conn, b"\x00\x01 HTTP? no \xff\r\n\r\n").await;
        return http::cut(conn);
    }
    let body = serde_json::to_vec(echo).expect("plain data serialises");
    if faults.has(&Fault::HalfAnswer) {
        http::raw(&mut conn, &head(echo, body.len())).await;
        http::raw(&mut conn, &body[..body.len() / 2]).await;
        return http::cut(conn);
    }
    if faults.has(&Fault::Twice) {
        http::raw(&mut conn, &head(echo, body.len())).await;
        http::raw(&mut conn, &body).await;
    }
    http::keep_alive(conn)
        .with_response_header(KnownHeaderName::ContentType, "application/json")
        .ok(body)
}

fn head(echo: &Echo, bytes: usize) -> Vec<u8> {
    let attempt = echo.attempt.as_ref();
    let attempt = attempt.map_or(String::new(), |name| {
        format!("{}: {name}\r\n", headers::ATTEMPT_ID)
    });
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n{attempt}\
         Connection: keep-alive\r\nContent-Length: {bytes}\r\n\r\n"
    )
    .into_bytes()
}

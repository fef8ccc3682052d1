//! HTTP endpoints besides callers' requests: the directory, which names instances to
//! connect to, the readiness probe, and the operators' metrics, status and dump.
//!
//! Invariant: answering needs no I/O, so that an endpoint never waits for the store,
//! a target or another instance.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, StatusCode, Uri};
use platform::directory::{self, Call, Resolve};
use smol::net;
use steer::process::direct::members::Registration;

use super::connection::{Caller, IncomingRequest};
use super::server::{self, Limits, ReadError, Response, Service};
use super::{Executor, Shared, dump};
use crate::daemon::{Status, StatusEntry};

/// Upper bound on the lifetime that a directory answer states: it names instances
/// that may be gone a moment later.
const DIRECTORY_TTL_MAX: Duration = Duration::from_secs(1);

/// Limits on requests to these endpoints, which are a line and a few headers.
const REQUEST_LIMITS: Limits = Limits {
    head: 8192,
    body: 1024,
    request_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// Each of these listeners accepts 1/n of the maximum of callers' connections, on top
/// of them. A connection usually sends a single request.
const CONNECTIONS_DIVISOR: usize = 8;

/// Accepts and serves connections on one listener.
pub async fn serve(shared: Arc<Shared>, socket: net::TcpListener, executor: Executor) {
    let count = server::ConnectionCount::new(
        server::max_connections(&shared.settings) / CONNECTIONS_DIVISOR,
    );
    server::accept(QueryService(shared), socket, executor, count).await;
}

#[derive(Clone)]
struct QueryService(Arc<Shared>);

impl Service for QueryService {
    type Reservation = ();

    fn limits(&self) -> Limits {
        REQUEST_LIMITS
    }

    fn reserve_body(&self, _length: Option<u64>) -> Option<()> {
        Some(())
    }

    fn error_response(&self, _caller: Caller, error: ReadError) -> Response {
        server::empty_response(error.status())
    }

    fn is_idempotent(&self, request: &hyper::Request<Bytes>) -> bool {
        *request.method() == Method::GET
    }

    fn answer(
        &self,
        incoming: IncomingRequest<()>,
    ) -> impl Future<Output = Response> + Send + use<> {
        let answer = answer(&self.0, incoming.request.uri());
        async { answer }
    }

    fn shared(&self) -> &Arc<Shared> {
        &self.0
    }
}

fn answer(shared: &Shared, uri: &Uri) -> Response {
    match directory::parse_call(uri.path(), uri.query()) {
        Call::Readiness if shared.is_ready() => server::empty_response(StatusCode::OK),
        Call::Readiness => server::empty_response(StatusCode::SERVICE_UNAVAILABLE),
        Call::Resolve(from) => resolve(shared, &from),
        Call::Unknown => operator_response(shared, uri.path()),
    }
}

/// Answers a path of the operators: metrics, status or dump.
fn operator_response(shared: &Shared, path: &str) -> Response {
    let body = match path {
        "/metrics" => shared.metrics.encode(shared).ok(),
        "/status" => serde_json::to_vec(&status(shared)).ok(),
        "/dump" => serde_json::to_vec(&dump::State::capture(shared)).ok(),
        _ => return server::empty_response(StatusCode::NOT_FOUND),
    };
    match body {
        Some(bytes) => Response::new(Bytes::from(bytes)),
        None => server::empty_response(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// Configuration version in force at each instance, as `auburnrouter status` reads it.
fn status(shared: &Shared) -> Status {
    let settings = &shared.settings;
    shared.read(|now, direct| {
        let version = direct.version();
        let own = StatusEntry {
            name: settings.name.as_ref().to_owned(),
            domain: settings.domain.as_ref().to_owned(),
            version: Some(version),
        };
        let other = |(name, instance, version): (&Arc<str>, &Registration, _)| StatusEntry {
            name: name.as_ref().to_owned(),
            domain: instance.domain.as_ref().to_owned(),
            version,
        };
        let mut entries: Vec<StatusEntry> = direct.versions(now).map(other).collect();
        entries.push(own);
        entries.sort_by(|a, b| a.name.cmp(&b.name));
        Status {
            name: settings.name.as_ref().to_owned(),
            version,
            entries,
        }
    })
}

/// Directory answer: instances that the caller may connect to, and for how long it
/// may use them; 503 if there are none.
fn resolve(shared: &Shared, from: &Resolve) -> Response {
    let addresses = shared.read(|now, d| d.directory(now, &from.region, &from.host));
    if addresses.is_empty() {
        return server::empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    let ttl = DIRECTORY_TTL_MAX.min(shared.settings.bounds.directory_ttl);
    let body = directory::resolution(&addresses, ttl.as_secs_f64());
    let mut response = Response::new(Bytes::from(body));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

//! Where to connect, whether this instance is ready, and what operators ask.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, StatusCode, Uri};
use platform::directory::{self, Call, Where};
use smol::net;
use steer::process::direct::members::Row;

use super::connection::{Arrival, Caller};
use super::server::{self, Limits, Refusal, Response, Service};
use super::{Executor, Shared, dump};
use crate::daemon::{Status, StatusEntry};

/// Longest time for which an answer may be kept: it names instances that may
/// be gone a moment later.
const LIFETIME: Duration = Duration::from_secs(1);

/// Bounds on those who ask; their requests are a line and a few headers.
const LIMITS: Limits = Limits {
    head: 8192,
    body: 1024,
    whole: Duration::from_secs(3),
    idle: Duration::from_secs(15),
};

/// Part of callers' connections that those who ask may have besides, on each
/// listener; each asks one question.
const PART: usize = 8;

/// Answers on one listener.
pub async fn serve(shared: Arc<Shared>, socket: net::TcpListener, executor: Executor) {
    let count = server::ConnectionCount::new(server::max_connections(&shared.settings) / PART);
    server::accept(Queries(shared), socket, executor, count).await;
}

#[derive(Clone)]
struct Queries(Arc<Shared>);

impl Service for Queries {
    type Reservation = ();

    fn limits(&self) -> Limits {
        LIMITS
    }

    fn reserve_body(&self, _length: Option<u64>) -> Option<()> {
        Some(())
    }

    fn refuse(&self, _caller: Caller, why: Refusal) -> Response {
        server::empty(why.status())
    }

    fn is_idempotent(&self, request: &hyper::Request<Bytes>) -> bool {
        *request.method() == Method::GET
    }

    fn answer(&self, arrival: Arrival<()>) -> impl Future<Output = Response> + Send + use<> {
        let answer = answer(&self.0, arrival.request.uri());
        async { answer }
    }

    fn shared(&self) -> &Arc<Shared> {
        &self.0
    }
}

fn answer(shared: &Shared, uri: &Uri) -> Response {
    match directory::call(uri.path(), uri.query()) {
        Call::Ready if shared.is_ready() => server::empty(StatusCode::OK),
        Call::Ready => server::empty(StatusCode::SERVICE_UNAVAILABLE),
        Call::Where(from) => found(shared, &from),
        Call::Unknown => operator(shared, uri.path()),
    }
}

/// What operators ask.
fn operator(shared: &Shared, path: &str) -> Response {
    let printed = match path {
        "/metrics" => shared.metrics.encode(shared).ok(),
        "/status" => serde_json::to_vec(&status(shared)).ok(),
        "/dump" => serde_json::to_vec(&dump::State::capture(shared)).ok(),
        _ => return server::empty(StatusCode::NOT_FOUND),
    };
    match printed {
        Some(text) => Response::new(Bytes::from(text)),
        None => server::empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// Which version is in force at each instance, as `auburnrouter status` reads it.
fn status(shared: &Shared) -> Status {
    let settings = &shared.settings;
    shared.read(|now, direct| {
        let version = direct.version();
        let own = StatusEntry {
            name: settings.name.as_ref().to_owned(),
            domain: settings.domain.as_ref().to_owned(),
            version: Some(version),
        };
        let other = |(name, row, version): (&Arc<str>, &Row, _)| StatusEntry {
            name: name.as_ref().to_owned(),
            domain: row.domain.as_ref().to_owned(),
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

fn found(shared: &Shared, from: &Where) -> Response {
    let addresses = addresses(shared, from);
    if addresses.is_empty() {
        return server::empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    let lifetime = LIFETIME.min(shared.settings.bounds.lifetime);
    let body = directory::found(&addresses, lifetime.as_secs_f64());
    let mut response = Response::new(Bytes::from(body));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Instances of the caller's region; where it has none, of the regions that may
/// serve the host's requests, or of all. Those that aren't sure of keys only if
/// no other is there: what needs no key is served by them.
fn addresses(shared: &Shared, from: &Where) -> Vec<SocketAddr> {
    let ready = shared.is_ready().then(|| shared.registration());
    let (mut rows, homes) = shared.read(|now, direct| {
        let serving = direct.serving(now).map(|(_, row)| row.clone());
        let rows: Vec<Row> = ready.into_iter().chain(serving).collect();
        let routes = direct.routes();
        (rows, routes.map_or_else(Vec::new, |r| r.homes(&from.host)))
    });
    if rows.is_empty() && shared.is_serving() {
        rows = shared.read(|now, direct| {
            let others = direct.others(now).map(|(_, row)| row.clone());
            others.chain([shared.registration()]).collect()
        });
    }
    let of = |fit: &dyn Fn(&Row) -> bool| -> Vec<SocketAddr> {
        let rows = rows.iter().filter(|row| fit(row));
        rows.map(|row| row.callers).collect()
    };
    let near = of(&|row| *row.region == *from.region);
    if !near.is_empty() {
        return near;
    }
    let homes = of(&|row| homes.contains(&row.region));
    if !homes.is_empty() {
        return homes;
    }
    of(&|_| true)
}

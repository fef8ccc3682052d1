//! Handles callers' requests: routes, authorizes and steers each one, sends it to
//! targets, and returns an answer.
//!
//! Invariants: 429, 503 and 408 are sent only for a request that has not run and
//! will not run; a request that may have run and has no usable answer gets 502 or
//! 504. When a caller disconnects, its requests are withdrawn. Where teams are
//! configured, a caller's key is never forwarded to a target.

mod routed;

use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use hyper::body::Bytes;
use hyper::header::HOST;
use hyper::{Method, StatusCode, Uri};
use platform::headers;
use routed::RoutedRequest;
use smol::net;
use steer::clock::Time;
use steer::process::direct::access::{Access, Credential};
use steer::process::direct::{self, Rejection, Request};
use steer::request::arrival::Fingerprint;
use steer::version::routes::{Limits, Route};

use super::attempt::ForwardedRequest;
use super::connection::{Caller, IncomingRequest};
use super::events::Origin;
use super::server::{self, ReadError, Response, Service};
use super::{Executor, Shared, events, memory};

/// Limits on requests until a configuration is known.
const DEFAULT_LIMITS: server::Limits = server::Limits {
    head: 16 * 1024,
    body: 1024 * 1024,
    request_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(15),
};

/// Retry delay for rejections that may clear at any moment, such as a missing
/// configuration or one that may be out of date.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Deadline of a request that names none; the route's timeout bounds it sooner.
const DEFAULT_DEADLINE: Duration = Duration::from_hours(1);

/// Longest delay of the first accept at startup while no configuration is known.
/// When all instances start together, callers rejected at once would spend their
/// retries before the first instance is ready, and then all come back at the same
/// moment.
const STARTUP_CONFIG_TIMEOUT: Duration = Duration::from_millis(600);

/// Accepts and serves callers' connections on one listener.
pub async fn serve(shared: Arc<Shared>, socket: net::TcpListener, executor: Executor) {
    let timeout = async {
        smol::Timer::after(STARTUP_CONFIG_TIMEOUT).await;
    };
    future::or(wait_for_config(&shared), timeout).await;
    let count = shared.connections.clone();
    server::accept(CallerService(shared), socket, executor, count).await;
}

/// Waits until a configuration is known.
async fn wait_for_config(shared: &Shared) {
    loop {
        let next_update = shared.updated.listen();
        if shared.read(|_, d| d.routes().is_some()) {
            return;
        }
        next_update.await;
    }
}

type HttpRequest = hyper::Request<Bytes>;

#[derive(Clone)]
struct CallerService(Arc<Shared>);

impl Service for CallerService {
    type Reservation = memory::Charge;

    fn limits(&self) -> server::Limits {
        limits(&self.0)
    }

    fn reserve_body(&self, length: Option<u64>) -> Option<memory::Charge> {
        self.0.memory.reserve_body(limits(&self.0).body, length)
    }

    fn error_response(&self, caller: Caller, error: ReadError) -> Response {
        let meta = RequestMeta {
            caller: headers::Caller::default(),
            origin: Origin {
                caller: caller.ip,
                connection: caller.connection_id,
                ahead: 0,
                read_ms: 0,
            },
        };
        match error {
            ReadError::NoMemory => meta.reject(&self.0, "", error.cause()),
            _ => meta.own_answer(&self.0, "", error.status(), error.cause()),
        }
    }

    fn is_idempotent(&self, request: &HttpRequest) -> bool {
        let host = host(request);
        let path = request.uri().path();
        // A request on no route is answered here and never runs.
        self.0.read(|_, d| {
            let route = d.routes().and_then(|r| r.find(&host, path));
            route.is_none_or(|r| r.is_idempotent)
        })
    }

    fn answer(
        &self,
        incoming: IncomingRequest<memory::Charge>,
    ) -> impl Future<Output = Response> + Send + use<> {
        answer(Arc::clone(&self.0), incoming)
    }

    fn shared(&self) -> &Arc<Shared> {
        &self.0
    }
}

fn limits(shared: &Shared) -> server::Limits {
    let found = shared.read(|_, d| d.routes().map(|r| r.limits));
    found.map_or(
        DEFAULT_LIMITS,
        |Limits {
             head_bytes,
             body_bytes,
             head_timeout,
             idle_timeout,
         }| server::Limits {
            head: head_bytes,
            body: body_bytes,
            request_timeout: head_timeout,
            idle_timeout,
        },
    )
}

/// Routes and authorizes a request, then steers it. A request that fails a check on
/// the way is answered here.
async fn answer(shared: Arc<Shared>, incoming: IncomingRequest<memory::Charge>) -> Response {
    let arrived = shared.at(incoming.head_read);
    let first_byte = shared.at(incoming.first_byte);
    let request = incoming.request;
    let meta = RequestMeta {
        caller: headers::caller(request.headers()),
        origin: Origin {
            caller: incoming.caller,
            connection: incoming.connection_id,
            ahead: incoming.ahead,
            read_ms: millis(shared.now(), first_byte),
        },
    };
    let routes = shared.read(|_, d| d.routes().cloned());
    let Some(routes) = routes else {
        return meta.reject(&shared, "", "no-config");
    };
    let host = host(&request);
    let Some(route) = routes.find(&host, request.uri().path()).cloned() else {
        // The route may have been added while the store was out of reach, and after
        // a 404 the caller would not try another instance.
        if !shared.read(|now, d| d.is_store_reachable(now)) {
            return meta.reject(&shared, "", "no-route-known");
        }
        return meta.own_answer(&shared, "", StatusCode::NOT_FOUND, "no-route");
    };
    let credential = headers::credential(request.headers());
    let authorized = match shared.read(|now, d| d.access(now, &routes, &route, credential)) {
        Access::Open => None,
        Access::Granted(authorized) => Some(authorized),
        Access::Denied => {
            let reason = denial_reason(credential);
            return meta.own_answer(&shared, &route.name, StatusCode::UNAUTHORIZED, reason);
        }
        Access::KeysStale => return meta.reject(&shared, &route.name, "unsure-of-keys"),
    };
    // Callers that don't read their answers may hold all memory there is for them.
    let Some(memory) = shared.memory.reserve_answer(&route.name) else {
        return meta.reject(&shared, &route.name, "memory");
    };
    let RequestMeta { caller, origin } = meta;
    let _reservation = incoming.reservation;
    let (head, body) = request.into_parts();
    let mut fields = head.headers;
    headers::strip(&mut fields);
    if !routes.teams.is_empty() {
        headers::replace_credential(&mut fields, authorized.as_ref().map(|p| &*p.team.name));
    }
    let team = authorized.as_ref().map(|p| Arc::clone(&p.team.name));
    let max_wait = caller.timeout.unwrap_or(DEFAULT_DEADLINE);
    let object = caller.affinity_key.as_ref().filter(|_| route.has_affinity);
    let object = object.map(|o| object_hash(&route, o.as_bytes()));
    let fingerprint = fingerprint(&host, &head.method, &head.uri, team.as_deref(), &body);
    let steer_request = Request {
        fingerprint,
        object,
        deadline: arrived + max_wait,
        route: Arc::clone(&route),
        authorized,
    };
    let outgoing = RoutedRequest {
        shared,
        forwarded: ForwardedRequest {
            method: head.method,
            uri: head.uri,
            headers: fields,
            body,
            id: caller.id,
            is_idempotent: route.is_idempotent,
            memory: Arc::new(memory),
        },
        route,
        team,
        object: object.unwrap_or_default(),
        fingerprint,
        arrived,
        origin,
    };
    run(outgoing, steer_request, &host, credential).await
}

/// Steers a request to its answer. If its key moves to another team while it waits, it goes
/// on as that team's.
async fn run(
    mut outgoing: RoutedRequest,
    mut request: Request,
    host: &str,
    credential: Credential,
) -> Response {
    loop {
        if let Ok(response) = outgoing.run(request.clone()).await {
            return response;
        }
        let route = &outgoing.route;
        let access = outgoing
            .shared
            .read(|now, d| Some(d.access(now, d.routes()?, route, credential)));
        request.authorized = match access {
            Some(Access::Granted(authorized)) => Some(authorized),
            Some(Access::Open) => None,
            Some(Access::Denied) => return outgoing.reject_key(Rejection::Denied),
            Some(Access::KeysStale) | None => return outgoing.reject_key(Rejection::KeysStale),
        };
        let team = request.authorized.as_ref();
        let team = team.map(|authorized| Arc::clone(&authorized.team.name));
        let ForwardedRequest {
            method, uri, body, ..
        } = &outgoing.forwarded;
        request.fingerprint = fingerprint(host, method, uri, team.as_deref(), body);
        outgoing.set_team(team, request.fingerprint);
    }
}

/// Reason for a 401, as counted and logged.
const fn denial_reason(credential: Credential) -> &'static str {
    match credential {
        Credential::Missing => "no-key",
        Credential::Malformed => "malformed-key",
        Credential::Key(_) => "unknown-key",
    }
}

/// Hash of an object within its route.
fn object_hash(route: &Route, object: &[u8]) -> u64 {
    direct::hash(route.name.as_bytes()) ^ direct::hash(object).rotate_left(17)
}

/// Fingerprint that repeats of a request share, whoever sends them. It consists of what
/// the target is asked to do: neither the address that the request comes from, as callers
/// have several, nor its id or object, which repeats may change.
fn fingerprint(
    host: &str,
    method: &Method,
    uri: &Uri,
    team: Option<&str>,
    body: &[u8],
) -> Fingerprint {
    // An absolute URI names its host once more.
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let head = format!("{method} {host} {path} {team:?}");
    let head = u128::from(direct::hash(head.as_bytes()));
    Fingerprint(head << 64 | u128::from(direct::hash(body)))
}

/// Host that the request names, in lower case and without its port.
fn host(request: &HttpRequest) -> String {
    let named = request.headers().get(HOST).and_then(|h| h.to_str().ok());
    let host = named.or_else(|| request.uri().host()).unwrap_or_default();
    let host = host.rsplit_once(':').map_or(host, |(host, _)| host);
    host.to_ascii_lowercase()
}

/// Caller's headers and origin of a request that is not steered yet, or never will
/// be.
struct RequestMeta {
    caller: headers::Caller,
    origin: Origin,
}

impl RequestMeta {
    /// Logs and builds an answer without a body that no target gave.
    fn own_answer(
        &self,
        shared: &Shared,
        route: &str,
        status: StatusCode,
        reason: &str,
    ) -> Response {
        let id = self.caller.id.as_ref();
        let answer = events::OwnAnswer {
            request: id.and_then(|id| id.to_str().ok()).unwrap_or_default(),
            route,
            team: None,
            origin: self.origin,
            fingerprint: None,
            status: status.as_u16(),
            reason,
            held_ms: 0,
            forecast: None,
        };
        events::own_answer(shared, &answer);
        let mut response = server::empty_response(status);
        headers::set_request_id(response.headers_mut(), id);
        response
    }

    /// 503 with the default retry delay, for a request that has not run and will not
    /// run.
    fn reject(&self, shared: &Shared, route: &str, reason: &str) -> Response {
        let mut response = self.own_answer(shared, route, StatusCode::SERVICE_UNAVAILABLE, reason);
        headers::set_retry_after(response.headers_mut(), DEFAULT_RETRY_AFTER);
        response
    }
}

fn millis(later: Time, earlier: Time) -> u64 {
    u64::try_from(later.since(earlier).as_millis()).unwrap_or(u64::MAX)
}

//! Handles callers' requests: routes, authorizes and steers each one, sends it to
//! targets, and returns an answer.
//!
//! Invariants: 429, 503 and 408 are sent only for a request that has not run and
//! will not run; a request that may have run and has no usable answer gets 502 or
//! 504. When a caller disconnects, its requests are withdrawn. Where teams are
//! configured, a caller's key is never forwarded to a target.

mod body_memory;

use std::net::IpAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use body_memory::Reservation;
use futures_lite::future;
use hyper::body::Bytes;
use hyper::header::{HOST, HeaderMap};
use hyper::{Method, StatusCode, Uri};
use platform::headers;
use smol::net;
use steer::clock::Time;
use steer::process::direct::access::{Access, Credential};
use steer::process::direct::target::Feedback;
use steer::process::direct::{
    self, Assignment, AttemptOutcome, Decision, FollowUp, Rejection, Request, Ticket,
};
use steer::request::arrival::Fingerprint;
use steer::version::routes::{Limits, Route};

use super::attempt::{self, ForwardedRequest};
use super::connection::{Caller, IncomingRequest};
use super::events::Origin;
use super::server::{self, ReadError, Response, Service};
use super::{Executor, Shared, events};

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

/// Retry delay for a request that crashed targets.
const POISON_RETRY_AFTER: Duration = Duration::from_mins(1);

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
    type Reservation = Reservation;

    fn limits(&self) -> server::Limits {
        limits(&self.0)
    }

    fn reserve_body(&self, length: Option<u64>) -> Option<Reservation> {
        Reservation::take(&self.0, limits(&self.0).body, length)
    }

    fn error_response(&self, caller: Caller, error: ReadError) -> Response {
        let meta = RequestMeta {
            caller: headers::Caller::default(),
            origin: Origin {
                connection: caller.connection_id,
                ..Origin::default()
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
        incoming: IncomingRequest<Reservation>,
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

/// Withdraws a request from steering on drop: once it is decided, or when its
/// future is dropped because the caller closed the connection.
struct TicketGuard {
    shared: Arc<Shared>,
    ticket: Ticket,
}

impl Drop for TicketGuard {
    fn drop(&mut self) {
        self.shared.release(self.ticket);
    }
}

/// A routed and authorized request while it is steered and sent.
struct RoutedRequest {
    shared: Arc<Shared>,
    forwarded: ForwardedRequest,
    route: Arc<Route>,
    /// Name of the team whose key authorized the request.
    team: Option<Arc<str>>,
    /// Hash of the object that the request concerns; 0 if it names none.
    object: u64,
    arrived: Time,
    origin: Origin,
}

/// Routes and authorizes a request, then steers it. A request that fails a check on
/// the way is answered here.
async fn answer(shared: Arc<Shared>, incoming: IncomingRequest<Reservation>) -> Response {
    let arrived = shared.at(incoming.head_read);
    let first_byte = shared.at(incoming.first_byte);
    let request = incoming.request;
    let meta = RequestMeta {
        caller: headers::caller(request.headers()),
        origin: Origin {
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
    let steer_request = Request {
        fingerprint: fingerprint(incoming.caller, &head.method, &head.uri, object, &body),
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
        },
        route,
        team,
        object: object.unwrap_or_default(),
        arrived,
        origin,
    };
    outgoing.run(steer_request).await
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

/// Fingerprint that is equal for retries of the same request by the same caller.
fn fingerprint(
    caller: IpAddr,
    method: &Method,
    uri: &Uri,
    object: Option<u64>,
    body: &[u8],
) -> Fingerprint {
    let head = format!("{caller:?} {method} {uri} {object:?}");
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

impl RoutedRequest {
    /// Sends the request to targets as decided by steering until it is answered,
    /// rejected or out of time.
    async fn run(self, request: Request) -> Response {
        let (ticket, decisions) = match self.shared.submit(request) {
            Ok(submitted) => submitted,
            Err(rejection) => return self.rejection_response(rejection, DEFAULT_RETRY_AFTER),
        };
        let guard = TicketGuard {
            shared: Arc::clone(&self.shared),
            ticket,
        };
        let limit = self.shared.read(|_, d| d.time_limit(ticket));
        let limit = limit.unwrap_or(self.arrived + self.route.timeout);
        let mut may_have_run = false;
        loop {
            let decision = self.run_until(limit, decisions.recv()).await;
            let assignment = match decision {
                Some(Ok(Decision::Send(assignment))) => assignment,
                Some(Ok(Decision::Reject {
                    reason,
                    retry_after,
                    ..
                })) => {
                    drop(guard);
                    return self.rejection_response(reason, retry_after);
                }
                Some(Err(_)) | None => {
                    drop(guard);
                    return if may_have_run {
                        self.outcome_unknown()
                    } else {
                        self.expired()
                    };
                }
            };
            let (follow_up, answer) = self.attempt(&assignment, limit, &mut may_have_run).await;
            match follow_up {
                FollowUp::Retry => {}
                FollowUp::Settled => {
                    drop(guard);
                    return answer.unwrap_or_else(|| self.outcome_unknown());
                }
                FollowUp::Reject { retry_after } => {
                    drop(guard);
                    return self.reject("rejected-by-targets", retry_after);
                }
            }
        }
    }

    /// Runs `work` until `limit` at most; `None` if it took longer.
    async fn run_until<T>(&self, limit: Time, work: impl Future<Output = T>) -> Option<T> {
        let remaining = limit.since(self.shared.now());
        let timeout = async {
            smol::Timer::after(remaining).await;
            None
        };
        future::or(async { Some(work.await) }, timeout).await
    }

    /// Sends the request to one target and reports the outcome to steering. Sets
    /// `may_have_run` unless the request certainly did not run there. Returns what
    /// to do next, and the target's answer if it may be passed on.
    async fn attempt(
        &self,
        assignment: &Assignment,
        limit: Time,
        may_have_run: &mut bool,
    ) -> (FollowUp, Option<Response>) {
        let start = self.shared.now();
        let remaining = limit.since(start);
        let reported = OnceLock::new();
        let withheld = OnceLock::new();
        let may_send = || match self.shared.read(|now, d| d.withheld(now, assignment)) {
            None => true,
            Some(reason) => {
                // A request is withheld once at most.
                let _ = withheld.set(reason);
                false
            }
        };
        let (outcome, answer) = if may_send() {
            let report = |feedback, headers: &HeaderMap| {
                self.report(assignment, feedback, headers);
                // The closure runs once at most.
                let _ = reported.set(feedback);
            };
            let run = attempt::run(
                &self.shared,
                assignment,
                &self.forwarded,
                remaining,
                may_send,
                report,
            );
            match self.run_until(limit, run).await {
                Some(completion) => (completion.outcome, completion.answer),
                None => (AttemptOutcome::TimedOut, None),
            }
        } else {
            (AttemptOutcome::Withdrawn, None)
        };
        *may_have_run |= !matches!(
            outcome,
            AttemptOutcome::NotSent
                | AttemptOutcome::Withdrawn
                | AttemptOutcome::NotRun
                | AttemptOutcome::WrongTarget
        );
        let follow_up = self
            .shared
            .decide(|now, direct| direct.finish_attempt(now, assignment.ticket, outcome));
        let status = answer.as_ref().map_or(0, |a| a.status().as_u16());
        events::attempt_ended(
            &self.shared,
            &events::Attempt {
                request: self.id(),
                route: &self.route.name,
                team: self.team.as_deref(),
                origin: self.origin,
                target: &assignment.target,
                number: assignment.attempt,
                held_ms: millis(start, self.arrived),
                took_ms: millis(self.shared.now(), start),
                outcome: outcome_name(outcome),
                status,
                withheld: withheld.into_inner(),
                feedback: reported.into_inner().unwrap_or_default(),
                assignment,
                object: self.object,
            },
        );
        let usable = matches!(outcome, AttemptOutcome::Answered | AttemptOutcome::Failed);
        let answer = answer.filter(|a| usable && !attempt::implies_not_run(a.status()));
        (follow_up, answer)
    }

    /// Applies and logs what the head of a target's answer reports of the target.
    fn report(&self, assignment: &Assignment, feedback: Feedback, headers: &HeaderMap) {
        let (shared, target) = (&self.shared, &assignment.target);
        let effect = shared.decide(|now, direct| {
            direct.apply_feedback(now, target, assignment.incarnation, feedback)
        });
        if effect.limit_changed {
            events::limit_changed(shared, target, feedback.limit, self.id());
        }
        if let Some(backoff) = feedback.backoff {
            shared.metrics.backoffs.inc();
            events::backoff_asked(shared, target, backoff, self.id());
        }
        if effect.began_leaving {
            events::target_leaving(shared, target, self.id());
        }
        for name in headers::unknown_answer_headers(headers) {
            if shared.metrics.count_unknown_header(name.as_str()) {
                events::unknown_header(shared, target, name.as_str(), self.id());
            }
        }
    }

    /// Request id as text; empty if there is none or it is not visible ASCII.
    fn id(&self) -> &str {
        let id = self.forwarded.id.as_ref().and_then(|id| id.to_str().ok());
        id.unwrap_or_default()
    }

    /// Maps a rejection by steering to the caller's response.
    fn rejection_response(&self, rejection: Rejection, after: Duration) -> Response {
        match rejection {
            Rejection::NoTarget => self.reject("no-target", after),
            Rejection::NoRegion => self.reject("no-home", after),
            Rejection::KeysStale => self.reject("unsure-of-keys", DEFAULT_RETRY_AFTER),
            Rejection::Denied => self.own_answer(StatusCode::UNAUTHORIZED, "key-taken-away"),
            Rejection::Quota => {
                let mut response = self.own_answer(StatusCode::TOO_MANY_REQUESTS, "over-quota");
                headers::set_retry_after(response.headers_mut(), after);
                response
            }
            Rejection::BackingOff => self.reject("targets-back-off", after),
            Rejection::Overload => self.reject("overload", after),
            Rejection::Poison => self.reject("crashes-targets", POISON_RETRY_AFTER),
            Rejection::OutcomeUnknown => self.outcome_unknown(),
        }
    }

    /// 503 with a retry delay, for a request that has not run and will not run.
    fn reject(&self, reason: &str, after: Duration) -> Response {
        let mut response = self.own_answer(StatusCode::SERVICE_UNAVAILABLE, reason);
        headers::set_retry_after(response.headers_mut(), after);
        response
    }

    /// 503 for a request that ran out of time and certainly has not run.
    fn expired(&self) -> Response {
        self.reject("late", Duration::ZERO)
    }

    /// 504 past the route's timeout, else 502, for a request that may have run.
    fn outcome_unknown(&self) -> Response {
        let limit = self.arrived + self.route.timeout;
        if self.shared.now() >= limit {
            return self.own_answer(StatusCode::GATEWAY_TIMEOUT, "late");
        }
        self.own_answer(StatusCode::BAD_GATEWAY, "fate-unknown")
    }

    /// Logs and builds an answer without a body that no target gave.
    fn own_answer(&self, status: StatusCode, reason: &str) -> Response {
        let held = millis(self.shared.now(), self.arrived);
        let answer = events::OwnAnswer {
            request: self.id(),
            route: &self.route.name,
            team: self.team.as_deref(),
            origin: self.origin,
            status: status.as_u16(),
            reason,
            held_ms: held,
        };
        events::own_answer(&self.shared, &answer);
        let mut response = server::empty_response(status);
        headers::set_request_id(response.headers_mut(), self.forwarded.id.as_ref());
        response
    }
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
            status: status.as_u16(),
            reason,
            held_ms: 0,
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

/// Label of an outcome in metrics and the log.
const fn outcome_name(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Answered => "answered",
        AttemptOutcome::Failed => "failed",
        AttemptOutcome::NotRun => "not-run",
        AttemptOutcome::WrongTarget => "elsewhere",
        AttemptOutcome::NotSent => "unreached",
        AttemptOutcome::Withdrawn => "withdrawn",
        AttemptOutcome::ConnectionLost => "broken",
        AttemptOutcome::InvalidResponse => "garbled",
        AttemptOutcome::TimedOut => "late",
    }
}

//! Callers' requests: read whole, steered, sent, answered.
//!
//! Invariants: 429, 503 and 408 are only said of a request that has not run and
//! will not; everything else that fails is 502 or 504. A caller that leaves
//! takes its request with it. A caller's key goes no further than here.

mod body_memory;

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use body_memory::Reservation;
use futures_lite::future;
use hyper::body::Bytes;
use hyper::header::HOST;
use hyper::{Method, StatusCode, Uri};
use platform::headers;
use smol::net;
use steer::clock::Time;
use steer::process::direct::access::{Access, Presented};
use steer::process::direct::{
    self, Assignment, AttemptOutcome, Decision, FollowUp, Rejection, Ticket,
};
use steer::request::arrival::Fingerprint;
use steer::version::routes::{Limits, Route};

use super::attempt::{self, Whole};
use super::connection::{Arrival, Caller};
use super::events::Origin;
use super::server::{self, Refusal, Response, Service};
use super::{Executor, Shared, events};

/// Bounds before a configuration is known.
const UNKNOWN: server::Limits = server::Limits {
    head: 16 * 1024,
    body: 1024 * 1024,
    whole: Duration::from_secs(5),
    idle: Duration::from_secs(15),
};

/// When a caller may come back that came before a configuration was known.
const NOT_YET: Duration = Duration::from_millis(500);

/// When a caller may come back whose request crashed targets.
const POISON: Duration = Duration::from_mins(1);

/// Longest time that a request without a deadline of its own is kept waiting
/// past its route's timeout: none.
const PATIENCE: Duration = Duration::from_hours(1);

/// Time from the start for which callers wait to be accepted while no
/// configuration is known. Where all instances start together, each caller that
/// is turned away has used up its retry by the time the first one is ready, and
/// all come back at the same moment.
const START: Duration = Duration::from_millis(600);

/// Answers callers on one listener.
pub async fn serve(shared: Arc<Shared>, socket: net::TcpListener, executor: Executor) {
    let late = async {
        smol::Timer::after(START).await;
    };
    future::or(configured(&shared), late).await;
    let count = shared.connections.clone();
    server::accept(Callers(shared), socket, executor, count).await;
}

/// Ends when a configuration is known.
async fn configured(shared: &Shared) {
    loop {
        let told = shared.updated.listen();
        if shared.read(|_, d| d.routes().is_some()) {
            return;
        }
        told.await;
    }
}

type HttpRequest = hyper::Request<Bytes>;

#[derive(Clone)]
struct Callers(Arc<Shared>);

impl Service for Callers {
    type Reservation = Reservation;

    fn limits(&self) -> server::Limits {
        limits(&self.0)
    }

    fn reserve_body(&self, length: Option<u64>) -> Option<Reservation> {
        Reservation::take(&self.0, limits(&self.0).body, length)
    }

    fn refuse(&self, caller: Caller, why: Refusal) -> Response {
        let asker = Asker {
            caller: headers::Caller::default(),
            origin: Origin {
                connection: caller.number,
                ..Origin::default()
            },
        };
        match why {
            Refusal::NoRoom => asker.reject(&self.0, "", why.word()),
            _ => asker.own(&self.0, "", why.status(), why.word()),
        }
    }

    fn is_idempotent(&self, request: &HttpRequest) -> bool {
        let host = host(request);
        let path = request.uri().path();
        // What is on no route is answered here, without a run.
        self.0.read(|_, d| {
            let route = d.routes().and_then(|r| r.find(&host, path));
            route.is_none_or(|r| r.idempotent)
        })
    }

    fn answer(
        &self,
        arrival: Arrival<Reservation>,
    ) -> impl Future<Output = Response> + Send + use<> {
        answer(Arc::clone(&self.0), arrival)
    }

    fn shared(&self) -> &Arc<Shared> {
        &self.0
    }
}

fn limits(shared: &Shared) -> server::Limits {
    let found = shared.read(|_, d| d.routes().map(|r| r.limits));
    found.map_or(
        UNKNOWN,
        |Limits {
             head,
             body,
             arrive,
             idle,
         }| server::Limits {
            head,
            body,
            whole: arrive,
            idle,
        },
    )
}

/// Takes a request out of steering when its future is dropped: its caller has
/// closed the connection.
struct Seat {
    shared: Arc<Shared>,
    ticket: Ticket,
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.shared.release(self.ticket);
    }
}

/// A request on its way through this instance.
struct Errand {
    shared: Arc<Shared>,
    whole: Whole,
    route: Arc<Route>,
    /// Name of the team whose it is.
    team: Option<Arc<str>>,
    /// Hash of the object it concerns; 0 if it names none.
    object: u64,
    arrived: Time,
    origin: Origin,
}

async fn answer(shared: Arc<Shared>, arrival: Arrival<Reservation>) -> Response {
    let arrived = shared.at(arrival.read);
    let begun = shared.at(arrival.begun);
    let request = arrival.request;
    let asker = Asker {
        caller: headers::caller(request.headers()),
        origin: Origin {
            connection: arrival.connection,
            ahead: arrival.ahead,
            read_ms: millis(shared.now(), begun),
        },
    };
    let routes = shared.read(|_, d| d.routes().cloned());
    let Some(routes) = routes else {
        return asker.reject(&shared, "", "no-config");
    };
    let host = host(&request);
    let Some(route) = routes.find(&host, request.uri().path()).cloned() else {
        // The route may have been added while the store was out of touch; after
        // a 404 the caller would ask nowhere else.
        if !shared.read(|now, d| d.is_in_touch(now)) {
            return asker.reject(&shared, "", "no-route-known");
        }
        return asker.own(&shared, "", StatusCode::NOT_FOUND, "no-route");
    };
    let presented = headers::presented(request.headers());
    let pass = match shared.read(|now, d| d.access(now, &routes, &route, presented)) {
        Access::Open => None,
        Access::Granted(pass) => Some(pass),
        Access::Denied => {
            let why = denied(presented);
            return asker.own(&shared, &route.name, StatusCode::UNAUTHORIZED, why);
        }
        Access::Unsure => return asker.reject(&shared, &route.name, "unsure-of-keys"),
    };
    let Asker { caller, origin } = asker;
    let _reservation = arrival.reservation;
    let (head, body) = request.into_parts();
    let mut fields = head.headers;
    headers::strip(&mut fields);
    if !routes.teams.is_empty() {
        headers::authorize(&mut fields, pass.as_ref().map(|p| &*p.team.name));
    }
    let team = pass.as_ref().map(|p| Arc::clone(&p.team.name));
    let patience = caller.patience.unwrap_or(PATIENCE);
    let object = caller.object.as_ref().filter(|_| route.affinity);
    let object = object.map(|o| object_of(&route, o.as_bytes()));
    let ask = direct::Request {
        print: print_of(arrival.caller, &head.method, &head.uri, object, &body),
        object,
        deadline: arrived + patience,
        route: Arc::clone(&route),
        pass,
    };
    let errand = Errand {
        shared,
        whole: Whole {
            method: head.method,
            uri: head.uri,
            headers: fields,
            body,
            id: caller.id,
            idempotent: route.idempotent,
        },
        route,
        team,
        object: object.unwrap_or_default(),
        arrived,
        origin,
    };
    errand.run(ask).await
}

/// Why a caller is told that it has no key that would do.
const fn denied(presented: Presented) -> &'static str {
    match presented {
        Presented::Nothing => "no-key",
        Presented::Malformed => "malformed-key",
        Presented::Key(_) => "unknown-key",
    }
}

fn object_of(route: &Route, object: &[u8]) -> u64 {
    direct::hash(route.name.as_bytes()) ^ direct::hash(object).rotate_left(17)
}

/// The same for a repeat of the same request by the same caller.
fn print_of(
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

fn host(request: &HttpRequest) -> String {
    let named = request.headers().get(HOST).and_then(|h| h.to_str().ok());
    let host = named.or_else(|| request.uri().host()).unwrap_or_default();
    let host = host.rsplit_once(':').map_or(host, |(host, _)| host);
    host.to_ascii_lowercase()
}

impl Errand {
    async fn run(self, ask: direct::Request) -> Response {
        let (ticket, orders) = match self.shared.submit(ask) {
            Ok(taken) => taken,
            Err(why) => return self.give_up(why, NOT_YET),
        };
        let seat = Seat {
            shared: Arc::clone(&self.shared),
            ticket,
        };
        let limit = self.shared.read(|_, d| d.time_limit(ticket));
        let limit = limit.unwrap_or(self.arrived + self.route.timeout);
        let mut may_have_run = false;
        loop {
            let order = self.until(limit, orders.recv()).await;
            let go = match order {
                Some(Ok(Decision::Send(go))) => go,
                Some(Ok(Decision::Reject { why, after, .. })) => {
                    drop(seat);
                    return self.give_up(why, after);
                }
                Some(Err(_)) | None => {
                    drop(seat);
                    return if may_have_run {
                        self.unknown()
                    } else {
                        self.late()
                    };
                }
            };
            let (next, answer) = self.attempt(&go, limit, &mut may_have_run).await;
            match next {
                FollowUp::Retry => {}
                FollowUp::Settled => {
                    drop(seat);
                    return answer.unwrap_or_else(|| self.unknown());
                }
                FollowUp::Reject { after } => {
                    drop(seat);
                    return self.reject("rejected-by-targets", after);
                }
            }
        }
    }

    /// Waits, at most until `limit`.
    async fn until<T>(&self, limit: Time, work: impl Future<Output = T>) -> Option<T> {
        let left = limit.since(self.shared.now());
        let late = async {
            smol::Timer::after(left).await;
            None
        };
        future::or(async { Some(work.await) }, late).await
    }

    /// Sends the request to one target; notes whether it may have run there.
    async fn attempt(
        &self,
        go: &Assignment,
        limit: Time,
        may_have_run: &mut bool,
    ) -> (FollowUp, Option<Response>) {
        let began = self.shared.now();
        let left = limit.since(began);
        let (ending, answer, word) = if self.shared.read(|now, d| d.may_send_request(now, go)) {
            let run = attempt::run(&self.shared, go, &self.whole, left);
            match self.until(limit, run).await {
                Some(ended) => (ended.ending, ended.answer, ended.word),
                None => (AttemptOutcome::TimedOut, None, None),
            }
        } else {
            (AttemptOutcome::Withdrawn, None, None)
        };
        *may_have_run |= !matches!(
            ending,
            AttemptOutcome::NotSent
                | AttemptOutcome::Withdrawn
                | AttemptOutcome::NotRun
                | AttemptOutcome::WrongTarget
        );
        let (next, named) = self.shared.decide(|now, direct| {
            let next = direct.finish_attempt(now, go.ticket, ending);
            let named = word.is_some_and(|word| direct.apply_feedback(now, &go.target, word));
            (next, named)
        });
        let word = word.unwrap_or_default();
        if named {
            events::limit_changed(&self.shared, &go.target, word.limit, self.id());
        }
        let status = answer.as_ref().map_or(0, |a| a.status().as_u16());
        events::attempt_ended(
            &self.shared,
            &events::Attempt {
                request: self.id(),
                route: &self.route.name,
                team: self.team.as_deref(),
                origin: self.origin,
                target: &go.target,
                number: go.attempt,
                held_ms: millis(began, self.arrived),
                took_ms: millis(self.shared.now(), began),
                outcome: name(ending),
                status,
                feedback: word,
                assignment: go,
                object: self.object,
            },
        );
        let usable = matches!(ending, AttemptOutcome::Answered | AttemptOutcome::Failed);
        let answer = answer.filter(|a| usable && !attempt::promises(a.status()));
        (next, answer)
    }

    fn id(&self) -> &str {
        let id = self.whole.id.as_ref().and_then(|id| id.to_str().ok());
        id.unwrap_or_default()
    }

    fn give_up(&self, why: Rejection, after: Duration) -> Response {
        match why {
            Rejection::NoTarget => self.reject("no-target", after),
            Rejection::NoRegion => self.reject("no-home", after),
            Rejection::KeysStale => self.reject("unsure-of-keys", NOT_YET),
            Rejection::Denied => self.own(StatusCode::UNAUTHORIZED, "key-taken-away"),
            Rejection::Quota => {
                let mut response = self.own(StatusCode::TOO_MANY_REQUESTS, "over-quota");
                headers::come_back(response.headers_mut(), after);
                response
            }
            Rejection::Overload => self.reject("overload", after),
            Rejection::Poison => self.reject("crashes-targets", POISON),
            Rejection::OutcomeUnknown => self.unknown(),
        }
    }

    /// It has not run and will not.
    fn reject(&self, why: &str, after: Duration) -> Response {
        let mut response = self.own(StatusCode::SERVICE_UNAVAILABLE, why);
        headers::come_back(response.headers_mut(), after);
        response
    }

    /// Its time ended before it was sent.
    fn late(&self) -> Response {
        self.reject("late", Duration::ZERO)
    }

    /// It may have run.
    fn unknown(&self) -> Response {
        let limit = self.arrived + self.route.timeout;
        if self.shared.now() >= limit {
            return self.own(StatusCode::GATEWAY_TIMEOUT, "late");
        }
        self.own(StatusCode::BAD_GATEWAY, "fate-unknown")
    }

    fn own(&self, status: StatusCode, why: &str) -> Response {
        let held = millis(self.shared.now(), self.arrived);
        let answer = events::OwnAnswer {
            request: self.id(),
            route: &self.route.name,
            team: self.team.as_deref(),
            origin: self.origin,
            status: status.as_u16(),
            reason: why,
            held_ms: held,
        };
        events::own_answer(&self.shared, &answer);
        let mut response = server::empty(status);
        headers::name(response.headers_mut(), self.whole.id.as_ref());
        response
    }
}

/// Whoever asks for what is answered before it is steered.
struct Asker {
    caller: headers::Caller,
    origin: Origin,
}

impl Asker {
    fn own(&self, shared: &Shared, route: &str, status: StatusCode, why: &str) -> Response {
        let id = self.caller.id.as_ref();
        let answer = events::OwnAnswer {
            request: id.and_then(|id| id.to_str().ok()).unwrap_or_default(),
            route,
            team: None,
            origin: self.origin,
            status: status.as_u16(),
            reason: why,
            held_ms: 0,
        };
        events::own_answer(shared, &answer);
        let mut response = server::empty(status);
        headers::name(response.headers_mut(), id);
        response
    }

    /// It has not run and will not; its caller may come back soon.
    fn reject(&self, shared: &Shared, route: &str, why: &str) -> Response {
        let mut response = self.own(shared, route, StatusCode::SERVICE_UNAVAILABLE, why);
        headers::come_back(response.headers_mut(), NOT_YET);
        response
    }
}

fn millis(later: Time, earlier: Time) -> u64 {
    u64::try_from(later.since(earlier).as_millis()).unwrap_or(u64::MAX)
}

const fn name(ending: AttemptOutcome) -> &'static str {
    match ending {
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

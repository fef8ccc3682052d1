//! The callers' API: look-ups, idempotency keys and requests to services.
//!
//! | call | answer |
//! |---|---|
//! | `GET /lookup?service=S[&client=A.B.C.D]` | 200 with the entry instances to use, in order |
//! | `GET /key` | 200 with the prefix for idempotency keys owned by this instance |
//! | any method on `/s/{service}/{path}` | the target's answer, or a rejection |
//!
//! Invariant: every answer to a request states in its `Outcome` header whether
//! the request ran; an incomplete request is never passed on.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use serde::Serialize;
use steer::request::{arrival, outcome};
use steer::version::{lookup, view};
use trillium_http::KnownHeaderName::ContentLength as CONTENT_LENGTH;
use trillium_http::{KnownHeaderName, Method, Status};
use wire::headers;

use super::accept::Peer;
use super::engine::{Engine, RequestOptions};
use super::guarded::Conn;
use super::inbound::{self, Inbound};
use super::metrics::Metrics;
use super::reply;
use super::snapshot::{LastRun, Snapshot};

/// Lifetime of a look-up answer at the caller.
const LOOKUP_LIFETIME: Duration = Duration::from_secs(2);

/// Time for which a caller may create new keys from one prefix.
const KEY_LIFETIME: Duration = Duration::from_mins(1);

/// Retry delay sent to callers of an instance that isn't ready.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum length of a caller's name; longer names are truncated.
const CALLER_NAME_MAX_BYTES: usize = 128;

/// State of the callers' listener.
pub struct Callers {
    /// Latest snapshot published by the control thread.
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    /// Time at which the control loop last ran.
    pub last_run: Arc<LastRun>,
    /// Engine that serves the requests.
    pub engine: Arc<Engine>,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    /// Upper bound on a caller's deadline.
    pub deadline_max: Duration,
}

/// Body of a look-up answer.
#[derive(Debug, Serialize)]
struct LookupAnswer<'a> {
    version: u64,
    lifetime_ms: u64,
    choices: Vec<Choice<'a>>,
}

/// Body of an answer with a prefix for idempotency keys.
#[derive(Debug, Serialize)]
struct KeyAnswer<'a> {
    prefix: &'a str,
    lifetime_ms: u64,
}

/// One entry instance in a look-up answer.
#[derive(Debug, Serialize)]
struct Choice<'a> {
    name: &'a str,
    addr: SocketAddr,
}

impl Callers {
    /// Answers one request.
    pub async fn handle(self: Arc<Self>, mut conn: Conn, peer: Peer) -> Conn {
        if has_invalid_length(&conn) {
            let refusal = unread_refusal(&conn, outcome::Reason::BadRequest);
            // Without this header the library doesn't wait for a body. The
            // connection is closed, since a body that follows can't be told from
            // the next request.
            conn.request_headers_mut().remove(CONTENT_LENGTH);
            let mut refused = self.refuse(conn, refusal);
            let headers = refused.response_headers_mut();
            headers.insert(KnownHeaderName::Connection, "close");
            return refused;
        }
        let path = conn.path().to_owned();
        match path.strip_prefix("/s/") {
            Some(rest) => self.request(conn, &peer, rest).await,
            None if path == "/lookup" && conn.method() == Method::Get => self.lookup(conn, &peer),
            None if path == "/key" && conn.method() == Method::Get => self.key(conn),
            None => self.refuse(
                conn,
                outcome::Refusal::not_run(outcome::Reason::BadRequest, None),
            ),
        }
    }

    fn lookup(&self, conn: Conn, peer: &Peer) -> Conn {
        self.metrics.lookups.inc();
        let snapshot = self.snapshot.load();
        match self.lookup_answer(&snapshot, &conn, peer) {
            Ok(found) => reply::json(conn, Status::Ok, &found),
            Err(refusal) => self.refuse(conn, refusal),
        }
    }

    fn lookup_answer<'a>(
        &self,
        snapshot: &'a Snapshot,
        conn: &Conn,
        peer: &Peer,
    ) -> Result<LookupAnswer<'a>, outcome::Refusal> {
        self.check_ready(snapshot)?;
        let view = &*snapshot.view;
        let query = Query::parse(conn.querystring());
        if query.service.is_some_and(|s| view.service(s).is_none()) {
            let reason = outcome::Reason::UnknownService;
            return Err(outcome::Refusal::not_run(reason, None));
        }
        let Some(addr) = query.client.map_or(Some(peer.ip), |c| c.parse().ok()) else {
            let reason = outcome::Reason::BadRequest;
            return Err(outcome::Refusal::not_run(reason, None));
        };
        let caller = header(conn, headers::CALLER_NAME).map_or_else(
            || lookup::hash_bytes(addr.to_string().as_bytes()),
            |name| lookup::hash_bytes(name.as_bytes()),
        );
        let choices = snapshot.lookup.choose(region(view, addr), caller);
        let choices = choices.iter().flatten();
        Ok(LookupAnswer {
            version: view.version.0,
            lifetime_ms: millis(LOOKUP_LIFETIME),
            choices: choices.map(|&member| choice(view, member)).collect(),
        })
    }

    fn key(&self, conn: Conn) -> Conn {
        let ready = self.check_ready(&self.snapshot.load());
        let prefix = self.engine.prefix().ok_or_else(not_ready);
        match ready.and(prefix) {
            Ok(prefix) => {
                let issued = KeyAnswer {
                    prefix: &prefix,
                    lifetime_ms: millis(KEY_LIFETIME),
                };
                reply::json(conn, Status::Ok, &issued)
            }
            Err(refusal) => self.refuse(conn, refusal),
        }
    }

    /// Checks that a configuration is in force and the control loop ran recently.
    /// After a freeze this process may have been replaced: the instances in its
    /// look-up answers may be gone, and a request with one of its keys would be
    /// answered "unknown".
    fn check_ready(&self, snapshot: &Snapshot) -> Result<(), outcome::Refusal> {
        let is_fresh = self.last_run.is_fresh(self.engine.now());
        if snapshot.ready && is_fresh {
            Ok(())
        } else {
            Err(not_ready())
        }
    }

    async fn request(&self, mut conn: Conn, peer: &Peer, rest: &str) -> Conn {
        let Some(options) = self.options(&conn) else {
            let refusal = unread_refusal(&conn, outcome::Reason::BadRequest);
            return self.refuse(conn, refusal);
        };
        let body = match conn.request_body().await.read_bytes().await {
            Ok(body) => body,
            Err(error) => {
                let is_too_long = matches!(error, trillium_http::Error::ReceivedBodyTooLong(_));
                let reason = if is_too_long {
                    outcome::Reason::TooLarge
                } else {
                    outcome::Reason::BadRequest
                };
                let refusal = unread_refusal(&conn, reason);
                return self.refuse(conn, refusal);
            }
        };
        peer.serving.begin();
        let request = Inbound {
            caller_region: self.caller_region(peer.ip),
            ..inbound(&conn, peer.ip, rest, body)
        };
        let served = self.engine.serve(request, options);
        match conn.cancel_on_disconnect(served).await {
            Some(settled) => {
                self.metrics.count_settled(&settled);
                reply::settled(conn, &settled)
            }
            None => conn,
        }
    }

    fn options(&self, conn: &Conn) -> Option<RequestOptions> {
        let deadline = match header(conn, headers::DEADLINE_MS) {
            None => None,
            Some(text) => Some(Duration::from_millis(text.parse().ok()?).min(self.deadline_max)),
        };
        Some(RequestOptions {
            deadline,
            origin: arrival::Origin::Caller,
            via: None,
        })
    }

    fn caller_region(&self, ip: IpAddr) -> Option<Arc<str>> {
        let snapshot = self.snapshot.load();
        let region = region(&snapshot.view, ip)?;
        Some(Arc::clone(&snapshot.view.regions[region].name))
    }

    fn refuse(&self, conn: Conn, refusal: outcome::Refusal) -> Conn {
        self.metrics.count_settled(&Err(refusal));
        reply::refused(conn, &refusal)
    }
}

const fn not_ready() -> outcome::Refusal {
    outcome::Refusal::not_run(outcome::Reason::NotReady, Some(NOT_READY_RETRY_AFTER))
}

/// Rejection of a request that did not reach the engine. With a key its outcome is
/// "unknown": another copy may have run under the key, and a caller told "not run"
/// could repeat the request and be charged again.
fn unread_refusal(conn: &Conn, reason: outcome::Reason) -> outcome::Refusal {
    match header(conn, headers::IDEMPOTENCY_KEY) {
        Some(_) => outcome::Refusal::unknown(reason, None),
        None => outcome::Refusal::not_run(reason, None),
    }
}

/// Returns true if `Content-Length` occurs more than once or isn't a number. The HTTP
/// library takes the first of two lengths; a proxy in front may have taken the
/// second, and the rest of the body would be read as a smuggled request.
fn has_invalid_length(conn: &Conn) -> bool {
    let Some(lengths) = conn.request_headers().get_values(CONTENT_LENGTH) else {
        return false;
    };
    let digits = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    !lengths
        .one()
        .is_some_and(|v| v.as_str().is_some_and(digits))
}

/// Returns the region whose client block contains an address.
fn region(view: &view::View, ip: IpAddr) -> Option<view::Region> {
    match ip {
        IpAddr::V4(v4) => view.blocks.region(v4),
        IpAddr::V6(v6) => view.blocks.region(v6.to_ipv4_mapped()?),
    }
}

fn choice(view: &view::View, member: view::Member) -> Choice<'_> {
    let data = &view.members[member];
    Choice {
        name: &data.name,
        addr: data.addr,
    }
}

fn inbound(conn: &Conn, ip: IpAddr, rest: &str, body: Vec<u8>) -> Inbound {
    let (service, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
    let query = conn.querystring();
    let mut path = if path.is_empty() { "/" } else { path }.to_owned();
    if !query.is_empty() {
        path.push('?');
        path.push_str(query);
    }
    Inbound {
        service: service.into(),
        method: conn.method().as_str().into(),
        path: path.into(),
        headers: end_to_end(conn),
        body: body.into(),
        caller: header(conn, headers::CALLER_NAME)
            .map_or_else(|| ip.to_string().into(), truncate_name),
        key: header(conn, headers::IDEMPOTENCY_KEY).map(Arc::from),
        caller_region: None,
    }
}

fn end_to_end(conn: &Conn) -> Vec<(Arc<str>, Arc<str>)> {
    let mut kept = Vec::new();
    for (name, values) in conn.request_headers() {
        let name = name.as_ref();
        if inbound::is_hop_header(name) {
            continue;
        }
        for value in values {
            if let Some(value) = value.as_str() {
                kept.push((name.into(), value.into()));
            }
        }
    }
    kept
}

fn header<'a>(conn: &'a Conn, name: &'static str) -> Option<&'a str> {
    conn.request_headers().get_str(name)
}

fn truncate_name(name: &str) -> Arc<str> {
    let mut end = name.len().min(CALLER_NAME_MAX_BYTES);
    while !name.is_char_boundary(end) {
        end -= 1;
    }
    name[..end].into()
}

/// Query parameters of a look-up.
#[derive(Debug, Default)]
struct Query<'a> {
    service: Option<&'a str>,
    client: Option<&'a str>,
}

impl<'a> Query<'a> {
    fn parse(text: &'a str) -> Self {
        let mut query = Self::default();
        for pair in text.split('&') {
            match pair.split_once('=') {
                Some(("service", value)) => query.service = Some(value),
                Some(("client", value)) => query.client = Some(value),
                _ => {}
            }
        }
        query
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

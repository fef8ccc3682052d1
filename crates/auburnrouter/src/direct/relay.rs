//! Sends requests by other instances, while this one is cut off from all targets.
//!
//! Invariants: an instance is asked whether it relays before it gets a request, as one of
//! an earlier release knows neither call; a request without a reply may have been sent.

pub mod carrier;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use futures_lite::future;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use platform::headers;
use steer::process::direct::relay::Relay;
use steer::process::direct::target::Feedback;
use steer::process::direct::{Assignment, AttemptOutcome};
use wire::direct::relay;

use super::attempt::{self, Completion, ForwardedRequest};
use super::peer::Connection;
use super::server::Response;
use super::{Shared, lock};

/// Time between two checks of a connection to a relay, which may go silent without a
/// reset.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Connections to relays.
#[derive(Default)]
pub struct Relays(Mutex<Vec<(SocketAddr, Slot)>>);

/// A place for a connection; locked while it is being opened.
type Slot = Arc<smol::lock::Mutex<LinkState>>;

/// Whether there is a connection to an instance.
#[derive(Default)]
enum LinkState {
    /// None was tried.
    #[default]
    New,
    /// It is open, or has failed since.
    Open(Arc<Link>),
    /// The last one could not be opened, at this time.
    Failed(Instant),
}

/// Connection to an instance that relays.
struct Link {
    connection: Arc<Connection>,
    /// Its sender is closed when the connection has failed.
    failed: async_channel::Receiver<()>,
    /// Checks the connection; cancelled on drop.
    _check: smol::Task<()>,
}

impl Relays {
    /// Closes the connections once the requests on them have ended.
    pub fn clear(&self) {
        lock(&self.0).clear();
    }

    fn slot(&self, addr: SocketAddr) -> Slot {
        let mut slots = lock(&self.0);
        match slots.binary_search_by_key(&addr, |s| s.0) {
            Ok(at) => Arc::clone(&slots[at].1),
            Err(at) => {
                let slot = Slot::default();
                slots.insert(at, (addr, Arc::clone(&slot)));
                slot
            }
        }
    }

    /// The connection to an instance; `None` if it doesn't relay.
    async fn link(&self, shared: &Shared, addr: SocketAddr) -> Option<Arc<Link>> {
        let asked = Instant::now();
        let slot = self.slot(addr);
        let mut state = slot.lock().await;
        match &*state {
            LinkState::Open(link) if !link.failed.is_closed() => return Some(Arc::clone(link)),
            // Another request has tried it meanwhile.
            LinkState::Failed(at) if *at > asked => return None,
            _ => {}
        }
        let link = Link::open(shared, addr).await.map(Arc::new);
        *state = match &link {
            Some(link) => LinkState::Open(Arc::clone(link)),
            None => LinkState::Failed(Instant::now()),
        };
        link
    }
}

impl Link {
    async fn open(shared: &Shared, addr: SocketAddr) -> Option<Self> {
        let connection = Connection::open(addr, &shared.traffic).await?;
        if connection.is_relay().await != Some(true) {
            return None;
        }
        let connection = Arc::new(connection);
        let (alive, failed) = async_channel::bounded::<()>(1);
        let checked = Arc::clone(&connection);
        let check = shared.traffic.spawn(async move {
            while checked.is_relay().await.is_some() {
                smol::Timer::after(CHECK_INTERVAL).await;
            }
            alive.close();
        });
        Some(Self {
            connection,
            failed,
            _check: check,
        })
    }

    /// Has a request sent; `None` if there is no reply, so that it may have been sent.
    async fn relay(&self, request: relay::Request, left: Duration) -> Option<relay::Reply> {
        let failed = async {
            // Nothing is sent on this channel; closing it ends the wait with an error.
            let _ = self.failed.recv().await;
            None
        };
        future::or(self.connection.relay(request, left), failed).await
    }
}

/// Has a request sent to the assigned target by `relay`, with the same arguments and
/// results as [`attempt::run`].
pub async fn run(
    shared: &Arc<Shared>,
    relay: &Relay,
    assignment: &Assignment,
    forwarded: &ForwardedRequest,
    remaining: impl Fn() -> Option<Duration>,
    report: impl FnOnce(Feedback, &HeaderMap),
) -> Completion {
    let Some(link) = shared.relays.link(shared, relay.addr).await else {
        return Completion::without_answer(AttemptOutcome::RelayRefused);
    };
    let Some(left) = remaining() else {
        return Completion::without_answer(AttemptOutcome::Withdrawn);
    };
    let request = relay::Request {
        sender: shared.settings.name.as_ref().to_owned(),
        target: assignment.target.as_ref().to_owned(),
        incarnation: assignment.incarnation,
        left_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
        ..forwarded.into()
    };
    let ended = match link.relay(request, left).await {
        None => return Completion::without_answer(AttemptOutcome::RelayLost),
        Some(relay::Reply::Refused(_)) => {
            return Completion::without_answer(AttemptOutcome::RelayRefused);
        }
        Some(relay::Reply::Withheld(_)) => {
            return Completion::without_answer(AttemptOutcome::RelayWithheld);
        }
        Some(relay::Reply::Ended(ended)) => ended,
    };
    let outcome = ended.outcome.into();
    let Some(answer) = ended.answer else {
        return Completion::without_answer(outcome);
    };
    let response = match response(forwarded, answer).await {
        Ok(response) => response,
        Err(failed) => return Completion::without_answer(failed),
    };
    if outcome != AttemptOutcome::InvalidResponse && outcome != AttemptOutcome::WrongTarget {
        let info = headers::answer(response.headers());
        report(
            attempt::feedback(response.status(), &info),
            response.headers(),
        );
    }
    Completion {
        answer: Some(response),
        ..Completion::without_answer(outcome)
    }
}

/// A relayed answer, charged to the account of memory until its caller has it.
///
/// # Errors
/// The outcome of the attempt if there is no room for the answer or it is malformed. A relay
/// of an earlier release may pass on a status that is none.
async fn response(
    forwarded: &ForwardedRequest,
    answer: relay::Answer,
) -> Result<Response, AttemptOutcome> {
    let memory = &forwarded.memory;
    memory.record(answer.body.len());
    if !memory.hold(answer.body.len()).await {
        return Err(AttemptOutcome::NoMemory);
    }
    let status = StatusCode::from_u16(answer.status).ok();
    let status = status.filter(|status| pool::is_final(*status));
    let (Some(status), Some(fields)) = (status, decode_headers(answer.headers)) else {
        return Err(AttemptOutcome::InvalidResponse);
    };
    let mut response = Response::new(Bytes::from(answer.body));
    *response.status_mut() = status;
    *response.headers_mut() = fields;
    response.extensions_mut().insert(Arc::clone(memory));
    Ok(response)
}

fn encode_headers(fields: &HeaderMap) -> Vec<relay::Header> {
    let encode = |(name, value): (&HeaderName, &HeaderValue)| relay::Header {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    };
    fields.iter().map(encode).collect()
}

/// The headers; `None` if one is no HTTP header.
fn decode_headers(fields: Vec<relay::Header>) -> Option<HeaderMap> {
    let mut map = HeaderMap::with_capacity(fields.len());
    for field in fields {
        let name = HeaderName::try_from(field.name).ok()?;
        map.append(name, HeaderValue::try_from(field.value).ok()?);
    }
    Some(map)
}

impl From<&ForwardedRequest> for relay::Request {
    fn from(request: &ForwardedRequest) -> Self {
        Self {
            sender: String::new(),
            target: String::new(),
            incarnation: 0,
            method: request.method.as_str().to_owned(),
            path: request.uri.to_string(),
            headers: encode_headers(&request.headers),
            body: request.body.to_vec(),
            left_ms: 0,
            is_idempotent: request.is_idempotent,
        }
    }
}

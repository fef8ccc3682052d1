//! Sends requests for instances that are cut off from all targets.
//!
//! The other instance has decided where the request goes and accounts for it; this one
//! refuses what its own knowledge of the target forbids, and learns from the answer.
//!
//! Invariants: nothing is relayed on; a request that is refused or withheld has not been
//! sent; one that its sender gives up is given up here too.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures_lite::future;
use hyper::body::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use platform::headers;
use steer::clock::Time;
use steer::process::direct::AttemptOutcome;
use wire::direct::relay::{self, Refusal, Reply};

use super::{decode_headers, encode_headers};
use crate::direct::attempt::{self, Completion, Destination, ForwardedRequest};
use crate::direct::memory::AnswerCharge;
use crate::direct::{Phase, Shared, events, feedback};

/// Name under which the usual length of relayed answers is learnt, in place of a route's.
const RELAYED_ROUTE: &str = "";

/// Number of requests that are being relayed.
#[derive(Debug, Default)]
pub struct RelayedCount(AtomicUsize);

impl RelayedCount {
    /// Requests that are being relayed.
    pub fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Counts one relayed request until it is dropped.
struct CountGuard<'a>(&'a RelayedCount);

impl<'a> CountGuard<'a> {
    fn new(count: &'a RelayedCount) -> Self {
        count.0.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Why this instance relays nothing now, if so.
pub fn refusal(shared: &Shared) -> Option<Refusal> {
    if shared.phase() != Phase::Serving {
        Some(Refusal::Stopping)
    } else if shared.read(|_, d| d.is_cut_off()) {
        Some(Refusal::CutOff)
    } else {
        None
    }
}

/// Sends a request of another instance to its target.
pub async fn carry(shared: &Arc<Shared>, request: relay::Request) -> Reply {
    let arrived = shared.now();
    let _counted = CountGuard::new(&shared.relayed);
    if let Some(refusal) = refusal(shared) {
        return Reply::Refused(refusal);
    }
    let length = request.body.len();
    let body = shared
        .memory
        .reserve_body(length, u64::try_from(length).ok());
    let answer = shared.memory.reserve_answer(&Arc::from(RELAYED_ROUTE));
    let (Some(_body), Some(answer)) = (body, answer) else {
        return Reply::Refused(Refusal::Memory);
    };
    let target: Arc<str> = Arc::from(&*request.target);
    let incarnation = request.incarnation;
    let found = shared.read(|now, d| d.relay_target(now, &target, incarnation));
    let addr = match found {
        Ok(addr) => addr,
        Err(reason) => return Reply::Withheld(reason.name().to_owned()),
    };
    let limit = arrived + Duration::from_millis(request.left_ms.into());
    let sender = request.sender.clone();
    let Some(forwarded) = decode(request, answer) else {
        return Reply::Refused(Refusal::Malformed);
    };
    let remaining = || {
        shared.read(|now, d| {
            let target = d.relay_target(now, &target, incarnation);
            target.is_ok().then(|| limit.since(now))
        })
    };
    let id = forwarded.id.as_ref().and_then(|id| id.to_str().ok());
    let id = id.unwrap_or_default();
    let report = |told, fields: &HeaderMap| {
        feedback::apply(shared, (&target, incarnation), told, fields, id);
    };
    let destination = Destination {
        target: &target,
        addr,
    };
    let run = attempt::run(shared, &destination, &forwarded, remaining, report);
    let completion = run_until(shared, limit, run).await;
    let is_cut_off = shared.decide(|now, d| d.finish_relayed(now, &target, completion.outcome));
    events::relayed(
        shared,
        &events::Relayed {
            request: id,
            sender: &sender,
            target: &target,
            outcome: completion.outcome,
            took_ms: millis(shared.now(), arrived),
        },
    );
    if is_cut_off {
        return Reply::Refused(Refusal::CutOff);
    }
    Reply::Ended(relay::Ended {
        outcome: completion.outcome.into(),
        answer: completion.answer.map(|response| relay::Answer {
            status: response.status().as_u16(),
            headers: encode_headers(response.headers()),
            body: response.body().to_vec(),
        }),
    })
}

/// Runs an attempt until its request's time is over.
async fn run_until(
    shared: &Shared,
    limit: Time,
    run: impl Future<Output = Completion>,
) -> Completion {
    let left = limit.since(shared.now());
    let late = async {
        smol::Timer::after(left).await;
        Completion::without_answer(AttemptOutcome::TimedOut)
    };
    future::or(run, late).await
}

/// The request as it is sent; `None` if it isn't HTTP.
fn decode(request: relay::Request, memory: AnswerCharge) -> Option<ForwardedRequest> {
    let fields = decode_headers(request.headers)?;
    Some(ForwardedRequest {
        method: Method::try_from(&*request.method).ok()?,
        uri: Uri::try_from(request.path).ok()?,
        id: headers::caller(&fields).id,
        headers: fields,
        body: Bytes::from(request.body),
        is_idempotent: request.is_idempotent,
        memory: Arc::new(memory),
    })
}

fn millis(later: Time, earlier: Time) -> u64 {
    u64::try_from(later.since(earlier).as_millis()).unwrap_or(u64::MAX)
}

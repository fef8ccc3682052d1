//! A caller's request once it is routed and authorized: waits for decisions of steering,
//! is sent to targets accordingly, and gets its final answer.
//!
//! Invariant: a request that may have run is never rejected with a status that means
//! it has not.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use futures_lite::future;
use hyper::StatusCode;
use hyper::header::HeaderMap;
use platform::headers;
use pool::ConnectFault;
use steer::clock::Time;
use steer::process::direct::target::Feedback;
use steer::process::direct::{
    Assignment, AttemptOutcome, Decision, FollowUp, Rejection, Request, Ticket, Withheld,
};
use steer::request::arrival::Fingerprint;
use steer::version::routes::Route;

use super::{DEFAULT_RETRY_AFTER, millis};
use crate::direct::Shared;
use crate::direct::attempt::{self, Completion, Destination, ForwardedRequest};
use crate::direct::events::{self, Origin};
use crate::direct::server::{self, Response};
use crate::direct::{feedback, relay, verdict};

/// Retry delay for a request that crashed targets.
const POISON_RETRY_AFTER: Duration = Duration::from_mins(1);

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

/// Outcome in log lines of an attempt that is dropped before it ends, as its caller has
/// left.
const ABANDONED: &str = "abandoned";

/// What is known of an attempt; logged on drop, however it ends.
struct AttemptLog<'a> {
    request: &'a RoutedRequest,
    assignment: &'a Assignment,
    started: Time,
    left_ms: AtomicU64,
    withheld: OnceLock<Withheld>,
    feedback: OnceLock<Feedback>,
    outcome: &'static str,
    status: u16,
    connect_fault: Option<ConnectFault>,
}

impl<'a> AttemptLog<'a> {
    fn new(request: &'a RoutedRequest, assignment: &'a Assignment) -> Self {
        Self {
            request,
            assignment,
            started: request.shared.now(),
            left_ms: AtomicU64::new(0),
            withheld: OnceLock::new(),
            feedback: OnceLock::new(),
            outcome: ABANDONED,
            status: 0,
            connect_fault: None,
        }
    }
}

impl Drop for AttemptLog<'_> {
    fn drop(&mut self) {
        let RoutedRequest {
            shared,
            route,
            team,
            origin,
            arrived,
            object,
            ..
        } = self.request;
        events::attempt_ended(
            shared,
            &events::Attempt {
                request: self.request.id(),
                route: &route.name,
                team: team.as_deref(),
                origin: *origin,
                target: &self.assignment.target,
                number: self.assignment.attempt,
                started: self.started,
                held_ms: millis(self.started, *arrived),
                took_ms: millis(shared.now(), self.started),
                left_ms: self.left_ms.load(Ordering::Relaxed),
                outcome: self.outcome,
                status: self.status,
                withheld: self.withheld.get().copied(),
                connect_fault: self.connect_fault,
                feedback: self.feedback.get().copied().unwrap_or_default(),
                assignment: self.assignment,
                object: *object,
            },
        );
    }
}

/// A routed and authorized request while it is steered and sent.
pub(super) struct RoutedRequest {
    pub(super) shared: Arc<Shared>,
    pub(super) forwarded: ForwardedRequest,
    pub(super) route: Arc<Route>,
    /// Name of the team whose key authorized the request.
    pub(super) team: Option<Arc<str>>,
    /// Hash of the object that the request concerns; 0 if it names none.
    pub(super) object: u64,
    /// Fingerprint that its repeats share.
    pub(super) fingerprint: Fingerprint,
    pub(super) arrived: Time,
    pub(super) origin: Origin,
}

/// A request's key belongs to another team by now, and no target has got the request.
pub(super) struct KeyMoved;

impl RoutedRequest {
    /// Makes it a request of this team, or of none.
    pub(super) fn set_team(&mut self, team: Option<Arc<str>>, fingerprint: Fingerprint) {
        headers::replace_credential(&mut self.forwarded.headers, team.as_deref());
        self.team = team;
        self.fingerprint = fingerprint;
    }

    /// Sends the request to targets as decided by steering until it is answered,
    /// rejected or out of time.
    ///
    /// # Errors
    /// [`KeyMoved`] if the request is to be authorized anew.
    pub(super) async fn run(&self, request: Request) -> Result<Response, KeyMoved> {
        let priority = request.priority();
        verdict::claim_trial(&self.shared, self.fingerprint).await;
        let (ticket, decisions) = match self.shared.submit(request) {
            Ok(submitted) => submitted,
            Err(rejection) => {
                return Ok(self.rejection_response(rejection, DEFAULT_RETRY_AFTER, None));
            }
        };
        let guard = TicketGuard {
            shared: Arc::clone(&self.shared),
            ticket,
        };
        let limit = self.shared.read(|_, d| d.time_limit(ticket));
        let limit = limit.unwrap_or(self.arrived + self.route.timeout);
        let mut may_have_run = false;
        let mut is_sent = false;
        loop {
            let decision = self.run_until(limit, decisions.recv()).await;
            let assignment = match decision {
                Some(Ok(Decision::Send(assignment))) => assignment,
                // That attempt has ended by itself meanwhile.
                Some(Ok(Decision::GiveUp { .. })) => continue,
                Some(Ok(Decision::Reject {
                    reason,
                    retry_after,
                    forecast,
                    ..
                })) => {
                    drop(guard);
                    if reason == Rejection::KeyMoved && !is_sent {
                        return Err(KeyMoved);
                    }
                    if matches!(reason, Rejection::Overload | Rejection::Yields) {
                        self.shared.metrics.count_rejected(priority);
                    }
                    return Ok(self.rejection_response(reason, retry_after, forecast));
                }
                Some(Err(_)) | None => {
                    drop(guard);
                    return Ok(if may_have_run {
                        self.outcome_unknown()
                    } else {
                        self.expired()
                    });
                }
            };
            let attempt = self.attempt(&assignment, limit, &decisions, &mut may_have_run);
            let (outcome, follow_up, answer) = attempt.await;
            is_sent |= outcome != AttemptOutcome::Withdrawn;
            match follow_up {
                FollowUp::Retry => {}
                FollowUp::Settled => {
                    drop(guard);
                    return Ok(answer.unwrap_or_else(|| self.outcome_unknown()));
                }
                FollowUp::Reject { retry_after } => {
                    drop(guard);
                    return Ok(self.reject("rejected-by-targets", retry_after));
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
    /// `may_have_run` unless the request certainly did not run there. Returns the outcome,
    /// what to do next, and the target's answer if it may be passed on.
    async fn attempt(
        &self,
        assignment: &Assignment,
        limit: Time,
        decisions: &async_channel::Receiver<Decision>,
        may_have_run: &mut bool,
    ) -> (AttemptOutcome, FollowUp, Option<Response>) {
        let mut log = AttemptLog::new(self, assignment);
        let remaining = || match self
            .shared
            .read(|now, d| (now, d.withheld(now, assignment)))
        {
            (now, None) => {
                log.left_ms.store(millis(limit, now), Ordering::Relaxed);
                Some(limit.since(now))
            }
            (_, Some(reason)) => {
                // A request is withheld once at most.
                let _ = log.withheld.set(reason);
                None
            }
        };
        let mut connect_fault = None;
        let (outcome, answer) = if remaining().is_some() {
            let report = |told, fields: &HeaderMap| {
                let target = (&assignment.target, assignment.incarnation);
                feedback::apply(&self.shared, target, told, fields, self.id());
                // The closure runs once at most.
                let _ = log.feedback.set(told);
            };
            let run = self.send(assignment, &remaining, report);
            let run = future::or(run, given_up(decisions));
            match self.run_until(limit, run).await {
                Some(completion) => {
                    connect_fault = completion.connect_fault;
                    (completion.outcome, completion.answer)
                }
                None => (AttemptOutcome::TimedOut, None),
            }
        } else {
            (AttemptOutcome::Withdrawn, None)
        };
        *may_have_run |= !outcome.is_not_run();
        let follow_up = self
            .shared
            .decide(|now, direct| direct.finish_attempt(now, assignment.ticket, outcome));
        log.outcome = outcome.name();
        log.status = answer.as_ref().map_or(0, |a| a.status().as_u16());
        log.connect_fault = connect_fault;
        drop(log);
        let usable = matches!(outcome, AttemptOutcome::Answered | AttemptOutcome::Failed);
        let answer = answer.filter(|a| usable && !attempt::implies_not_run(a.status()));
        (outcome, follow_up, answer)
    }

    /// Sends the request to the assigned target, by the relay if there is one.
    async fn send(
        &self,
        assignment: &Assignment,
        remaining: impl Fn() -> Option<Duration>,
        report: impl FnOnce(Feedback, &HeaderMap),
    ) -> Completion {
        let (shared, forwarded) = (&self.shared, &self.forwarded);
        // Boxed, as each wrapper of a future may hold it twice.
        if let Some(by) = &assignment.relay {
            let run = relay::run(shared, by, assignment, forwarded, remaining, report);
            return Box::pin(run).await;
        }
        let to = Destination {
            target: &assignment.target,
            addr: assignment.addr,
        };
        Box::pin(attempt::run(shared, &to, forwarded, remaining, report)).await
    }

    /// Request id as text; empty if there is none or it is not visible ASCII.
    fn id(&self) -> &str {
        let id = self.forwarded.id.as_ref().and_then(|id| id.to_str().ok());
        id.unwrap_or_default()
    }

    /// Rejects the request for its key.
    pub(super) fn reject_key(&self, reason: Rejection) -> Response {
        self.rejection_response(reason, DEFAULT_RETRY_AFTER, None)
    }

    /// Maps a rejection by steering to the caller's response.
    fn rejection_response(
        &self,
        rejection: Rejection,
        after: Duration,
        forecast: Option<Duration>,
    ) -> Response {
        match rejection {
            Rejection::NoTarget => self.reject("no-target", after),
            Rejection::NoRegion => self.reject("no-home", after),
            Rejection::KeyMoved => self.reject("key-moved", after),
            Rejection::KeysStale => self.reject("unsure-of-keys", DEFAULT_RETRY_AFTER),
            Rejection::Denied => self.own_answer(StatusCode::UNAUTHORIZED, "key-taken-away"),
            Rejection::Quota => {
                let mut response = self.own_answer(StatusCode::TOO_MANY_REQUESTS, "over-quota");
                headers::set_retry_after(response.headers_mut(), after);
                response
            }
            Rejection::BackingOff => self.reject("targets-back-off", after),
            Rejection::CutOff => self.reject("cut-off", after),
            Rejection::Stopping => self.reject("stopping", after),
            Rejection::Overload => self.reject_forecast("overload", after, forecast),
            Rejection::Yields => self.reject_forecast("yields", after, forecast),
            Rejection::NoRetry => self.reject("rejected-by-targets", after),
            Rejection::Suspect => self.reject("suspect-in-flight", after),
            Rejection::Poison => self.reject("crashes-targets", POISON_RETRY_AFTER),
            Rejection::OutcomeUnknown => self.outcome_unknown(),
        }
    }

    /// 503 with a retry delay, for a request that has not run and will not run.
    fn reject(&self, reason: &str, after: Duration) -> Response {
        self.reject_forecast(reason, after, None)
    }

    /// The same for a request with this expected wait for a slot, if there is one.
    fn reject_forecast(
        &self,
        reason: &str,
        after: Duration,
        forecast: Option<Duration>,
    ) -> Response {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let mut response = self.own_answer_forecast(status, reason, forecast);
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
        self.own_answer_forecast(status, reason, None)
    }

    /// The same for a request with this expected wait for a slot, if there is one.
    fn own_answer_forecast(
        &self,
        status: StatusCode,
        reason: &str,
        forecast: Option<Duration>,
    ) -> Response {
        let held = millis(self.shared.now(), self.arrived);
        let answer = events::OwnAnswer {
            request: self.id(),
            route: &self.route.name,
            team: self.team.as_deref(),
            origin: self.origin,
            fingerprint: Some(self.fingerprint),
            status: status.as_u16(),
            reason,
            held_ms: held,
            forecast,
        };
        events::own_answer(&self.shared, &answer);
        let mut response = server::empty_response(status);
        headers::set_request_id(response.headers_mut(), self.forwarded.id.as_ref());
        response
    }
}

/// Completes when steering gives the attempt up.
async fn given_up(decisions: &async_channel::Receiver<Decision>) -> Completion {
    match decisions.recv().await {
        Ok(_) => Completion::without_answer(AttemptOutcome::GivenUp),
        // Steering knows the request no more; the attempt is dropped with it.
        Err(_) => future::pending().await,
    }
}

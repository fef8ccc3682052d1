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
use steer::clock::Time;
use steer::process::direct::target::Feedback;
use steer::process::direct::{
    Assignment, AttemptOutcome, Decision, FollowUp, Rejection, Request, Ticket,
};
use steer::request::arrival::Fingerprint;
use steer::version::routes::Route;

use super::{DEFAULT_RETRY_AFTER, millis};
use crate::direct::Shared;
use crate::direct::attempt::{self, ForwardedRequest};
use crate::direct::events::{self, Origin};
use crate::direct::server::{self, Response};
use crate::direct::verdict;

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

impl RoutedRequest {
    /// Sends the request to targets as decided by steering until it is answered,
    /// rejected or out of time.
    pub(super) async fn run(self, request: Request) -> Response {
        verdict::claim_trial(&self.shared, self.fingerprint).await;
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
        let reported = OnceLock::new();
        let withheld = OnceLock::new();
        let left_ms = AtomicU64::new(0);
        let remaining = || match self
            .shared
            .read(|now, d| (now, d.withheld(now, assignment)))
        {
            (now, None) => {
                left_ms.store(millis(limit, now), Ordering::Relaxed);
                Some(limit.since(now))
            }
            (_, Some(reason)) => {
                // A request is withheld once at most.
                let _ = withheld.set(reason);
                None
            }
        };
        let mut connect_fault = None;
        let (outcome, answer) = if remaining().is_some() {
            let report = |feedback, headers: &HeaderMap| {
                self.report(assignment, feedback, headers);
                // The closure runs once at most.
                let _ = reported.set(feedback);
            };
            let run = attempt::run(
                &self.shared,
                assignment,
                &self.forwarded,
                &remaining,
                report,
            );
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
                left_ms: left_ms.into_inner(),
                outcome: outcome_name(outcome),
                status,
                withheld: withheld.into_inner(),
                connect_fault,
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
        for name in headers::unread_answer_values(headers) {
            let value = headers.get(name).map_or(&[][..], |v| v.as_bytes());
            shared.metrics.count_unread_value(name.as_str());
            events::unread_value(shared, target, name.as_str(), value, self.id());
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
            Rejection::Suspect => self.reject("suspect-in-flight", after),
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
            fingerprint: Some(self.fingerprint),
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

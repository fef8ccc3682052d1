//! Names of the HTTP headers that callers, entry instances and targets use.

/// Caller → entry: names the request, so that a repeat runs at most once.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";

/// Caller → entry → target: milliseconds left until the answer is of no use.
pub const DEADLINE_MS: &str = "Deadline-Ms";

/// Caller → entry: the caller's own name; its address counts if absent.
pub const CALLER: &str = "Caller-Name";

/// Entry → caller: `ran`, `not-run` or `unknown`.
pub const OUTCOME: &str = "Outcome";

/// Entry → caller: why there is no target's answer, as one word.
pub const REASON: &str = "Reason";

/// Target → entry, entry → caller: seconds until asking again makes sense.
pub const RETRY_AFTER: &str = "Retry-After";

/// Entry → caller: the same in milliseconds, for clients that can use it.
pub const RETRY_AFTER_MS: &str = "Retry-After-Ms";

/// Entry → target: names one attempt, so that it can be cancelled by
/// `DELETE /attempts/{name}`.
pub const ATTEMPT: &str = "Attempt-Id";

/// Target → entry, in answers and refusals: requests it says it is running.
pub const TARGET_LOAD: &str = "Target-Load";

/// Target → entry, in answers and refusals: `live` or `leaving`.
pub const TARGET_STATE: &str = "Target-State";

/// Target → entry: on a 503 only, says the request was certainly not run:
/// `shed` or `leaving`. A 503 without it is an ordinary answer.
pub const TARGET_REFUSED: &str = "Target-Refused";

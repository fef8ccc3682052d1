//! Names of the HTTP headers between callers, entry instances and targets.

/// Caller → entry: key of the request; requests with the same key run at most once.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";

/// Caller → entry → target: milliseconds left until the caller's deadline.
pub const DEADLINE_MS: &str = "Deadline-Ms";

/// Caller → entry: name of the caller; its address is used if absent.
pub const CALLER_NAME: &str = "Caller-Name";

/// Entry → caller: `ran`, `not-run` or `unknown`.
pub const OUTCOME: &str = "Outcome";

/// Entry → caller: reason for which there is no answer of a target, as one word.
pub const REASON: &str = "Reason";

/// Target → entry, entry → caller: seconds until the request should be retried.
pub const RETRY_AFTER: &str = "Retry-After";

/// Entry → caller: [`RETRY_AFTER`] in milliseconds, for clients that support it.
pub const RETRY_AFTER_MS: &str = "Retry-After-Ms";

/// Entry → target: id of an attempt, which `DELETE /attempts/{id}` cancels.
pub const ATTEMPT_ID: &str = "Attempt-Id";

/// Target → entry, in answers and refusals: requests that the target reports as
/// running.
pub const TARGET_LOAD: &str = "Target-Load";

/// Target → entry, in answers and refusals: `live` or `leaving`.
pub const TARGET_STATE: &str = "Target-State";

/// Target → entry, only on a 503: the request was certainly not run; the value is
/// `shed` or `leaving`. A 503 without this header is an ordinary answer.
pub const TARGET_REFUSED: &str = "Target-Refused";

//! Requests: their arrival, idempotency keys, admission, retries and outcome.

pub mod admission;
pub mod answer;
pub mod arrival;
pub mod key;
pub mod outcome;
pub mod poison;
pub mod record;
pub mod retry;

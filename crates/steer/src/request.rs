//! What lives as long as one request.

pub mod admission;
pub mod answer;
pub mod arrival;
pub mod key;
pub mod outcome;
pub mod poison;
pub mod record;
pub mod retry;

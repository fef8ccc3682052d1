//! What lives as long as one request.

pub mod admission;
pub mod answer;
pub mod arrival;
pub mod outcome;
pub mod poison;
pub mod retry;

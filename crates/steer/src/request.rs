//! What lives as long as one request.

pub mod answer;
pub mod arrival;
pub mod key;
pub mod outcome;
pub mod record;

//! The HTTP protocol between entry instances and targets.
//!
//! | call | answer |
//! |---|---|
//! | any method on any path, headers `Attempt-Id`, `Deadline-Ms` | the service's answer with `Target-Load`, `Target-State`; 503 with `Target-Refused` if not run |
//! | ″ | every answer repeats `Attempt-Id`; after an answer without it the connection is not reused |
//! | `DELETE /attempts/{id}` | 204; the attempt is stopped if it still can be |
//! | `GET /health` | 200 [`Health`]; may be out of date or wrong, and costs a call |

use serde::{Deserialize, Serialize};

use crate::instance::State;

/// Answer of a target's health endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// State according to the target.
    pub state: State,
    /// Running requests according to the target.
    pub load: u32,
    /// Largest number of requests at a time according to the target.
    pub slots: u32,
}

//! The protocol of targets: HTTP.
//!
//! | call | answer |
//! |---|---|
//! | any method on any path, headers `Attempt-Id`, `Deadline-Ms` | the service's answer with `Target-Load`, `Target-State`; 503 with `Target-Refused` if not run |
//! | ″ | each answer repeats `Attempt-Id`; one that doesn't costs its connection, which can't be used again |
//! | `DELETE /attempts/{id}` | 204; the attempt is stopped if it still can be |
//! | `GET /health` | 200 [`Health`]; it lags or misleads, and costs time |

use serde::{Deserialize, Serialize};

use crate::instance::State;

/// What a target's health endpoint says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// Whether it takes new work.
    pub state: State,
    /// Requests it says it is running.
    pub load: u32,
    /// Requests it says it runs at a time.
    pub slots: u32,
}

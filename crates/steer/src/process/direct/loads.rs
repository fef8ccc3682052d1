//! Requests that wait at other instances of the region.

use super::Direct;
use super::mix::Priority;
use crate::clock::Time;

impl Direct {
    /// Requests of a service with this priority or a more urgent one that wait at other
    /// instances of the region. Nothing reports them yet.
    #[allow(
        clippy::unused_self,
        clippy::missing_const_for_fn,
        reason = "part B replaces this stub"
    )]
    #[must_use]
    pub fn waiting_elsewhere(&self, _now: Time, _service: &str, _priority: Priority) -> u32 {
        0
    }
}

//! Keeps a replaced layout in force while another instance may still divide by
//! it.
//!
//! Invariant: a layout counts for [`SETTLING_TIME`] after it was replaced, and then
//! until every instance that it names has been seen in a view, but no longer than
//! [`RESERVATION_TIME_MAX`] in total.

use std::sync::Arc;

use super::route::Layout;
use super::{RESERVATION_TIME_MAX, SETTLING_TIME};
use crate::clock::Time;
use crate::version::view::View;

/// A layout and the time for which it counts.
#[derive(Clone, Debug)]
pub struct Generation {
    pub layout: Layout,
    /// Time until which it counts at least; `None` for the newest layout.
    pub counts_until: Option<Time>,
    /// Instances not seen in a view since `counts_until`.
    missing: Vec<Arc<str>>,
    /// Whether `missing` was compared with a view since `counts_until`.
    is_checked: bool,
}

impl Generation {
    pub fn new(view: &View, name: &str) -> Self {
        Self {
            layout: Layout::new(view, name),
            counts_until: None,
            missing: view.entries.values().map(|e| Arc::clone(&e.name)).collect(),
            is_checked: false,
        }
    }

    /// After `counts_until`, drops the instances that the view lists from
    /// `missing`: one that is seen by then has the next layout or has stopped.
    pub fn update_missing(&mut self, now: Time, view: &View) {
        if self
            .counts_until
            .is_some_and(|counts_until| now >= counts_until)
        {
            self.is_checked = true;
            self.missing.retain(|name| view.member(name).is_none());
        }
    }

    /// Returns whether the layout still counts.
    pub fn still_counts(&mut self, now: Time, view: &View, reserve: bool) -> bool {
        let Some(counts_until) = self
            .counts_until
            .filter(|counts_until| now >= *counts_until)
        else {
            return true;
        };
        if !self.is_checked {
            self.update_missing(now, view);
        }
        let is_expired = now.since(counts_until) + SETTLING_TIME >= RESERVATION_TIME_MAX;
        reserve && !is_expired && !self.missing.is_empty()
    }
}

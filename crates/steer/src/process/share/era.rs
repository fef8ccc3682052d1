//! A way to divide the caps, for as long as anybody may divide by it.
//!
//! Invariant: a layout counts until every instance that it names has had the
//! time to hear of the next, or is heard of.

use std::sync::Arc;

use super::route::Layout;
use super::{RESERVATION_TIME_MAX, SETTLING_TIME};
use crate::clock::Time;
use crate::version::view::View;

/// A layout, and until when it counts at least; `None` is the one in force.
#[derive(Clone, Debug)]
pub struct Era {
    pub layout: Layout,
    pub until: Option<Time>,
    /// Instances not heard of since then.
    unheard: Vec<Arc<str>>,
    /// Whether a first look was taken at who is heard of.
    looked: bool,
}

impl Era {
    pub fn new(view: &View, name: &str) -> Self {
        Self {
            layout: Layout::new(view, name),
            until: None,
            unheard: view.entries.values().map(|e| Arc::clone(&e.name)).collect(),
            looked: false,
        }
    }

    /// Looks who is heard of, if the layout has counted for long enough. One
    /// that is heard of by then has the next layout, or has stopped.
    pub fn look(&mut self, now: Time, view: &View) {
        if self.until.is_some_and(|until| now >= until) {
            self.looked = true;
            self.unheard.retain(|name| view.member(name).is_none());
        }
    }

    /// Whether it still counts.
    pub fn counts(&mut self, now: Time, view: &View, reserve: bool) -> bool {
        let Some(until) = self.until.filter(|until| now >= *until) else {
            return true;
        };
        if !self.looked {
            self.look(now, view);
        }
        let late = now.since(until) + SETTLING_TIME >= RESERVATION_TIME_MAX;
        reserve && !late && !self.unheard.is_empty()
    }
}

//! Usual length of the answers of each route.
//!
//! Invariant: at most [`ROUTES_MAX`] routes are remembered.

use std::sync::Arc;

/// Routes that are remembered. Routes come and go with the configuration; beyond this
/// number all are learnt anew.
const ROUTES_MAX: usize = 1024;

/// Weight (1/n) of an answer in the mean of its route.
const ANSWER_WEIGHT_DIVISOR: usize = 8;

/// Mean length of answers by route.
#[derive(Debug, Default)]
pub(super) struct AnswerSizes {
    /// Names of routes and bytes; sorted by name.
    means: Vec<(Arc<str>, usize)>,
}

impl AnswerSizes {
    /// Usual length of a route's answers in bytes; 0 while there was none.
    pub(super) fn usual(&self, route: &str) -> usize {
        self.find(route).map_or(0, |at| self.means[at].1)
    }

    /// Takes the length of one answer into account.
    pub(super) fn record(&mut self, route: &Arc<str>, bytes: usize) {
        match self.find(route) {
            Ok(at) => {
                let mean = &mut self.means[at].1;
                let rest = *mean - *mean / ANSWER_WEIGHT_DIVISOR;
                *mean = rest + bytes / ANSWER_WEIGHT_DIVISOR;
            }
            Err(_) if self.means.len() >= ROUTES_MAX => self.means.clear(),
            Err(at) => self.means.insert(at, (Arc::clone(route), bytes)),
        }
    }

    fn find(&self, route: &str) -> Result<usize, usize> {
        self.means
            .binary_search_by(|(known, _)| (**known).cmp(route))
    }
}

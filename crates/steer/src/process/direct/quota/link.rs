//! Whom an instance asks for tokens.
//!
//! Invariants: one that didn't answer isn't asked again for [`FAILED_POOL_BACKOFF`], unless it is
//! this instance; one that is no longer asked is told so until it has answered.

use core::time::Duration;
use std::sync::Arc;

use super::super::hash;
use super::pool::REPORT_TIMEOUT;
use crate::clock::Time;

/// Time without an answer after which another instance is asked.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);

/// Time for which one that didn't answer isn't asked.
const FAILED_POOL_BACKOFF: Duration = Duration::from_secs(4);

/// Who is asked, and who failed.
#[derive(Debug, Default)]
pub struct Link {
    /// Who is asked, and when it last answered.
    asked: Option<(Arc<str>, Time)>,
    failed: Vec<(Arc<str>, Time)>,
    /// Who were asked before and don't know yet that they no longer are, and until
    /// when they believe so at most.
    previous: Vec<(Arc<str>, Time)>,
}

impl Link {
    /// Who is asked.
    pub fn asked(&self) -> Option<&Arc<str>> {
        self.asked.as_ref().map(|(name, _)| name)
    }

    /// An answer has come. Says whether it is of who is asked.
    pub fn note_answer(&mut self, now: Time, name: &Arc<str>) -> bool {
        match &mut self.asked {
            Some((asked, at)) if asked == name => {
                *at = now;
                true
            }
            _ => false,
        }
    }

    /// Who have to be told that they are no longer asked.
    pub fn previous(&mut self, now: Time) -> Vec<Arc<str>> {
        self.previous.retain(|(_, end)| *end > now);
        let names = self.previous.iter().map(|(name, _)| Arc::clone(name));
        names.collect()
    }

    /// One that was asked before has answered that it knows. Says whether all do.
    pub fn note_release(&mut self, name: &Arc<str>) -> bool {
        self.previous.retain(|(previous, _)| previous != name);
        self.previous.is_empty()
    }

    /// Finds whom to ask, of these. Says whether it is another than before.
    pub fn choose<'a>(
        &mut self,
        now: Time,
        own: &Arc<str>,
        all: impl Iterator<Item = &'a Arc<str>>,
    ) -> bool {
        self.failed
            .retain(|(_, at)| now.since(*at) < FAILED_POOL_BACKOFF);
        if let Some((name, at)) = &self.asked
            && now.since(*at) >= ANSWER_TIMEOUT
            && name != own
        {
            self.failed.push((Arc::clone(name), now));
        }
        let failed = |name: &&Arc<str>| self.failed.iter().any(|(known, _)| known == *name);
        let best = all
            .filter(|n| !failed(n))
            .max_by_key(|name| pool_rank(name));
        let best = Arc::clone(best.unwrap_or(own));
        let same = self.asked() == Some(&best);
        if !same {
            let before = self.asked.replace((best, now));
            self.previous
                .extend(before.map(|(name, _)| (name, now + REPORT_TIMEOUT)));
            let asked = self.asked.as_ref().map(|(name, _)| name);
            self.previous.retain(|(name, _)| Some(name) != asked);
        }
        !same
    }
}

/// The order in which instances are asked, the greatest first: another than that
/// in which they read the store, as whoever reads it has its link full while a
/// large configuration changes.
fn pool_rank(name: &str) -> u64 {
    hash(format!("quota {name}").as_bytes())
}

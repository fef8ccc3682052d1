//! Choice of the pool that an instance gets its tokens from.
//!
//! Invariants: a pool that did not answer is not used again for
//! [`FAILED_POOL_BACKOFF`], unless it runs on this instance; a former pool is told so
//! until it has acknowledged it.

use core::time::Duration;
use std::sync::Arc;

use super::super::hash;
use super::pool::REPORT_TIMEOUT;
use crate::clock::Time;

/// Time without an answer after which another pool is chosen.
const REPLY_TIMEOUT: Duration = Duration::from_millis(700);

/// Time for which a pool that did not answer is not chosen.
const FAILED_POOL_BACKOFF: Duration = Duration::from_secs(4);

/// Pool in use, and pools that failed or were replaced.
#[derive(Debug, Default)]
pub struct Link {
    /// Pool in use, and when it last answered.
    pool: Option<(Arc<str>, Time)>,
    failed: Vec<(Arc<str>, Time)>,
    /// Former pools that have not acknowledged that they are no longer used, and the
    /// time by which they drop this instance anyway.
    previous: Vec<(Arc<str>, Time)>,
}

impl Link {
    /// Name of the instance whose pool is in use.
    pub fn pool(&self) -> Option<&Arc<str>> {
        self.pool.as_ref().map(|(name, _)| name)
    }

    /// Records an answer; returns whether it came from the pool in use.
    pub fn note_answer(&mut self, now: Time, name: &Arc<str>) -> bool {
        match &mut self.pool {
            Some((pool, at)) if pool == name => {
                *at = now;
                true
            }
            _ => false,
        }
    }

    /// Former pools that have not yet acknowledged.
    pub fn previous(&mut self, now: Time) -> Vec<Arc<str>> {
        self.previous.retain(|(_, until)| *until > now);
        let names = self.previous.iter().map(|(name, _)| Arc::clone(name));
        names.collect()
    }

    /// Records the acknowledgement of a former pool; returns whether all have
    /// acknowledged.
    pub fn note_release(&mut self, name: &Arc<str>) -> bool {
        self.previous.retain(|(previous, _)| previous != name);
        self.previous.is_empty()
    }

    /// Chooses a pool among these instances; returns whether it has changed.
    pub fn choose<'a>(
        &mut self,
        now: Time,
        own: &Arc<str>,
        all: impl Iterator<Item = &'a Arc<str>>,
    ) -> bool {
        self.failed
            .retain(|(_, at)| now.since(*at) < FAILED_POOL_BACKOFF);
        if let Some((name, at)) = &self.pool
            && now.since(*at) >= REPLY_TIMEOUT
            && name != own
        {
            self.failed.push((Arc::clone(name), now));
        }
        let is_failed = |name: &&Arc<str>| self.failed.iter().any(|(known, _)| known == *name);
        let best = all
            .filter(|n| !is_failed(n))
            .max_by_key(|name| pool_rank(name));
        let best = Arc::clone(best.unwrap_or(own));
        let is_same = self.pool() == Some(&best);
        if !is_same {
            let replaced = self.pool.replace((best, now));
            self.previous
                .extend(replaced.map(|(name, _)| (name, now + REPORT_TIMEOUT)));
            let pool = self.pool.as_ref().map(|(name, _)| name);
            self.previous.retain(|(name, _)| Some(name) != pool);
        }
        !is_same
    }
}

/// Rank by which pools are chosen, the highest first. It differs from the rank of
/// readers of the store, whose links are busy while a large configuration changes.
fn pool_rank(name: &str) -> u64 {
    hash(format!("quota {name}").as_bytes())
}

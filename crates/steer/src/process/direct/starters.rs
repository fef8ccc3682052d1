//! Instances that are starting, as they announce themselves to this one.
//!
//! An instance that starts learns what the store holds from others of its failure domain.
//! Which ones it finds in the store's list of instances; but where all lose power, their
//! registrations lapse and the list is empty, or too many ask for it. Then instances meet
//! at the seeds: each announces itself to one, and is told its place among the others of
//! its failure domain.
//!
//! Invariants: an announcement counts for [`ANNOUNCEMENT_TTL`]; what an instance is told
//! has the same size however many there are.

mod announce;

use core::cmp::Reverse;
use core::net::SocketAddr;
use core::time::Duration;
use std::sync::Arc;

use super::upstream::{domain_sources, reader_rank};
use crate::clock::Time;

/// Time for which an instance that has announced itself counts as starting or present.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(10);

/// Instances of its failure domain that one that starts asks.
pub const START_PEERS_MAX: usize = 2;

/// An instance that starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Starter {
    /// Its name.
    pub name: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Its address for calls of peers.
    pub peers: SocketAddr,
}

/// Place of an instance among those of its failure domain that are starting or present.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StartPlace {
    /// Others that rank above it for reading the store.
    pub above: usize,
    /// All others.
    pub others: usize,
    /// Those to learn from, the first choice first, with addresses for calls of peers.
    pub sources: Vec<(Arc<str>, SocketAddr)>,
}

impl StartPlace {
    /// Place of an instance among others of its failure domain, in any order.
    #[must_use]
    pub fn among(name: &str, mut others: Vec<(Arc<str>, SocketAddr)>) -> Self {
        others.sort_by_cached_key(|(name, _)| Reverse(reader_rank(name)));
        let own = reader_rank(name);
        let above = others.partition_point(|(name, _)| reader_rank(name) > own);
        // Those that rank first have nobody above them, and start from any other.
        let ranks = domain_sources(above.max(START_PEERS_MAX));
        let sources = ranks.filter_map(|rank| others.get(rank).cloned());
        Self {
            above,
            sources: sources.take(START_PEERS_MAX).collect(),
            others: others.len(),
        }
    }
}

/// Instances that have announced themselves.
#[derive(Clone, Debug, Default)]
pub(super) struct Starters {
    /// Sorted by failure domain and name, each with the time of its announcement.
    announced: Vec<(Starter, Time)>,
}

impl Starters {
    fn put(&mut self, now: Time, starter: Starter) {
        self.announced
            .retain(|(_, at)| now.since(*at) < ANNOUNCEMENT_TTL);
        let key = (&*starter.domain, &*starter.name);
        let found = self
            .announced
            .binary_search_by(|(known, _)| (&*known.domain, &*known.name).cmp(&key));
        match found {
            Ok(at) => self.announced[at] = (starter, now),
            Err(at) => self.announced.insert(at, (starter, now)),
        }
    }

    /// Those of a failure domain.
    fn of(&self, domain: &str) -> impl Iterator<Item = &Starter> {
        let from = self.announced.partition_point(|(s, _)| *s.domain < *domain);
        let starters = self.announced[from..].iter().map(|(starter, _)| starter);
        starters.take_while(move |starter| *starter.domain == *domain)
    }
}

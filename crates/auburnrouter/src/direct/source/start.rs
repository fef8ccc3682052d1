//! Whom an instance that starts learns from: others of its failure domain, by the store's
//! list of instances, or by a seed where the list names no instance at all or comes too
//! late.
//!
//! Invariant: each way is bounded in time, so that the store is read in the end whoever
//! else is there.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use platform::store::{Error, Freshness, Item};
use steer::process::direct::hash;
use steer::process::direct::starters::{StartPlace, Starter};
use steer::process::direct::upstream::start_delay;
use wire::direct;

use super::super::peer::Connection;
use super::super::{Executor, Shared, events, member};

/// Time limit for listing the registered instances.
const MEMBER_LIST_TIMEOUT: Duration = Duration::from_millis(600);

/// Seeds that are asked, one after the other. All instances of a failure domain ask in the
/// same order, and so meet at the same one.
const SEEDS_MAX: usize = 2;

/// Longest wait for the seeds once the list has named nobody.
const SEEDS_WAIT: Duration = Duration::from_millis(500);

/// Time from an instance's announcement to the question for its place. Those that start at
/// once announce themselves meanwhile.
const ANNOUNCEMENT_PAUSE: Duration = Duration::from_millis(100);

/// Instances that one that starts asks for everything.
pub(super) struct StartPeers {
    /// Names and addresses for calls of peers, in the order of asking.
    pub(super) peers: Vec<(Arc<str>, SocketAddr)>,
    /// Time after which the store is read.
    pub(super) delay: Duration,
}

/// Finds the instances to ask.
pub(super) async fn start_peers(shared: &Arc<Shared>, executor: &Executor) -> StartPeers {
    // Begun at once, so that a list that names nobody costs no further time.
    let seeds = executor.spawn(place_by_seed(Arc::clone(shared), Arc::clone(executor)));
    let (place, listed) = match list_domain(shared).await {
        Some((others, listed)) if listed > 0 => {
            (StartPlace::among(&shared.settings.name, others), listed)
        }
        _ => {
            let late = async {
                smol::Timer::after(SEEDS_WAIT).await;
                None
            };
            let place = future::or(seeds, late).await.unwrap_or_default();
            // Seeds tell of one failure domain; the others are about as large.
            let listed = (place.others + 1) * shared.settings.domains.len();
            (place, listed)
        }
    };
    StartPeers {
        delay: start_delay(place.above, listed),
        peers: place.sources,
    }
}

/// Other registered instances of the own domain with their addresses for calls of peers,
/// and the number of all other registered ones. `None` if the list fails or takes too
/// long.
async fn list_domain(shared: &Shared) -> Option<(Vec<(Arc<str>, SocketAddr)>, usize)> {
    let late = async {
        smol::Timer::after(MEMBER_LIST_TIMEOUT).await;
        Err(Error::Lost)
    };
    let list = shared.store.list(member::KEY_PREFIX, Freshness::Stale);
    let listing = future::or(list, late).await.ok()?;
    let settings = &shared.settings;
    let peer = |item: &Item| {
        let name = item.key.strip_prefix(member::KEY_PREFIX)?;
        let registration: direct::Registration =
            serde_json::from_slice(item.value.as_deref()?).ok()?;
        let is_other = *registration.domain == *settings.domain && *name != *settings.name;
        is_other.then(|| (Arc::from(name), registration.peers))
    };
    let others = listing.items.iter().filter_map(peer).collect();
    let own = format!("{}{}", member::KEY_PREFIX, settings.name);
    let listed = listing.items.iter().filter(|item| item.key != own).count();
    Some((others, listed))
}

/// Place of this instance by the first seed that answers; `None` if none does.
async fn place_by_seed(shared: Arc<Shared>, executor: Executor) -> Option<StartPlace> {
    let settings = &shared.settings;
    let mut seeds = settings.seeds.clone();
    // Spreads failure domains over the seeds.
    seeds.sort_by_cached_key(|seed| hash(format!("{} {seed}", settings.domain).as_bytes()));
    for seed in seeds.into_iter().take(SEEDS_MAX) {
        if let Some(place) = announce(&shared, &executor, seed).await {
            events::start_placed(&shared, seed, &place);
            return Some(place);
        }
    }
    None
}

/// Announces this instance to a seed, and asks it a little later for its place.
async fn announce(
    shared: &Arc<Shared>,
    executor: &Executor,
    seed: SocketAddr,
) -> Option<StartPlace> {
    let settings = &shared.settings;
    let starter = Starter {
        name: Arc::clone(&settings.name),
        domain: Arc::clone(&settings.domain),
        peers: settings.listen.peers,
    };
    let connection = Connection::open(seed, executor).await?;
    connection.announce_start(&starter).await?;
    smol::Timer::after(ANNOUNCEMENT_PAUSE).await;
    connection.announce_start(&starter).await
}

//! Reads the platform's store: everything, or what has changed.
//!
//! A watch returns each version of each item since a revision, so its answer grows with
//! the writes and may be longer than is read. What changed then is read in parts: watches
//! of narrower prefixes, and the configuration alone, whose older versions don't matter.
//! Where a part is too long as well, everything is listed, page by page.
//!
//! Invariant: after an answer that was too long the same changes are never asked for again
//! in the same way, so that each read brings this process forward.

use std::time::Duration;

use platform::store::{Changes, Error, Freshness, Listing};
use platform::{document, entry};
use steer::clock::Time;
use steer::process::direct::replica::Item;

use super::super::{Shared, member, verdict};
use super::items;

/// Prefix of all keys: one call that reads everything costs the same as one that reads a
/// narrower prefix.
pub(super) const ALL_KEYS: &str = "";

/// Prefixes of all that is followed besides the configuration, most urgent first.
pub(super) const PARTS: [&str; 4] = [
    document::EVACUATION_PREFIX,
    entry::TARGET_PREFIX,
    member::KEY_PREFIX,
    verdict::KEY_PREFIX,
];

/// Everything that the store holds.
pub(super) struct Snapshot {
    /// Revision from which on changes are still to be read.
    pub revision: u64,
    /// As the replica holds them. One that changed meanwhile stands there several times.
    pub items: Vec<Item>,
    /// Time at which the store held no more than this.
    pub confirmed: Time,
}

/// Reads everything: a list and the changes since, so that what changed between its pages
/// is known too. A list that may be stale costs a tenth of a fresh one; if what has
/// changed since can't be read, everything is listed anew.
pub(super) async fn list_and_watch(
    shared: &Shared,
    freshness: Freshness,
) -> Result<Snapshot, Error> {
    let store = &shared.store;
    let listed_at = shared.now();
    let mut items = Vec::new();
    let each = |item| items.extend(items::convert(shared, vec![item]));
    let revision = store.list_each(ALL_KEYS, freshness, each).await?;
    let watched_at = shared.now();
    match store.watch(ALL_KEYS, revision, Duration::ZERO).await {
        Ok(changes) => {
            items.extend(items::convert(shared, changes.events));
            Ok(Snapshot {
                revision: changes.revision.max(revision),
                items,
                confirmed: watched_at,
            })
        }
        Err(Error::Compacted | Error::TooLong { .. }) if freshness == Freshness::Stale => {
            Box::pin(list_and_watch(shared, Freshness::Latest)).await
        }
        // The next read tells what has changed since the list was begun.
        Err(Error::TooLong { .. }) => Ok(Snapshot {
            revision,
            items,
            confirmed: listed_at,
        }),
        Err(error) => Err(error),
    }
}

/// Reads the configuration alone. It is never deleted, so it may be known earlier than all
/// else of its revision.
pub(super) async fn config(shared: &Shared) -> Result<Changes, Error> {
    let list = shared.store.list(document::CONFIG_KEY, Freshness::Latest);
    let Listing {
        mut items,
        revision,
    } = list.await?;
    items.retain(|item| item.key == document::CONFIG_KEY);
    Ok(Changes {
        events: items,
        revision,
    })
}

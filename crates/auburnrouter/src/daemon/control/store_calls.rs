//! Executes control's calls to the store, each with a timeout.
//!
//! Invariant: a body is returned only if its content matches the hash in its key; a
//! document that can't be parsed is reported as malformed.

use std::time::Duration;

use futures_lite::future;
use intent::document;
use steer::process::config;
use steer::process::control::store::{Call, Reply, StoredHead};
use steer::process::member;
use wire::{instance, kv};

use super::keys;

/// Timeout of a call, on top of the wait that it asks for. It is below the time after
/// which control considers a call lost.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Executes one call; a timeout is `Unavailable`.
pub async fn run(store: &dyn store::Store, call: &Call) -> Reply {
    let wait = match call {
        Call::Watch { wait, .. } => *wait,
        Call::Head | Call::Body(_) | Call::List => Duration::ZERO,
    };
    let timeout = async {
        smol::Timer::after(wait + CALL_TIMEOUT).await;
        Reply::Unavailable
    };
    let work = async {
        match call {
            Call::Head => head(store).await,
            Call::Watch { after, wait } => watch(store, *after, *wait).await,
            Call::Body(hash) => body(store, *hash).await,
            Call::List => list(store).await,
        }
    };
    future::or(work, timeout).await
}

/// Parses a head document; `None` if it is malformed.
#[must_use]
pub fn parse(entry: &kv::Entry) -> Option<StoredHead> {
    Some(StoredHead {
        head: document::wire::from_json(&entry.value).ok()?,
        revision: entry.revision,
    })
}

async fn head(store: &dyn store::Store) -> Reply {
    match store.get(keys::HEAD_KEY).await {
        Ok(None) => Reply::Head(None),
        Ok(Some(entry)) => parse(&entry).map_or(Reply::Malformed, |s| Reply::Head(Some(s))),
        Err(_) => Reply::Unavailable,
    }
}

async fn watch(store: &dyn store::Store, after: u64, wait: Duration) -> Reply {
    match store.watch(keys::HEAD_KEY, after, wait).await {
        Ok(None) => Reply::Watched(None),
        Ok(Some(entry)) => parse(&entry).map_or(Reply::Malformed, |s| Reply::Watched(Some(s))),
        Err(_) => Reply::Unavailable,
    }
}

async fn body(store: &dyn store::Store, wanted: config::Hash) -> Reply {
    match store.get(&keys::body(wanted)).await {
        Ok(None) => Reply::Body(wanted, None),
        Ok(Some(entry)) if document::hash(entry.value.as_bytes()) == wanted => {
            Reply::Body(wanted, Some(entry.value.into_bytes().into()))
        }
        Ok(Some(_)) => Reply::Malformed,
        Err(_) => Reply::Unavailable,
    }
}

async fn list(store: &dyn store::Store) -> Reply {
    let Ok(list) = store.instances(&instance::Filter::Entries).await else {
        return Reply::Unavailable;
    };
    let hints = list.instances.into_iter().filter_map(|i| match i.role {
        instance::Role::Entry { peer } => Some(member::Hint {
            name: i.name.into(),
            domain: i.domain.into(),
            peer,
        }),
        instance::Role::Target { .. } => None,
    });
    Reply::Listed(hints.collect())
}

//! Follows the platform's store: the operator's document, evacuations, targets
//! and instances.
//!
//! Invariant: after each answer the process knows at least what the store held
//! at the revision it goes on from.

use std::sync::Arc;
use std::time::Duration;

use platform::store::{Error, Item, Store};
use platform::{document, entry};

use super::{Shared, events, lock, member};

/// Time that a watch waits for changes. Also the longest time for which a
/// connection that went silent goes unnoticed, with the time of a call.
const WAIT: Duration = Duration::from_secs(2);

/// Pause after a call that failed, so that a store that is down or busy isn't
/// pressed further; each call is paid.
const PAUSE: Duration = Duration::from_millis(400);

/// Everything is watched by one call: it costs the same as one prefix.
const ALL: &str = "";

/// Follows the store for as long as the process runs.
pub async fn follow(shared: Arc<Shared>, store: Arc<Store>) {
    let mut revision = None;
    let mut lost = false;
    loop {
        let done = match revision {
            None => list(&shared, &store).await,
            Some(revision) => watch(&shared, &store, revision).await,
        };
        match done {
            Ok(reached) => {
                if lost {
                    events::store_back(&shared, "watch");
                }
                lost = false;
                revision = Some(reached);
            }
            Err(error) => {
                if !lost {
                    events::store_lost(&shared, "watch", &error.to_string());
                }
                lost = true;
                if matches!(error, Error::Compacted | Error::Garbled(_)) {
                    revision = None;
                }
                smol::Timer::after(PAUSE).await;
            }
        }
    }
}

async fn list(shared: &Shared, store: &Store) -> Result<u64, Error> {
    let listing = store.list(ALL).await?;
    let keys: Vec<&str> = listing.items.iter().map(|i| &*i.key).collect();
    let names = |prefix: &str| -> Vec<&str> {
        keys.iter().filter_map(|k| k.strip_prefix(prefix)).collect()
    };
    let targets = names(entry::PREFIX);
    let gone: Vec<Arc<str>> = shared.read(|_, direct| {
        let mut listed = direct.roster.listed();
        listed.retain(|id| !targets.contains(&&**id));
        listed
    });
    for id in gone {
        remove_target(shared, &id);
    }
    lock(&shared.members).retain(&names(member::PREFIX));
    let evacuated = names(document::EVACUATE);
    set_evacuated(shared, evacuated.into_iter().map(Into::into).collect());
    for item in &listing.items {
        apply(shared, item);
    }
    Ok(listing.revision)
}

async fn watch(shared: &Shared, store: &Store, revision: u64) -> Result<u64, Error> {
    let changes = store.watch(ALL, revision, WAIT).await?;
    for item in &changes.events {
        apply(shared, item);
    }
    Ok(changes.revision.max(revision))
}

fn apply(shared: &Shared, item: &Item) {
    if item.key == document::KEY {
        if let Some(value) = &item.value {
            install(shared, value);
        }
    } else if let Some(domain) = item.key.strip_prefix(document::EVACUATE) {
        let mut domains = shared.read(|_, d| d.roster.evacuated().to_vec());
        domains.retain(|d| **d != *domain);
        if item.value.is_some() {
            domains.push(domain.into());
        }
        set_evacuated(shared, domains);
    } else if let Some(id) = item.key.strip_prefix(entry::PREFIX) {
        match &item.value {
            Some(value) => put_target(shared, id, value),
            None => remove_target(shared, id),
        }
    } else if let Some(name) = item.key.strip_prefix(member::PREFIX) {
        put_member(shared, name, item.value.as_deref());
    }
}

fn install(shared: &Shared, value: &[u8]) {
    match document::read(value) {
        Ok(routes) => {
            let (version, count) = (routes.version, routes.routes().len());
            if shared.decide(|_, direct| direct.install(Arc::new(routes))) {
                events::installed(shared, version, count);
            }
        }
        Err(error) => events::refused(shared, document::KEY, &error.to_string()),
    }
}

fn set_evacuated(shared: &Shared, domains: Vec<Arc<str>>) {
    let changed = shared.decide(|now, direct| {
        let before = direct.roster.evacuated().to_vec();
        direct.evacuate(now, domains);
        before != direct.roster.evacuated()
    });
    if changed {
        let domains = shared.read(|_, d| d.roster.evacuated().to_vec());
        events::evacuated(shared, &domains);
    }
}

fn put_target(shared: &Shared, id: &str, value: &[u8]) {
    match entry::read(id, value) {
        Ok(entry) => {
            let seen = entry.clone();
            if shared.decide(|now, direct| direct.roster.put(now, entry)) {
                events::target(shared, &seen);
            }
        }
        Err(error) => events::refused(shared, id, &error.to_string()),
    }
}

fn remove_target(shared: &Shared, id: &str) {
    if shared.decide(|_, direct| direct.roster.remove(id)) {
        events::target_gone(shared, id);
    }
}

fn put_member(shared: &Shared, name: &str, value: Option<&[u8]>) {
    let mut members = lock(&shared.members);
    let changed = match value.map(serde_json::from_slice::<member::Row>) {
        Some(Ok(row)) => members.put(name, row),
        Some(Err(error)) => {
            events::refused(shared, name, &error.to_string());
            false
        }
        None => members.remove(name),
    };
    if !changed {
        return;
    }
    let names = members.names();
    let count = names.len();
    events::members(shared, &names);
    drop(members);
    shared.decide(|_, direct| direct.set_instances(count));
}

//! Follows the platform's store: the operator's document, evacuations, targets
//! and instances.
//!
//! Invariants: after each answer the process knows at least what the store held
//! at the revision it goes on from, and nothing it knows is older than what it
//! has already applied.

use std::sync::Arc;
use std::time::Duration;

use platform::store::{Error, Item};
use platform::{document, entry};
use wire::near;

use super::{Shared, events, lock, member};

/// Time that a watch waits for changes. Also the longest time for which a
/// connection that went silent goes unnoticed, with the time of a call.
const WAIT: Duration = Duration::from_secs(2);

/// Pause after a call that failed, so that a store that is down or busy isn't
/// pressed further; each call is paid.
const PAUSE: Duration = Duration::from_millis(400);

/// Everything is watched by one call: it costs the same as one prefix.
const ALL: &str = "";

/// Items as they lie in the store, sorted by key, for instances that can't
/// read it.
pub type Items = Vec<(Arc<str>, Vec<u8>)>;

/// Follows the store for as long as the process runs.
pub async fn follow(shared: Arc<Shared>) {
    let mut revision = None;
    let mut lost = false;
    loop {
        let done = match revision {
            None => list(&shared).await,
            Some(revision) => watch(&shared, revision).await,
        };
        match done {
            Ok(reached) => {
                smol::Timer::after(shared.read(|_, d| d.gather())).await;
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

async fn list(shared: &Shared) -> Result<u64, Error> {
    let listing = shared.store.list(ALL).await?;
    let revision = listing.revision;
    shared.note(|now, direct| direct.in_touch(now, revision));
    let held = |item: Item| item.value.map(|value| (Arc::from(item.key), value));
    replace(shared, listing.items.into_iter().filter_map(held).collect());
    Ok(revision)
}

async fn watch(shared: &Shared, revision: u64) -> Result<u64, Error> {
    let changes = shared.store.watch(ALL, revision, WAIT).await?;
    let known = shared.read(|_, d| d.revision());
    let reached = changes.revision.max(revision);
    shared.note(|now, direct| direct.in_touch(now, reached));
    for item in &changes.events {
        // Another instance may have told of it already, and of what came later.
        if item.revision > known {
            change(shared, item);
        }
    }
    Ok(reached)
}

/// What this instance knows, for another.
pub fn picture(shared: &Shared) -> near::Picture {
    let revision = shared.read(|_, d| d.revision());
    let items = lock(&shared.items);
    let item = |(key, value): &(Arc<str>, Vec<u8>)| near::Item {
        key: key.as_ref().to_owned(),
        value: value.clone(),
    };
    near::Picture {
        revision,
        items: items.iter().map(item).collect(),
    }
}

/// Takes what another instance knows, if it is more.
pub fn take(shared: &Shared, picture: near::Picture) {
    if picture.revision <= shared.read(|_, d| d.revision()) {
        return;
    }
    shared.note(|_, direct| direct.told(picture.revision));
    let items = picture.items.into_iter();
    replace(shared, items.map(|i| (Arc::from(i.key), i.value)).collect());
}

/// Makes `items` all that is known.
fn replace(shared: &Shared, mut items: Items) {
    items.sort();
    let under = |prefix: &str| -> Vec<Arc<str>> {
        let keys = items.iter().filter_map(|i| i.0.strip_prefix(prefix));
        keys.map(Arc::from).collect()
    };
    let targets = under(entry::PREFIX);
    let gone: Vec<Arc<str>> = shared.read(|_, direct| {
        let mut listed = direct.roster.listed();
        listed.retain(|id| targets.binary_search(id).is_err());
        listed
    });
    for id in gone {
        remove_target(shared, &id);
    }
    let members = under(member::PREFIX);
    let names: Vec<&str> = members.iter().map(|n| &**n).collect();
    shared.note(|now, direct| direct.members_only(now, &names));
    set_evacuated(shared, under(document::EVACUATE));
    for (key, value) in &items {
        apply(shared, key, Some(value));
    }
    *lock(&shared.items) = items;
}

fn change(shared: &Shared, item: &Item) {
    let mut items = lock(&shared.items);
    let found = items.binary_search_by(|i| (*i.0).cmp(&*item.key));
    match (found, &item.value) {
        (Ok(at), Some(value)) => items[at].1.clone_from(value),
        (Ok(at), None) => {
            items.remove(at);
        }
        (Err(at), Some(value)) => items.insert(at, (Arc::from(&*item.key), value.clone())),
        (Err(_), None) => {}
    }
    drop(items);
    apply(shared, &item.key, item.value.as_deref());
}

fn apply(shared: &Shared, key: &str, value: Option<&[u8]>) {
    if key == document::KEY {
        if let Some(value) = value {
            install(shared, value);
        }
    } else if let Some(domain) = key.strip_prefix(document::EVACUATE) {
        let mut domains = shared.read(|_, d| d.roster.evacuated().to_vec());
        domains.retain(|d| **d != *domain);
        if value.is_some() {
            domains.push(domain.into());
        }
        set_evacuated(shared, domains);
    } else if let Some(id) = key.strip_prefix(entry::PREFIX) {
        match value {
            Some(value) => put_target(shared, id, value),
            None => remove_target(shared, id),
        }
    } else if let Some(name) = key.strip_prefix(member::PREFIX) {
        put_member(shared, name, value);
    }
}

fn install(shared: &Shared, value: &[u8]) {
    match document::read(value) {
        Ok(routes) => {
            let routes = Arc::new(routes);
            let new = Arc::clone(&routes);
            let before = shared.read(|_, d| d.routes().cloned());
            if shared.decide(|_, direct| direct.install(new)) {
                events::installed(shared, &routes, before.as_deref());
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
    if shared.decide(|now, direct| direct.unlist(now, id)) {
        events::target_gone(shared, id);
    }
}

fn put_member(shared: &Shared, name: &str, value: Option<&[u8]>) {
    let row = match value.map(serde_json::from_slice::<near::Row>) {
        Some(Ok(row)) => Some(row.into()),
        Some(Err(error)) => {
            events::refused(shared, name, &error.to_string());
            None
        }
        None => None,
    };
    if *name == *shared.settings.name {
        shared.own_row(row.is_some());
    }
    let listed = row.is_some();
    shared.note(|now, direct| direct.member(now, name, row));
    events::member(shared, name, listed);
}

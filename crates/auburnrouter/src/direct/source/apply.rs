//! Applies items of the store to the steering state.
//!
//! Invariants: an item is applied only if its revision is later than the known one;
//! the time up to which the store's content is known is raised only after all items
//! of an update are applied.

use std::sync::Arc;

use platform::{document, entry};
use steer::clock::Time;
use steer::process::direct::StoreContact;
use steer::process::direct::replica::{Applied, Item, Update};
use steer::process::direct::report::Report;
use steer::process::direct::roster::Change;
use steer::process::direct::target::Entry;
use wire::direct;

use super::super::{Shared, events, lock, member, verdict};

/// A query for the changes of another instance.
#[derive(Clone, Copy, Debug)]
pub(super) struct Query {
    /// Revision that the changes are to follow.
    pub known: u64,
    pub sent_at: Time,
}

impl Query {
    /// A query that is sent now.
    pub(super) fn new(shared: &Shared) -> Self {
        Self {
            known: lock(&shared.replica).revision(),
            sent_at: shared.now(),
        }
    }
}

/// Applies the answer of another instance to a query. Returns whether it could be
/// decoded.
pub(super) fn apply_changes(shared: &Shared, changes: direct::Changes, query: Query) -> bool {
    let contact = changes.contact();
    let now = shared.now();
    let stale = changes.staleness(now.since(query.sent_at));
    let confirmed = stale.map(|stale| now - stale);
    match Update::try_from(changes) {
        Ok(mut update) => {
            update.since = Some(query.known);
            apply_update(shared, update, contact, confirmed);
            true
        }
        Err(error) => {
            events::input_rejected(shared, "changes", &error.to_string());
            false
        }
    }
}

/// Applies an update from a sender with this contact to the store. With it, all that
/// the store held at `confirmed` is known.
pub(super) fn apply_update(
    shared: &Shared,
    mut update: Update,
    contact: StoreContact,
    confirmed: Option<Time>,
) {
    let revision = update.revision;
    // Locked until all items are applied, so that concurrent updates are applied one
    // after the other.
    let mut replica = lock(&shared.replica);
    if !replica.accepts(&update) {
        // Another answer has come first; the next query asks for what is missing.
        return;
    }
    let entries = Entries::read(&mut update.items);
    let Applied { changed, late } = replica.apply(update);
    shared.update(|now, direct| direct.peer_answered(now, contact, revision));
    for item in &late {
        if let Some(Ok(entry)) = entries.of(item) {
            events::target_report_late(shared, entry, item.revision);
        }
    }
    let mut batch = Batch::default();
    for item in &changed {
        let value = item.value.as_deref();
        if let Some(id) = item.key.strip_prefix(entry::TARGET_PREFIX) {
            match entries.of(item) {
                Some(Ok(entry)) => batch.targets.push(entry.clone()),
                Some(Err(error)) => events::input_rejected(shared, id, &error.to_string()),
                None => batch.gone.push(id),
            }
        } else if let Some(name) = item.key.strip_prefix(member::KEY_PREFIX) {
            batch.members.push((name, value));
        } else if let Some(digits) = item.key.strip_prefix(verdict::KEY_PREFIX) {
            verdict::apply(shared, digits, item.revision, value);
        } else {
            apply_item(shared, &item.key, value);
        }
    }
    batch.apply(shared);
    if let Some(at) = confirmed {
        shared.update(|_, direct| direct.confirm_up_to(at));
    }
    drop(replica);
    shared.updated.notify(usize::MAX);
}

/// Targets' entries in one update, each decoded once.
struct Entries(Vec<Decoded>);

/// Item of a target.
struct Decoded {
    key: Arc<str>,
    revision: u64,
    entry: Result<Entry, entry::Error>,
}

impl Entries {
    /// Decodes the entries among the items, and sets their places among their targets'
    /// reports.
    fn read(items: &mut [Item]) -> Self {
        let mut entries = Vec::new();
        for item in items {
            let id = item.key.strip_prefix(entry::TARGET_PREFIX);
            let (Some(id), Some(value)) = (id, &item.value) else {
                continue;
            };
            let entry = entry::read(id, value);
            item.report = report_of(&entry);
            entries.push(Decoded {
                key: Arc::clone(&item.key),
                revision: item.revision,
                entry,
            });
        }
        entries.sort_by(|a, b| a.key.cmp(&b.key).then(a.revision.cmp(&b.revision)));
        Self(entries)
    }

    /// The entry that is an item's value; `None` if it has none. The item may be of a later
    /// revision, by a late report.
    fn of(&self, item: &Item) -> Option<&Result<Entry, entry::Error>> {
        item.value.as_ref()?;
        let from = self.0.partition_point(|decoded| decoded.key < item.key);
        let versions = self.0[from..].iter();
        let versions = versions.take_while(|decoded| decoded.key == item.key);
        let is_value = |decoded: &&Decoded| report_of(&decoded.entry) == item.report;
        let found = versions.filter(is_value).last()?;
        Some(&found.entry)
    }
}

/// Place of an entry among the reports of its target, if it tells one.
fn report_of(entry: &Result<Entry, entry::Error>) -> Option<Report> {
    entry.as_ref().ok().and_then(Entry::report)
}

/// Changes of targets and instances in one update. A start brings those of a whole
/// deployment and the loss of a failure domain all of its own, so each kind is applied
/// in one step.
#[derive(Default)]
struct Batch<'a> {
    targets: Vec<Entry>,
    gone: Vec<&'a str>,
    members: Vec<(&'a str, Option<&'a [u8]>)>,
}

impl Batch<'_> {
    fn apply(self, shared: &Shared) {
        // Targets are used as soon as they are known, within bounds on sums that are divided
        // among the instances known by then.
        put_members(shared, &self.members);
        put_targets(shared, self.targets);
        remove_targets(shared, &self.gone);
    }
}

/// Applies one item that concerns neither a target nor an instance. Unknown keys are
/// ignored.
fn apply_item(shared: &Shared, key: &str, value: Option<&[u8]>) {
    if key == document::CONFIG_KEY {
        if let Some(value) = value {
            install_config(shared, value);
        }
    } else if let Some(domain) = key.strip_prefix(document::EVACUATION_PREFIX) {
        let mut domains = shared.read(|_, d| d.roster.evacuated().to_vec());
        domains.retain(|d| **d != *domain);
        if value.is_some() {
            domains.push(domain.into());
        }
        set_evacuated(shared, domains);
    }
}

/// Installs a configuration if it is newer than the one in force. After one that
/// can't be read, the one in force counts as possibly outdated.
fn install_config(shared: &Shared, value: &[u8]) {
    match document::read(value) {
        Ok(routes) => {
            let routes = Arc::new(routes);
            let new = Arc::clone(&routes);
            let before = shared.read(|_, d| d.routes().cloned());
            if shared.decide(|_, direct| direct.install(new)) {
                events::config_installed(shared, &routes, before.as_deref());
            }
        }
        Err(error) => {
            shared.update(|_, direct| direct.config_unreadable());
            events::input_rejected(shared, document::CONFIG_KEY, &error.to_string());
        }
    }
}

/// Sets the evacuated domains and logs them if they have changed.
fn set_evacuated(shared: &Shared, domains: Vec<Arc<str>>) {
    let changed = shared.decide(|now, direct| {
        let before = direct.roster.evacuated().to_vec();
        direct.evacuate(now, domains);
        before != direct.roster.evacuated()
    });
    if changed {
        let domains = shared.read(|_, d| d.roster.evacuated().to_vec());
        events::evacuation_changed(shared, &domains);
    }
}

/// Adds or updates targets in one step: a start brings thousands of them.
fn put_targets(shared: &Shared, entries: Vec<Entry>) {
    if entries.is_empty() {
        return;
    }
    let listed = entries.clone();
    let changes = shared.decide(|now, direct| direct.roster.put_all(now, entries));
    for (entry, change) in listed.iter().zip(changes) {
        if change != Change::Nothing {
            events::target_changed(shared, entry, change);
        }
    }
}

/// Removes targets that are no longer listed. Shortly after a loss of the store,
/// steering keeps them for a while instead.
fn remove_targets(shared: &Shared, ids: &[&str]) {
    if ids.is_empty() {
        return;
    }
    let dropped = shared.decide(|now, direct| direct.unlist_all(now, ids));
    for (id, dropped) in ids.iter().zip(dropped) {
        if dropped {
            events::target_gone(shared, id);
        }
    }
}

/// Adds, updates or removes registrations of instances. One that can't be read counts
/// as removed.
fn put_members(shared: &Shared, members: &[(&str, Option<&[u8]>)]) {
    if members.is_empty() {
        return;
    }
    let mut read = Vec::new();
    let mut sizes = Vec::new();
    for (name, value) in members {
        let registration = match value.map(serde_json::from_slice::<direct::row::Row>) {
            Some(Ok(row)) => {
                let (registration, size) = row.into();
                sizes.push((*name, size));
                Some(registration)
            }
            Some(Err(error)) => {
                events::input_rejected(shared, name, &error.to_string());
                None
            }
            None => None,
        };
        if **name == *shared.settings.name {
            shared.set_listed(registration.is_some());
        }
        events::member_changed(shared, name, registration.is_some());
        read.push((*name, registration));
    }
    shared.update(|now, direct| {
        direct.set_members(now, read);
        direct.set_sizes(&sizes);
    });
}

//! Converts items of the platform's store for the replica, which other instances read.
//!
//! Invariants: the configuration holds digests in place of API keys; what this program
//! can't use is neither kept nor passed on.

use std::sync::Arc;

use platform::{document, entry, store};
use steer::process::direct::replica::Item;

use super::super::{Shared, events};
use super::read;

/// Length of a target's entry from which on it is kept only if it can be read, in bytes.
const ENTRY_LONG_BYTES: usize = 4096;

/// Converts items in their order. Of several versions of the configuration only the last
/// one counts. Keys that this program doesn't follow are left out.
pub(super) fn convert(shared: &Shared, items: Vec<store::Item>) -> Vec<Item> {
    let configs = items.iter().filter(|item| is_config(item));
    let last_config = configs.map(|item| item.revision).max();
    let is_wanted = |item: &store::Item| {
        if is_config(item) {
            Some(item.revision) == last_config
        } else {
            read::PARTS.iter().any(|part| item.key.starts_with(part))
        }
    };
    let wanted = items.into_iter().filter(is_wanted);
    wanted.map(|item| convert_one(shared, item)).collect()
}

fn is_config(item: &store::Item) -> bool {
    item.key == document::CONFIG_KEY
}

/// Converts one item. A configuration that can't be read, and a long entry that names no
/// target, become an empty value.
fn convert_one(shared: &Shared, item: store::Item) -> Item {
    let value = item.value.map(|value| {
        let usable = if item.key == document::CONFIG_KEY {
            document::digest_keys(&value).map_err(|error| error.to_string())
        } else {
            check_entry(&item.key, value)
        };
        usable.unwrap_or_else(|error| {
            events::input_rejected(shared, &item.key, &error);
            Vec::new()
        })
    });
    Item {
        key: item.key.into(),
        revision: item.revision,
        value: value.map(Arc::from),
        report: None,
    }
}

/// Returns a value as it is, unless it is a long entry that names no target.
fn check_entry(key: &str, value: Vec<u8>) -> Result<Vec<u8>, String> {
    if value.len() > ENTRY_LONG_BYTES
        && let Some(id) = key.strip_prefix(entry::TARGET_PREFIX)
    {
        entry::read(id, &value).map_err(|error| error.to_string())?;
    }
    Ok(value)
}

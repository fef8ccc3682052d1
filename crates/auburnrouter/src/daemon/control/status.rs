//! Collects the configuration version in force at every entry instance.
//!
//! Invariant: every configured instance and every member is listed; one that doesn't
//! answer in time is listed without a version.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use serde::{Deserialize, Serialize};

use super::Handle;

/// Timeout of a query for an instance's version.
const VERSION_TIMEOUT: Duration = Duration::from_secs(1);

/// Versions of all entry instances, as seen by one of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the instance that answers.
    pub name: String,
    /// Version in force at this instance; 0 if none.
    pub version: u64,
    /// All instances, sorted by name.
    pub entries: Vec<Entry>,
}

/// Version in force at one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the instance.
    pub name: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Version in force; `None` if the instance didn't answer.
    pub version: Option<u64>,
}

impl Handle {
    /// Queries every member for its version.
    pub async fn status(&self) -> Status {
        let view = Arc::clone(&self.context.snapshot.load().view);
        let mut entries: Vec<Entry> = view
            .entries
            .values()
            .map(|e| unreached(&e.name, &view.domains[e.domain].name))
            .collect();
        let asked = view.members.values().map(|member| {
            let peers = Arc::clone(&self.context.peers);
            let addr = member.peer;
            self.executor.spawn(async move {
                let timeout = async {
                    smol::Timer::after(VERSION_TIMEOUT).await;
                    None
                };
                future::or(peers.who(addr), timeout).await
            })
        });
        let asked: Vec<_> = asked.collect();
        for (task, member) in asked.into_iter().zip(view.members.values()) {
            let version = task.await.map(|who| who.version);
            match entries.binary_search_by(|e| (*e.name).cmp(&*member.name)) {
                Ok(at) => entries[at].version = version.or(entries[at].version),
                Err(at) => {
                    let domain = &view.domains[member.domain].name;
                    let mut entry = unreached(&member.name, domain);
                    entry.version = version;
                    entries.insert(at, entry);
                }
            }
        }
        Status {
            name: self.context.settings.name.as_ref().to_owned(),
            version: self.version(),
            entries,
        }
    }

    /// Returns whether a change was accepted; `None` if it can't be determined.
    pub async fn accepted(&self, id: &str) -> Option<bool> {
        super::apply::accepted(&*self.context.store, id).await
    }
}

fn unreached(name: &str, domain: &str) -> Entry {
    Entry {
        name: name.to_owned(),
        domain: domain.to_owned(),
        version: None,
    }
}

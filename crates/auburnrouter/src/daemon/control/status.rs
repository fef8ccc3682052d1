//! Which version is in force at every entry instance that can be reached.
//!
//! Invariant: an instance that is configured or known is always listed; one
//! that doesn't answer in time is listed as not reached.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use serde::{Deserialize, Serialize};

use super::Handle;

/// Time for an instance to say its version.
const VERSION_TIMEOUT: Duration = Duration::from_secs(1);

/// The state of the fleet as one instance sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the instance asked.
    pub name: String,
    /// Version in force at it; 0 if none.
    pub version: u64,
    /// All instances, by name.
    pub entries: Vec<Entry>,
}

/// One instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Version in force at it; `None` if it wasn't reached.
    pub version: Option<u64>,
}

impl Handle {
    /// Asks every member for its version.
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
                let late = async {
                    smol::Timer::after(VERSION_TIMEOUT).await;
                    None
                };
                future::or(peers.who(addr), late).await
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

    /// Whether a change was accepted; `None` if nobody can tell any more.
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

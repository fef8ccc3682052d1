//! Which instances there are: each keeps a row in the platform's store under a
//! lease, and reads the rows of the others.
//!
//! Invariant: a row disappears with its instance, at once when it stops as
//! planned, otherwise when its lease runs out.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Phase, Shared, events, lock};

/// Where the rows lie.
pub const PREFIX: &str = "auburnrouter/instances/";

/// Time that a row outlives its instance.
const LEASE: Duration = Duration::from_secs(3);

/// Time between renewals; two may be lost before the lease ends.
const RENEW: Duration = Duration::from_millis(900);

/// What an instance says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Its region.
    pub region: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where peers connect.
    pub peers: SocketAddr,
}

/// Instances by name, sorted.
#[derive(Debug, Default)]
pub struct Members {
    rows: Vec<(Arc<str>, Row)>,
}

impl Members {
    /// Adds or changes one; says whether anything changed.
    pub fn put(&mut self, name: &str, row: Row) -> bool {
        match self.rows.binary_search_by(|r| (*r.0).cmp(name)) {
            Ok(at) if self.rows[at].1 == row => false,
            Ok(at) => {
                self.rows[at].1 = row;
                true
            }
            Err(at) => {
                self.rows.insert(at, (name.into(), row));
                true
            }
        }
    }

    /// Removes one; says whether it was there.
    pub fn remove(&mut self, name: &str) -> bool {
        match self.rows.binary_search_by(|r| (*r.0).cmp(name)) {
            Ok(at) => {
                self.rows.remove(at);
                true
            }
            Err(_) => false,
        }
    }

    /// Keeps only those named.
    pub fn retain(&mut self, names: &[&str]) -> bool {
        let before = self.rows.len();
        self.rows.retain(|r| names.contains(&&*r.0));
        before != self.rows.len()
    }

    /// Names of all.
    pub fn names(&self) -> Vec<&str> {
        self.rows.iter().map(|r| &*r.0).collect()
    }

    /// Addresses for callers, of one region or of all.
    pub fn callers(&self, region: Option<&str>) -> Vec<SocketAddr> {
        let fits = |r: &&(Arc<str>, Row)| region.is_none_or(|region| &*r.1.region == region);
        self.rows.iter().filter(fits).map(|r| r.1.callers).collect()
    }
}

/// Keeps this instance's row.
pub struct Membership {
    shared: Arc<Shared>,
    store: Arc<platform::store::Store>,
    lease: std::sync::Mutex<Option<u64>>,
}

impl Membership {
    /// No row yet.
    pub fn new(shared: Arc<Shared>, store: Arc<platform::store::Store>) -> Self {
        Self {
            shared,
            store,
            lease: std::sync::Mutex::new(None),
        }
    }

    /// Writes the row and renews its lease until the process leaves.
    pub async fn keep(self: Arc<Self>) {
        let mut lost = false;
        while self.shared.phase() == Phase::Serving {
            match self.renew().await {
                Ok(()) => {
                    if lost {
                        events::store_back(&self.shared, "lease");
                    }
                    lost = false;
                }
                Err(error) => {
                    if !lost {
                        events::store_lost(&self.shared, "lease", &error.to_string());
                    }
                    lost = true;
                }
            }
            smol::Timer::after(RENEW).await;
        }
    }

    async fn renew(&self) -> Result<(), platform::store::Error> {
        let lease = *lock(&self.lease);
        if let Some(lease) = lease {
            return match self.store.keep(lease).await {
                Err(platform::store::Error::NoLease) => {
                    *lock(&self.lease) = None;
                    Err(platform::store::Error::NoLease)
                }
                other => other,
            };
        }
        if !self.shared.is_ready() {
            return Ok(());
        }
        let lease = self.store.lease(LEASE).await?;
        let settings = &self.shared.settings;
        let row = Row {
            region: Arc::clone(&settings.region),
            domain: Arc::clone(&settings.domain),
            callers: settings.listen.callers,
            peers: settings.listen.peers,
        };
        let value = serde_json::to_vec(&row).unwrap_or_default();
        let key = format!("{PREFIX}{}", settings.name);
        self.store.put(&key, &value, lease).await?;
        *lock(&self.lease) = Some(lease);
        Ok(())
    }

    /// Removes the row: no new callers are sent here.
    pub async fn leave(&self) {
        let lease = lock(&self.lease).take();
        if let Some(lease) = lease
            && let Err(error) = self.store.end(lease).await
        {
            events::store_lost(&self.shared, "leave", &error.to_string());
        }
    }
}

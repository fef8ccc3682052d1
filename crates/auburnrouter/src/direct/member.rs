//! Registration of this instance in the platform's store, by which the other
//! instances find it.
//!
//! Invariant: the registration does not outlive the instance by more than its
//! lease; an orderly stop removes it at once.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use platform::store::Error;

use super::{Phase, Shared, events, lock};

/// Prefix of the keys of registrations; the instance's name follows.
pub const KEY_PREFIX: &str = "auburnrouter/instances/";

/// Maximum time that a registration outlives its instance.
const LEASE_TTL: Duration = Duration::from_secs(3);

/// Time between renewals: the lease survives two that fail.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(900);

/// Time between checks whether the instance is ready, until it is registered:
/// callers are sent to it from then on.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A lease, and whether the registration was written under it.
#[derive(Clone, Copy, Debug)]
struct Lease {
    id: u64,
    is_written: bool,
}

/// Keeps this instance registered.
pub struct Membership {
    shared: Arc<Shared>,
    lease: Mutex<Option<Lease>>,
}

impl Membership {
    /// Creates it without a registration.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            lease: Mutex::new(None),
        }
    }

    /// Registers the instance once it is ready and renews the lease until it stops.
    pub async fn maintain(self: Arc<Self>) {
        let mut lost = false;
        while self.shared.phase() == Phase::Serving {
            match self.renew().await {
                Ok(()) if lost => {
                    events::store_recovered(&self.shared, "lease");
                    lost = false;
                }
                Ok(()) => {}
                Err(error) => {
                    if !lost {
                        events::store_lost(&self.shared, "lease", &error.to_string());
                    }
                    lost = true;
                }
            }
            let is_pending = lock(&self.lease).is_none() && !lost;
            smol::Timer::after(if is_pending {
                READY_POLL_INTERVAL
            } else {
                RENEWAL_INTERVAL
            })
            .await;
        }
    }

    /// Takes the next step: obtains a lease, writes the registration or renews.
    async fn renew(&self) -> Result<(), Error> {
        let lease = *lock(&self.lease);
        let Some(lease) = lease else {
            if !self.shared.is_ready() {
                return Ok(());
            }
            let id = self.shared.store.grant_lease(LEASE_TTL).await?;
            *lock(&self.lease) = Some(Lease {
                id,
                is_written: false,
            });
            return self.write(id).await;
        };
        // The store may delete a key while its lease is still valid.
        if !lease.is_written || self.shared.take_unlisted() {
            return self.write(lease.id).await;
        }
        let renewed = self.shared.store.renew_lease(lease.id).await;
        self.drop_ended(renewed)
    }

    /// Writes the registration under a lease.
    async fn write(&self, id: u64) -> Result<(), Error> {
        let value = serde_json::to_vec(&self.shared.row()).unwrap_or_default();
        let key = format!("{KEY_PREFIX}{}", self.shared.settings.name);
        let put = self.shared.store.put(&key, &value, id).await;
        self.drop_ended(put)?;
        *lock(&self.lease) = Some(Lease {
            id,
            is_written: true,
        });
        Ok(())
    }

    /// Forgets the lease if the store reports that it has ended.
    fn drop_ended(&self, result: Result<(), Error>) -> Result<(), Error> {
        if matches!(result, Err(Error::LeaseExpired)) {
            *lock(&self.lease) = None;
        }
        result
    }

    /// Ends the lease and with it the registration, so that no new callers are sent
    /// here.
    pub async fn deregister(&self) {
        let lease = lock(&self.lease).take();
        if let Some(lease) = lease
            && let Err(error) = self.shared.store.end_lease(lease.id).await
        {
            events::store_lost(&self.shared, "leave", &error.to_string());
        }
    }
}

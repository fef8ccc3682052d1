//! This instance's row in the platform's store, which names it to the others.
//!
//! Invariant: the row disappears with its instance, at once when it stops as
//! planned, otherwise when its lease runs out.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use platform::store::Error;
use wire::near;

use super::{Phase, Shared, events, lock};

/// Where the rows lie.
pub const PREFIX: &str = "auburnrouter/instances/";

/// Time that a row outlives its instance.
const LEASE: Duration = Duration::from_secs(3);

/// Time between renewals; two may be lost before the lease ends.
const RENEW: Duration = Duration::from_millis(900);

/// Time between looks at whether the process is ready for its row: callers come
/// once it is there.
const READY: Duration = Duration::from_millis(100);

/// A lease, and whether the row lies under it.
#[derive(Clone, Copy, Debug)]
struct Held {
    lease: u64,
    written: bool,
}

/// Keeps this instance's row.
pub struct Membership {
    shared: Arc<Shared>,
    held: Mutex<Option<Held>>,
}

impl Membership {
    /// No row yet.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            held: Mutex::new(None),
        }
    }

    /// Writes the row and renews its lease until the process leaves.
    pub async fn keep(self: Arc<Self>) {
        let mut lost = false;
        while self.shared.phase() == Phase::Serving {
            match self.renew().await {
                Ok(()) if lost => {
                    events::store_back(&self.shared, "lease");
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
            let waiting = lock(&self.held).is_none() && !lost;
            smol::Timer::after(if waiting { READY } else { RENEW }).await;
        }
    }

    async fn renew(&self) -> Result<(), Error> {
        let held = *lock(&self.held);
        let Some(held) = held else {
            if !self.shared.is_ready() {
                return Ok(());
            }
            let lease = self.shared.store.lease(LEASE).await?;
            *lock(&self.held) = Some(Held {
                lease,
                written: false,
            });
            return self.write(lease).await;
        };
        // The store may take a key away while its lease goes on.
        if !held.written || self.shared.take_unlisted() {
            return self.write(held.lease).await;
        }
        let kept = self.shared.store.keep(held.lease).await;
        self.unless_ended(kept)
    }

    async fn write(&self, lease: u64) -> Result<(), Error> {
        let row = near::Row::from(self.shared.registration());
        let value = serde_json::to_vec(&row).unwrap_or_default();
        let key = format!("{PREFIX}{}", self.shared.settings.name);
        let put = self.shared.store.put(&key, &value, lease).await;
        self.unless_ended(put)?;
        *lock(&self.held) = Some(Held {
            lease,
            written: true,
        });
        Ok(())
    }

    fn unless_ended(&self, done: Result<(), Error>) -> Result<(), Error> {
        if matches!(done, Err(Error::NoLease)) {
            *lock(&self.held) = None;
        }
        done
    }

    /// Removes the row: no new callers are sent here.
    pub async fn leave(&self) {
        let held = lock(&self.held).take();
        if let Some(held) = held
            && let Err(error) = self.shared.store.end(held.lease).await
        {
            events::store_lost(&self.shared, "leave", &error.to_string());
        }
    }
}

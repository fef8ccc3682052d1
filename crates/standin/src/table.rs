//! The platform's key-value service as a state machine, without any I/O.
//!
//! Invariants: revisions grow over the whole table; a write takes effect only
//! if its condition held; a key under a lease is gone once the lease lapsed.

use std::time::{Duration, Instant};

use wire::kv;

/// Why a write or renewal took no effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// The condition did not hold; what is there now.
    Conflict(Option<kv::Entry>),
    /// The value is larger than [`kv::VALUE_MAX`].
    TooLarge,
    /// There is no such lease, or it lapsed.
    NoLease,
}

struct Held {
    entry: kv::Entry,
    lease: Option<u64>,
}

struct Lease {
    id: u64,
    ttl: Duration,
    until: Instant,
}

/// All keys and leases.
#[derive(Default)]
pub struct Table {
    held: Vec<Held>,
    leases: Vec<Lease>,
    revision: u64,
    last_lease: u64,
}

impl Table {
    /// The key's present entry.
    pub fn get(&mut self, now: Instant, key: &str) -> Option<kv::Entry> {
        self.lapse(now);
        let at = self.find(key).ok()?;
        Some(self.held[at].entry.clone())
    }

    /// All entries whose keys start with `prefix`, in order.
    pub fn list(&mut self, now: Instant, prefix: &str) -> Vec<kv::Entry> {
        self.lapse(now);
        let from = self.held.partition_point(|h| *h.entry.key < *prefix);
        let fit = self.held[from..].iter().map(|h| &h.entry);
        fit.take_while(|e| e.key.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Writes a key if its condition holds.
    ///
    /// # Errors
    /// Says why nothing was written.
    pub fn put(&mut self, now: Instant, key: &str, put: kv::Put) -> Result<kv::Written, Refused> {
        self.lapse(now);
        if put.value.len() > kv::VALUE_MAX {
            return Err(Refused::TooLarge);
        }
        if put.lease.is_some_and(|id| self.lease(id).is_err()) {
            return Err(Refused::NoLease);
        }
        let found = self.find(key);
        let current = found.ok().map(|at| &self.held[at].entry);
        if !holds(put.expect, current) {
            return Err(Refused::Conflict(current.cloned()));
        }
        self.revision += 1;
        let entry = kv::Entry {
            key: key.to_owned(),
            value: put.value,
            revision: self.revision,
        };
        let held = Held {
            entry,
            lease: put.lease,
        };
        match found {
            Ok(at) => self.held[at] = held,
            Err(at) => self.held.insert(at, held),
        }
        Ok(kv::Written {
            revision: self.revision,
        })
    }

    /// Deletes a key if it is at `revision`, or whatever it is at if `None`.
    ///
    /// # Errors
    /// Says why nothing was deleted.
    pub fn delete(
        &mut self,
        now: Instant,
        key: &str,
        revision: Option<u64>,
    ) -> Result<kv::Written, Refused> {
        self.lapse(now);
        let at = self.find(key).map_err(|_| Refused::Conflict(None))?;
        let current = &self.held[at].entry;
        if revision.is_some_and(|r| r != current.revision) {
            return Err(Refused::Conflict(Some(current.clone())));
        }
        self.held.remove(at);
        self.revision += 1;
        Ok(kv::Written {
            revision: self.revision,
        })
    }

    /// Grants a new lease.
    pub fn grant(&mut self, now: Instant, grant: kv::LeaseRequest) -> kv::Lease {
        self.last_lease += 1;
        let ttl = Duration::from_millis(grant.ttl_ms);
        let id = self.last_lease;
        let until = now + ttl;
        self.leases.push(Lease { id, ttl, until });
        kv::Lease {
            id,
            ttl_ms: grant.ttl_ms,
        }
    }

    /// Lets a lease live its whole time again.
    ///
    /// # Errors
    /// [`Refused::NoLease`] once it lapsed.
    pub fn renew(&mut self, now: Instant, id: u64) -> Result<kv::Lease, Refused> {
        self.lapse(now);
        let at = self.lease(id).map_err(|_| Refused::NoLease)?;
        let lease = &mut self.leases[at];
        lease.until = now + lease.ttl;
        let ttl_ms = u64::try_from(lease.ttl.as_millis()).unwrap_or(u64::MAX);
        Ok(kv::Lease { id, ttl_ms })
    }

    fn lapse(&mut self, now: Instant) {
        let before = self.leases.len();
        self.leases.retain(|lease| lease.until > now);
        if self.leases.len() == before {
            return;
        }
        let leases = &self.leases;
        let lives = |id| leases.binary_search_by_key(&id, |lease| lease.id).is_ok();
        self.held.retain(|h| h.lease.is_none_or(lives));
        self.revision += 1;
    }

    fn find(&self, key: &str) -> Result<usize, usize> {
        self.held.binary_search_by(|h| (*h.entry.key).cmp(key))
    }

    fn lease(&self, id: u64) -> Result<usize, usize> {
        self.leases.binary_search_by_key(&id, |lease| lease.id)
    }
}

fn holds(expect: kv::Expect, current: Option<&kv::Entry>) -> bool {
    match expect {
        kv::Expect::Any => true,
        kv::Expect::Absent => current.is_none(),
        kv::Expect::Revision(revision) => current.is_some_and(|e| e.revision == revision),
    }
}

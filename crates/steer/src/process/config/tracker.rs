//! Tracks the version in force and collects the bodies of the next one.
//!
//! Invariant: the version in force only rises. A head is handed out for
//! installation once all its bodies are present, and is in force once the
//! driver has verified and installed it.

use std::net::SocketAddr;
use std::sync::Arc;

use super::{Body, Hash, Head};
use crate::version::view::Version;

/// Origin of a head; the first one to ask for its bodies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform's store.
    Store,
    /// The peer at this address.
    Peer(SocketAddr),
}

/// Outcome of [`Tracker::offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// Newer than any known version; its bodies are being collected.
    Newer,
    /// The newest known head.
    Same,
    /// Below the version in force or the one being collected.
    Stale,
    /// A known version number with other content: the store was reset.
    Forked,
    /// Rejected by the verifier before.
    Rejected,
}

/// A head with all its bodies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Complete {
    /// The complete head.
    pub head: Arc<Head>,
    /// Its bodies, in the order of the head's files.
    pub bodies: Vec<Body>,
}

/// A head received while another one is being installed.
#[derive(Debug)]
struct Deferred {
    head: Arc<Head>,
    source: Source,
}

#[derive(Debug)]
struct Pending {
    head: Arc<Head>,
    source: Source,
    is_installing: bool,
}

/// The version in force, the pending one, and the bodies present.
#[derive(Debug, Default)]
pub struct Tracker {
    in_force: Option<Arc<Head>>,
    pending: Option<Pending>,
    /// Last head received while the driver installs the pending one.
    deferred: Option<Deferred>,
    bodies: Vec<Body>,
    rejected_version: Version,
    allows_rollback: bool,
}

impl Tracker {
    /// A tracker with nothing in force. With `monotonic` false it also takes
    /// lower versions: tests show with it that the invariant is needed.
    #[must_use]
    pub fn new(monotonic: bool) -> Self {
        Self {
            allows_rollback: !monotonic,
            ..Self::default()
        }
    }

    /// Version in force; zero if none.
    #[must_use]
    pub fn version(&self) -> Version {
        self.in_force
            .as_ref()
            .map_or(Version(0), |head| head.version)
    }

    /// Highest known version, in force or pending.
    #[must_use]
    pub fn known(&self) -> Version {
        let pending = self.pending.as_ref().map_or(Version(0), |n| n.head.version);
        pending.max(self.version())
    }

    /// Whether the head of a reported version should be requested.
    #[must_use]
    pub fn should_request(&self, version: Version) -> bool {
        let is_different =
            self.allows_rollback && version != self.version() && self.pending.is_none();
        is_different || (version > self.known() && version != self.rejected_version)
    }

    /// Whether a version is above the one in force and was not rejected.
    #[must_use]
    pub fn is_installable(&self, version: Version) -> bool {
        version > self.version() && version != self.rejected_version
    }

    /// The head in force.
    #[must_use]
    pub const fn head(&self) -> Option<&Arc<Head>> {
        self.in_force.as_ref()
    }

    /// Origin of the pending head.
    #[must_use]
    pub fn source(&self) -> Option<Source> {
        self.pending.as_ref().map(|pending| pending.source)
    }

    /// A body that is present.
    #[must_use]
    pub fn body(&self, hash: Hash) -> Option<&Body> {
        let at = self.bodies.binary_search_by_key(&hash, |b| b.hash).ok()?;
        Some(&self.bodies[at])
    }

    /// Takes a head from the store or a peer. A newer one becomes pending.
    pub fn offer(&mut self, head: &Arc<Head>, source: Source) -> OfferOutcome {
        let known = self
            .pending
            .as_ref()
            .map(|n| &n.head)
            .or(self.in_force.as_ref());
        if let Some(known) = known {
            if known.version == head.version {
                let is_same = known.files == head.files && known.recent == head.recent;
                return if is_same {
                    OfferOutcome::Same
                } else {
                    OfferOutcome::Forked
                };
            }
            if head.version < known.version && !self.allows_rollback {
                return OfferOutcome::Stale;
            }
        }
        if head.version == self.rejected_version {
            return OfferOutcome::Rejected;
        }
        if self.pending.as_ref().is_some_and(|n| n.is_installing) {
            let head = Arc::clone(head);
            self.deferred = Some(Deferred { head, source });
            return OfferOutcome::Newer;
        }
        self.pending = Some(Pending {
            head: Arc::clone(head),
            source,
            is_installing: false,
        });
        OfferOutcome::Newer
    }

    /// Hashes of the bodies that the pending version still lacks, sorted and
    /// without duplicates. Empty while it is being installed.
    #[must_use]
    pub fn missing_bodies(&self) -> Vec<Hash> {
        let Some(pending) = self.pending.as_ref().filter(|n| !n.is_installing) else {
            return Vec::new();
        };
        let hashes = pending.head.files.iter().map(|f| f.hash);
        let mut missing_bodies: Vec<Hash> = hashes.filter(|&h| self.body(h).is_none()).collect();
        missing_bodies.sort_unstable();
        missing_bodies.dedup();
        missing_bodies
    }

    /// Adds a body if the pending version lacks it, and returns whether it did.
    pub fn add_body(&mut self, body: Body) -> bool {
        if !self.missing_bodies().contains(&body.hash) {
            return false;
        }
        let at = self.bodies.partition_point(|b| b.hash < body.hash);
        self.bodies.insert(at, body);
        true
    }

    /// Takes the pending head with its bodies in the order of its files, once
    /// all are present. The driver has to answer each head with
    /// [`Self::installed`] or [`Self::rejected`].
    pub fn take_complete(&mut self) -> Option<Complete> {
        if !self.missing_bodies().is_empty() {
            return None;
        }
        let pending = self.pending.as_mut().filter(|n| !n.is_installing)?;
        pending.is_installing = true;
        let head = Arc::clone(&pending.head);
        let bodies = head.files.iter().filter_map(|f| self.body(f.hash).cloned());
        let bodies = bodies.collect();
        Some(Complete { head, bodies })
    }

    /// Records that the driver put this version in force. Returns false if it
    /// isn't the version being installed.
    pub fn installed(&mut self, version: Version) -> bool {
        let Some(pending) = self.take_installing(version) else {
            return false;
        };
        self.in_force = Some(pending.head);
        self.drop_unused_bodies();
        self.offer_deferred();
        true
    }

    /// Records that the driver rejected this version, so that it isn't tried
    /// again. Returns false if it isn't the version being installed.
    pub fn rejected(&mut self, version: Version) -> bool {
        let Some(pending) = self.take_installing(version) else {
            return false;
        };
        self.rejected_version = pending.head.version;
        self.drop_unused_bodies();
        self.offer_deferred();
        true
    }

    fn take_installing(&mut self, version: Version) -> Option<Pending> {
        self.pending
            .take_if(|n| n.is_installing && n.head.version == version)
    }

    /// Offers the head that came during the installation. The watch that
    /// delivered it won't deliver it again, so it must not be lost.
    fn offer_deferred(&mut self) {
        if let Some(Deferred { head, source }) = self.deferred.take() {
            self.offer(&head, source);
        }
    }

    /// Drops bodies that the version in force doesn't use.
    fn drop_unused_bodies(&mut self) {
        let files = self.in_force.as_ref().map_or(&[][..], |head| &head.files);
        let mut used: Vec<Hash> = files.iter().map(|f| f.hash).collect();
        used.sort_unstable();
        self.bodies.retain(|b| used.binary_search(&b.hash).is_ok());
    }
}

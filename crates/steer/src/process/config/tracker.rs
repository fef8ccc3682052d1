//! Holds the version in force and collects the next one.
//!
//! Invariant: the version in force only rises. A head is installed once all
//! its bodies are here and the driver has verified them as a whole.

use std::net::SocketAddr;
use std::sync::Arc;

use super::{Body, Hash, Head};
use crate::version::view::Version;

/// Who told of a head, and so can be asked for its bodies first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// The peer at this address.
    Peer(SocketAddr),
}

/// What an offered head is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Newer than anything known: being collected.
    Newer,
    /// Known already.
    Same,
    /// Below the version in force, or the one being collected.
    Stale,
    /// Same number as a known version, other files: the store was reset.
    Forked,
    /// Turned down by the verifier before.
    Barred,
}

/// A head with all its bodies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Complete {
    /// The head.
    pub head: Arc<Head>,
    /// The bodies, in the order of the head's files.
    pub bodies: Vec<Body>,
}

/// A head that somebody told of.
#[derive(Debug)]
struct Told {
    head: Arc<Head>,
    source: Source,
}

#[derive(Debug)]
struct Next {
    head: Arc<Head>,
    source: Source,
    installing: bool,
}

/// The keeper's state.
#[derive(Debug, Default)]
pub struct Tracker {
    held: Option<Arc<Head>>,
    next: Option<Next>,
    /// A head that came while the driver installed the one before.
    later: Option<Told>,
    bodies: Vec<Body>,
    barred: Version,
    unordered: bool,
}

impl Tracker {
    /// A keeper with nothing in force. `monotonic` off takes whatever differs:
    /// the ablation of the rule that versions only rise.
    #[must_use]
    pub fn new(monotonic: bool) -> Self {
        Self {
            unordered: !monotonic,
            ..Self::default()
        }
    }

    /// Version in force; zero if none.
    #[must_use]
    pub fn version(&self) -> Version {
        self.held.as_ref().map_or(Version(0), |head| head.version)
    }

    /// Highest version known, in force or being collected.
    #[must_use]
    pub fn known(&self) -> Version {
        let next = self.next.as_ref().map_or(Version(0), |n| n.head.version);
        next.max(self.version())
    }

    /// Whether a version told of by a peer or the store is worth asking for.
    #[must_use]
    pub fn wants(&self, version: Version) -> bool {
        let differs = self.unordered && version != self.version() && self.next.is_none();
        differs || (version > self.known() && version != self.barred)
    }

    /// Whether a version is above the one in force and not turned down.
    #[must_use]
    pub fn is_wanted(&self, version: Version) -> bool {
        version > self.version() && version != self.barred
    }

    /// The head in force.
    #[must_use]
    pub const fn head(&self) -> Option<&Arc<Head>> {
        self.held.as_ref()
    }

    /// Who told of the head being collected.
    #[must_use]
    pub fn source(&self) -> Option<Source> {
        self.next.as_ref().map(|next| next.source)
    }

    /// A body that is here.
    #[must_use]
    pub fn body(&self, hash: Hash) -> Option<&Body> {
        let at = self.bodies.binary_search_by_key(&hash, |b| b.hash).ok()?;
        Some(&self.bodies[at])
    }

    /// Takes a head from any source.
    pub fn offer(&mut self, head: &Arc<Head>, source: Source) -> Verdict {
        let known = self.next.as_ref().map(|n| &n.head).or(self.held.as_ref());
        if let Some(known) = known {
            if known.version == head.version {
                let same = known.files == head.files && known.recent == head.recent;
                return if same { Verdict::Same } else { Verdict::Forked };
            }
            if head.version < known.version && !self.unordered {
                return Verdict::Stale;
            }
        }
        if head.version == self.barred {
            return Verdict::Barred;
        }
        if self.next.as_ref().is_some_and(|n| n.installing) {
            let head = Arc::clone(head);
            self.later = Some(Told { head, source });
            return Verdict::Newer;
        }
        self.next = Some(Next {
            head: Arc::clone(head),
            source,
            installing: false,
        });
        Verdict::Newer
    }

    /// Bodies that the next version still needs, sorted, each once.
    #[must_use]
    pub fn lacking(&self) -> Vec<Hash> {
        let Some(next) = self.next.as_ref().filter(|n| !n.installing) else {
            return Vec::new();
        };
        let hashes = next.head.files.iter().map(|f| f.hash);
        let mut lacking: Vec<Hash> = hashes.filter(|&h| self.body(h).is_none()).collect();
        lacking.sort_unstable();
        lacking.dedup();
        lacking
    }

    /// Stores a body if the next version lacks it.
    pub fn put(&mut self, body: Body) -> bool {
        if !self.lacking().contains(&body.hash) {
            return false;
        }
        let at = self.bodies.partition_point(|b| b.hash < body.hash);
        self.bodies.insert(at, body);
        true
    }

    /// The next head with its bodies in the order of its files, once all are
    /// here. It is handed out once; [`Self::installed`] or [`Self::rejected`]
    /// is due.
    pub fn complete(&mut self) -> Option<Complete> {
        if !self.lacking().is_empty() {
            return None;
        }
        let next = self.next.as_mut().filter(|n| !n.installing)?;
        next.installing = true;
        let head = Arc::clone(&next.head);
        let bodies = head.files.iter().filter_map(|f| self.body(f.hash).cloned());
        let bodies = bodies.collect();
        Some(Complete { head, bodies })
    }

    /// The driver has put this version in force. False if it was not asked to.
    pub fn installed(&mut self, version: Version) -> bool {
        let Some(next) = self.finish(version) else {
            return false;
        };
        self.held = Some(next.head);
        self.sweep();
        self.take_later();
        true
    }

    /// The driver turned this version down; it is not tried again.
    pub fn rejected(&mut self, version: Version) -> bool {
        let Some(next) = self.finish(version) else {
            return false;
        };
        self.barred = next.head.version;
        self.sweep();
        self.take_later();
        true
    }

    fn finish(&mut self, version: Version) -> Option<Next> {
        self.next
            .take_if(|n| n.installing && n.head.version == version)
    }

    /// The watch that told of it won't tell again, so it must not be lost.
    fn take_later(&mut self) {
        if let Some(Told { head, source }) = self.later.take() {
            self.offer(&head, source);
        }
    }

    /// Drops bodies that the version in force doesn't use.
    fn sweep(&mut self) {
        let files = self.held.as_ref().map_or(&[][..], |head| &head.files);
        let mut used: Vec<Hash> = files.iter().map(|f| f.hash).collect();
        used.sort_unstable();
        self.bodies.retain(|b| used.binary_search(&b.hash).is_ok());
    }
}

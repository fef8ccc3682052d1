//! Teams: whose requests may come, known by which keys, which regions may serve
//! them, and how many are admitted.
//!
//! Invariants: a key is held as its digest only, so nothing that prints or sends
//! a configuration can give one away; no key belongs to two teams.

use core::cmp::Ordering;
use core::fmt;
use std::sync::Arc;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use thiserror::Error;

/// The SHA-256 digest of a team's key. Prints as its first four bytes.
#[derive(Clone, Copy)]
pub struct KeyDigest([u8; 32]);

/// Digits of a digest that are printed: enough to tell keys apart.
const SHOWN: usize = 8;

impl KeyDigest {
    /// The digest of a key as a caller presents it.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// From its 64 hexadecimal digits.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        if text.len() != 64 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return None;
        }
        let mut bytes = [0; 32];
        for (at, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[at * 2..at * 2 + 2], 16).ok()?;
        }
        Some(Self(bytes))
    }

    /// All 64 hexadecimal digits.
    #[must_use]
    pub fn hex(&self) -> String {
        let digit = |nibble: u8| char::from_digit(nibble.into(), 16).unwrap_or_default();
        let digits = |byte: &u8| [digit(byte >> 4), digit(byte & 15)];
        self.0.iter().flat_map(digits).collect()
    }
}

impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyDigest {}

impl PartialOrd for KeyDigest {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for KeyDigest {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.cmp(&other.0)
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "key {}", &self.hex()[..SHOWN])
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Requests of a team that all instances together admit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests a second.
    pub rate: f64,
    /// Requests at once beyond that.
    pub burst: f64,
}

/// Whose requests they are.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Its name, which targets are told.
    pub name: Arc<str>,
    /// Rank of its requests in place of the route's; 0 is the most urgent.
    pub priority: Option<u32>,
    /// Regions that may serve it; any if empty. Sorted.
    pub home_regions: Vec<Arc<str>>,
    /// Requests admitted; any number if none.
    pub quota: Option<Quota>,
}

/// Two teams claim the same.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Conflict {
    /// A name.
    #[error("two teams are named {0}; rename one of them")]
    Name(Arc<str>),
    /// A key.
    #[error("teams {first} and {second} share {key}; give each a key of its own")]
    Key {
        /// Digest of the key.
        key: KeyDigest,
        /// One of the two.
        first: Arc<str>,
        /// The other.
        second: Arc<str>,
    },
}

/// All teams of a configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Teams {
    /// Sorted by name.
    teams: Vec<Arc<Team>>,
    /// Sorted by digest, with the team's place.
    keys: Vec<(KeyDigest, usize)>,
}

impl Teams {
    /// Sorts teams and their keys. A key that a team names twice counts once.
    ///
    /// # Errors
    /// If two teams share a name or a key.
    pub fn new(mut teams: Vec<(Team, Vec<KeyDigest>)>) -> Result<Self, Conflict> {
        teams.sort_by(|a, b| a.0.name.cmp(&b.0.name));
        let same = teams.windows(2).find(|w| w[0].0.name == w[1].0.name);
        if let Some(same) = same {
            return Err(Conflict::Name(Arc::clone(&same[0].0.name)));
        }
        let mut keys = Vec::new();
        for (at, (_, digests)) in teams.iter().enumerate() {
            keys.extend(digests.iter().map(|key| (*key, at)));
        }
        keys.sort_unstable();
        keys.dedup();
        if let Some(pair) = keys.windows(2).find(|w| w[0].0 == w[1].0) {
            let name = |at: usize| Arc::clone(&teams[at].0.name);
            return Err(Conflict::Key {
                key: pair[0].0,
                first: name(pair[0].1),
                second: name(pair[1].1),
            });
        }
        let teams = teams.into_iter().map(|(team, _)| Arc::new(team)).collect();
        Ok(Self { teams, keys })
    }

    /// Whether there are none, so that requests need no key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    /// The team that holds a key.
    #[must_use]
    pub fn find(&self, key: &KeyDigest) -> Option<&Arc<Team>> {
        let found = self.keys.binary_search_by(|(known, _)| known.cmp(key));
        found.ok().map(|at| &self.teams[self.keys[at].1])
    }

    /// The team of this name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Arc<Team>> {
        let found = self.teams.binary_search_by(|team| (*team.name).cmp(name));
        found.ok().map(|at| &self.teams[at])
    }

    /// All teams, sorted by name.
    #[must_use]
    pub fn all(&self) -> &[Arc<Team>] {
        &self.teams
    }

    /// How many keys they hold together.
    #[must_use]
    pub const fn keys(&self) -> usize {
        self.keys.len()
    }
}

impl Team {
    /// Whether a region may serve this team.
    #[must_use]
    pub fn allows(&self, region: &str) -> bool {
        super::routes::allows(&self.home_regions, region)
    }
}

//! Teams: their keys, home regions, priorities and quotas.
//!
//! Invariants: only the digest of a key is held, so that nothing that prints or
//! sends a configuration can disclose a key. No key belongs to two teams.

use core::cmp::Ordering;
use core::fmt;
use std::sync::Arc;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use thiserror::Error;

/// SHA-256 digest of a team's key. Prints as its first four bytes. Equality is checked
/// in constant time.
#[derive(Clone, Copy)]
pub struct KeyDigest([u8; 32]);

/// Number of hexadecimal digits of a digest that are printed, enough to tell keys
/// apart.
const SHOWN_DIGITS: usize = 8;

impl KeyDigest {
    /// Computes the digest of a key as a caller presents it.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Parses 64 hexadecimal digits.
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

    /// Formats the digest as 64 hexadecimal digits.
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
        write!(f, "key {}", &self.hex()[..SHOWN_DIGITS])
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Token bucket of the requests of a team that all instances together admit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Sustained rate in requests per second.
    pub rate: f64,
    /// Requests admitted at once beyond the rate.
    pub burst: f64,
}

/// Team: a customer's account, on whose behalf callers send requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name, which is passed on to targets.
    pub name: Arc<str>,
    /// Priority of its requests in place of the route's; 0 is the most urgent.
    pub priority: Option<u32>,
    /// Regions that may serve its requests, sorted. Empty allows all.
    pub home_regions: Vec<Arc<str>>,
    /// Quota of its requests; `None` admits any number.
    pub quota: Option<Quota>,
}

/// Two teams have the same name or share a key.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Conflict {
    /// The same name.
    #[error("two teams are named {0}; rename one of them")]
    Name(Arc<str>),
    /// A shared key.
    #[error("teams {first} and {second} share {key}; give each a key of its own")]
    Key {
        /// Digest of the key.
        key: KeyDigest,
        /// Name of one team.
        first: Arc<str>,
        /// Name of the other team.
        second: Arc<str>,
    },
}

/// Teams of a configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Teams {
    /// Sorted by name.
    teams: Vec<Arc<Team>>,
    /// Digests in order, each with the index of its team.
    keys: Vec<(KeyDigest, usize)>,
}

impl Teams {
    /// Creates the table from teams and the digests of their keys. A key that a team
    /// lists twice counts once.
    ///
    /// # Errors
    /// Returns a conflict if two teams share a name or a key.
    pub fn new(mut teams: Vec<(Team, Vec<KeyDigest>)>) -> Result<Self, Conflict> {
        teams.sort_by(|a, b| a.0.name.cmp(&b.0.name));
        let duplicate = teams.windows(2).find(|w| w[0].0.name == w[1].0.name);
        if let Some(pair) = duplicate {
            return Err(Conflict::Name(Arc::clone(&pair[0].0.name)));
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

    /// Returns whether there are no teams, so that requests need no key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    /// Finds the team that holds a key.
    #[must_use]
    pub fn find(&self, key: &KeyDigest) -> Option<&Arc<Team>> {
        let found = self.keys.binary_search_by(|(known, _)| known.cmp(key));
        found.ok().map(|at| &self.teams[self.keys[at].1])
    }

    /// Finds a team by name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Arc<Team>> {
        let found = self.teams.binary_search_by(|team| (*team.name).cmp(name));
        found.ok().map(|at| &self.teams[at])
    }

    /// Returns all teams, sorted by name.
    #[must_use]
    pub fn all(&self) -> &[Arc<Team>] {
        &self.teams
    }

    /// Returns the number of keys of all teams.
    #[must_use]
    pub const fn key_count(&self) -> usize {
        self.keys.len()
    }
}

impl Team {
    /// Returns whether a region may serve this team.
    #[must_use]
    pub fn allows(&self, region: &str) -> bool {
        super::routes::allows(&self.home_regions, region)
    }
}

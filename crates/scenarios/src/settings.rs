//! Settings files of entry instances, and what they print once ready.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use serde_json::{Value, json};

/// The secret of all entry instances of a scenario.
pub const SECRET: &str = "scenario-secret-0123456789";

/// What differs from one entry instance to the next.
#[derive(Debug)]
pub struct Facts<'a> {
    /// Name.
    pub name: &'a str,
    /// Name of its failure domain.
    pub domain: &'a str,
    /// Peers' addresses to start from.
    pub seeds: &'a [SocketAddr],
    /// Address of the store.
    pub store: SocketAddr,
    /// File with the secret.
    pub secret: &'a Path,
    /// File for its log.
    pub log: &'a Path,
}

impl Facts<'_> {
    /// The text of the settings file.
    #[must_use]
    pub fn text(&self) -> String {
        let any = "127.0.0.1:0";
        let settings: Value = json!({
            "name": self.name,
            "domain": self.domain,
            "listen": { "callers": any, "peers": any, "operators": any },
            "seeds": self.seeds,
            "store": [self.store],
            "secret_file": self.secret,
            "limits": { "threads": 2 },
            "log": { "level": "info", "file": self.log },
        });
        settings.to_string()
    }
}

/// Where an entry instance listens.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Listens {
    /// For callers.
    pub callers: SocketAddr,
    /// For its peers.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// The line that an entry instance prints once ready.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Line {
    /// Where it listens.
    pub ready: Listens,
}

//! A whole request, as the drivers hold it while decisions are made.

use std::sync::Arc;

use sha2::{Digest, Sha256};
use steer::request::arrival;

/// A request received to its end.
#[derive(Clone, Debug)]
pub struct Inbound {
    /// Name of the service.
    pub service: Arc<str>,
    /// HTTP method.
    pub method: Arc<str>,
    /// Path and query at the target, from the slash on.
    pub path: Arc<str>,
    /// End-to-end headers.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// The whole body.
    pub body: hyper::body::Bytes,
    /// Who asks.
    pub caller: Arc<str>,
    /// Idempotency key, if any.
    pub key: Option<Arc<str>>,
    /// Name of the region whose caller sent it, if known.
    pub caller_region: Option<Arc<str>>,
}

impl Inbound {
    /// Digest that is equal for a repeat: service, method, path and body.
    #[must_use]
    pub fn fingerprint(&self) -> arrival::Fingerprint {
        let mut hash = Sha256::new();
        for part in [&self.service, &self.method, &self.path] {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part.as_bytes());
        }
        hash.update(&self.body);
        let mut first = [0; 16];
        first.copy_from_slice(&hash.finalize()[..16]);
        arrival::Fingerprint(u128::from_le_bytes(first))
    }

    /// Size as it counts against links.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        let headers: usize = self.headers.iter().map(|(n, v)| n.len() + v.len()).sum();
        (self.path.len() + headers + self.body.len()) as u64
    }
}

/// Whether a header is meant for the next hop only, or is ours to set.
#[must_use]
pub fn is_hop_header(name: &str) -> bool {
    const HOP: [&str; 21] = [
        "attempt-id",
        "caller-name",
        "connection",
        "content-length",
        "date",
        "deadline-ms",
        "expect",
        "host",
        "idempotency-key",
        "keep-alive",
        "outcome",
        "proxy-authenticate",
        "proxy-authorization",
        "server",
        "target-load",
        "target-refused",
        "target-state",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    HOP.binary_search_by(|hop| (*hop).cmp(&name.to_ascii_lowercase()))
        .is_ok()
}

//! A complete request, held while the dispatcher decides where it runs.

use std::sync::Arc;

use sha2::{Digest, Sha256};
use steer::request::arrival;

/// A request that has been received completely.
#[derive(Clone, Debug)]
pub struct Inbound {
    /// Name of the service.
    pub service: Arc<str>,
    /// HTTP method.
    pub method: Arc<str>,
    /// Path and query at the target, with the leading slash.
    pub path: Arc<str>,
    /// End-to-end headers.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// The complete body.
    pub body: hyper::body::Bytes,
    /// Name of the caller, or its IP address.
    pub caller: Arc<str>,
    /// Idempotency key, if any.
    pub key: Option<Arc<str>>,
    /// Name of the caller's region, if known.
    pub caller_region: Option<Arc<str>>,
}

impl Inbound {
    /// Digest of service, method, path and body; retries have the same digest.
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

    /// Bytes of path, headers and body, as counted against link capacity.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        let headers: usize = self.headers.iter().map(|(n, v)| n.len() + v.len()).sum();
        (self.path.len() + headers + self.body.len()) as u64
    }
}

/// Returns true for hop-by-hop headers and for those that the router sets itself.
#[must_use]
pub fn is_hop_header(name: &str) -> bool {
    const HOP_HEADERS: [&str; 21] = [
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
    HOP_HEADERS
        .binary_search_by(|hop| (*hop).cmp(&name.to_ascii_lowercase()))
        .is_ok()
}

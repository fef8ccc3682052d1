//! Where things stand in the platform's store.

use steer::process::config;

/// The head document.
pub const HEAD: &str = "auburnrouter/config/head";

/// Where a body stands, under the hash of its content.
#[must_use]
pub fn body(hash: config::Hash) -> String {
    format!("auburnrouter/config/bodies/{hash}")
}

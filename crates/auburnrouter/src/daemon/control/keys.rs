//! Keys of the configuration in the platform's store.

use steer::process::config;

/// Key of the head document.
pub const HEAD_KEY: &str = "auburnrouter/config/head";

/// Key of a body, which contains the hash of its content.
#[must_use]
pub fn body(hash: config::Hash) -> String {
    format!("auburnrouter/config/bodies/{hash}")
}

//! Claims of caller-chosen idempotency keys in the platform's store.
//!
//! Invariant: [`record::StoreResult::Unreachable`] is returned only if the write
//! certainly had no effect and will have none.

use std::fmt::Write;
use std::time::Duration;

use futures_lite::future;
use sha2::{Digest, Sha256};
use steer::request::record;
use store::error;
use wire::kv;

/// Prefix of claims in the store.
const CLAIMS_PREFIX: &str = "auburnrouter/claims/";

/// Creates or reads the claim of a key; the result is `Unknown` once `budget` is
/// spent.
pub async fn settle(
    store: &dyn store::Store,
    key: &str,
    call: record::StoreCall,
    budget: Duration,
) -> record::StoreResult {
    let timeout = async {
        smol::Timer::after(budget).await;
        record::StoreResult::Unknown
    };
    let path = path(key);
    let work = async {
        match call {
            record::StoreCall::Create(attempt) => create(store, &path, attempt).await,
            record::StoreCall::Read => read(store, &path).await,
        }
    };
    future::or(work, timeout).await
}

async fn create(
    store: &dyn store::Store,
    path: &str,
    attempt: record::Claim,
) -> record::StoreResult {
    let put = kv::Put {
        value: attempt.to_string(),
        expect: kv::Expect::Absent,
        lease: None,
    };
    match store.put(path, put).await {
        Ok(_) => record::StoreResult::Created,
        Err(error::Error::Conflict {
            current: Some(entry),
        }) => found(&entry),
        // The claim was deleted before the store read it for the conflict, so the
        // owner is unknown.
        Err(error::Error::Conflict { current: None }) => record::StoreResult::Unknown,
        Err(error) => failed(&error),
    }
}

async fn read(store: &dyn store::Store, path: &str) -> record::StoreResult {
    match store.get(path).await {
        Ok(Some(entry)) => found(&entry),
        Ok(None) => record::StoreResult::Absent,
        Err(error) => failed(&error),
    }
}

fn found(entry: &kv::Entry) -> record::StoreResult {
    record::StoreResult::Found(record::Claim::try_from(entry.value.as_str()).ok())
}

const fn failed(error: &error::Error) -> record::StoreResult {
    match error.effect() {
        error::Effect::None => record::StoreResult::Unreachable,
        error::Effect::Unknown => record::StoreResult::Unknown,
    }
}

/// Store key of a claim. It contains a hash, since callers choose keys of any length
/// and with any characters, which the store doesn't accept.
fn path(key: &str) -> String {
    let mut path = CLAIMS_PREFIX.to_owned();
    for byte in Sha256::digest(key.as_bytes()) {
        // Writing to a `String` can't fail.
        let _ = write!(path, "{byte:02x}");
    }
    path
}

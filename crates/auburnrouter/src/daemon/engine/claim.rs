//! Claims of keys that callers chose, in the platform's store.
//!
//! Invariant: [`record::StoreResult::Unreachable`] is only said when the write
//! certainly took no effect and never will.

use std::fmt::Write;
use std::time::Duration;

use futures_lite::future;
use sha2::{Digest, Sha256};
use steer::request::record;
use store::error;
use wire::kv;

/// Where claims stand in the store.
const CLAIMS: &str = "auburnrouter/claims/";

/// Makes one call about a key, in bounded time.
pub async fn settle(
    store: &dyn store::Store,
    key: &str,
    call: record::StoreCall,
    budget: Duration,
) -> record::StoreResult {
    let late = async {
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
    future::or(work, late).await
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
        // Deleted between the write and its refusal: nothing is known.
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

/// Callers choose any characters and lengths; the store's keys can't.
fn path(key: &str) -> String {
    let mut path = CLAIMS.to_owned();
    for byte in Sha256::digest(key.as_bytes()) {
        // Writing to a string can't fail.
        let _ = write!(path, "{byte:02x}");
    }
    path
}

//! Rows of the platform's store on requests that crash targets.
//!
//! Invariant: a row doesn't outlive the verdict that it was written for: its lease ends
//! with it.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use platform::store::Error;
use serde::{Deserialize, Serialize};
use steer::process::direct::verdict::{Row, RowWrite};
use steer::request::arrival::Fingerprint;

use super::{Shared, events, lock};

/// Prefix of the keys; the fingerprint follows as hexadecimal digits.
pub const KEY_PREFIX: &str = "auburnrouter/crashes/";

/// Longest time between looks for rows to write.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// Time without writes after one that failed.
const FAILURE_BACKOFF: Duration = Duration::from_secs(1);

/// Longest time that a request waits until its trial is written down.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Row as the store holds it, in JSON.
#[derive(Serialize, Deserialize)]
struct StoredRow {
    round: u16,
    strikes: u8,
    trials: u8,
    left_s: u16,
}

/// Writes rows that are due until the process ends.
pub async fn write_rows(shared: Arc<Shared>) {
    let mut lost = false;
    loop {
        let changed = shared.suspected.listen();
        let due = {
            let mut steering = lock(&shared.steering);
            let now = shared.now();
            steering.direct.next_row_write(now)
        };
        let Some(write) = due else {
            let timer = async {
                smol::Timer::after(LOOK_INTERVAL).await;
            };
            future::or(changed, timer).await;
            continue;
        };
        match write_row(&shared, write).await {
            // On a conflict another instance has written; its row arrives soon.
            Ok(()) | Err(Error::Conflict) => {
                if core::mem::take(&mut lost) {
                    events::store_recovered(&shared, "verdict");
                }
            }
            Err(error) => {
                if !core::mem::replace(&mut lost, true) {
                    events::store_lost(&shared, "verdict", &error.to_string());
                }
                smol::Timer::after(FAILURE_BACKOFF).await;
            }
        }
    }
}

/// Writes down that a copy of a request that is always refused is tried, if one may be.
/// Returns whether this instance may run it.
pub async fn claim_trial(shared: &Shared, fingerprint: Fingerprint) -> bool {
    if !shared.read(|now, d| d.is_trial_due(now, fingerprint)) {
        return false;
    }
    let write = shared.decide(|now, d| d.begin_trial(now, fingerprint));
    let Some(write) = write else {
        return false;
    };
    let timeout = async {
        smol::Timer::after(TRIAL_TIMEOUT).await;
        Err(Error::Lost)
    };
    // Without the row another instance might try it too.
    let is_written = future::or(write_row(shared, write), timeout).await.is_ok();
    if is_written {
        shared.decide(|now, d| d.permit_trial(now, fingerprint));
        events::trial_begun(shared, fingerprint, write.row.trials);
    }
    is_written
}

async fn write_row(shared: &Shared, write: RowWrite) -> Result<(), Error> {
    let lease = shared.store.grant_lease(write.row.left).await?;
    let left = write.row.left.as_secs();
    let row = StoredRow {
        round: write.row.round,
        strikes: write.row.strikes,
        trials: write.row.trials,
        left_s: u16::try_from(left).unwrap_or(u16::MAX),
    };
    // Encoding numbers can't fail.
    let value = serde_json::to_vec(&row).unwrap_or_default();
    let key = format!("{KEY_PREFIX}{:032x}", write.fingerprint.0);
    let written = shared.store.replace(&key, write.revision, &value, lease);
    let written = written.await;
    if matches!(written, Err(Error::Conflict)) {
        // Nothing hangs on the lease; it would end by itself.
        let _ = shared.store.end_lease(lease).await;
    }
    written
}

/// Applies a row that was written or removed; `digits` is its key without the prefix.
pub fn apply(shared: &Shared, digits: &str, revision: u64, value: Option<&[u8]>) {
    let Ok(fingerprint) = u128::from_str_radix(digits, 16) else {
        events::input_rejected(shared, digits, "the key names no fingerprint");
        return;
    };
    let row = match value.map(serde_json::from_slice::<StoredRow>) {
        Some(Ok(row)) => Some(Row {
            round: row.round,
            strikes: row.strikes,
            trials: row.trials,
            left: Duration::from_secs(u64::from(row.left_s)),
        }),
        Some(Err(error)) => {
            events::input_rejected(shared, digits, &error.to_string());
            return;
        }
        None => None,
    };
    shared.decide(|now, direct| direct.learn_row(now, Fingerprint(fingerprint), revision, row));
}

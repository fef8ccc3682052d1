//! Hash function that is the same in every process and every build.
//!
//! Invariant: its values never change, because processes of different releases
//! rank watchers and compare digests by it.

use super::Record;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// FNV-1a over the parts, each terminated by a byte that UTF-8 never contains,
/// followed by a finalizer that makes every bit depend on every byte.
#[must_use]
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hash = FNV_OFFSET;
    for part in parts {
        for &byte in *part {
            hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
        hash = (hash ^ 0xff).wrapping_mul(FNV_PRIME);
    }
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

/// Hash of a record without its addresses, which the stamp determines.
#[must_use]
pub fn record_hash(record: &Record) -> u64 {
    stable_hash(&[
        record.identity.domain.as_bytes(),
        record.identity.name.as_bytes(),
        &record.stamp.generation.to_le_bytes(),
        &record.stamp.incarnation.0.to_le_bytes(),
        &record.serial.to_le_bytes(),
        record.lifecycle.as_str().as_bytes(),
    ])
}

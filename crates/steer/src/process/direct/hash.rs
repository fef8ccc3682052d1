//! Hash functions that spread keys evenly and give short identifiers.

/// Computes a 64-bit FNV-1a hash with a final mix. It is fast and even, and not
/// safe against chosen keys.
#[must_use]
pub fn hash(bytes: &[u8]) -> u64 {
    let mixed = bytes.iter().fold(0xCBF2_9CE4_8422_2325_u64, |h, b| {
        (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01B3)
    });
    // FNV-1a alone hardly carries the last bytes into the high bits.
    (mixed ^ (mixed >> 32)).wrapping_mul(0x9E37_79B9_7F4A_7C15)
}

/// The upper 32 bits of an object's hash, by which instances remember and report
/// the objects that are warm at a target.
#[must_use]
#[allow(
    clippy::cast_possible_truncation,
    reason = "the upper half of the hash is what is wanted"
)]
pub const fn short_hash(object: u64) -> u32 {
    (object >> 32) as u32
}

/// Maps a hash evenly to the half-open interval from 0 to 1.
#[must_use]
pub fn unit_interval(hash: u64) -> f64 {
    #[allow(clippy::cast_precision_loss, reason = "53 bits are kept")]
    let top = (hash >> 11) as f64;
    top / 9_007_199_254_740_992.0
}

/// Weight of a candidate for a key in rendezvous hashing, from both hashes.
pub(super) fn rendezvous_weight(candidate: u64, key: u64) -> u64 {
    let mixed = candidate ^ key;
    let mixed = (mixed ^ (mixed >> 31)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    (mixed ^ (mixed >> 29)).wrapping_mul(0x94D0_49BB_1331_11EB)
}

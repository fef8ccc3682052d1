//! Hashes, for spreading and for naming things in few bytes.

/// FNV-1a, for spreading only.
#[must_use]
pub fn hash(bytes: &[u8]) -> u64 {
    let mixed = bytes.iter().fold(0xCBF2_9CE4_8422_2325_u64, |h, b| {
        (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01B3)
    });
    // The last bytes reach the high bits only by this.
    (mixed ^ (mixed >> 32)).wrapping_mul(0x9E37_79B9_7F4A_7C15)
}

/// A part of an object's hash, by which targets' objects are remembered.
#[must_use]
#[allow(
    clippy::cast_possible_truncation,
    reason = "a mark is a part of the hash"
)]
pub const fn short_hash(object: u64) -> u32 {
    (object >> 32) as u32
}

/// A hash as a number from 0 to 1.
#[must_use]
pub fn unit_interval(hash: u64) -> f64 {
    #[allow(clippy::cast_precision_loss, reason = "53 bits are kept")]
    let top = (hash >> 11) as f64;
    top / 9_007_199_254_740_992.0
}

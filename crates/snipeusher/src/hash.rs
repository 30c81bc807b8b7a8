//! Stable 64-bit hashes and rendezvous scores.
//!
//! All routers must rank engines in the same order without coordination, so the hash function is
//! fixed (xxh3) and has no per-process seed.

use xxhash_rust::xxh3::xxh3_64;

/// Bits of a hash that a float holds.
const FLOAT_BITS: u32 = 53;
/// Odd constant of the `SplitMix64` finaliser.
const MIX_1: u64 = 0xbf58_476d_1ce4_e5b9;
/// Second odd constant of the `SplitMix64` finaliser.
const MIX_2: u64 = 0x94d0_49bb_1331_11eb;

/// Hashes bytes to 64 bits, the same on every machine.
pub fn bytes(data: &[u8]) -> u64 {
    xxh3_64(data)
}

/// Combines two hashes into one that depends on both and on their order.
pub const fn mix(left: u64, right: u64) -> u64 {
    let mut x = left.rotate_left(32) ^ right.wrapping_mul(MIX_2);
    x = (x ^ (x >> 30)).wrapping_mul(MIX_1);
    x = (x ^ (x >> 27)).wrapping_mul(MIX_2);
    x ^ (x >> 31)
}

/// The number from 0 to below 1 that a hash stands for.
pub fn unit(hash: u64) -> f64 {
    (hash >> (u64::BITS - FLOAT_BITS)) as f64 / (1_u64 << FLOAT_BITS) as f64
}

/// The rendezvous score of a key at a node; the node with the highest score is the first choice.
///
/// A node that joins or leaves moves only the keys that it scores highest for.
pub const fn score(key: u64, node: u64) -> u64 {
    mix(key, node)
}

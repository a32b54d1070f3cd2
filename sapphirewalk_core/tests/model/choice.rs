//! Choices of a simulation, taken from a sequence of bytes.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The remaining choices; each takes one byte.
pub struct ChoiceList<'a> {
    bytes: &'a [u8],
}

impl<'a> ChoiceList<'a> {
    pub fn new(bytes: &'a [u8]) -> Self {
        Self { bytes }
    }

    /// Takes the next choice: a number below `count`, or `None` if no bytes are left.
    pub fn next(&mut self, count: usize) -> Option<usize> {
        let (first, rest) = self.bytes.split_first()?;
        self.bytes = rest;
        Some(usize::from(*first) % count.max(1))
    }
}

/// Generates `len` bytes from a seed.
pub fn seeded_bytes(seed: u64, len: usize) -> Vec<u8> {
    let mut bytes = vec![0; len];
    ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut bytes);
    bytes
}

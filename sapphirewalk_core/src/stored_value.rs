//! Layout of values in the store, and how much room they take there.

use serde::Serialize;

/// Encodes a value, preceded by the version of its encoding.
pub fn encode(version: u8, value: &impl Serialize) -> Vec<u8> {
    // Encoding plain types into memory can't fail. An empty value would be rejected when it is
    // read.
    let mut bytes = vec![version];
    bytes.extend(postcard::to_allocvec(value).unwrap_or_default());
    bytes
}

/// Length in bytes of a value that [`encode`] returns.
pub fn encoded_len(value: &impl Serialize) -> usize {
    1 + part_len(value)
}

/// Length in bytes that a part adds to the value that contains it.
pub fn part_len(part: &impl Serialize) -> usize {
    let size = postcard::ser_flavors::Size::default();
    postcard::serialize_with_flavor(part, size).unwrap_or_default()
}

/// Length of a value of `len` bytes in a call of the store, which carries it as base64.
pub const fn call_len(len: usize) -> usize {
    len.div_ceil(3) * 4
}

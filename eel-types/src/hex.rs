//! Hexadecimal encoding.

/// Returns `bytes` in lower-case hexadecimal.
#[must_use]
pub fn to_hex(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";

    let nibbles = bytes.iter().flat_map(|byte| [byte >> 4, byte & 0xf]);
    nibbles
        .map(|nibble| char::from(DIGITS[usize::from(nibble)]))
        .collect()
}

//! Digests of the keys by which callers identify their accounts.

use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;
use sha2::Digest;
use sha2::Sha256;

/// Length of a digest in hexadecimal digits.
const HEX_DIGITS: usize = 64;

/// SHA-256 of an account's key. The key itself is never kept.
///
/// Its `Debug` output and the errors of its decoding contain nothing of it, so that it cannot get into
/// a log line.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyDigest(pub [u8; 32]);

impl KeyDigest {
    /// Digest of a key as a caller or the configuration states it.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Parses 64 hexadecimal digits.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.as_bytes();
        if digits.len() != HEX_DIGITS || !digits.iter().all(u8::is_ascii_hexdigit) {
            return None;
        }
        let mut bytes = [0; 32];
        for (byte, pair) in bytes.iter_mut().zip(digits.chunks(2)) {
            *byte = u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok()?;
        }
        Some(Self(bytes))
    }

    /// The digest as 64 lower-case hexadecimal digits.
    fn to_hex(self) -> String {
        let digit = |value: u8| char::from_digit(u32::from(value), 16).unwrap_or('0');
        self.0.iter().flat_map(|byte| [digit(byte >> 4), digit(byte & 15)]).collect()
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

impl Serialize for KeyDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.to_hex())
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let fault = || D::Error::custom("a key must be a SHA-256 in 64 hexadecimal digits");
        // The text may be a key in place of its digest, so no error may repeat it.
        let text = String::deserialize(deserializer).map_err(|_other_type| fault())?;
        Self::parse(&text).ok_or_else(fault)
    }
}

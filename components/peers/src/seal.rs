//! Authentication of messages with HMAC-SHA256.

use std::fmt::Write;

use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;

/// Computes and verifies the HMAC (the "seal") of messages under the deployment's shared secret.
#[derive(Clone)]
pub struct MessageSeal {
    hmac: Hmac<Sha256>,
}

impl std::fmt::Debug for MessageSeal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("MessageSeal")
    }
}

impl MessageSeal {
    /// Uses `secret` as the key; any length is accepted.
    pub fn new(secret: &str) -> Self {
        let hmac =
            Hmac::new_from_slice(secret.as_bytes()).expect("HMAC accepts keys of any length");
        Self { hmac }
    }

    /// Returns the HMAC of `text` in hexadecimal.
    pub fn seal(&self, text: &str) -> String {
        let mut hmac = self.hmac.clone();
        hmac.update(text.as_bytes());
        let hash = hmac.finalize().into_bytes();
        let mut text = String::with_capacity(hash.len() * 2);
        for byte in hash {
            // Writing to a string cannot fail.
            let _ = write!(text, "{byte:02x}");
        }
        text
    }

    /// Whether `tag` is the hexadecimal HMAC of `text`. The comparison takes constant time.
    pub fn is_valid(&self, text: &str, tag: &str) -> bool {
        let mut hmac = self.hmac.clone();
        hmac.update(text.as_bytes());
        let bytes: Option<Vec<u8>> = (0..tag.len())
            .step_by(2)
            .map(|at| tag.get(at..at + 2).and_then(|pair| u8::from_str_radix(pair, 16).ok()))
            .collect();
        bytes.is_some_and(|bytes| hmac.verify_slice(&bytes).is_ok())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn can_reject_wrong_seals() {
        let seal = MessageSeal::new("one secret of this deployment");
        let tag = seal.seal("text");
        assert!(seal.is_valid("text", &tag));
        assert!(!seal.is_valid("text!", &tag));
        assert!(!seal.is_valid("text", &MessageSeal::new("another secret").seal("text")));
        for broken in ["", "zz", "a", "é", &tag[2..]] {
            assert!(!seal.is_valid("text", broken));
        }
    }
}

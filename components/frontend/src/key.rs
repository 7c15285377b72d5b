//! Reads the key of an account from the value of an `Authorization` header.

use wagtailledge_inventory::KeyDigest;

/// Digest of the key in `value`: one of `schemes`, in any case, then spaces and the key. `None` if the
/// value has another form.
pub fn key_of_schemes(value: &[u8], schemes: &[&str]) -> Option<KeyDigest> {
    let value = value.trim_ascii();
    let end = value.iter().position(|byte| *byte == b' ')?;
    let (scheme, key) = value.split_at(end);
    let is_named = schemes.iter().any(|name| scheme.eq_ignore_ascii_case(name.as_bytes()));
    let key = key.trim_ascii();
    (is_named && !key.is_empty()).then(|| KeyDigest::of(key))
}

//! Fingerprints of callers' keys.

use sha2::{Digest, Sha256};

gullspar_model::value! {
    /// A one-way hash of a caller's key; the key itself is never stored.
    ///
    /// It identifies the key in configurations, in messages between instances and in logs, and can't be used to open a
    /// session.
    pub struct KeyFingerprint([u8; KeyFingerprint::BYTES]);
}

impl KeyFingerprint {
    const BYTES: usize = 16;

    /// The fingerprint of `key`.
    pub fn of(key: &str) -> KeyFingerprint {
        let digest = Sha256::digest(key.as_bytes());
        let mut bytes = [0; KeyFingerprint::BYTES];
        bytes.copy_from_slice(&digest[..KeyFingerprint::BYTES]);
        KeyFingerprint(bytes)
    }
}

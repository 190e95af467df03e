//! Shared keys that authenticate frames.

use hmac::{Hmac, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// The length of the authentication tag at the end of a frame: a truncated HMAC-SHA-256.
pub(crate) const TAG_BYTES: usize = 16;

/// The signing key, and former or next keys that are accepted as well.
///
/// A key is rotated in three steps, each on all hosts: accept the new key, sign with the new key, drop the old key.
#[derive(Clone)]
pub struct PeerKeys {
    signing: Vec<u8>,
    also_accepted: Vec<Vec<u8>>,
}

impl PeerKeys {
    /// Creates keys that sign with and accept only `signing`.
    #[must_use]
    pub fn new(signing: &[u8]) -> Self {
        Self {
            signing: signing.to_vec(),
            also_accepted: Vec::new(),
        }
    }

    /// Adds a key that is accepted but not used for signing.
    #[must_use]
    pub fn and_accept(mut self, key: &[u8]) -> Self {
        self.also_accepted.push(key.to_vec());
        self
    }

    pub(crate) fn tag(&self, bytes: &[u8]) -> [u8; TAG_BYTES] {
        tag_with(&self.signing, bytes)
    }

    pub(crate) fn accepts(&self, bytes: &[u8], tag: &[u8]) -> bool {
        let matches = |key: &Vec<u8>| bool::from(tag_with(key, bytes).as_slice().ct_eq(tag));
        matches(&self.signing) || self.also_accepted.iter().any(matches)
    }
}

fn tag_with(key: &[u8], bytes: &[u8]) -> [u8; TAG_BYTES] {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
    mac.update(bytes);
    let full = mac.finalize().into_bytes();
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&full[..TAG_BYTES]);
    tag
}

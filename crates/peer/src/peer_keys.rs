//! Keys that authenticate frames.

use hmac::{Hmac, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// The length of the tag at the end of a frame.
pub(crate) const TAG_BYTES: usize = 16;

/// The key that signs, and former or coming keys that are accepted as well.
///
/// A key is changed in three steps on all hosts: accept the new key, sign with the new key, drop the old key.
#[derive(Clone)]
pub struct PeerKeys {
    signing: Vec<u8>,
    also_accepted: Vec<Vec<u8>>,
}

impl PeerKeys {
    /// Signs and accepts with `signing`.
    #[must_use]
    pub fn new(signing: &[u8]) -> Self {
        Self {
            signing: signing.to_vec(),
            also_accepted: Vec::new(),
        }
    }

    /// Accepts one more key.
    #[must_use]
    pub fn and_accept(mut self, key: &[u8]) -> Self {
        self.also_accepted.push(key.to_vec());
        self
    }

    pub(crate) fn tag(&self, bytes: &[u8]) -> [u8; TAG_BYTES] {
        tag_with(&self.signing, bytes)
    }

    pub(crate) fn accepts(&self, bytes: &[u8], tag: &[u8]) -> bool {
        let fits = |key: &Vec<u8>| bool::from(tag_with(key, bytes).as_slice().ct_eq(tag));
        fits(&self.signing) || self.also_accepted.iter().any(fits)
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

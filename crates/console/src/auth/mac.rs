//! Message authentication of cookies and tokens.

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Computes HMAC-SHA256 over the parts; each part is preceded by its length, so that parts cannot run together.
pub(crate) fn mac_hex(key: &[u8], parts: &[&[u8]]) -> String {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of every length");
    for part in parts {
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part);
    }
    hex::encode(mac.finalize().into_bytes())
}

//! Message authentication codes of cookies and tokens.

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Returns the HMAC-SHA256 over the parts in hex. Each part is prefixed with its length, so that different splits of
/// the same bytes give different codes.
pub(crate) fn mac_hex(key: &[u8], parts: &[&[u8]]) -> String {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC accepts keys of any length");
    for part in parts {
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part);
    }
    hex::encode(mac.finalize().into_bytes())
}

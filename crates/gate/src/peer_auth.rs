//! Authentication of requests between hosts.

use bytes::Bytes;
use hmac::{Hmac, Mac};
use http::{HeaderMap, Method};
use lw_base::prelude::*;
use parking_lot::Mutex;
use rand::Rng;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::header_names::{
    CALLER_ATTEMPT, IDEMPOTENCY_KEY, PEER_ALLOWED, PEER_AUTH, PEER_CUSTOMER, PEER_DEADLINE_MS,
    PEER_HOP, PEER_REQUEST_ID, PEER_REVISION, PEER_SERVICE, PRIORITY,
};
use crate::headers::{header_text, header_value};

/// The maximum difference between the time of a signature and the local wall clock; the wall clocks of hosts differ by
/// at most 3 s.
const SIGNATURE_VALID_MS: u64 = 10_000;

/// The headers that the signature covers, in signing order.
const SIGNED_HEADERS: [http::HeaderName; 10] = [
    PEER_HOP,
    PEER_REQUEST_ID,
    PEER_REVISION,
    PEER_ALLOWED,
    PEER_DEADLINE_MS,
    PEER_SERVICE,
    PEER_CUSTOMER,
    IDEMPOTENCY_KEY,
    CALLER_ATTEMPT,
    PRIORITY,
];

/// Signs requests to other hosts and verifies requests from them.
pub(crate) struct PeerAuth {
    key: Vec<u8>,
    also_accepted: Vec<Vec<u8>>,
    seen_nonces: Mutex<SeenNonces>,
}

/// Nonces that were received in the current and the previous period of twice [`SIGNATURE_VALID_MS`].
#[derive(Default)]
struct SeenNonces {
    current: FastSet<u128>,
    previous: FastSet<u128>,
    rotated_at: WallMs,
}

/// Why a request on the listener for other hosts is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AuthRefusal {
    /// The header is missing or malformed.
    Malformed,
    /// The tag does not match.
    WrongTag,
    /// The time of the signature is too far in the past or the future.
    Stale,
    /// The nonce was received before.
    Replayed,
}

impl PeerAuth {
    /// Creates an authenticator that signs with `key`, and accepts `key` and the keys in `also_accepted`.
    pub(crate) fn new(key: &[u8], also_accepted: &[Vec<u8>]) -> Self {
        Self {
            key: key.to_vec(),
            also_accepted: also_accepted.to_vec(),
            seen_nonces: Mutex::default(),
        }
    }

    /// Signs a request by adding the authentication header.
    pub(crate) fn sign(
        &self,
        now: WallMs,
        method: &Method,
        path: &str,
        headers: &mut HeaderMap,
        body: &Bytes,
    ) {
        let nonce: u128 = rand::rng().random();
        let signed = signed_bytes(now.0, nonce, method, path, headers, body);
        let tag = compute_tag(&self.key, &signed).finalize().into_bytes();
        let value = format!("{}.{nonce:032x}.{}", now.0, to_hex(&tag));
        headers.insert(PEER_AUTH, header_value(&value));
    }

    /// Verifies the authentication header of a request.
    pub(crate) fn check(
        &self,
        now: WallMs,
        method: &Method,
        path: &str,
        headers: &HeaderMap,
        body: &Bytes,
    ) -> Result<(), AuthRefusal> {
        let (time_ms, nonce, tag) = parse_auth_header(headers).ok_or(AuthRefusal::Malformed)?;
        let signed = signed_bytes(time_ms, nonce, method, path, headers, body);
        if !self.accepts(&signed, tag) {
            return Err(AuthRefusal::WrongTag);
        }
        if now.0.abs_diff(time_ms) > SIGNATURE_VALID_MS {
            return Err(AuthRefusal::Stale);
        }
        if !self.seen_nonces.lock().insert(now, nonce) {
            return Err(AuthRefusal::Replayed);
        }
        Ok(())
    }

    fn accepts(&self, signed: &[u8], tag: &str) -> bool {
        let matches_key = |key: &Vec<u8>| {
            let expected = to_hex(&compute_tag(key, signed).finalize().into_bytes());
            bool::from(expected.as_bytes().ct_eq(tag.as_bytes()))
        };
        matches_key(&self.key) || self.also_accepted.iter().any(matches_key)
    }
}

fn compute_tag(key: &[u8], signed: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC accepts keys of any length");
    mac.update(signed);
    mac
}

/// Returns the bytes that the tag covers; the body is included as its digest.
fn signed_bytes(
    time_ms: u64,
    nonce: u128,
    method: &Method,
    path: &str,
    headers: &HeaderMap,
    body: &Bytes,
) -> Vec<u8> {
    let mut signed = Vec::with_capacity(512);
    signed.extend_from_slice(&time_ms.to_be_bytes());
    signed.extend_from_slice(&nonce.to_be_bytes());
    append_text(&mut signed, method.as_str());
    append_text(&mut signed, path);
    for name in &SIGNED_HEADERS {
        append_text(&mut signed, header_text(headers, name).unwrap_or(""));
    }
    signed.extend_from_slice(&Sha256::digest(body));
    signed
}

/// Appends the length of a text and the text, so that different sequences of texts never give the same bytes.
fn append_text(signed: &mut Vec<u8>, text: &str) {
    signed.extend_from_slice(&(text.len() as u64).to_be_bytes());
    signed.extend_from_slice(text.as_bytes());
}

/// Parses the time, nonce and tag of the authentication header.
fn parse_auth_header(headers: &HeaderMap) -> Option<(u64, u128, &str)> {
    let mut parts = header_text(headers, &PEER_AUTH)?.split('.');
    let time_ms = parts.next()?.parse().ok()?;
    let nonce = u128::from_str_radix(parts.next()?, 16).ok()?;
    let tag = parts.next()?;
    parts.next().is_none().then_some((time_ms, nonce, tag))
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

impl SeenNonces {
    /// Records a nonce; returns false when it was recorded before.
    fn insert(&mut self, now: WallMs, nonce: u128) -> bool {
        // A signature is valid from SIGNATURE_VALID_MS before to SIGNATURE_VALID_MS after its time, so its nonce must
        // be remembered for twice that long.
        if now.since_ms(self.rotated_at) > 2 * SIGNATURE_VALID_MS {
            self.previous = std::mem::take(&mut self.current);
            self.rotated_at = now;
        }
        !self.previous.contains(&nonce) && self.current.insert(nonce)
    }
}

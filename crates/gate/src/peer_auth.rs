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
use crate::headers::{text, value_of};

/// A request of another host is accepted this long after it was signed; wall clocks are within 3 s.
const VALID_MS: u64 = 10_000;

/// The headers that are signed, in order.
const SIGNED: [http::HeaderName; 10] = [
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

/// Signs requests to other hosts and checks those of other hosts.
pub(crate) struct PeerAuth {
    key: Vec<u8>,
    also_accepted: Vec<Vec<u8>>,
    seen: Mutex<SeenNonces>,
}

/// The nonces of the last one to two validity periods.
#[derive(Default)]
struct SeenNonces {
    current: FastSet<u128>,
    former: FastSet<u128>,
    turned: WallMs,
}

/// Why a request of another host is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AuthRefusal {
    /// The header is missing or malformed.
    Malformed,
    /// The tag does not match.
    WrongTag,
    /// The request was signed too long ago, or in the future.
    Stale,
    /// The same request was received before.
    Replayed,
}

impl PeerAuth {
    /// Signs with `key`; accepts it and the keys of `also_accepted`.
    pub(crate) fn new(key: &[u8], also_accepted: &[Vec<u8>]) -> Self {
        Self {
            key: key.to_vec(),
            also_accepted: also_accepted.to_vec(),
            seen: Mutex::default(),
        }
    }

    /// Adds the authentication header.
    pub(crate) fn sign(
        &self,
        now: WallMs,
        method: &Method,
        path: &str,
        headers: &mut HeaderMap,
        body: &Bytes,
    ) {
        let nonce: u128 = rand::rng().random();
        let text = signed_text(now.0, nonce, method, path, headers, body);
        let tag = tag_with(&self.key, &text).finalize().into_bytes();
        let value = format!("{}.{nonce:032x}.{}", now.0, to_hex(&tag));
        headers.insert(PEER_AUTH, value_of(&value));
    }

    /// Checks the authentication header.
    pub(crate) fn check(
        &self,
        now: WallMs,
        method: &Method,
        path: &str,
        headers: &HeaderMap,
        body: &Bytes,
    ) -> Result<(), AuthRefusal> {
        let (time_ms, nonce, tag) = parse(headers).ok_or(AuthRefusal::Malformed)?;
        let text = signed_text(time_ms, nonce, method, path, headers, body);
        if !self.accepts(&text, tag) {
            return Err(AuthRefusal::WrongTag);
        }
        if now.0.abs_diff(time_ms) > VALID_MS {
            return Err(AuthRefusal::Stale);
        }
        if !self.seen.lock().insert(now, nonce) {
            return Err(AuthRefusal::Replayed);
        }
        Ok(())
    }

    fn accepts(&self, text: &[u8], tag: &str) -> bool {
        let fits = |key: &Vec<u8>| {
            let expected = to_hex(&tag_with(key, text).finalize().into_bytes());
            bool::from(expected.as_bytes().ct_eq(tag.as_bytes()))
        };
        fits(&self.key) || self.also_accepted.iter().any(fits)
    }
}

fn tag_with(key: &[u8], text: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
    mac.update(text);
    mac
}

/// Returns what the tag covers; the body is covered by its digest.
fn signed_text(
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
    add_text(&mut signed, method.as_str());
    add_text(&mut signed, path);
    for name in &SIGNED {
        add_text(&mut signed, text(headers, name).unwrap_or(""));
    }
    signed.extend_from_slice(&Sha256::digest(body));
    signed
}

/// Adds a text with its length, so that two texts cannot run into each other.
fn add_text(signed: &mut Vec<u8>, text: &str) {
    signed.extend_from_slice(&(text.len() as u64).to_be_bytes());
    signed.extend_from_slice(text.as_bytes());
}

fn parse(headers: &HeaderMap) -> Option<(u64, u128, &str)> {
    let mut parts = text(headers, &PEER_AUTH)?.split('.');
    let time_ms = parts.next()?.parse().ok()?;
    let nonce = u128::from_str_radix(parts.next()?, 16).ok()?;
    let tag = parts.next()?;
    parts.next().is_none().then_some((time_ms, nonce, tag))
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

impl SeenNonces {
    /// Returns false when the nonce was seen before.
    fn insert(&mut self, now: WallMs, nonce: u128) -> bool {
        // A signature is valid from VALID_MS before to VALID_MS after its time.
        if now.since_ms(self.turned) > 2 * VALID_MS {
            self.former = std::mem::take(&mut self.current);
            self.turned = now;
        }
        !self.former.contains(&nonce) && self.current.insert(nonce)
    }
}

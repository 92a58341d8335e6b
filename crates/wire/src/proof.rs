//! Authentication of peers by a shared secret, checked during the handshake of a
//! connection.
//!
//! docs/OPERATIONS.md, "Fleet secrets", describes how a secret is rotated.

use hmac::Mac;
use std::time;

type HmacSha256 = hmac::Hmac<sha2::Sha256>;

/// The maximum difference between the clocks of two hosts; a proof that is older or
/// newer by more is rejected.
const MAX_CLOCK_SKEW: time::Duration = time::Duration::from_secs(30);

/// The HTTP header of the handshake that carries the proof.
pub(crate) const PROOF_HEADER: &str = "x-hornbeampitch-proof";

/// The shared secrets of the fleet. The first one signs proofs; each of them
/// verifies proofs, so that operators can rotate secrets without an outage.
#[derive(Clone)]
pub struct Secrets {
    keys: Vec<Box<[u8]>>,
}

impl Secrets {
    /// Creates a set of secrets, of which the first one signs. An empty set signs
    /// nothing and rejects each proof.
    pub fn new(secrets: impl IntoIterator<Item = String>) -> Self {
        let keys = secrets
            .into_iter()
            .map(|s| s.into_bytes().into_boxed_slice())
            .collect();
        Self { keys }
    }

    /// Signs the time `now`, given as the time since the Unix epoch. Returns `None` if
    /// there is no secret.
    pub fn sign(&self, now: time::Duration) -> Option<Proof> {
        let key = self.keys.first()?;
        let signed_s = now.as_secs();
        let tag = proof_mac(key, signed_s).finalize().into_bytes();
        let tag = tag.iter().map(|b| format!("{b:02x}")).collect();
        Some(Proof { signed_s, tag })
    }

    /// Returns whether the proof was signed with any of the secrets and its time is
    /// within the allowed clock skew of `now`.
    pub fn verify(&self, proof: &Proof, now: time::Duration) -> bool {
        if now.as_secs().abs_diff(proof.signed_s) > MAX_CLOCK_SKEW.as_secs() {
            return false;
        }
        let Some(tag) = proof.tag_bytes() else {
            return false;
        };
        self.keys
            .iter()
            .any(|key| proof_mac(key, proof.signed_s).verify_slice(&tag).is_ok())
    }
}

/// The proof that a peer knows a secret: a time in seconds since the Unix epoch, and
/// its HMAC in hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proof {
    signed_s: u64,
    tag: String,
}

impl Proof {
    /// Parses the value of the header; returns `None` if it does not have the form
    /// `time:tag`.
    pub fn parse(text: &str) -> Option<Self> {
        let (signed_s, tag) = text.split_once(':')?;
        Some(Self {
            signed_s: signed_s.parse().ok()?,
            tag: tag.to_owned(),
        })
    }

    /// Returns the value of the header.
    pub fn header_value(&self) -> String {
        format!("{}:{}", self.signed_s, self.tag)
    }

    fn tag_bytes(&self) -> Option<Vec<u8>> {
        if !self.tag.is_ascii() || !self.tag.len().is_multiple_of(2) {
            return None;
        }
        (0..self.tag.len())
            .step_by(2)
            .map(|i| u8::from_str_radix(&self.tag[i..i + 2], 16).ok())
            .collect()
    }
}

fn proof_mac(key: &[u8], signed_s: u64) -> HmacSha256 {
    let mut mac = HmacSha256::new_from_slice(key).expect("HMAC takes keys of any length");
    mac.update(b"hornbeampitch peer ");
    mac.update(&signed_s.to_be_bytes());
    mac
}

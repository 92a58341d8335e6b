//! Proof that a peer belongs to the fleet, checked before a connection opens.
//!
//! See docs/OPERATIONS.md, "Fleet secrets", for how a secret is rotated.

use hmac::Mac;
use std::time;

type Code = hmac::Hmac<sha2::Sha256>;

/// How far two hosts' clocks may differ before a proof is refused.
const CLOCK_SKEW: time::Duration = time::Duration::from_secs(30);

/// The header that carries a proof in the handshake.
pub(crate) const HEADER: &str = "x-hornbeampitch-proof";

/// The fleet's secrets: the first signs, all are accepted.
///
/// Two secrets stand side by side while operators rotate them.
#[derive(Clone)]
pub struct Secrets {
    all: Vec<Box<[u8]>>,
}

impl Secrets {
    /// Takes the secrets in order of preference; an empty list accepts nobody.
    pub fn new(all: impl IntoIterator<Item = String>) -> Self {
        let all = all
            .into_iter()
            .map(|s| s.into_bytes().into_boxed_slice())
            .collect();
        Self { all }
    }

    /// Signs the moment `now`, given since the Unix epoch.
    pub fn sign(&self, now: time::Duration) -> Option<Proof> {
        let secret = self.all.first()?;
        let at = now.as_secs();
        let tag = code(secret, at).finalize().into_bytes();
        let tag = tag.iter().map(|b| format!("{b:02x}")).collect();
        Some(Proof { at, tag })
    }

    /// Tells whether any secret signed the proof within the allowed skew.
    pub fn verify(&self, proof: &Proof, now: time::Duration) -> bool {
        if now.as_secs().abs_diff(proof.at) > CLOCK_SKEW.as_secs() {
            return false;
        }
        let Some(tag) = proof.bytes() else {
            return false;
        };
        self.all
            .iter()
            .any(|secret| code(secret, proof.at).verify_slice(&tag).is_ok())
    }
}

/// A signed moment, as it travels in the handshake.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proof {
    at: u64,
    tag: String,
}

impl Proof {
    /// Reads the header's text; gives none where it has not the form `at:tag`.
    pub fn parse(text: &str) -> Option<Self> {
        let (at, tag) = text.split_once(':')?;
        Some(Self {
            at: at.parse().ok()?,
            tag: tag.to_owned(),
        })
    }

    /// Writes the header's text.
    pub fn text(&self) -> String {
        format!("{}:{}", self.at, self.tag)
    }

    fn bytes(&self) -> Option<Vec<u8>> {
        if !self.tag.is_ascii() || !self.tag.len().is_multiple_of(2) {
            return None;
        }
        (0..self.tag.len())
            .step_by(2)
            .map(|i| u8::from_str_radix(&self.tag[i..i + 2], 16).ok())
            .collect()
    }
}

fn code(secret: &[u8], at: u64) -> Code {
    let mut code = Code::new_from_slice(secret).expect("HMAC takes keys of any length");
    code.update(b"hornbeampitch peer ");
    code.update(&at.to_be_bytes());
    code
}

//! Callers' keys: made here, kept only as hashes, compared in constant time.

use rand::RngCore;
use sha2::Digest;
use subtle::ConstantTimeEq;
use world::Configuration;
use world::Key;

const PREFIX: &str = "hbp";
const ID_BYTES: usize = 6;
const SECRET_BYTES: usize = 32;
/// Hashed in place of a key that is not known, so that the time tells nothing.
const NOBODY: &str = "0000000000000000000000000000000000000000000000000000000000000000";

/// Why a key gives no access.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum KeyError {
    /// It hasn't the form of a key.
    #[display("the key has not the form of a hornbeampitch key")]
    Malformed,
    /// It was never issued or has been withdrawn.
    #[display("the key is unknown or withdrawn")]
    Unknown,
}

/// A key at the one moment its secret is known.
pub struct IssuedKey {
    /// What the caller presents.
    pub token: String,
    /// What the system keeps.
    pub key: Key,
}

impl IssuedKey {
    /// Makes a key for an organisation.
    pub fn generate(organisation: world::Name, random: &mut impl RngCore) -> Self {
        let mut id = [0; ID_BYTES];
        let mut secret = [0; SECRET_BYTES];
        random.fill_bytes(&mut id);
        random.fill_bytes(&mut secret);
        let id = hex(&id);
        let secret = hex(&secret);
        let key = Key {
            id: id.as_str().into(),
            organisation,
            hash: hash(&secret).into(),
        };
        let token = format!("{PREFIX}_{id}_{secret}");
        Self { token, key }
    }
}

/// Finds the key in force that a caller presents.
pub fn verify_key<'a>(configuration: &'a Configuration, token: &str) -> Result<&'a Key, KeyError> {
    let mut parts = token.splitn(3, '_');
    let (Some(PREFIX), Some(id), Some(secret)) = (parts.next(), parts.next(), parts.next()) else {
        return Err(KeyError::Malformed);
    };
    let key = configuration.key(id);
    let known = key.map_or(NOBODY, |k| &*k.hash);
    let same = hash(secret).as_bytes().ct_eq(known.as_bytes());
    match key {
        Some(key) if bool::from(same) => Ok(key),
        _ => Err(KeyError::Unknown),
    }
}

fn hash(secret: &str) -> String {
    hex(&sha2::Sha256::digest(secret.as_bytes()))
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

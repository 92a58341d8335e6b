//! Issues and verifies callers' keys. A key's secret is stored only as a hash and
//! compared in constant time.

use rand::RngCore;
use sha2::Digest;
use subtle::ConstantTimeEq;
use world::Configuration;
use world::Key;

const TOKEN_PREFIX: &str = "hbp";
const ID_BYTES: usize = 6;
const SECRET_BYTES: usize = 32;
/// Compared in place of an unknown key's hash, so that the time taken does not
/// show whether the id exists.
const DUMMY_HASH: &str = "0000000000000000000000000000000000000000000000000000000000000000";

/// Why a key is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum KeyError {
    /// The text does not have the form of a key.
    #[display("the key has not the form of a hornbeampitch key")]
    Malformed,
    /// The key was never issued, has been withdrawn, or has a wrong secret.
    #[display("the key is unknown or withdrawn")]
    Unknown,
}

/// A newly issued key with its secret, which is not stored anywhere.
pub struct IssuedKey {
    /// The key that the caller presents: `hbp_`, id, `_`, secret.
    pub token: String,
    /// The part that is stored, with a hash of the secret.
    pub key: Key,
}

impl IssuedKey {
    /// Generates a random key for an organisation.
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
        let token = format!("{TOKEN_PREFIX}_{id}_{secret}");
        Self { token, key }
    }
}

/// Returns the key in force that matches a caller's token.
///
/// Fails with [`KeyError::Malformed`] where the token does not have the form of
/// a key, and with [`KeyError::Unknown`] where no key has its id and secret.
pub fn verify_key<'a>(configuration: &'a Configuration, token: &str) -> Result<&'a Key, KeyError> {
    let mut parts = token.splitn(3, '_');
    let (Some(TOKEN_PREFIX), Some(id), Some(secret)) = (parts.next(), parts.next(), parts.next())
    else {
        return Err(KeyError::Malformed);
    };
    let key = configuration.key(id);
    let expected = key.map_or(DUMMY_HASH, |k| &*k.hash);
    let matches = hash(secret).as_bytes().ct_eq(expected.as_bytes());
    match key {
        Some(key) if bool::from(matches) => Ok(key),
        _ => Err(KeyError::Unknown),
    }
}

fn hash(secret: &str) -> String {
    hex(&sha2::Sha256::digest(secret.as_bytes()))
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

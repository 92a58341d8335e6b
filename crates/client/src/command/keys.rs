//! Commands about keys: issue, withdraw and list.

use crate::app::ClientError;
use crate::site::Site;
use conf::IssuedKey;
use std::io;

/// Makes a key for an organisation and shows it this once.
pub(crate) fn issue_key(
    site: &Site,
    organisation: &str,
    out: &mut impl io::Write,
) -> Result<(), ClientError> {
    let issued = IssuedKey::generate(organisation.into(), &mut rand::rng());
    let revision = site.edit(|configuration| {
        if configuration.organisation(organisation).is_none() {
            let text = format!("organisation `{organisation}` is not defined");
            return Err(ClientError::Unknown(text));
        }
        // An edit that is repeated after a lost race adds the key once.
        configuration.keys.retain(|k| k.id != issued.key.id);
        configuration.keys.push(issued.key.clone());
        Ok(())
    })?;
    writeln!(out, "id: {}", issued.key.id)?;
    writeln!(out, "key: {}", issued.token)?;
    site.report_force(revision, out)
}

/// Stops a key.
pub(crate) fn withdraw_key(
    site: &Site,
    id: &str,
    out: &mut impl io::Write,
) -> Result<(), ClientError> {
    let revision = site.edit(|configuration| {
        let before = configuration.keys.len();
        configuration.keys.retain(|k| &*k.id != id);
        if configuration.keys.len() == before {
            return Err(ClientError::Unknown(format!("key `{id}` is not in force")));
        }
        Ok(())
    })?;
    writeln!(out, "key {id} is withdrawn")?;
    site.report_force(revision, out)
}

/// Prints the keys in force.
pub(crate) fn list_keys(site: &Site, out: &mut impl io::Write) -> Result<(), ClientError> {
    for key in &site.stored()?.revised.content.keys {
        writeln!(out, "{} {}", key.id, key.organisation)?;
    }
    Ok(())
}

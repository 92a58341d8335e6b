//! Commands about keys: issue, withdraw and list.

use crate::app::ClientError;
use crate::deployment::Deployment;
use conf::IssuedKey;
use std::io;

/// Issues a key for an organisation and prints it. It is not stored, so it
/// cannot be printed again.
pub(crate) fn issue_key(
    deployment: &Deployment,
    organisation: &str,
    out: &mut impl io::Write,
) -> Result<(), ClientError> {
    let issued = IssuedKey::generate(organisation.into(), &mut rand::rng());
    let revision = deployment.edit(|configuration| {
        if configuration.organisation(organisation).is_none() {
            let text = format!("organisation `{organisation}` is not defined");
            return Err(ClientError::Failed(text));
        }
        // The closure runs again after a conflict with another operator, and must
        // add the key only once.
        configuration.keys.retain(|k| k.id != issued.key.id);
        configuration.keys.push(issued.key.clone());
        Ok(())
    })?;
    writeln!(out, "id: {}", issued.key.id)?;
    writeln!(out, "key: {}", issued.token)?;
    deployment.report_rollout(revision, out)
}

/// Withdraws a key.
pub(crate) fn withdraw_key(
    deployment: &Deployment,
    id: &str,
    out: &mut impl io::Write,
) -> Result<(), ClientError> {
    let revision = deployment.edit(|configuration| {
        let before = configuration.keys.len();
        configuration.keys.retain(|k| &*k.id != id);
        if configuration.keys.len() == before {
            return Err(ClientError::Failed(format!("key `{id}` is not in force")));
        }
        Ok(())
    })?;
    writeln!(out, "key {id} is withdrawn")?;
    deployment.report_rollout(revision, out)
}

/// Prints the keys in force.
pub(crate) fn list_keys(
    deployment: &Deployment,
    out: &mut impl io::Write,
) -> Result<(), ClientError> {
    for key in &deployment.stored()?.current.content.keys {
        writeln!(out, "{} {}", key.id, key.organisation)?;
    }
    Ok(())
}

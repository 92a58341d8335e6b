//! Reads documents from files, reads the configuration from the store, and changes it
//! by compare-and-swap.

use crate::app::ClientError;
use conf::ConfigurationRevision;
use std::fs;
use std::net;
use world::Configuration;

/// Attempts to read and write the configuration before an edit fails because
/// other operators changed it each time.
const MAX_EDIT_ATTEMPTS: u32 = 8;

/// Access to a deployment: its store, the address of its host list, and the
/// secrets that authenticate the client to its processes.
pub(crate) struct Deployment {
    pub store: store::Client,
    pub hosts: net::SocketAddr,
    pub secrets: wire::Secrets,
}

/// The stored configuration, with the store's revision of its key, which a
/// compare-and-swap expects; 0 if the key does not exist.
pub(crate) struct StoredConfiguration {
    pub current: ConfigurationRevision,
    pub store_revision: u64,
}

impl Deployment {
    /// Reads the client's settings file. Fails if no path is given, or if the file
    /// cannot be read or is invalid.
    pub(crate) fn from_file(path: Option<&str>) -> Result<Self, ClientError> {
        let path = path.ok_or_else(|| {
            ClientError::Usage("give the settings file with -s or HORNBEAMPITCH_SETTINGS".into())
        })?;
        let text = read_file(path)?;
        let settings = conf::ClientSettings::parse(path, &text)?;
        Ok(Self {
            store: store::Client::new(settings.store),
            hosts: settings.hosts,
            secrets: wire::Secrets::new(settings.secrets),
        })
    }

    /// Reads the configuration from the store; an empty one of revision 0 if none
    /// has been stored.
    pub(crate) fn stored(&self) -> Result<StoredConfiguration, ClientError> {
        let Some(found) = self.store.get(store::CONFIG_KEY)? else {
            return Ok(StoredConfiguration {
                current: ConfigurationRevision {
                    revision: 0,
                    content: Configuration::default(),
                    writer: String::new(),
                },
                store_revision: 0,
            });
        };
        Ok(StoredConfiguration {
            current: decode(&found.value)?,
            store_revision: found.revision,
        })
    }

    /// Writes the next revision and returns its number. Fails with
    /// [`ClientError::Conflict`] if the stored configuration is no longer `old`.
    pub(crate) fn replace(
        &self,
        old: &StoredConfiguration,
        content: Configuration,
    ) -> Result<u64, ClientError> {
        let next = ConfigurationRevision {
            revision: old.current.revision + 1,
            content,
            writer: format!("{:016x}", rand::random::<u64>()),
        };
        let value =
            serde_json::to_vec(&next).map_err(|e| store::StoreError::Refused(e.to_string()))?;
        match self.store.compare_and_swap_confirmed(
            store::CONFIG_KEY,
            old.store_revision,
            &value,
        )? {
            store::SwapResult::Written(_) => Ok(next.revision),
            store::SwapResult::Conflict(Some(found)) => {
                Err(ClientError::Conflict(decode(&found.value)?.revision))
            }
            store::SwapResult::Conflict(None) => Err(ClientError::Conflict(0)),
        }
    }

    /// Applies a change to the stored configuration and returns the new revision.
    /// After a conflict with another operator, it reads the configuration again
    /// and applies the change again, so the change must not depend on the first
    /// attempt.
    pub(crate) fn edit(
        &self,
        change: impl Fn(&mut Configuration) -> Result<(), ClientError>,
    ) -> Result<u64, ClientError> {
        let mut attempts = 0;
        loop {
            let stored = self.stored()?;
            let mut content = stored.current.content.clone();
            change(&mut content)?;
            attempts += 1;
            match self.replace(&stored, content) {
                Err(ClientError::Conflict(_)) if attempts < MAX_EDIT_ATTEMPTS => {}
                other => return other,
            }
        }
    }
}

fn decode(value: &[u8]) -> Result<ConfigurationRevision, ClientError> {
    serde_json::from_slice(value).map_err(|e| {
        store::StoreError::Refused(format!("the stored configuration cannot be decoded: {e}"))
            .into()
    })
}

/// Reads and parses documents from files as one set.
pub(crate) fn read_documents(paths: &[String]) -> Result<Configuration, ClientError> {
    let texts: Vec<String> = paths
        .iter()
        .map(|path| read_file(path))
        .collect::<Result<_, _>>()?;
    let sources: Vec<(&str, &str)> = paths
        .iter()
        .map(String::as_str)
        .zip(texts.iter().map(String::as_str))
        .collect();
    Ok(conf::parse_documents(&sources)?)
}

fn read_file(path: &str) -> Result<String, ClientError> {
    fs::read_to_string(path).map_err(|source| ClientError::Read {
        path: path.to_owned(),
        source,
    })
}

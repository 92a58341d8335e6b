//! The configuration in the store, read and changed by compare-and-swap.

use crate::app::ClientError;
use conf::ConfigurationRevision;
use std::fs;
use std::net;
use world::Configuration;

/// Rounds of reading and writing before an edit gives way to others.
const EDIT_TRIES: u32 = 8;

/// Where the store and the host list are, and how to prove oneself to peers.
pub(crate) struct Site {
    pub store: store::Client,
    pub hosts: net::SocketAddr,
    pub secrets: wire::Secrets,
}

/// The configuration in the store, with the store's revision of it.
pub(crate) struct Stored {
    pub revised: ConfigurationRevision,
    pub at: u64,
}

impl Site {
    /// Reads the client's settings file.
    pub(crate) fn read_file(path: Option<&str>) -> Result<Self, ClientError> {
        let path = path.ok_or_else(|| {
            ClientError::Usage("name the settings with -s or HORNBEAMPITCH_SETTINGS".into())
        })?;
        let text = read_file(path)?;
        let settings = conf::ClientSettings::parse(path, &text)?;
        Ok(Self {
            store: store::Client::new(settings.store),
            hosts: settings.hosts,
            secrets: wire::Secrets::new(settings.secrets),
        })
    }

    /// Reads the configuration in the store; an empty one before the first.
    pub(crate) fn stored(&self) -> Result<Stored, ClientError> {
        let Some(found) = self.store.get(store::CONFIG_KEY)? else {
            return Ok(Stored {
                revised: ConfigurationRevision {
                    revision: 0,
                    content: Configuration::default(),
                    writer: String::new(),
                },
                at: 0,
            });
        };
        Ok(Stored {
            revised: decode(&found.value)?,
            at: found.revision,
        })
    }

    /// Writes the next configuration unless somebody else was faster.
    pub(crate) fn replace(&self, old: &Stored, content: Configuration) -> Result<u64, ClientError> {
        let next = ConfigurationRevision {
            revision: old.revised.revision + 1,
            content,
            writer: format!("{:016x}", rand::random::<u64>()),
        };
        let value =
            serde_json::to_vec(&next).map_err(|e| store::StoreError::Refused(e.to_string()))?;
        match self
            .store
            .compare_and_swap_confirmed(store::CONFIG_KEY, old.at, &value)?
        {
            store::SwapResult::Written(_) => Ok(next.revision),
            store::SwapResult::Conflict(Some(now)) => {
                Err(ClientError::Overtaken(decode(&now.value)?.revision))
            }
            store::SwapResult::Conflict(None) => Err(ClientError::Overtaken(0)),
        }
    }

    /// Makes a small change on top of whatever stands, however operators race.
    pub(crate) fn edit(
        &self,
        change: impl Fn(&mut Configuration) -> Result<(), ClientError>,
    ) -> Result<u64, ClientError> {
        let mut tries = 0;
        loop {
            let stored = self.stored()?;
            let mut content = stored.revised.content.clone();
            change(&mut content)?;
            tries += 1;
            match self.replace(&stored, content) {
                Err(ClientError::Overtaken(_)) if tries < EDIT_TRIES => {}
                other => return other,
            }
        }
    }
}

fn decode(value: &[u8]) -> Result<ConfigurationRevision, ClientError> {
    serde_json::from_slice(value)
        .map_err(|e| store::StoreError::Refused(format!("the stored configuration: {e}")).into())
}

/// Reads documents from files as one set.
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

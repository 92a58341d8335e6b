//! A waiting watch of one key, read line by line.

use crate::client;
use crate::client::VersionedValue;
use crate::errors::StoreError;
use crate::message;
use std::io;
use std::io::BufRead;
use std::time;

const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);
const SEND_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// A watch that is silent so long is opened anew, in case its peer is gone.
const SILENCE: time::Duration = time::Duration::from_secs(20);

/// An open watch; counts as one call while it waits.
pub struct Watch {
    lines: io::BufReader<ureq::BodyReader<'static>>,
}

impl Watch {
    pub(crate) fn open(base: &str, key: &str, after: u64) -> Result<Self, StoreError> {
        metrics::counter!("hornbeampitch_store_calls_total", "call" => "watch").increment(1);
        let request = message::WatchRequest {
            create_request: message::WatchCreate {
                key: message::encode(key.as_bytes()),
                start_revision: (after + 1).to_string(),
            },
        };
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_recv_response(Some(SEND_TIMEOUT))
            .timeout_per_read(Some(SILENCE))
            .http_status_as_error(false)
            .build()
            .new_agent();
        let response = agent
            .post(format!("{base}/v3/watch"))
            .send_json(&request)
            .map_err(client::sort_error)?;
        if response.status() != 200 {
            return Err(StoreError::Refused(format!("status {}", response.status())));
        }
        let reader = response
            .into_body()
            .into_with_config()
            .limit(u64::MAX)
            .reader();
        Ok(Self {
            lines: io::BufReader::new(reader),
        })
    }

    /// Blocks until the key changes; fails where the store has gone.
    pub fn next_change(&mut self) -> Result<VersionedValue, StoreError> {
        loop {
            let mut line = String::new();
            let read = self.lines.read_line(&mut line);
            match read {
                Ok(0) => return Err(StoreError::ResponseLost("the watch was closed".into())),
                Ok(_) => {}
                Err(error) => return Err(StoreError::ResponseLost(error.to_string())),
            }
            if let Some(found) = read_event(&line)? {
                return Ok(found);
            }
        }
    }
}

fn read_event(line: &str) -> Result<Option<VersionedValue>, StoreError> {
    let response: message::WatchResponse =
        serde_json::from_str(line).map_err(|e| StoreError::Refused(e.to_string()))?;
    let Some(event) = response.result.events.into_iter().next_back() else {
        return Ok(None);
    };
    let value = message::decode(&event.kv.value)
        .ok_or_else(|| StoreError::Refused("a value that is not base64".into()))?;
    Ok(Some(VersionedValue {
        revision: event.kv.mod_revision.0,
        value,
    }))
}

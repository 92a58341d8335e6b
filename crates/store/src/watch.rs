//! Watch on one key, whose events arrive as lines of JSON.

use crate::client;
use crate::client::VersionedValue;
use crate::errors::StoreError;
use crate::message;
use std::io;
use std::io::BufRead;
use std::time;

/// The timeout for opening a connection to the store.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// The timeout for the head of the response.
const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// A watch without events for this long fails, so that the caller opens it again
/// in case the store was lost.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// An open watch. It counts as one store call in the metrics and is not rate
/// limited.
pub struct Watch {
    lines: io::BufReader<ureq::BodyReader<'static>>,
}

impl Watch {
    pub(crate) fn open(base_url: &str, key: &str, after: u64) -> Result<Self, StoreError> {
        metrics::counter!("hornbeampitch_store_calls_total", "call" => "watch").increment(1);
        let request = message::WatchRequest {
            create_request: message::WatchCreate {
                key: message::encode(key.as_bytes()),
                start_revision: (after + 1).to_string(),
            },
        };
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_recv_response(Some(RESPONSE_TIMEOUT))
            .timeout_per_read(Some(IDLE_TIMEOUT))
            .http_status_as_error(false)
            .build()
            .new_agent();
        let response = agent
            .post(format!("{base_url}/v3/watch"))
            .send_json(&request)
            .map_err(client::classify_error)?;
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

    /// Blocks until the key changes and returns its latest value. Fails if the
    /// connection to the store is lost or silent.
    pub fn next_change(&mut self) -> Result<VersionedValue, StoreError> {
        loop {
            let mut line = String::new();
            let result = self.lines.read_line(&mut line);
            match result {
                Ok(0) => return Err(StoreError::ResponseLost("the watch was closed".into())),
                Ok(_) => {}
                Err(error) => return Err(StoreError::ResponseLost(error.to_string())),
            }
            if let Some(value) = parse_event(&line)? {
                return Ok(value);
            }
        }
    }
}

/// Returns the value of the last event in a line; `None` if the line has no events.
fn parse_event(line: &str) -> Result<Option<VersionedValue>, StoreError> {
    let response: message::WatchResponse =
        serde_json::from_str(line).map_err(|e| StoreError::Refused(e.to_string()))?;
    let Some(event) = response.result.events.into_iter().next_back() else {
        return Ok(None);
    };
    let value = message::decode(&event.kv.value)
        .ok_or_else(|| StoreError::Refused("the value is not valid base64".into()))?;
    Ok(Some(VersionedValue {
        revision: event.kv.mod_revision.0,
        value,
    }))
}

//! Calls to a plain service, with method, path, status and body kept.

use std::net;
use std::time;

const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Most bytes of an answer that are relayed.
const ANSWER_BYTES: u64 = 8 * 1024 * 1024;

/// A header's name and value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// The name, in lower case.
    pub name: String,
    /// The value.
    pub value: String,
}

/// One call.
#[derive(Clone, Debug)]
pub struct ServiceRequest {
    /// The method's word.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers that the service may see.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Vec<u8>,
    /// Most time for the whole call.
    pub timeout: time::Duration,
}

/// The service's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceResponse {
    /// The status code.
    pub status: u16,
    /// Headers.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Vec<u8>,
}

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum ServiceError {
    /// No connection was made, so the service did not see the call.
    #[display("the service did not see the call: {_0}")]
    NotSent(#[error(not(source))] String),
    /// The service may have run the call.
    #[display("the call's outcome is unknown: {_0}")]
    OutcomeUnknown(#[error(not(source))] String),
}

/// A client of one service.
#[derive(Clone)]
pub struct ServiceClient {
    agent: ureq::Agent,
    base: String,
}

impl ServiceClient {
    /// Makes a client. Connections are not kept: on a kept one that has been
    /// closed, a call that never ran cannot be told from one that did.
    pub fn new(address: net::SocketAddr) -> Self {
        let agent = ureq::Agent::config_builder()
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .http_status_as_error(false)
            .max_redirects(0)
            .max_idle_connections(0)
            .allow_non_standard_methods(true)
            .no_delay(true)
            .build()
            .new_agent();
        Self {
            agent,
            base: format!("http://{address}"),
        }
    }

    /// Makes one call, once.
    pub fn call(&self, call: &ServiceRequest) -> Result<ServiceResponse, ServiceError> {
        let mut request = ureq::http::Request::builder()
            .method(call.method.as_str())
            .uri(format!("{}{}", self.base, call.path));
        for field in &call.headers {
            request = request.header(&field.name, &field.value);
        }
        let request = request
            .body(call.body.as_slice())
            .map_err(|e| ServiceError::NotSent(e.to_string()))?;
        let request = self
            .agent
            .configure_request(request)
            .timeout_global(Some(call.timeout))
            .build();
        let mut response = self.agent.run(request).map_err(sort_error)?;
        let headers = response
            .headers()
            .iter()
            .filter_map(|(name, value)| {
                Some(Header {
                    name: name.as_str().to_owned(),
                    value: value.to_str().ok()?.to_owned(),
                })
            })
            .collect();
        let status = response.status().as_u16();
        let body = response
            .body_mut()
            .with_config()
            .limit(ANSWER_BYTES)
            .read_to_vec()
            .map_err(|e| ServiceError::OutcomeUnknown(e.to_string()))?;
        Ok(ServiceResponse {
            status,
            headers,
            body,
        })
    }
}

fn sort_error(error: ureq::Error) -> ServiceError {
    let text = error.to_string();
    match error {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::BadUri(_)
        | ureq::Error::Timeout(ureq::Timeout::Connect) => ServiceError::NotSent(text),
        ureq::Error::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            ServiceError::NotSent(text)
        }
        _ => ServiceError::OutcomeUnknown(text),
    }
}

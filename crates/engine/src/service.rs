//! Client of a plain HTTP service, which relays the method, the path, the status and
//! the body unchanged.

use std::net;
use std::time;

/// The timeout for opening a connection to the service.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// The maximum size of a response's body; a longer one is an error.
const MAX_RESPONSE_BYTES: u64 = 8 * 1024 * 1024;

/// One HTTP header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// The name of the header, in lower case.
    pub name: String,
    /// The value of the header.
    pub value: String,
}

/// One call of the service.
#[derive(Clone, Debug)]
pub struct ServiceRequest {
    /// The HTTP method.
    pub method: String,
    /// The path and the query.
    pub path: String,
    /// The headers to send.
    pub headers: Vec<Header>,
    /// The bytes of the body.
    pub body: Vec<u8>,
    /// The timeout of the whole call.
    pub timeout: time::Duration,
}

/// The service's response to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The headers whose values are text.
    pub headers: Vec<Header>,
    /// The bytes of the body.
    pub body: Vec<u8>,
}

/// Why a call got no response.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum ServiceError {
    /// No connection was made, so the service did not see the call.
    #[display("the service did not see the call: {_0}")]
    NotSent(#[error(not(source))] String),
    /// The service may have run the call.
    #[display("the call's outcome is unknown: {_0}")]
    OutcomeUnknown(#[error(not(source))] String),
}

/// An HTTP client of one service.
#[derive(Clone)]
pub struct ServiceClient {
    agent: ureq::Agent,
    base_url: String,
}

impl ServiceClient {
    /// Creates a client without a connection pool: when a pooled connection
    /// turns out to be closed, a call that never ran can't be told from one
    /// that did.
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
            base_url: format!("http://{address}"),
        }
    }

    /// Makes a call without retrying it.
    pub fn call(&self, call: &ServiceRequest) -> Result<ServiceResponse, ServiceError> {
        let mut request = ureq::http::Request::builder()
            .method(call.method.as_str())
            .uri(format!("{}{}", self.base_url, call.path));
        for header in &call.headers {
            request = request.header(&header.name, &header.value);
        }
        let request = request
            .body(call.body.as_slice())
            .map_err(|e| ServiceError::NotSent(e.to_string()))?;
        let request = self
            .agent
            .configure_request(request)
            .timeout_global(Some(call.timeout))
            .build();
        let mut response = self.agent.run(request).map_err(classify_error)?;
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
            .limit(MAX_RESPONSE_BYTES)
            .read_to_vec()
            .map_err(|e| ServiceError::OutcomeUnknown(e.to_string()))?;
        Ok(ServiceResponse {
            status,
            headers,
            body,
        })
    }
}

/// Maps an error to [`ServiceError::NotSent`] if the service can't have seen the call,
/// and otherwise to [`ServiceError::OutcomeUnknown`].
fn classify_error(error: ureq::Error) -> ServiceError {
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

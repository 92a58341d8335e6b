//! HTTP client of the span exporter, built on the project's blocking HTTP library.

use opentelemetry_http::HttpError;
use std::time;

/// The timeout for sending one batch of spans.
const SEND_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// The HTTP client that sends spans to the collector.
#[derive(Clone, Debug)]
pub(crate) struct ExportClient {
    agent: ureq::Agent,
}

impl ExportClient {
    pub(crate) fn new() -> Self {
        let agent = ureq::Agent::config_builder()
            .timeout_global(Some(SEND_TIMEOUT))
            .http_status_as_error(false)
            .build()
            .new_agent();
        Self { agent }
    }
}

#[async_trait::async_trait]
impl opentelemetry_http::HttpClient for ExportClient {
    async fn send_bytes(
        &self,
        request: http::Request<bytes::Bytes>,
    ) -> Result<http::Response<bytes::Bytes>, HttpError> {
        let request = request.map(|body| body.to_vec());
        // The exporter runs on its own thread, so a blocking call is safe here.
        let response = self.agent.run(request)?;
        let (head, mut body) = response.into_parts();
        let bytes = body.read_to_vec()?;
        Ok(http::Response::from_parts(head, bytes.into()))
    }
}

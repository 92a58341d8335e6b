//! HTTP/1 server with unbuffered streams and graceful shutdown, and a client with
//! pooled connections.
//!
//! Both use `hyper`; docs/LIBRARIES.md has the measurement against `astra`.

mod body;
mod caller_stream;
mod client;
mod client_response;
mod connection;
mod head_gate;
mod heads;
mod server;

pub use body::{Body, BodySender, CollectedBody, ReadError};
pub use body::{body_channel, collect_chunks, collect_held_chunks, collected_capacity};
pub use body::{discard_body, full_body, next_data, read_body};
pub use client::{
    CONNECT_TIMEOUT, CallError, Client, FullBody, MAX_BUFFER_BYTES, MAX_UNREAD_BYTES,
};
pub use client_response::{BodyError, ClientResponse};
pub use connection::CallerConnection;
pub use heads::has_joined_heads;
pub use hyper::body::Incoming;
pub use hyper::http::request::Parts;
pub use hyper::{Method, Request, Response, StatusCode, header};
pub use server::{Handler, Server};

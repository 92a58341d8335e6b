//! HTTP towards callers: a server whose streams leave as they come and whose
//! stop cuts off nobody.
//!
//! Why this is `hyper` and not `astra` is told, with the measurement, in
//! docs/LIBRARIES.md.

mod body;
mod client;
mod server;

pub use body::{Body, BodySender, body_channel, discard_body, full_body, read_body};
pub use client::{CONNECT_TIMEOUT, CallError, Client, ClientResponse, FullBody};
pub use hyper::body::Incoming;
pub use hyper::http::request::Parts;
pub use hyper::{Method, Request, Response, StatusCode, header};
pub use server::{Handler, Server};

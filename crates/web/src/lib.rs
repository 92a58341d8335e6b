//! HTTP towards callers: a server whose streams leave as they come and whose
//! stop cuts off nobody.
//!
//! Why this is `hyper` and not `astra` is told, with the measurement, in
//! docs/LIBRARIES.md.

mod body;
mod client;
mod server;

pub use body::{Body, Feed, body_channel, discard_body, read_body, whole};
pub use client::{Answer, CONNECT_TIMEOUT, CallFault, Client, Whole};
pub use hyper::body::Incoming;
pub use hyper::http::request::Parts;
pub use hyper::{Method, Request, Response, StatusCode, header};
pub use server::{Handler, Server};

//! Reads calls from a connection without an HTTP library, for stand-ins that answer with
//! bytes which such a library would not send.

use crate::tracks::names;
use std::io;
use std::io::Read;
use std::net;

/// A call as its head names it.
pub struct RawCall {
    /// Path and query.
    pub path: String,
    /// Id of the caller's request; empty for other calls.
    pub id: String,
    /// Lines of the head, in lower case.
    head: String,
}

impl RawCall {
    /// Reads one call with its body, which needs a length; `None` if the caller has closed
    /// the connection.
    pub fn read(stream: &mut net::TcpStream) -> io::Result<Option<Self>> {
        let call = Self::read_head(stream)?;
        call.map(|c| c.read_body(stream)).transpose()
    }

    /// Reads the head of a call; `None` if the caller has closed the connection.
    pub(super) fn read_head(stream: &mut net::TcpStream) -> io::Result<Option<Self>> {
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            if stream.read(&mut byte)? == 0 {
                return Ok(None);
            }
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).to_lowercase();
        let mut call = Self {
            path: head.split(' ').nth(1).unwrap_or_default().to_owned(),
            id: String::new(),
            head,
        };
        call.id = call.header(names::REQUEST_ID).to_owned();
        Ok(Some(call))
    }

    /// Reads the body that follows the head.
    pub(super) fn read_body(self, stream: &mut net::TcpStream) -> io::Result<Self> {
        let length = self.header("content-length").parse().unwrap_or(0);
        stream.read_exact(&mut vec![0; length])?;
        Ok(self)
    }

    /// Returns the value of a header in lower case; empty if the call has none.
    pub fn header(&self, name: &str) -> &str {
        let line = self.head.lines().find_map(|l| l.strip_prefix(name));
        let value = line.unwrap_or_default().trim_start_matches(':');
        value.trim()
    }
}

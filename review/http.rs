//! Minimal HTTP/1.1 on blocking sockets: reads heads and bodies, and writes answers.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

/// Largest head that is read.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// The head of a request or an answer, with its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line without its line end.
    pub start: String,
    /// Names in lower case and values, in their order.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header's value; empty without the header.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, v)| v)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// Returns path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of an answer; 0 if it has none.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        let ahead = Vec::new();
        Self { stream, ahead }
    }

    /// Reads some bytes, those that were read ahead first; none at the end.
    pub fn read_some(&mut self) -> io::Result<Vec<u8>> {
        if !self.ahead.is_empty() {
            return Ok(std::mem::take(&mut self.ahead));
        }
        let mut buffer = vec![0; 16 * 1024];
        let count = self.stream.read(&mut buffer)?;
        buffer.truncate(count);
        Ok(buffer)
    }

    /// Reads a head; `None` if the peer has closed the connection before it.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let mut bytes = Vec::new();
        let end = loop {
            if let Some(at) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            if bytes.len() > MAX_HEAD_BYTES {
                return Err(io::ErrorKind::InvalidData.into());
            }
            let more = self.read_some()?;
            if more.is_empty() {
                return match bytes.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
            bytes.extend(more);
        };
        self.ahead = bytes[end + 4..].to_vec();
        let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
        let mut lines = text.split("\r\n");
        let start = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|l| l.split_once(':'));
        let headers = headers.map(|(n, v)| (n.trim().to_lowercase(), v.trim().to_owned()));
        let headers = headers.collect();
        Ok(Some(Message {
            start,
            headers,
            body: Vec::new(),
        }))
    }

    fn read_exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        if length == 0 {
            return Ok(Vec::new());
        }
        let mut bytes = Vec::with_capacity(length);
        while bytes.len() < length {
            let more = self.read_some()?;
            if more.is_empty() {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            bytes.extend(more);
        }
        self.ahead = bytes.split_off(length);
        Ok(bytes)
    }

    fn read_line(&mut self) -> io::Result<String> {
        let mut line = Vec::new();
        loop {
            let byte = self.read_exact(1)?[0];
            if byte == b'\n' {
                return Ok(String::from_utf8_lossy(&line).trim().to_owned());
            }
            line.push(byte);
        }
    }

    /// Reads the next chunk of a chunked body; `None` behind the last one.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.read_line()?;
        let length = usize::from_str_radix(line.split(';').next().unwrap_or(""), 16);
        let length = length.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let chunk = self.read_exact(length)?;
        self.read_line()?;
        Ok(Some(chunk).filter(|c| !c.is_empty()))
    }

    /// Reads the body that belongs to a head. Returns what was read and whether it is whole.
    pub fn read_body(&mut self, head: &Message) -> (Vec<u8>, bool) {
        let mut body = Vec::new();
        if head
            .header("transfer-encoding")
            .eq_ignore_ascii_case("chunked")
        {
            loop {
                match self.read_chunk() {
                    Ok(Some(chunk)) => body.extend(chunk),
                    Ok(None) => return (body, true),
                    Err(_) => return (body, false),
                }
            }
        }
        let length = head.header("content-length").parse().unwrap_or(0);
        match self.read_exact(length) {
            Ok(bytes) => (bytes, true),
            Err(_) => (body, false),
        }
    }

    /// Reads a whole request; `None` at the end of the connection.
    pub fn read_request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut head) = self.read_head()? else {
            return Ok(None);
        };
        let (body, is_whole) = self.read_body(&head);
        if !is_whole {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        head.body = body;
        Ok(Some(head))
    }

    /// Writes an answer with a length.
    pub fn write_answer(&mut self, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
        let length = body.len();
        let head = format!("HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }

    /// Returns whether the peer has closed the connection, as far as is known here.
    pub fn is_closed(&mut self) -> bool {
        let mut byte = [0];
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

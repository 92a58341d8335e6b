//! Caller on a kept connection that records how each of its requests ended.

use crate::tracks::names;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net;
use std::thread;
use std::time;

/// Receive buffer of a slow caller in bytes.
const SLOW_BUFFER_BYTES: usize = 16 * 1024;
/// Bytes that a caller reads at once.
const READ_BYTES: usize = 16 * 1024;

/// A connection to an entry that is kept between requests.
pub struct KeptCaller {
    stream: net::TcpStream,
    /// Pause before an answer is read.
    read_pause: time::Duration,
}

/// A request as the caller sends it.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// Id of the request.
    pub id: String,
    /// How long the caller waits for the next bytes.
    pub patience: time::Duration,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// With a whole answer.
    Whole,
    /// The connection ended with no byte of an answer.
    NoAnswer,
    /// The connection ended inside the answer.
    Cut,
    /// The caller got no bytes for so long that it gave up.
    GaveUp,
}

/// What the caller knows about a request that has ended.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// When its last byte had been written.
    pub sent_at: time::Instant,
    /// When it ended.
    pub ended_at: time::Instant,
    /// How it ended.
    pub end: CallEnd,
    /// HTTP status; 0 without a head.
    pub status: u16,
    /// Body as far as it was received, without its framing.
    pub body: String,
    /// Whether the connection may be used again.
    pub is_kept: bool,
}

impl KeptCaller {
    /// Connects to an entry.
    pub fn connect(address: net::SocketAddr) -> io::Result<Self> {
        let stream = net::TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            read_pause: time::Duration::ZERO,
        })
    }

    /// Connects to an entry with a small receive buffer, and pauses before it reads an answer.
    pub fn connect_slow(address: net::SocketAddr, read_pause: time::Duration) -> io::Result<Self> {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        socket.set_recv_buffer_size(SLOW_BUFFER_BYTES)?;
        socket.connect(&address.into())?;
        Ok(Self {
            stream: socket.into(),
            read_pause,
        })
    }

    /// Returns whether the entry has closed the connection, as far as it is known here.
    pub fn is_closed(&self) -> bool {
        let peek = || {
            self.stream.set_nonblocking(true)?;
            let peeked = self.stream.peek(&mut [0]);
            self.stream.set_nonblocking(false)?;
            peeked
        };
        match peek() {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Sends a request, and reads its answer as far as it comes.
    pub fn call(&mut self, request: &CallerRequest) -> CallRecord {
        self.call_with_body(request, "a prompt")
    }

    /// Sends a request with this body, and reads its answer as far as it comes.
    pub fn call_with_body(&mut self, request: &CallerRequest, body: &str) -> CallRecord {
        let call = format!(
            "{} {} HTTP/1.1\r\nhost: agency.example\r\napi-key: key-a\r\n{}: {}\r\n\
            {}: 8000\r\n{}: m\r\n{}: 1000,100\r\ncontent-length: {}\r\n\r\n{body}",
            request.method,
            request.path,
            names::REQUEST_ID,
            request.id,
            names::DEADLINE_MS,
            names::MODEL,
            names::TOKEN_COUNTS,
            body.len(),
        );
        let written = self.stream.write_all(call.as_bytes());
        let sent_at = time::Instant::now();
        let mut received = Vec::new();
        let end = match written.and_then(|()| self.read_answer(request.patience, &mut received)) {
            Ok(()) => CallEnd::Whole,
            Err(error) => match error.kind() {
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => CallEnd::GaveUp,
                _ if received.is_empty() => CallEnd::NoAnswer,
                _ => CallEnd::Cut,
            },
        };
        let answer = ParsedAnswer::parse(&received);
        CallRecord {
            sent_at,
            ended_at: time::Instant::now(),
            end,
            status: answer.status,
            is_kept: end == CallEnd::Whole && !answer.closes,
            body: String::from_utf8_lossy(&answer.body).into_owned(),
        }
    }

    /// Reads until the answer is whole; an error if the connection ends before that.
    fn read_answer(&mut self, patience: time::Duration, received: &mut Vec<u8>) -> io::Result<()> {
        self.stream.set_read_timeout(Some(patience))?;
        let mut buffer = vec![0; READ_BYTES];
        thread::sleep(self.read_pause);
        while !ParsedAnswer::is_whole(received) {
            match self.stream.read(&mut buffer)? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                count => received.extend_from_slice(&buffer[..count]),
            }
        }
        Ok(())
    }
}

/// An answer with a length or chunks, as far as it was received.
#[derive(Debug, Default)]
struct ParsedAnswer {
    status: u16,
    /// Whether the entry closes the connection after the answer.
    closes: bool,
    body: Vec<u8>,
    /// Whether the body is whole.
    is_whole: bool,
}

impl ParsedAnswer {
    /// Returns whether the bytes are a whole answer.
    fn is_whole(bytes: &[u8]) -> bool {
        let is_chunked = find(bytes, b"\r\n\r\n")
            .is_some_and(|end| find(&bytes[..end], b"transfer-encoding: chunked").is_some());
        // A long body is not parsed anew with each of its chunks.
        (!is_chunked || bytes.ends_with(b"0\r\n\r\n")) && Self::parse(bytes).is_whole
    }

    fn parse(bytes: &[u8]) -> Self {
        let Some(end) = find(bytes, b"\r\n\r\n") else {
            return Self::default();
        };
        let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
        let rest = &bytes[end + 4..];
        let header = |name: &str| {
            head.lines()
                .find_map(|l| l.strip_prefix(name))
                .map(str::trim)
        };
        let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
        let (body, is_whole) = match header("content-length:").and_then(|l| l.parse().ok()) {
            Some(length) => {
                let length: usize = length;
                (
                    rest[..length.min(rest.len())].to_vec(),
                    rest.len() >= length,
                )
            }
            None => join_chunks(rest),
        };
        Self {
            status: status.unwrap_or(0),
            closes: header("connection:") == Some("close"),
            body,
            is_whole,
        }
    }
}

/// Returns the data of chunks, and whether the last one is among them.
fn join_chunks(bytes: &[u8]) -> (Vec<u8>, bool) {
    let mut data = Vec::new();
    let mut rest = bytes;
    while let Some(line_end) = find(rest, b"\r\n") {
        let size = String::from_utf8_lossy(&rest[..line_end]);
        let Ok(size) = usize::from_str_radix(&size, 16) else {
            return (data, false);
        };
        let chunk = &rest[line_end + 2..];
        if chunk.len() < size + 2 {
            data.extend_from_slice(&chunk[..size.min(chunk.len())]);
            return (data, false);
        }
        if size == 0 {
            return (data, true);
        }
        data.extend_from_slice(&chunk[..size]);
        rest = &chunk[size + 2..];
    }
    (data, false)
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

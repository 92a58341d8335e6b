//! A crowd of clients that keep to no limit: they send most of a request and stay.

use crate::tracks::names;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net;
use std::time;

/// Longest wait of a client for the entry to take its bytes.
const WRITE_PATIENCE: time::Duration = time::Duration::from_millis(200);
/// Length of a chunk of a client that sends large ones.
const LARGE_CHUNK_BYTES: usize = 60_000;
/// Number of chunks of a client that sends chunks of one byte.
const SMALL_CHUNKS: usize = 6_000;
/// Length of a head that does not end.
const OPEN_HEAD_BYTES: usize = 60_000;

/// What each client of a crowd sends before it stops and stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unfinished {
    /// A large chunk without its last byte.
    LargeChunk,
    /// Chunks of one byte, without the last chunk.
    SmallChunks,
    /// A body of the longest length that is allowed, without the last chunk.
    LongestBody(usize),
    /// Header lines without end.
    Head,
}

/// Clients whose connections stay open until the crowd is dropped.
pub struct Crowd {
    entry: net::SocketAddr,
    unfinished: Unfinished,
    connections: Vec<Option<net::TcpStream>>,
    /// Number of requests that were begun, for their ids.
    begun: u64,
}

impl Crowd {
    /// Creates a crowd of `count` clients that have not connected yet.
    pub fn new(entry: net::SocketAddr, unfinished: Unfinished, count: usize) -> Self {
        Self {
            entry,
            unfinished,
            connections: (0..count).map(|_| None).collect(),
            begun: 0,
        }
    }

    /// Connects each client that has no connection, or whose connection was closed, and has
    /// it send its request without the end. Clients that the entry does not accept stay away.
    pub fn press(&mut self) {
        for index in 0..self.connections.len() {
            if self.connections[index].as_mut().is_some_and(is_open) {
                continue;
            }
            self.begun += 1;
            let id = format!("c{:015x}", self.begun);
            self.connections[index] = begin(self.entry, &id, self.unfinished).ok();
        }
    }

    /// Returns the number of clients whose connections are open.
    pub fn open_count(&mut self) -> usize {
        let open = self.connections.iter_mut().flatten();
        open.filter_map(|c| is_open(c).then_some(())).count()
    }
}

/// Returns whether the entry has not closed a connection; what it has sent is discarded.
fn is_open(connection: &mut net::TcpStream) -> bool {
    let mut bytes = [0; 1024];
    loop {
        match connection.read(&mut bytes) {
            Ok(0) => return false,
            Ok(_) => {}
            Err(error) => return error.kind() == io::ErrorKind::WouldBlock,
        }
    }
}

/// Connects and sends most of a request. A client whose bytes aren't taken for a while stays
/// as it is.
fn begin(entry: net::SocketAddr, id: &str, unfinished: Unfinished) -> io::Result<net::TcpStream> {
    let mut stream = net::TcpStream::connect_timeout(&entry, WRITE_PATIENCE)?;
    stream.set_write_timeout(Some(WRITE_PATIENCE))?;
    match stream.write_all(&unfinished_request(id, unfinished)) {
        Err(error) if error.kind() != io::ErrorKind::WouldBlock => return Err(error),
        Ok(()) | Err(_) => {}
    }
    stream.set_nonblocking(true)?;
    Ok(stream)
}

fn unfinished_request(id: &str, unfinished: Unfinished) -> Vec<u8> {
    let head = format!(
        "POST /order/crowd HTTP/1.1\r\nhost: agency.example\r\n{}: {id}\r\n{}: 8000\r\n\
        api-key: key-a\r\n",
        names::REQUEST_ID,
        names::DEADLINE_MS,
    );
    let chunked = |body: Vec<u8>| {
        let framing = "transfer-encoding: chunked\r\n\r\n";
        [head.as_bytes(), framing.as_bytes(), &body].concat()
    };
    let chunk = |length: usize, sent: usize| {
        let size = format!("{length:x}\r\n");
        [size.into_bytes(), vec![b'x'; sent]].concat()
    };
    match unfinished {
        Unfinished::LargeChunk => chunked(chunk(LARGE_CHUNK_BYTES, LARGE_CHUNK_BYTES - 1)),
        Unfinished::SmallChunks => chunked(b"1\r\nx\r\n".repeat(SMALL_CHUNKS)),
        Unfinished::LongestBody(length) => chunked(chunk(length, length)),
        Unfinished::Head => {
            let line = format!("x-noise: {}\r\n", "x".repeat(988));
            let lines = line.repeat(OPEN_HEAD_BYTES / line.len());
            [head.as_bytes(), lines.as_bytes()].concat()
        }
    }
}

//! Many clients that keep to no limit, on connections that stay open.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net;
use std::sync;
use std::thread;
use std::time;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(200);
/// Size of a client's send buffer in bytes, which bounds what the kernel holds for a flood.
const SEND_BUFFER_BYTES: usize = 32 * 1024;
/// Pause after a round in which no client could send anything.
const IDLE_PAUSE: time::Duration = time::Duration::from_millis(5);

/// What each client of a flood sends.
#[derive(Clone, Debug)]
pub enum FloodScript {
    /// These bytes, as fast as they are taken. What is sent in return is discarded.
    Once(sync::Arc<[u8]>),
    /// These bytes, and then the piece in each round.
    Trickle(sync::Arc<[u8]>, sync::Arc<[u8]>),
    /// These bytes again and again. What is sent in return is left unread.
    Endless(sync::Arc<[u8]>),
    /// These bytes; so many bytes of what is sent in return are read in each round.
    ReadSlowly(sync::Arc<[u8]>, usize),
}

/// Clients whose connections stay open until the flood is dropped.
pub struct Flood {
    address: net::SocketAddr,
    script: FloodScript,
    clients: Vec<Option<Client>>,
}

struct Client {
    stream: net::TcpStream,
    /// Bytes of the script that were sent.
    sent: usize,
}

impl Flood {
    /// Creates a flood of `count` clients that have not connected yet.
    pub fn new(address: net::SocketAddr, script: FloodScript, count: usize) -> Self {
        Self {
            address,
            script,
            clients: (0..count).map(|_| None).collect(),
        }
    }

    /// Has all clients send for a while. Those whose connections were closed connect again.
    pub fn press(&mut self, duration: time::Duration) {
        let end = time::Instant::now() + duration;
        while time::Instant::now() < end {
            if self.press_once() == 0 {
                thread::sleep(IDLE_PAUSE);
            }
        }
    }

    /// Connects each client that has no connection and sends what is taken at once. Returns the
    /// number of bytes that were sent.
    pub fn press_once(&mut self) -> usize {
        let mut sent = 0;
        for slot in &mut self.clients {
            if slot.is_none() {
                *slot = Client::connect(self.address).ok();
            }
            match slot.as_mut().map(|c| c.press(&self.script)) {
                Some(Ok(count)) => sent += count,
                Some(Err(_)) => *slot = None,
                None => {}
            }
        }
        sent
    }

    /// Returns the number of clients with a connection that was open in the last round.
    pub fn open_count(&self) -> usize {
        self.clients.iter().flatten().count()
    }
}

impl Client {
    fn connect(address: net::SocketAddr) -> io::Result<Self> {
        let stream = net::TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
        socket2::SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES)?;
        stream.set_nonblocking(true)?;
        Ok(Self { stream, sent: 0 })
    }

    /// Sends what is taken at once; fails if the connection has ended.
    fn press(&mut self, script: &FloodScript) -> io::Result<usize> {
        match script {
            FloodScript::Once(bytes) => {
                self.discard_answer()?;
                self.send(bytes)
            }
            FloodScript::Trickle(start, piece) => {
                self.discard_answer()?;
                let sent = self.send(start)?;
                if self.sent < start.len() {
                    return Ok(sent);
                }
                Ok(sent + taken(self.stream.write(piece))?)
            }
            FloodScript::Endless(bytes) => {
                let sent = self.send(bytes)?;
                self.sent %= bytes.len();
                Ok(sent)
            }
            FloodScript::ReadSlowly(bytes, count) => {
                self.read(*count)?;
                self.send(bytes)
            }
        }
    }

    fn send(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.sent == bytes.len() {
            return Ok(0);
        }
        let count = taken(self.stream.write(&bytes[self.sent..]))?;
        self.sent += count;
        Ok(count)
    }

    fn discard_answer(&mut self) -> io::Result<()> {
        while self.read(4 * 1024)? > 0 {}
        Ok(())
    }

    /// Reads and discards up to `count` bytes; fails if the connection has ended.
    fn read(&mut self, count: usize) -> io::Result<usize> {
        match self.stream.read(&mut vec![0; count]) {
            Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
            other => taken(other),
        }
    }
}

/// Returns how many bytes were read or written; 0 if the connection would block.
fn taken(result: io::Result<usize>) -> io::Result<usize> {
    match result {
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(0),
        other => other,
    }
}

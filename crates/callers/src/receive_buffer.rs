//! Sizes of the kernel's receive buffers, which bound the bytes that a process has received and
//! not read.

use std::io;
use std::net;
use std::os::fd::AsFd;

/// Receive buffer of a connection in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiveBuffer {
    /// For heads and short bodies, on all connections from the start.
    Narrow,
    /// For messages of peers and responses of hosts, which may be in another availability zone.
    Medium,
    /// For long bodies, which would take long in a narrow one where the caller is far.
    Wide,
}

impl ReceiveBuffer {
    /// Returns the size that the kernel is asked for.
    const fn size(self) -> usize {
        match self {
            ReceiveBuffer::Narrow => 8 * 1024,
            ReceiveBuffer::Medium => 32 * 1024,
            ReceiveBuffer::Wide => 64 * 1024,
        }
    }

    /// Returns the most that the kernel holds: it takes twice the size, for the state of its
    /// packets.
    pub const fn max_unread(self) -> usize {
        2 * self.size()
    }

    /// Sets the buffer of a connection from now on.
    ///
    /// # Errors
    ///
    /// Fails if the connection has ended.
    pub fn set(self, connection: &impl AsFd) -> io::Result<()> {
        socket2::SockRef::from(connection).set_recv_buffer_size(self.size())
    }
}

/// Binds a listener with `SO_REUSEADDR`, so that its port is free again as soon as the process has
/// ended. Up to `backlog` connections wait to be accepted, each with a narrow receive buffer.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn listen(address: net::SocketAddr, backlog: u32) -> io::Result<net::TcpListener> {
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(address),
        socket2::Type::STREAM,
        Some(socket2::Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    // Connections inherit it before they are accepted.
    ReceiveBuffer::Narrow.set(&socket)?;
    socket.bind(&address.into())?;
    socket.listen(i32::try_from(backlog).unwrap_or(i32::MAX))?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

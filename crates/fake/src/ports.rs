//! Allocates loopback ports that no test program running in parallel uses.

use std::net;
use std::ops;
use std::process;
use std::sync;

/// Ports to allocate from, below the system's range for outgoing connections.
const PORTS: ops::Range<u16> = 10_000..30_000;
/// Number of ports reserved for one test program.
const BLOCK_SIZE: u16 = 1_000;

/// A block of ports reserved for this program.
///
/// Its first port stays bound until the program exits, so that other programs choose
/// other blocks.
struct PortBlock {
    _reservation: net::TcpListener,
    first: u16,
    next_offset: u16,
}

impl PortBlock {
    /// Reserves a free block. The search starts at a block that depends on the process
    /// id, so that programs started together rarely try the same one.
    fn reserve() -> Self {
        let blocks = (PORTS.end - PORTS.start) / BLOCK_SIZE;
        let start = (process::id() % u32::from(blocks)) as u16;
        let reserved = (0..blocks).find_map(|i| {
            let first = PORTS.start + (start + i) % blocks * BLOCK_SIZE;
            let listener = net::TcpListener::bind(loopback(first)).ok()?;
            Some(Self {
                _reservation: listener,
                first,
                next_offset: 1,
            })
        });
        reserved.expect("a block of ports is free")
    }

    /// Returns the address of the next port of the block that can be bound.
    fn next_free(&mut self) -> net::SocketAddr {
        loop {
            let address = loopback(self.first + self.next_offset);
            self.next_offset = self.next_offset % (BLOCK_SIZE - 1) + 1;
            if can_bind(address) {
                return address;
            }
        }
    }
}

/// Returns whether a port is free. The socket of the check does not listen: a process that is
/// being started holds a copy of it for a moment, and a listening one would keep the port.
fn can_bind(address: net::SocketAddr) -> bool {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let bound = socket.and_then(|socket| {
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())
    });
    bound.is_ok()
}

fn loopback(port: u16) -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], port))
}

/// Returns a loopback address whose port is free now and is not allocated by any other
/// test program.
pub fn free_address() -> net::SocketAddr {
    static PORT_BLOCK: sync::Mutex<Option<PortBlock>> = sync::Mutex::new(None);
    let mut block = PORT_BLOCK.lock().expect("the mutex is not poisoned");
    block.get_or_insert_with(PortBlock::reserve).next_free()
}

//! Ports on loopback that no other test program takes.

use std::net;
use std::ops;
use std::process;
use std::sync;

/// Ports below those that the system gives to outgoing connections.
const PORTS: ops::Range<u16> = 10_000..30_000;
/// Ports that one program has to itself.
const SPAN: u16 = 1_000;

/// The ports of this program; its first is held for as long as it lives, so
/// that a program beside it takes others.
struct Span {
    _held: net::TcpListener,
    first: u16,
    next: u16,
}

impl Span {
    /// Takes the first span that is free, beginning at a different one in each
    /// program.
    fn take() -> Self {
        let spans = (PORTS.end - PORTS.start) / SPAN;
        let begin = (process::id() % u32::from(spans)) as u16;
        let taken = (0..spans).find_map(|i| {
            let first = PORTS.start + (begin + i) % spans * SPAN;
            let held = net::TcpListener::bind(loopback(first)).ok()?;
            Some(Self {
                _held: held,
                first,
                next: 1,
            })
        });
        taken.expect("a span of ports is free")
    }

    fn next(&mut self) -> net::SocketAddr {
        loop {
            let address = loopback(self.first + self.next);
            self.next = self.next % (SPAN - 1) + 1;
            if net::TcpListener::bind(address).is_ok() {
                return address;
            }
        }
    }
}

fn loopback(port: u16) -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], port))
}

/// Finds a port that is free now and that nobody else will take.
pub fn free_address() -> net::SocketAddr {
    static SPANS: sync::Mutex<Option<Span>> = sync::Mutex::new(None);
    let mut span = SPANS.lock().expect("no panic holds it");
    span.get_or_insert_with(Span::take).next()
}

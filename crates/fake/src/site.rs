//! A server on a runtime of its own, which can die and come back.

use std::net;
use std::sync;
use std::thread;
use std::time;
use tokio::runtime;
use web::Handler;
use web::Server;

/// Where a stand-in listens; killed by dropping its whole runtime.
pub(crate) struct Site {
    pub address: net::SocketAddr,
    runtime: sync::Mutex<Option<runtime::Runtime>>,
}

impl Site {
    pub(crate) fn start<H: Handler>(address: net::SocketAddr, handler: H) -> Self {
        let (runtime, address) = serve(address, handler);
        Self {
            address,
            runtime: sync::Mutex::new(Some(runtime)),
        }
    }

    /// Closes the port and every connection at once.
    pub(crate) fn kill(&self) {
        let runtime = self.runtime.lock().expect("no panic holds it").take();
        if let Some(runtime) = runtime {
            runtime.shutdown_background();
        }
    }

    /// Tells whether it listens.
    pub(crate) fn runs(&self) -> bool {
        self.runtime.lock().expect("no panic holds it").is_some()
    }

    pub(crate) fn restart<H: Handler>(&self, handler: H) {
        self.kill();
        let (runtime, _) = serve(self.address, handler);
        *self.runtime.lock().expect("no panic holds it") = Some(runtime);
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Tries to bind a port that a killed server may still be letting go.
const BIND_TRIES: u32 = 100;
const BIND_WAIT: time::Duration = time::Duration::from_millis(20);

fn serve<H: Handler>(address: net::SocketAddr, handler: H) -> (runtime::Runtime, net::SocketAddr) {
    let runtime = runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .expect("a runtime can be built");
    let bound = (0..BIND_TRIES).find_map(|_| {
        let bound = net::TcpListener::bind(address).ok();
        if bound.is_none() {
            thread::sleep(BIND_WAIT);
        }
        bound
    });
    let listener = bound.unwrap_or_else(|| panic!("cannot listen on {address}"));
    let guard = runtime.enter();
    let server = Server::start_on(listener, handler).expect("a bound port serves");
    drop(guard);
    let address = server.address;
    // The runtime keeps the accepting task; only its death ends the server.
    std::mem::forget(server);
    (runtime, address)
}

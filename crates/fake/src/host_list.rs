//! Fake of the platform's endpoint that lists all hosts.

use crate::test_server::TestServer;
use std::net;
use std::sync;
use web::Handler;
use world::Host;
use world::HostState;

/// Serves a list of hosts as JSON; a test edits the list.
pub struct HostList {
    server: TestServer,
    hosts: SharedHosts,
}

type SharedHosts = sync::Arc<sync::Mutex<Vec<Host>>>;

impl HostList {
    /// Starts a server whose list is empty.
    pub fn start() -> Self {
        let hosts = SharedHosts::default();
        let server = TestServer::start(
            crate::free_address(),
            ListHandler {
                hosts: hosts.clone(),
            },
        );
        Self { server, hosts }
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address
    }

    /// Adds a host.
    pub fn add(&self, host: Host) {
        self.edit(|hosts| hosts.push(host));
    }

    /// Removes the host of this name, if it is listed.
    pub fn remove(&self, name: &str) {
        self.edit(|hosts| hosts.retain(|h| &*h.name != name));
    }

    /// Sets the state of the host of this name to leaving.
    pub fn mark_leaving(&self, name: &str) {
        self.edit(|hosts| {
            for host in hosts.iter_mut().filter(|h| &*h.name == name) {
                host.state = HostState::Leaving;
            }
        });
    }

    /// Closes the port and all connections.
    pub fn kill(&self) {
        self.server.kill();
    }

    fn edit(&self, change: impl FnOnce(&mut Vec<Host>)) {
        change(&mut self.hosts.lock().expect("the mutex is not poisoned"));
    }
}

struct ListHandler {
    hosts: SharedHosts,
}

impl Handler for ListHandler {
    async fn handle(
        &self,
        _request: web::Request<web::Incoming>,
    ) -> Option<web::Response<web::Body>> {
        let json = {
            let hosts = self.hosts.lock().expect("the mutex is not poisoned");
            serde_json::to_vec(&*hosts).expect("hosts serialize as JSON")
        };
        Some(web::Response::new(web::full_body(json)))
    }
}

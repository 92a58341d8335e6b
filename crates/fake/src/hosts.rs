//! The platform's list of hosts.

use crate::site::Site;
use std::net;
use std::sync;
use web::Handler;
use world::Host;
use world::HostState;

/// A list that a test edits.
pub struct HostList {
    site: Site,
    list: List,
}

type List = sync::Arc<sync::Mutex<Vec<Host>>>;

impl HostList {
    /// Serves an empty list.
    pub fn start() -> Self {
        let list = List::default();
        let site = Site::start(crate::free_address(), Answers { list: list.clone() });
        Self { site, list }
    }

    /// Where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.site.address
    }

    /// Adds a host.
    pub fn add(&self, host: Host) {
        self.edit(|list| list.push(host));
    }

    /// Removes a host.
    pub fn remove(&self, name: &str) {
        self.edit(|list| list.retain(|h| &*h.name != name));
    }

    /// Marks a host as leaving.
    pub fn mark_leaving(&self, name: &str) {
        self.edit(|list| {
            for host in list.iter_mut().filter(|h| &*h.name == name) {
                host.state = HostState::Leaving;
            }
        });
    }

    /// Stops answering.
    pub fn kill(&self) {
        self.site.kill();
    }

    fn edit(&self, change: impl FnOnce(&mut Vec<Host>)) {
        change(&mut self.list.lock().expect("no panic holds it"));
    }
}

struct Answers {
    list: List,
}

impl Handler for Answers {
    async fn handle(
        &self,
        _request: web::Request<web::Incoming>,
    ) -> Option<web::Response<web::Body>> {
        let json = {
            let list = self.list.lock().expect("no panic holds it");
            serde_json::to_vec(&*list).expect("hosts are JSON")
        };
        Some(web::Response::new(web::full_body(json)))
    }
}

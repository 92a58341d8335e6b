//! Counts the hosts at which a request may run, against its route's attempts.
//!
//! Where answers are lost, a stream that goes on elsewhere still runs at the host before. So
//! hosts count over all retries and resumptions of a request.

use world::Name;

/// The hosts at which one request may run.
#[derive(Clone, Debug)]
pub struct RunLimit {
    max_hosts: usize,
    hosts: Vec<Name>,
}

impl RunLimit {
    /// Starts without hosts, for a route with this number of attempts.
    pub fn new(max_attempts: u32) -> Self {
        Self {
            max_hosts: usize::try_from(max_attempts).unwrap_or(usize::MAX),
            hosts: Vec::new(),
        }
    }

    /// Records that a host is sent the request.
    pub fn record_send(&mut self, host: &Name) {
        if !self.hosts.contains(host) {
            self.hosts.push(host.clone());
        }
    }

    /// Records that the request doesn't run at a host: it was refused there, did not arrive,
    /// or the host has ended or is cut off.
    pub fn record_unrun(&mut self, host: &str) {
        self.hosts.retain(|h| &**h != host);
    }

    /// Returns whether the request may be sent to another host.
    pub fn allows_another(&self) -> bool {
        self.hosts.len() < self.max_hosts
    }

    /// Returns the hosts at which the request may run.
    pub fn hosts(&self) -> &[Name] {
        &self.hosts
    }
}

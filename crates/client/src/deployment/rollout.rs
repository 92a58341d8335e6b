//! Asks processes which configuration revision they apply, since a stored revision
//! is not yet in force everywhere.

use crate::app::ClientError;
use crate::deployment::Deployment;
use std::io;
use std::thread;
use std::time;
use tokio::runtime;
use wire::api::PeerClient;
use wire::border;
use world::Host;

/// Timeout for reading the host list.
const HOST_LIST_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Maximum time to connect to a process and get its answer to `hello`.
const HELLO_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Maximum time that the client waits for all live entries to apply a new
/// configuration.
const ROLLOUT_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Time between polls of the processes while waiting.
const ROLLOUT_POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// A listed host with the process on it.
pub(crate) struct Process {
    pub host: Host,
    /// The process's answer to `hello`; `None` if it did not answer in time.
    pub hello: Option<border::Hello>,
}

impl Deployment {
    /// Reads the host list and calls `hello` at the process on each host.
    pub(crate) fn processes(&self) -> Result<Vec<Process>, ClientError> {
        let mut response = ureq::get(format!("http://{}/hosts", self.hosts))
            .config()
            .timeout_global(Some(HOST_LIST_TIMEOUT))
            .build()
            .call()
            .map_err(|e| ClientError::Failed(format!("the host list cannot be read: {e}")))?;
        let hosts: Vec<Host> = response
            .body_mut()
            .read_json()
            .map_err(|e| ClientError::Failed(format!("the host list cannot be decoded: {e}")))?;
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        Ok(runtime.block_on(self.query(hosts)))
    }

    async fn query(&self, hosts: Vec<Host>) -> Vec<Process> {
        let queries: Vec<_> = hosts
            .into_iter()
            .map(|host| {
                let secrets = self.secrets.clone();
                tokio::spawn(async move {
                    let hello = async {
                        let link = wire::connect(host.address, &secrets).await.ok()?;
                        link.hello().await.ok()
                    };
                    let hello = tokio::time::timeout(HELLO_TIMEOUT, hello).await;
                    Process {
                        host,
                        hello: hello.ok().flatten(),
                    }
                })
            })
            .collect();
        let mut processes = Vec::new();
        for query in queries {
            if let Ok(process) = query.await {
                processes.push(process);
            }
        }
        processes
    }

    /// Waits until all live entries apply a revision or the timeout has passed, and
    /// prints how many apply it.
    pub(crate) fn report_rollout(
        &self,
        revision: u64,
        out: &mut impl io::Write,
    ) -> Result<(), ClientError> {
        let deadline = time::Instant::now() + ROLLOUT_TIMEOUT;
        loop {
            let Ok(processes) = self.processes() else {
                writeln!(out, "in force: unknown, since the host list cannot be read")?;
                return Ok(());
            };
            let entries: Vec<&border::Hello> = processes
                .iter()
                .filter_map(|p| p.hello.as_ref())
                .filter(|h| h.role == border::Role::Entry)
                .collect();
            let adopted = entries.iter().filter(|h| h.revision >= revision).count();
            if adopted == entries.len() || time::Instant::now() >= deadline {
                writeln!(
                    out,
                    "revision {revision} is in force in {adopted} of {} live entries",
                    entries.len()
                )?;
                return Ok(());
            }
            thread::sleep(ROLLOUT_POLL_INTERVAL);
        }
    }
}

//! Asks processes what they have in force, since acceptance alone is not enough for an operator.

use crate::app::ClientError;
use crate::site::Site;
use std::io;
use std::thread;
use std::time;
use tokio::runtime;
use wire::api::PeerClient;
use wire::border;
use world::Host;

const LIST_TIMEOUT: time::Duration = time::Duration::from_secs(2);
const HELLO_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// A configuration is in force everywhere within this.
const FORCE_LIMIT: time::Duration = time::Duration::from_secs(5);
const FORCE_LOOK: time::Duration = time::Duration::from_millis(100);

/// A listed host and what its process says, if it answers.
pub(crate) struct Process {
    pub host: Host,
    pub hello: Option<border::Hello>,
}

impl Site {
    /// Asks every listed host's process who it is.
    pub(crate) fn processes(&self) -> Result<Vec<Process>, ClientError> {
        let mut response = ureq::get(format!("http://{}/hosts", self.hosts))
            .config()
            .timeout_global(Some(LIST_TIMEOUT))
            .build()
            .call()
            .map_err(|e| ClientError::Unknown(format!("the host list is not to be had: {e}")))?;
        let hosts: Vec<Host> = response
            .body_mut()
            .read_json()
            .map_err(|e| ClientError::Unknown(format!("the host list is damaged: {e}")))?;
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        Ok(runtime.block_on(self.ask(hosts)))
    }

    async fn ask(&self, hosts: Vec<Host>) -> Vec<Process> {
        let asked: Vec<_> = hosts
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
        for asked in asked {
            if let Ok(process) = asked.await {
                processes.push(process);
            }
        }
        processes
    }

    /// Waits until a revision is in force and says in how many live entries.
    pub(crate) fn report_force(
        &self,
        revision: u64,
        out: &mut impl io::Write,
    ) -> Result<(), ClientError> {
        let end = time::Instant::now() + FORCE_LIMIT;
        loop {
            let Ok(processes) = self.processes() else {
                writeln!(out, "in force: not known, since the host list is out")?;
                return Ok(());
            };
            let entries: Vec<&border::Hello> = processes
                .iter()
                .filter_map(|p| p.hello.as_ref())
                .filter(|h| h.role == border::Role::Entry)
                .collect();
            let adopted = entries.iter().filter(|h| h.revision >= revision).count();
            if adopted == entries.len() || time::Instant::now() >= end {
                writeln!(
                    out,
                    "revision {revision} is in force in {adopted} of {} live entries",
                    entries.len()
                )?;
                return Ok(());
            }
            thread::sleep(FORCE_LOOK);
        }
    }
}

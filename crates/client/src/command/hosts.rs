//! Commands about hosts: drain, undrain and status.

use crate::app::ClientError;
use crate::deployment::Deployment;
use crate::deployment::Process;
use std::io;
use wire::border;

/// Drains a host: it gets no new requests.
pub(crate) fn drain(
    deployment: &Deployment,
    host: &str,
    out: &mut impl io::Write,
) -> Result<(), ClientError> {
    // If the host list cannot be read, the host is drained without this check.
    let processes = deployment.processes();
    if let Ok(processes) = processes
        && !processes.iter().any(|p| &*p.host.name == host)
    {
        let text = format!("host `{host}` is not on the platform's host list");
        return Err(ClientError::Failed(text));
    }
    let revision = deployment.edit(|configuration| {
        if !configuration.drained.iter().any(|d| &**d == host) {
            configuration.drained.push(host.into());
        }
        Ok(())
    })?;
    writeln!(out, "host {host} is drained")?;
    deployment.report_rollout(revision, out)
}

/// Undoes a drain: the host gets requests again.
pub(crate) fn undrain(
    deployment: &Deployment,
    host: &str,
    out: &mut impl io::Write,
) -> Result<(), ClientError> {
    let revision = deployment.edit(|configuration| {
        let before = configuration.drained.len();
        configuration.drained.retain(|d| &**d != host);
        if configuration.drained.len() == before {
            return Err(ClientError::Failed(format!("host `{host}` is not drained")));
        }
        Ok(())
    })?;
    writeln!(out, "host {host} is no longer drained")?;
    deployment.report_rollout(revision, out)
}

/// Prints the stored revision and the state of the process on every listed host.
pub(crate) fn status(deployment: &Deployment, out: &mut impl io::Write) -> Result<(), ClientError> {
    match deployment.stored() {
        Ok(stored) => writeln!(out, "store: revision {}", stored.current.revision)?,
        Err(error) => writeln!(out, "store: {error}")?,
    }
    let mut processes = deployment.processes()?;
    processes.sort_by(|a, b| a.host.name.cmp(&b.host.name));
    for process in &processes {
        writeln!(out, "{}", describe(process))?;
    }
    Ok(())
}

fn describe(process: &Process) -> String {
    let host = &process.host;
    let Some(hello) = &process.hello else {
        return format!("{} zone={} silent", host.name, host.zone);
    };
    let state = match hello.draining {
        true => "draining",
        false => "serving",
    };
    let mut text = format!(
        "{} zone={} role={} {state}",
        host.name, host.zone, hello.role
    );
    match hello.role {
        border::Role::Entry => {
            text += &format!(" revision={} epoch={}", hello.revision, hello.epoch);
        }
        border::Role::Prefill | border::Role::Decode | border::Role::Service => {
            text += &format!(" upstream={}", hello.upstream);
        }
    }
    text
}

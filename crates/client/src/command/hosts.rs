//! Commands about hosts: drain, undrain and status.

use crate::app::ClientError;
use crate::site::Process;
use crate::site::Site;
use std::io;
use wire::border;

/// Gives a host no more work.
pub(crate) fn drain(site: &Site, host: &str, out: &mut impl io::Write) -> Result<(), ClientError> {
    let listed = site.processes();
    if let Ok(listed) = listed
        && !listed.iter().any(|p| &*p.host.name == host)
    {
        let text = format!("host `{host}` is not on the platform's list");
        return Err(ClientError::Unknown(text));
    }
    let revision = site.edit(|configuration| {
        if !configuration.drained.iter().any(|d| &**d == host) {
            configuration.drained.push(host.into());
        }
        Ok(())
    })?;
    writeln!(out, "host {host} gets no more work")?;
    site.report_force(revision, out)
}

/// Gives a host work again.
pub(crate) fn undrain(
    site: &Site,
    host: &str,
    out: &mut impl io::Write,
) -> Result<(), ClientError> {
    let revision = site.edit(|configuration| {
        let before = configuration.drained.len();
        configuration.drained.retain(|d| &**d != host);
        if configuration.drained.len() == before {
            return Err(ClientError::Unknown(format!(
                "host `{host}` is not drained"
            )));
        }
        Ok(())
    })?;
    writeln!(out, "host {host} gets work again")?;
    site.report_force(revision, out)
}

/// Prints every listed process.
pub(crate) fn status(site: &Site, out: &mut impl io::Write) -> Result<(), ClientError> {
    match site.stored() {
        Ok(stored) => writeln!(out, "store: revision {}", stored.revised.revision)?,
        Err(error) => writeln!(out, "store: {error}")?,
    }
    let mut processes = site.processes()?;
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

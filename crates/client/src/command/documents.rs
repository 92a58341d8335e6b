//! Commands about documents: check, diff, apply, show and watch.

use crate::app::ClientError;
use crate::deployment;
use crate::deployment::Deployment;
use std::io;
use world::Configuration;

/// Checks documents without a call of the store.
pub(crate) fn check(files: &[String], out: &mut impl io::Write) -> Result<(), ClientError> {
    let configuration = deployment::read_documents(files)?;
    writeln!(
        out,
        "valid: {} classes, {} organisations, {} upstreams, {} routes",
        configuration.classes.len(),
        configuration.organisations.len(),
        configuration.upstreams.len(),
        configuration.routes.len()
    )?;
    Ok(())
}

/// Prints what `apply` would change.
pub(crate) fn diff(
    deployment: &Deployment,
    files: &[String],
    out: &mut impl io::Write,
) -> Result<(), ClientError> {
    let new = deployment::read_documents(files)?;
    let stored = deployment.stored()?;
    write_diff(&stored.current.content, &new, out)
}

/// Replaces the stored configuration by the documents' one. Drained hosts and the
/// keys of organisations that remain are kept.
pub(crate) fn apply(
    deployment: &Deployment,
    files: &[String],
    out: &mut impl io::Write,
) -> Result<(), ClientError> {
    let mut new = deployment::read_documents(files)?;
    let stored = deployment.stored()?;
    let old = &stored.current.content;
    write_diff(old, &new, out)?;
    let withdrawn = old
        .keys
        .iter()
        .filter(|k| new.organisation(&k.organisation).is_none());
    for key in withdrawn {
        writeln!(
            out,
            "key {} is withdrawn with its organisation {}",
            key.id, key.organisation
        )?;
    }
    new.keys = old
        .keys
        .iter()
        .filter(|k| new.organisation(&k.organisation).is_some())
        .cloned()
        .collect();
    new.drained.clone_from(&old.drained);
    let revision = deployment.replace(&stored, new)?;
    writeln!(out, "revision {revision} is accepted")?;
    deployment.report_rollout(revision, out)
}

/// Prints the stored configuration as documents, which `apply` accepts.
pub(crate) fn show(deployment: &Deployment, out: &mut impl io::Write) -> Result<(), ClientError> {
    let stored = deployment.stored()?;
    writeln!(out, "# revision {}", stored.current.revision)?;
    deployment::write_documents(&stored.current.content, out)?;
    Ok(())
}

/// Prints each new revision and its changes, until `count` revisions have been
/// printed; without a count, until the process is stopped.
pub(crate) fn watch(
    deployment: &Deployment,
    count: Option<u32>,
    out: &mut impl io::Write,
) -> Result<(), ClientError> {
    let mut old = deployment.stored()?;
    writeln!(out, "revision {}", old.current.revision)?;
    let mut remaining = count;
    while remaining != Some(0) {
        let mut watch = deployment
            .store
            .watch(store::CONFIG_KEY, old.store_revision)?;
        watch.next_change()?;
        let new = deployment.stored()?;
        writeln!(out, "revision {}", new.current.revision)?;
        write_diff(&old.current.content, &new.current.content, out)?;
        out.flush()?;
        old = new;
        remaining = remaining.map(|n| n - 1);
    }
    Ok(())
}

fn write_diff(
    old: &Configuration,
    new: &Configuration,
    out: &mut impl io::Write,
) -> Result<(), ClientError> {
    let mut changes = Vec::new();
    list_changes(
        "class",
        &old.classes,
        &new.classes,
        |c| &c.name,
        &mut changes,
    );
    list_changes(
        "organisation",
        &old.organisations,
        &new.organisations,
        |o| &o.name,
        &mut changes,
    );
    list_changes(
        "upstream",
        &old.upstreams,
        &new.upstreams,
        |u| &u.name,
        &mut changes,
    );
    list_changes("route", &old.routes, &new.routes, |r| &r.path, &mut changes);
    if changes.is_empty() {
        writeln!(out, "documents: no change")?;
    }
    for change in changes {
        writeln!(out, "{change}")?;
    }
    Ok(())
}

/// Adds a line for each item that was added (`+`), changed (`~`) or removed (`-`).
fn list_changes<T: PartialEq>(
    kind: &str,
    old: &[T],
    new: &[T],
    name: impl Fn(&T) -> &str,
    changes: &mut Vec<String>,
) {
    for item in new {
        match old.iter().find(|o| name(o) == name(item)) {
            None => changes.push(format!("+ {kind} {}", name(item))),
            Some(before) if before != item => changes.push(format!("~ {kind} {}", name(item))),
            Some(_) => {}
        }
    }
    for item in old {
        if !new.iter().any(|n| name(n) == name(item)) {
            changes.push(format!("- {kind} {}", name(item)));
        }
    }
}

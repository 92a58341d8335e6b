//! Commands about documents: check, diff, apply, show and watch.

use crate::app::ClientError;
use crate::site;
use crate::site::Site;
use std::io;
use world::Configuration;

/// Checks documents without touching the store.
pub(crate) fn check(files: &[String], out: &mut impl io::Write) -> Result<(), ClientError> {
    let configuration = site::read_documents(files)?;
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

/// Shows what applying documents would change.
pub(crate) fn diff(
    site: &Site,
    files: &[String],
    out: &mut impl io::Write,
) -> Result<(), ClientError> {
    let new = site::read_documents(files)?;
    let stored = site.stored()?;
    write_diff(&stored.revised.content, &new, out)
}

/// Puts documents in force. Keys and drained hosts stay as they are.
pub(crate) fn apply(
    site: &Site,
    files: &[String],
    out: &mut impl io::Write,
) -> Result<(), ClientError> {
    let mut new = site::read_documents(files)?;
    let stored = site.stored()?;
    let old = &stored.revised.content;
    write_diff(old, &new, out)?;
    let lost = old
        .keys
        .iter()
        .filter(|k| new.organisation(&k.organisation).is_none());
    for key in lost {
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
    let revision = site.replace(&stored, new)?;
    writeln!(out, "revision {revision} is accepted")?;
    site.report_force(revision, out)
}

/// Prints the documents in force.
pub(crate) fn show(site: &Site, out: &mut impl io::Write) -> Result<(), ClientError> {
    let stored = site.stored()?;
    writeln!(out, "# revision {}", stored.revised.revision)?;
    site::write_documents(&stored.revised.content, out)?;
    Ok(())
}

/// Prints each revision as it comes.
pub(crate) fn watch(
    site: &Site,
    count: Option<u32>,
    out: &mut impl io::Write,
) -> Result<(), ClientError> {
    let mut old = site.stored()?;
    writeln!(out, "revision {}", old.revised.revision)?;
    let mut left = count;
    while left != Some(0) {
        let mut watch = site.store.watch(store::CONFIG_KEY, old.at)?;
        watch.next_change()?;
        let new = site.stored()?;
        writeln!(out, "revision {}", new.revised.revision)?;
        write_diff(&old.revised.content, &new.revised.content, out)?;
        out.flush()?;
        old = new;
        left = left.map(|n| n - 1);
    }
    Ok(())
}

fn write_diff(
    old: &Configuration,
    new: &Configuration,
    out: &mut impl io::Write,
) -> Result<(), ClientError> {
    let mut changes = Vec::new();
    compare(
        "class",
        &old.classes,
        &new.classes,
        |c| &c.name,
        &mut changes,
    );
    compare(
        "organisation",
        &old.organisations,
        &new.organisations,
        |o| &o.name,
        &mut changes,
    );
    compare(
        "upstream",
        &old.upstreams,
        &new.upstreams,
        |u| &u.name,
        &mut changes,
    );
    compare("route", &old.routes, &new.routes, |r| &r.path, &mut changes);
    if changes.is_empty() {
        writeln!(out, "documents: no change")?;
    }
    for change in changes {
        writeln!(out, "{change}")?;
    }
    Ok(())
}

fn compare<T: PartialEq>(
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

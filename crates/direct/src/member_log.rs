//! Logs changes of the membership list.

use crate::entry::Entry;
use crate::meters;
use crate::telemetry;
use seam::Revision;
use std::collections;
use world::Name;

impl<P: seam::Platform> Entry<P> {
    /// Returns the state and the role of each known upstream host.
    pub(crate) fn member_states(
        &self,
    ) -> collections::BTreeMap<Name, (seam::MemberState, Option<seam::Role>)> {
        let host_list = self.host_list.borrow();
        host_list
            .members()
            .map(|m| (m.id.clone(), (m.state, m.role)))
            .collect()
    }

    /// Logs and counts a list that is ignored because it is older than the known one. Reads
    /// of one revision are logged once.
    pub(crate) fn log_outdated_list(&self, revision: Revision, known: Revision, from: &str) {
        meters::meters().outdated.add("members", 1);
        if self.outdated_list.replace(Some(revision)) != Some(revision) {
            trace::LogLine::new("members_older")
                .with("from", from)
                .with("revision", revision)
                .with("known", known)
                .info();
        }
    }

    /// Logs what has changed since `before`.
    pub(crate) fn log_member_changes(
        &self,
        before: &collections::BTreeMap<Name, (seam::MemberState, Option<seam::Role>)>,
        from: &str,
        revision: Revision,
    ) {
        let after = self.member_states();
        for (id, state) in &after {
            if before.get(id) != Some(state) {
                trace::LogLine::new("upstream")
                    .with("id", id)
                    .with("state", format!("{:?}", state.0))
                    .with("part", telemetry::role_label(state.1))
                    .with("from", from)
                    .with("revision", revision)
                    .info();
            }
        }
        for id in before.keys().filter(|id| !after.contains_key(*id)) {
            trace::LogLine::new("upstream")
                .with("id", id)
                .with("state", "Gone")
                .with("from", from)
                .with("revision", revision)
                .info();
        }
    }
}

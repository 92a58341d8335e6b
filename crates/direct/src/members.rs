//! Applies the membership lists that this entry reads from the store or gets from peers.

use crate::entry::Entry;
use crate::odd_records::OddRecord;
use std::rc;
use std::time;

/// The membership list of upstream hosts as the store returned it.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub(crate) struct MemberList {
    pub(crate) revision: seam::Revision,
    /// Store key and undecoded value of each host.
    pub(crate) members: Vec<(String, String)>,
}

impl<P: seam::Platform> Entry<P> {
    /// Applies a list that was read from the store.
    pub(crate) fn apply_listing(&self, page: seam::ListResult) {
        let mut members = Vec::with_capacity(page.items.len());
        let mut odd = Vec::new();
        for item in &page.items {
            let Some(value) = &item.value else {
                continue;
            };
            match std::str::from_utf8(value) {
                Ok(text) => members.push((item.key.clone(), text.to_owned())),
                Err(error) => odd.push(OddRecord {
                    key: &item.key,
                    value,
                    fault: error.to_string(),
                }),
            }
        }
        self.log_odd("member_unreadable", "store", &odd);
        let revision = page.revision;
        self.apply_members(MemberList { revision, members }, "store");
    }

    /// Applies a membership list from the store or a peer unless it is older than
    /// the current one; hosts that can't be decoded are logged and left out.
    pub(crate) fn apply_members(&self, mut member_list: MemberList, from: &str) {
        let current_revision = self.host_list.borrow().revision();
        if member_list.revision < current_revision {
            self.log_outdated_list(member_list.revision, current_revision, from);
            return;
        }
        let now = time::Instant::now();
        let mut members = Vec::with_capacity(member_list.members.len());
        let mut odd = Vec::new();
        for (key, raw) in &member_list.members {
            match P::decode_member(key, raw.as_bytes()) {
                Ok(member) => members.push(member),
                Err(fault) => odd.push(OddRecord {
                    key,
                    value: raw.as_bytes(),
                    fault,
                }),
            }
        }
        self.log_odd("member_unreadable", from, &odd);
        if !odd.is_empty() {
            let is_readable = |key: &str, raw: &str| P::decode_member(key, raw.as_bytes()).is_ok();
            member_list
                .members
                .retain(|(key, raw)| is_readable(key, raw));
        }
        let before = self.member_states();
        let removed = self
            .host_list
            .borrow_mut()
            .update(members, member_list.revision, now);
        let host_list = self.host_list.borrow();
        let listed = host_list.members();
        self.notices.borrow_mut().set_listed(listed, now);
        drop(host_list);
        for member in removed {
            seam::Upstreams::close_connections(&self.upstreams, member.address);
        }
        self.log_member_changes(&before, from, member_list.revision);
        *self.member_list.borrow_mut() = Some(rc::Rc::new(member_list));
        self.update_pools();
    }

    /// Logs records that can't be decoded, once each.
    pub(crate) fn log_odd(&self, event: &'static str, from: &str, records: &[OddRecord<'_>]) {
        self.odd_records.borrow_mut().log(event, from, records);
    }
}

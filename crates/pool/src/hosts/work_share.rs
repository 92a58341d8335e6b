//! How much work hosts may get beside what they say of themselves: none in an evacuated zone,
//! and less than their full share while they are paced.

use crate::hosts::host_notices::HostNotices;
use crate::hosts::host_notices::is_listed;
use crate::hosts::host_notices::listed_member;
use crate::hosts::host_pace::AnswerQuality;
use crate::hosts::host_pace::ColdRate;
use crate::hosts::notice_types::Incarnation;
use crate::hosts::pace::PaceReport;
use crate::peers::heard::Heard;
use std::collections;
use std::time;
use world::Name;

impl HostNotices {
    /// Sets the zones that are evacuated.
    pub fn set_evacuated(&mut self, zones: collections::BTreeSet<Name>) {
        self.evacuated = zones;
    }

    /// Returns whether the zone of a host in the membership list is evacuated.
    pub fn is_evacuated(&self, id: &str) -> bool {
        let member = self.listed.get(id);
        member.is_some_and(|m| self.evacuated.contains(&m.zone))
    }

    /// Sets what cold hosts tolerate, by service.
    pub fn set_cold_rates(&mut self, rates: collections::BTreeMap<Name, ColdRate>) {
        self.cold_rates = rates;
    }

    /// Returns whether a host in the membership list has as much work from this entry as it
    /// may have for now.
    pub fn is_filled(&self, id: &Name, now: time::Instant) -> bool {
        if self.paces.is_empty() {
            return false;
        }
        let host = self.listed_incarnation(id);
        host.is_some_and(|h| self.paces.is_filled(&h, now))
    }

    /// Records how a host answered new work.
    pub fn record_answer(
        &mut self,
        host: &Incarnation,
        quality: AnswerQuality,
        took: Option<time::Duration>,
        now: time::Instant,
    ) {
        let member = listed_member(&self.listed, host);
        self.paces.record_answer(host, member, quality, took, now);
    }

    /// Applies what a peer tells of paced hosts.
    pub fn apply_paces(&mut self, peer: &Name, reports: &[PaceReport], heard: Heard) {
        for report in reports {
            if let Some(member) = listed_member(&self.listed, &report.host) {
                self.paces.apply_report(peer, report, member, heard);
            }
        }
    }

    /// Paces the hosts that are new in the list or cold, and forgets those that are gone.
    pub(crate) fn update_paces(
        &mut self,
        before: &collections::BTreeMap<Name, seam::Member>,
        now: time::Instant,
    ) {
        for member in self.listed.values() {
            let host = Incarnation::from(member);
            if !is_listed(before, &host) {
                self.paces.record_new(&host, member, now);
            }
            let rate = self.cold_rates.get(&member.service);
            if let Some(rate) = rate.filter(|_| !member.cold_left.is_zero()) {
                let left = member.cold_left;
                self.paces.record_cold(&host, member, left, *rate, now);
            }
        }
        let listed = &self.listed;
        self.paces.retain(|host| is_listed(listed, host), now);
        self.machines.retain(|id| listed.contains_key(id));
    }
}

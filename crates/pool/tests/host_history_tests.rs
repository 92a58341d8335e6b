//! Histories of lists that come late, twice, out of order or not at all, while hosts start,
//! end and lapse. The promises are checked after each step.

use proptest::prelude::*;
use std::collections;
use std::net;
use std::time;
use world::Name;

const MILLI: time::Duration = time::Duration::from_millis(1);
/// A list that was not read for longer shows that the store was away.
const OUTAGE_MS: u64 = 2_500;
/// How long lapsed hosts stay listed once the store is back.
const RECOVERY_MS: u64 = 2_000;
const HOSTS: usize = 4;
const CASES: u32 = 500;

/// What happens to the hosts, or to the lists that an entry reads.
#[derive(Clone, Debug)]
enum Event {
    Wait(u64),
    StoreAway(u64),
    Start(usize),
    Restart(usize),
    Drain(usize),
    Lapse(usize),
    /// Reads the list of the newest revision.
    Read,
    /// Reads a list of this many revisions before.
    ReadOld(usize),
    /// A peer has read the same revision this many milliseconds ago.
    Confirm(u64),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let host = || 0..HOSTS;
    let event = prop_oneof![
        6 => (1_u64..700).prop_map(Event::Wait),
        1 => (2_400_u64..6_000).prop_map(Event::StoreAway),
        3 => host().prop_map(Event::Start),
        1 => host().prop_map(Event::Restart),
        1 => host().prop_map(Event::Drain),
        3 => host().prop_map(Event::Lapse),
        6 => Just(Event::Read),
        1 => (1_usize..4).prop_map(Event::ReadOld),
        2 => (0_u64..3_500).prop_map(Event::Confirm),
    ];
    prop::collection::vec(event, 1..100)
}

/// Two ids share an address: a host's successor often has another id. The entry of the
/// predecessor is gone once its successor's is there.
fn member(index: usize, started_ms: u64) -> seam::Member {
    let port = 80 + (index / 2) as u16;
    seam::Member {
        id: Name::from(format!("host-{index}")),
        service: Name::from("maps"),
        address: net::SocketAddr::from(([10, 0, 0, 1], port)),
        zone: Name::from("ruahine"),
        slots: 4,
        state: seam::MemberState::Ready,
        role: None,
        cold_left: std::time::Duration::ZERO,
        started_ms,
    }
}

/// Returns a revision of the only era of these histories.
fn at(number: usize) -> seam::Revision {
    seam::Revision::new(seam::Era::default(), number as u64)
}

type Members = collections::BTreeMap<Name, seam::Member>;

/// The store's lists by revision, and what is known of the entry's reads.
struct Site {
    lists: Vec<Members>,
    read_at: Option<time::Instant>,
    recovered_at: Option<time::Instant>,
    revision: usize,
}

impl Site {
    fn new() -> Self {
        Self {
            lists: vec![Members::new()],
            read_at: None,
            recovered_at: None,
            revision: 0,
        }
    }

    fn change(&mut self, change: impl FnOnce(&mut Members)) {
        let mut next = self.lists.last().cloned().unwrap_or_default();
        change(&mut next);
        self.lists.push(next);
    }

    fn record_read(&mut self, at: time::Instant) {
        let gap = self.read_at.map(|r| at.saturating_duration_since(r));
        if gap.is_some_and(|g| g > MILLI * OUTAGE_MS as u32) {
            self.recovered_at = Some(at);
        }
        self.read_at = Some(at);
    }
}

fn read(
    site: &mut Site,
    list: &mut pool::HostList,
    revision: usize,
    now: time::Instant,
) -> Result<(), TestCaseError> {
    let before: Members = list.members().map(|m| (m.id.clone(), m.clone())).collect();
    let listed = site.lists[revision].clone();
    let removed = list.update(listed.values().cloned().collect(), at(revision), now);
    let after: Members = list.members().map(|m| (m.id.clone(), m.clone())).collect();
    if revision < site.revision {
        prop_assert!(removed.is_empty());
        prop_assert_eq!(before, after);
        return Ok(());
    }
    site.revision = revision;
    site.record_read(now);
    // What is listed is known as it is listed.
    for (id, member) in &listed {
        prop_assert_eq!(after.get(id), Some(member));
    }
    let is_recovering = site
        .recovered_at
        .is_some_and(|r| now.saturating_duration_since(r) < MILLI * RECOVERY_MS as u32);
    for (id, member) in after.iter().filter(|(id, _)| !listed.contains_key(*id)) {
        prop_assert!(is_recovering, "{id} is kept without an outage");
        prop_assert_eq!(before.get(id), Some(member));
        prop_assert!(listed.values().all(|m| m.address != member.address));
    }
    if is_recovering {
        let replaced = |m: &seam::Member| listed.values().any(|l| l.address == m.address);
        let lost = before
            .values()
            .find(|m| !after.contains_key(&m.id) && !replaced(m));
        prop_assert_eq!(lost, None, "a lapsed host could not come back");
    }
    // Each end of a process is told once.
    let ended = |m: &&seam::Member| {
        after
            .get(&m.id)
            .is_none_or(|a| a.started_ms != m.started_ms)
    };
    let expected: Vec<seam::Member> = before.values().filter(ended).cloned().collect();
    prop_assert_eq!(removed, expected);
    Ok(())
}

proptest! {
    #![proptest_config(seeded::config(CASES))]

    #[test]
    fn host_list_follows_the_store(events in events()) {
        let mut now = time::Instant::now() + MILLI * 10_000;
        let (mut site, mut list) = (Site::new(), pool::HostList::default());
        let mut started_ms = 1;
        for event in events {
            match event {
                Event::Wait(ms) | Event::StoreAway(ms) => now += MILLI * ms as u32,
                Event::Start(index) | Event::Restart(index) => {
                    started_ms += 1;
                    let member = member(index, started_ms);
                    site.change(|all| {
                        all.retain(|_, m| m.address != member.address);
                        all.insert(member.id.clone(), member);
                    });
                }
                Event::Drain(index) => site.change(|all| {
                    if let Some(member) = all.get_mut(&member(index, 0).id) {
                        member.state = seam::MemberState::Draining;
                    }
                }),
                Event::Lapse(index) => site.change(|all| drop(all.remove(&member(index, 0).id))),
                Event::Read => {
                    let revision = site.lists.len() - 1;
                    read(&mut site, &mut list, revision, now)?;
                }
                Event::ReadOld(count) => {
                    let revision = (site.lists.len() - 1).saturating_sub(count);
                    read(&mut site, &mut list, revision, now)?;
                }
                Event::Confirm(age_ms) => {
                    let read_at = now - MILLI * age_ms as u32;
                    let newer = site.read_at.is_some_and(|r| r < read_at);
                    let other = at(site.revision + 1);
                    prop_assert!(!list.confirm(other, MILLI * age_ms as u32, now));
                    let told = list.confirm(at(site.revision), MILLI * age_ms as u32, now);
                    prop_assert_eq!(told, newer);
                    if told {
                        site.record_read(read_at);
                    }
                }
            }
            prop_assert_eq!(list.revision(), at(site.revision));
            prop_assert_eq!(list.read_at(), site.read_at);
            prop_assert!(list.ready("maps").all(|m| m.state == seam::MemberState::Ready));
            prop_assert_eq!(list.ready("other").count(), 0);
            prop_assert!(list.members().count() <= HOSTS);
        }
    }
}

/// The key of an ended process lapses seconds after its successor at the same address has
/// written its own. If both lapse while the store is away, the successor lives.
#[test]
fn successor_at_one_address_stays_listed_after_an_outage() {
    let now = time::Instant::now();
    let (ended, successor) = (member(0, 1), member(1, 2));
    let mut list = pool::HostList::default();
    list.update(vec![ended, successor.clone()], at(1), now);
    let back = now + MILLI * (OUTAGE_MS as u32 + 1);
    list.update(Vec::new(), at(2), back);
    assert_eq!(list.get(&successor.id), Some(&successor));
}

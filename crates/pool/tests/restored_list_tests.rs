//! Histories of a store that comes back from a copy while hosts start, leave and end. The
//! promises are checked at each read of an entry.

use proptest::prelude::*;
use std::collections;
use std::net;
use std::time;
use world::Name;

const MILLI: time::Duration = time::Duration::from_millis(1);
/// Time of one step of a history.
const STEP_MS: u64 = 100;
/// The store removes the record of a host that was silent for so long.
const LAPSE_MS: u64 = 3_600;
/// Within this time after the store's return, live hosts have written again.
const REWRITE_MS: u64 = 1_900;
const HOSTS: usize = 4;
const CASES: u32 = 400;

#[derive(Clone, Debug)]
enum Event {
    Wait(u64),
    Start(usize),
    Leave(usize),
    End(usize),
    /// A host writes nothing for this many steps.
    Silence(usize, u64),
    /// The store comes back from a copy of this age.
    Restore(u64),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let host = || 0..HOSTS;
    let event = prop_oneof![
        6 => (1_u64..30).prop_map(Event::Wait),
        3 => host().prop_map(Event::Start),
        2 => host().prop_map(Event::Leave),
        2 => host().prop_map(Event::End),
        1 => (host(), 1_u64..80).prop_map(|(host, steps)| Event::Silence(host, steps)),
        2 => (0_u64..120).prop_map(Event::Restore),
    ];
    prop::collection::vec(event, 1..80)
}

/// A record in the store and the time of its last heartbeat.
type Records = collections::BTreeMap<Name, (seam::Member, u64)>;

fn host_id(index: usize) -> Name {
    Name::from(format!("host-{index}"))
}

/// Successors share an address, as in the platform.
fn member(index: usize, started_ms: u64, state: seam::MemberState) -> seam::Member {
    seam::Member {
        id: host_id(index),
        service: Name::from("maps"),
        address: net::SocketAddr::from(([10, 0, 0, 1], 80 + index as u16)),
        zone: Name::from("ruahine"),
        slots: 4,
        state,
        role: None,
        cold_left: std::time::Duration::ZERO,
        started_ms,
    }
}

/// The store, its live hosts, and an entry that reads the list at each step.
struct Site {
    start: time::Instant,
    step: u64,
    era: u64,
    revision: u64,
    records: Records,
    /// Contents and revisions of the store after each step.
    copies: Vec<(u64, Records)>,
    live: collections::BTreeMap<Name, seam::Member>,
    /// Hosts that write nothing until a step.
    silent: collections::BTreeMap<Name, u64>,
    restored_step: Option<u64>,
    list: pool::HostList,
    /// Processes that the entry has seen leave or end.
    left: collections::BTreeSet<(Name, u64)>,
}

impl Site {
    fn new() -> Self {
        Self {
            start: time::Instant::now(),
            step: 0,
            era: 1,
            revision: 1,
            records: Records::new(),
            copies: vec![(1, Records::new())],
            live: collections::BTreeMap::new(),
            silent: collections::BTreeMap::new(),
            restored_step: None,
            list: pool::HostList::default(),
            left: collections::BTreeSet::new(),
        }
    }

    fn ms(&self) -> u64 {
        self.step * STEP_MS
    }

    /// Returns whether hosts may still have to write again.
    fn is_settling(&self) -> bool {
        let since = self.restored_step.map(|s| (self.step - s) * STEP_MS);
        since.is_some_and(|ms| ms < REWRITE_MS)
    }

    fn write(&mut self, member: &seam::Member) {
        let known = self.records.get(&member.id).map(|(m, _)| m);
        if member.state == seam::MemberState::Ready {
            // If its record had lapsed, it had only been silent.
            self.left.remove(&(member.id.clone(), member.started_ms));
        }
        self.revision += u64::from(known != Some(member));
        self.records
            .insert(member.id.clone(), (member.clone(), self.ms()));
    }

    fn remove(&mut self, id: &Name) {
        self.revision += u64::from(self.records.remove(id).is_some());
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Wait(_) => {}
            Event::Start(index) => {
                let member = member(index, self.ms() + 1, seam::MemberState::Ready);
                self.write(&member);
                self.live.insert(member.id.clone(), member);
            }
            Event::Leave(index) => {
                let Some(host) = self.live.get_mut(&host_id(index)) else {
                    return;
                };
                host.state = seam::MemberState::Draining;
                let host = host.clone();
                if !self.silent.contains_key(&host.id) {
                    self.write(&host);
                }
            }
            Event::End(index) => {
                if self.live.remove(&host_id(index)).is_some() {
                    self.remove(&host_id(index));
                }
            }
            Event::Silence(index, steps) => {
                self.silent.insert(host_id(index), self.step + steps);
            }
            Event::Restore(age) => {
                let index = self.copies.len().saturating_sub(1 + age as usize);
                let now = self.ms();
                (self.revision, self.records) = self.copies[index].clone();
                // Whoever is silent lapses, counted from the return.
                self.records.values_mut().for_each(|(_, at)| *at = now);
                self.era += 1;
                self.restored_step = Some(self.step);
            }
        }
    }

    /// Moves on by one step, in which hosts write and the entry reads.
    fn advance(&mut self) -> Result<(), TestCaseError> {
        self.step += 1;
        let now_ms = self.ms();
        if !self.is_settling() {
            self.silent.retain(|_, until| *until > self.step);
            let talking = self
                .live
                .values()
                .filter(|m| !self.silent.contains_key(&m.id));
            for member in talking.cloned().collect::<Vec<_>>() {
                self.write(&member);
            }
        }
        let silent = self
            .records
            .iter()
            .filter(|(_, (_, at))| now_ms - at > LAPSE_MS);
        for id in silent.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.remove(&id);
        }
        self.copies.push((self.revision, self.records.clone()));
        self.read()
    }

    fn read(&mut self) -> Result<(), TestCaseError> {
        let now = self.start + MILLI * self.ms() as u32;
        let revision = seam::Revision::new(seam::Era(self.era), self.revision);
        let records: Vec<_> = self.records.values().map(|(m, _)| m.clone()).collect();
        let before: Vec<_> = self.list.members().cloned().collect();
        let removed = self.list.update(records, revision, now);
        prop_assert_eq!(
            self.list.revision(),
            revision,
            "each list that is read takes effect"
        );
        self.left
            .extend(removed.iter().map(|m| (m.id.clone(), m.started_ms)));
        let draining = self.list.members();
        let draining = draining.filter(|m| m.state == seam::MemberState::Draining);
        self.left
            .extend(draining.map(|m| (m.id.clone(), m.started_ms)));
        for ready in self.list.ready("maps") {
            let process = (ready.id.clone(), ready.started_ms);
            prop_assert!(!self.left.contains(&process), "{process:?} is used again");
        }
        for known in before {
            let lives =
                self.live.get(&known.id) == Some(&known) && !self.silent.contains_key(&known.id);
            let is_lost = lives && self.list.get(&known.id) != Some(&known);
            prop_assert!(!is_lost, "{known:?} lives and is lost");
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(seeded::config(CASES))]

    /// What an entry knows to have left is not used again, what lives is not lost, and no list
    /// of the store's newest history is ignored.
    #[test]
    fn known_hosts_outlive_a_return_of_the_store(events in events()) {
        let mut site = Site::new();
        for event in events {
            let steps = match event {
                Event::Wait(steps) => steps,
                _ => 1,
            };
            site.apply(event);
            for _ in 0..steps {
                site.advance()?;
            }
        }
    }
}

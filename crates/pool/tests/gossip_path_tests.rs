//! An update must reach all entries within two intervals although only one peer of each
//! other zone gets it, also when that one is dead or knows few others; updates that are
//! lost, late, doubled or reordered must leave the newest one in place.

use pool::{Forwarding, GossipPaths, Heard, KnownPeer, RELAY_DELAY};
use pool::{RelayQueue, UpdateId, UpdateOrder};
use proptest::prelude::*;
use std::collections;
use std::time;
use world::Name;
use yare::parameterized;

const MS: time::Duration = time::Duration::from_millis(1);
/// Time between two updates of an entry.
const INTERVAL_MS: u32 = 250;

fn name(index: usize) -> Name {
    Name::from(format!("edge-{index:03}"))
}

fn zone(index: usize, zones: usize) -> Name {
    Name::from(format!("zone-{}", index % zones))
}

/// An update: its sender and number.
type Update = (usize, u64);

/// Entries that send updates to each other at intervals, without loss on the way.
struct Fleet {
    zones: usize,
    dead: collections::BTreeSet<usize>,
    /// The peers that each entry knows by their zone.
    known: Vec<collections::BTreeSet<usize>>,
    /// The last update that each entry has of each other one, with its age in
    /// milliseconds when it came.
    heard: Vec<collections::BTreeMap<usize, (u64, u128)>>,
    queues: Vec<RelayQueue<Update>>,
    /// Number of updates sent from zone to zone.
    crossed: usize,
}

impl Fleet {
    fn new(entries: usize, zones: usize) -> Self {
        let all = || (0..entries).collect::<collections::BTreeSet<usize>>();
        Self {
            zones,
            dead: collections::BTreeSet::new(),
            known: vec![all(); entries],
            heard: vec![collections::BTreeMap::new(); entries],
            queues: vec![RelayQueue::default(); entries],
            crossed: 0,
        }
    }

    /// Sends the update of entry `from`. Nobody has noticed yet who is dead.
    fn send(&mut self, from: usize, turn: u32, t: time::Instant) {
        let (own, own_zone) = (name(from), zone(from, self.zones));
        let peers: Vec<(usize, Name, Name)> = self.known[from]
            .iter()
            .filter(|i| **i != from)
            .map(|i| (*i, name(*i), zone(*i, self.zones)))
            .collect();
        let index_of = |name: &Name| peers.iter().find(|(_, n, _)| n == name).unwrap().0;
        let known = peers.iter().map(|(_, name, zone)| KnownPeer {
            name,
            zone: Some(zone),
            is_lost: false,
        });
        let paths = GossipPaths::choose(&own, &own_zone, known, turn, false);
        let update = (from, u64::from(turn));
        self.crossed += paths.relays.len() + paths.direct.len();
        for to in paths.direct.iter().chain(&paths.relays).map(index_of) {
            self.receive(to, update, 0);
        }
        for to in paths.relays.iter().map(index_of) {
            self.queues[to].push(own.clone(), update, t);
        }
        let relayed = self.queues[from].take(t);
        for to in paths.own_zone.iter().map(index_of) {
            self.receive(to, update, 0);
            for (held, update) in &relayed {
                self.receive(to, *update, held.as_millis());
            }
        }
    }

    fn receive(&mut self, to: usize, (from, number): Update, held_ms: u128) {
        assert_ne!(to, from, "an update came back to its origin");
        if self.dead.contains(&to) {
            return;
        }
        self.known[to].insert(from);
        let last = self.heard[to].entry(from).or_insert((number, held_ms));
        if last.0 < number {
            *last = (number, held_ms);
        }
    }

    /// Has all entries send their updates of one interval, each at its own time.
    fn run_interval(&mut self, turn: u32, start: time::Instant) {
        let entries = self.heard.len();
        // Any order of the entries will do; this one mixes the zones.
        for step in 0..entries {
            let from = step * 7_919 % entries;
            if !self.dead.contains(&from) {
                let offset = MS * INTERVAL_MS * step as u32 / entries as u32;
                self.send(from, turn, start + MS * INTERVAL_MS * turn + offset);
            }
        }
    }

    /// Asserts that each living entry has an update of each other one, of at least the
    /// given number.
    fn assert_heard(&self, number: u64) {
        let living = (0..self.heard.len()).filter(|i| !self.dead.contains(i));
        for to in living.clone() {
            for from in living.clone().filter(|from| *from != to) {
                let last = self.heard[to].get(&from);
                let is_heard = last.is_some_and(|(n, _)| *n >= number);
                assert!(is_heard, "entry {to} has {last:?} of {from}, not {number}");
            }
        }
    }
}

#[parameterized(
    one_a_zone = { 4, 4 },
    grown_site = { 25, 3 },
    larger_grown_site = { 32, 4 },
    large_site = { 100, 6 },
    three_hundred = { 300, 6 },
    one_zone = { 30, 1 },
)]
fn update_reaches_all_within_two_intervals(entries: usize, zones: usize) {
    let mut fleet = Fleet::new(entries, zones);
    let start = time::Instant::now();
    for turn in 0..6 {
        fleet.run_interval(turn, start);
        if turn > 0 {
            fleet.assert_heard(u64::from(turn) - 1);
        }
    }
    let oldest = fleet.heard.iter().flat_map(|h| h.values()).map(|l| l.1);
    let most = u128::from(INTERVAL_MS);
    assert!(
        oldest.max().unwrap() <= most,
        "held longer than an interval"
    );
    // One message to each other zone, or to each of its entries where those are few.
    let is_direct = entries.div_ceil(zones) <= 2;
    let receivers = if is_direct { entries - 1 } else { zones - 1 };
    assert_eq!(fleet.crossed, 6 * entries * receivers);
}

#[parameterized(
    grown_site = { 25, 3 },
    large_site = { 100, 6 },
    three_hundred = { 300, 6 },
)]
fn dead_relays_cost_one_interval(entries: usize, zones: usize) {
    for dead in 0..entries.min(30) {
        let mut fleet = Fleet::new(entries, zones);
        let start = time::Instant::now();
        fleet.dead.insert(dead);
        for turn in 0..5 {
            fleet.run_interval(turn, start);
        }
        fleet.assert_heard(2);
    }
}

#[test]
fn lost_relay_is_skipped() {
    let zone = Name::from("b");
    let names: Vec<Name> = (0..5).map(name).collect();
    let choose = |lost: &[Name], turn| {
        let known = names.iter().map(|name| KnownPeer {
            name,
            zone: Some(&zone),
            is_lost: lost.contains(name),
        });
        GossipPaths::choose(&Name::from("own"), &Name::from("a"), known, turn, false).relays
    };
    let (first, second) = (choose(&[], 0), choose(&[], 1));
    assert_eq!((first.len(), second.len()), (1, 1));
    assert_ne!(first, second);
    for turn in 0..4 {
        let chosen = choose(&first, turn);
        assert_eq!(chosen.len(), 1);
        assert_ne!(chosen, first);
    }
    assert_eq!(choose(&names, 0), Vec::<Name>::new());
}

#[test]
fn urgent_update_goes_to_both_relays() {
    let zone = Name::from("b");
    let names: Vec<Name> = (0..5).map(name).collect();
    let known = names.iter().map(|name| KnownPeer {
        name,
        zone: Some(&zone),
        is_lost: false,
    });
    let paths = GossipPaths::choose(&Name::from("own"), &Name::from("a"), known, 0, true);
    assert_eq!(paths.relays.len(), 2);
}

#[test]
fn peers_without_a_known_zone_get_updates_directly() {
    let (own, peer) = (Name::from("own"), Name::from("peer"));
    let known = [KnownPeer {
        name: &peer,
        zone: None,
        is_lost: false,
    }];
    let paths = GossipPaths::choose(&own, &Name::from("a"), known.into_iter(), 0, false);
    assert_eq!(paths.direct, vec![peer]);
    assert!(paths.own_zone.is_empty() && paths.relays.is_empty());
}

/// An entry that the store has not listed to others yet makes itself known: to its own
/// zone by its messages, and to another one through a relay. Those of its zone that it
/// doesn't know learn of it from the store only.
#[test]
fn entry_that_knows_few_peers_is_heard() {
    let mut fleet = Fleet::new(100, 6);
    // Those with the remainder 0 are in its zone, those with 1 in another.
    fleet.known[0] = collections::BTreeSet::from([0, 6, 12, 1, 7, 13]);
    for known in fleet.known.iter_mut().skip(1) {
        known.remove(&0);
    }
    let start = time::Instant::now();
    for turn in 0..8 {
        fleet.run_interval(turn, start);
    }
    let hearing = [6, 12].into_iter().chain((1..100).step_by(6));
    for to in hearing {
        let last = fleet.heard[to].get(&0);
        assert!(
            last.is_some_and(|(n, _)| *n >= 6),
            "entry {to} has {last:?}"
        );
    }
    for from in [6, 12] {
        assert!(fleet.heard[0].get(&from).is_some_and(|(n, _)| *n >= 6));
    }
}

#[test]
fn queue_keeps_the_newest_updates_of_each_origin() {
    let t = time::Instant::now();
    let mut queue = RelayQueue::default();
    for number in 0..9_u32 {
        queue.push(name(1), number, t + MS * number);
    }
    queue.push(name(2), 100, t);
    let taken = queue.take(t + MS * 10);
    let expected = [(5, 5), (4, 6), (3, 7), (2, 8), (10, 100)];
    let expected: Vec<_> = expected.iter().map(|(held, n)| (MS * *held, *n)).collect();
    assert_eq!(taken, expected);
    assert!(queue.take(t + MS * 20).is_empty());
}

#[parameterized(
    direct_recent = { false, 599, true },
    direct_old = { false, 600, false },
    relayed_recent = { true, 849, true },
    relayed_old = { true, 850, false },
)]
fn relayed_update_is_valid_for_longer(is_relayed: bool, age_ms: u32, expected: bool) {
    let t = time::Instant::now();
    let heard = match is_relayed {
        true => Heard::by_relay(MS * 100, t + MS * 100),
        false => Heard::from(t),
    };
    assert_eq!(heard.is_valid(MS * 600, t + MS * age_ms), expected);
    assert_eq!(RELAY_DELAY, MS * INTERVAL_MS);
}

#[test]
fn message_without_forwarding_stays_with_its_receiver() {
    assert!(Forwarding::default().is_never());
}

/// A message of a process that ended may come as the first one of it, after those of its
/// successor; if it counted as a restart, the successor's would be dropped from then on.
#[test]
fn late_first_update_of_an_ended_process_changes_nothing() {
    let t = time::Instant::now();
    let update = |run, started_at, number| UpdateId {
        run,
        started_at,
        number,
    };
    let mut order = UpdateOrder::default();
    assert!(order.record(update(3, t + MS * 900, 1)));
    assert!(!order.record(update(7, t, 400)));
    assert!(order.record(update(3, t + MS * 901, 2)));
    assert!(!order.record(update(3, t + MS * 899, 2)));
    assert!(order.record(update(9, t + MS * 5_000, 1)));
}

/// What happens to an update on its way: the copies that arrive and how late they are.
fn deliveries() -> impl Strategy<Value = Vec<Vec<u32>>> {
    prop::collection::vec(prop::collection::vec(0_u32..12, 0..4), 1..40)
}

proptest! {
    /// Updates are lost, late, doubled and reordered, and the sender restarts once; the
    /// receiver applies each at most once, in order, and ends with the newest.
    #[test]
    fn newest_update_wins(copies in deliveries(), restart in 0_usize..40) {
        let t = time::Instant::now();
        let mut arrivals: Vec<(usize, usize)> = Vec::new();
        for (sent, delays) in copies.iter().enumerate() {
            arrivals.extend(delays.iter().map(|delay| (sent + *delay as usize, sent)));
        }
        arrivals.sort_by_key(|(at, _)| *at);
        let mut order = UpdateOrder::default();
        let mut applied = Vec::new();
        for (_, sent) in &arrivals {
            let (run, number, started_at) = match *sent < restart {
                true => (7, *sent, t),
                false => (3, *sent - restart, t + MS),
            };
            let number = number as u64;
            if order.record(UpdateId { run, started_at, number }) {
                applied.push(*sent);
            }
        }
        let newest = arrivals.iter().map(|(_, sent)| *sent).max();
        prop_assert_eq!(applied.last().copied(), newest);
        prop_assert!(applied.is_sorted_by(|a, b| a < b));
    }

    /// A limiter that hears updates over a lossy relay counts what the peer admitted
    /// once, as soon as its newest update has come.
    #[test]
    fn use_is_counted_once(copies in deliveries()) {
        let t = time::Instant::now();
        let tolerance = pool::Tolerance {
            window: time::Duration::from_secs(60),
            overage: 0.1,
            slack: 0.0,
        };
        let tenant = seam::Tenant {
            name: Name::from("rangers"),
            keys: collections::BTreeSet::new(),
            priority: None,
            rate: Some(100.0),
            burst: 1_000.0,
            default_units: None,
        };
        let mut sender = pool::RateLimiter::new(tolerance, 1);
        let mut here = pool::RateLimiter::new(tolerance, 2);
        let mut order = UpdateOrder::default();
        let mut arrivals = vec![(0, sender.report(t), 0.0)];
        let mut total = 0.0;
        for (sent, delays) in copies.iter().enumerate() {
            let sent_at = t + MS * INTERVAL_MS * sent as u32;
            if sender.charge(&tenant, 10.0, sent_at).is_ok() {
                total += 10.0;
            }
            let report = sender.report(sent_at);
            arrivals.extend(delays.iter().map(|d| (sent as u32 + d, report.clone(), total)));
        }
        arrivals.sort_by_key(|(at, _, _)| *at);
        let mut newest = 0.0_f64;
        for (at, report, told) in &arrivals {
            let now = t + MS * INTERVAL_MS * *at;
            let update = UpdateId { run: report.run, started_at: t, number: report.number };
            if order.record(update) {
                here.update_peer(&name(0), report, Heard::by_relay(MS * 200, now));
            }
            newest = newest.max(*told);
        }
        // Asked for more than there is, the limiter says what the peers have used.
        let end = t + MS * INTERVAL_MS * 52;
        let excess = here.charge(&tenant, 1e9, end).unwrap_err();
        prop_assert_eq!(excess.peers, newest);
    }
}

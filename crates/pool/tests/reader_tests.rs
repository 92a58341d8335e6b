//! Where entries hear of other zones through relays, a list that is read in one zone only
//! would grow too old in the others.

use pool::Position;
use std::collections;
use std::time;
use world::Name;
use yare::parameterized;

const MS: time::Duration = time::Duration::from_millis(1);

fn zone(index: usize) -> Name {
    Name::from(format!("zone-{index}"))
}

/// Returns the positions of entries in zones of these sizes.
fn positions(sizes: &[usize]) -> Vec<(usize, Position)> {
    let places = sizes.iter().enumerate();
    let all: Vec<(Name, Name, usize)> = places
        .flat_map(|(zone, size)| (0..*size).map(move |i| (zone, i)))
        .map(|(z, i)| (Name::from(format!("edge-{i}-{z}")), zone(z), z))
        .collect();
    let of = |(own, own_zone, z): &(Name, Name, usize)| {
        let peers = all.iter().filter(|(n, _, _)| n != own);
        let peers = peers.map(|(n, zone, _)| (n, Some(zone)));
        (*z, Position::find((own, own_zone), peers))
    };
    all.iter().map(of).collect()
}

#[parameterized(
    large_site = { &[17, 17, 17, 17, 17, 18], 6 },
    three_zones = { &[9, 8, 8], 6 },
    one_zone = { &[30], 6 },
    one_large_of_eight_zones = { &[1, 1, 1, 1, 1, 1, 1, 20], 8 },
)]
fn each_zone_has_a_reader(sizes: &[usize], expected: usize) {
    let all = positions(sizes);
    let readers = all
        .iter()
        .filter(|(_, p)| pool::reads_member_list(*p, time::Duration::ZERO));
    let zones: collections::BTreeSet<usize> = readers.clone().map(|(z, _)| *z).collect();
    assert_eq!(readers.count(), expected);
    assert_eq!(zones.len(), sizes.len());
    let places: collections::BTreeSet<usize> = all.iter().map(|(_, p)| p.index).collect();
    assert_eq!(places.len(), all.len(), "two entries have the same place");
}

/// Where no zone needs a relay, the order is that of the names, as without zones.
#[test]
fn small_zones_keep_the_order_of_all_entries() {
    let mut all: Vec<Position> = positions(&[2, 1, 2, 1, 2]).iter().map(|p| p.1).collect();
    all.sort_by_key(|p| p.index);
    let expected = (0..8).map(|index| Position::among_all(index, 8));
    assert_eq!(all, expected.collect::<Vec<_>>());
}

/// When the reader of a zone is lost, one other entry reads, and not all at once.
#[test]
fn second_entry_of_a_zone_takes_over() {
    let all = positions(&[17, 17, 17, 17, 17, 18]);
    let in_zone = all.iter().filter(|(zone, _)| *zone == 0).map(|(_, p)| *p);
    let reading = |age| {
        in_zone
            .clone()
            .filter(move |p| pool::reads_member_list(*p, age))
    };
    assert_eq!(reading(MS * 1_099).count(), 1);
    assert_eq!(reading(MS * 1_100).count(), 2);
    assert_eq!(reading(MS * 1_300).count(), 17);
    let second = reading(MS * 1_100).next_back().unwrap();
    assert!(pool::shares_member_list(second, true, MS * 650));
    assert!(!pool::shares_member_list(second, false, MS * 650));
    assert!(pool::shares_member_list(second, false, MS * 1_300));
}

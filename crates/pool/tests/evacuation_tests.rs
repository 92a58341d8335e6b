//! Tests that entries know the evacuated zones whatever way and order the news takes.

use pool::EvacuationReport;
use pool::Evacuations;
use rand::Rng;
use rand::SeedableRng;
use seam::Era;
use seam::Revision;
use std::collections;
use world::Name;

fn report(era: u64, number: u64, zones: &[&str]) -> EvacuationReport {
    EvacuationReport {
        revision: Revision::new(Era(era), number),
        zones: zones.iter().map(|z| Name::from(*z)).collect(),
    }
}

#[test]
fn older_report_changes_nothing() {
    let mut evacuations = Evacuations::default();
    assert!(!evacuations.is_known());
    let change = evacuations.apply(report(1, 10, &["ruahine"]));
    assert_eq!(change.begun, ["ruahine".into()]);
    assert!(evacuations.apply(report(1, 9, &[])).is_empty());
    assert!(evacuations.apply(report(1, 10, &[])).is_empty());
    let change = evacuations.apply(report(1, 11, &["tararua"]));
    assert_eq!(
        (change.begun, change.ended),
        (vec!["tararua".into()], vec!["ruahine".into()])
    );
}

/// The store may come back from a copy, whose numbers begin again.
#[test]
fn later_era_holds_with_a_lower_number() {
    let mut evacuations = Evacuations::default();
    evacuations.apply(report(1, 100, &["ruahine"]));
    let change = evacuations.apply(report(2, 7, &[]));
    assert_eq!(change.ended, ["ruahine".into()]);
    assert!(evacuations.apply(report(1, 101, &["ruahine"])).is_empty());
}

/// Entries read the store now and then and tell each other, with messages lost, late and
/// doubled, and entries that start again. In the end, all know the last state.
#[test]
fn entries_agree_after_lost_and_late_messages() {
    for seed in 0..200 {
        let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let mut store = report(1, 1, &[]);
        let mut entries = vec![Evacuations::default(); 5];
        let mut waiting: Vec<EvacuationReport> = Vec::new();
        for _ in 0..300 {
            let index = random.random_range(0..entries.len());
            match random.random_range(0..10) {
                0 => {
                    let zone = Name::from(["a", "b", "c"][random.random_range(0..3)]);
                    store.revision.number += random.random_range(1..5);
                    if !store.zones.remove(&zone) {
                        store.zones.insert(zone);
                    }
                }
                1 => drop(entries[index].apply(store.clone())),
                2 => entries[index] = Evacuations::default(),
                3 => waiting.clear(),
                4..7 => waiting.extend(entries[index].report().cloned()),
                _ if !waiting.is_empty() => {
                    let message = random.random_range(0..waiting.len());
                    entries[index].apply(waiting[message].clone());
                }
                _ => {}
            }
            let known = entries.iter().filter_map(Evacuations::report);
            assert!(known.clone().all(|k| k.revision <= store.revision));
            let newest = known.filter(|k| k.revision == store.revision);
            let states: collections::BTreeSet<_> = newest.map(|k| k.zones.clone()).collect();
            assert!(states.iter().all(|s| *s == store.zones), "seed {seed}");
        }
        entries[0].apply(store.clone());
        let last = entries[0].report().cloned().expect("a list was applied");
        for entry in &mut entries {
            entry.apply(last.clone());
            assert_eq!(entry.zones(), store.zones, "seed {seed}");
        }
    }
}

//! The mirror of an engine's cache: true after a reading and for as long as no
//! event is missing; a gap is always noticed.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use route::CacheEvent;
use route::CacheMirror;
use route::PrefixHashes;
use route::SyncStatus;
use std::collections;
use yare::parameterized;

/// A prompt of one block, named by a number.
fn prompt(n: u64) -> PrefixHashes {
    PrefixHashes::of_prompt(&format!("{n:0256}"))
}

fn hash(n: u64) -> u64 {
    prompt(n).hashes()[0]
}

#[derive(Clone, Copy, Debug)]
enum Op {
    Ask(u64),
    Store(u64),
    Remove(u64),
    /// The event of the next change is never published.
    Gap,
    /// The engine begins anew, which breaks its feed.
    Restart,
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => (0..12u64).prop_map(Op::Ask),
        6 => (0..12u64).prop_map(Op::Store),
        3 => (0..12u64).prop_map(Op::Remove),
        1 => Just(Op::Gap),
        1 => Just(Op::Restart),
    ]
}

/// An engine's true cache, and the mirror that follows it.
#[derive(Default)]
struct World {
    truth: collections::BTreeSet<u64>,
    asked: collections::BTreeMap<u64, u32>,
    seq: u64,
    gap: bool,
    mirror: CacheMirror,
    /// Whether nothing was missed since the last reading.
    synced: bool,
}

impl World {
    fn step(&mut self, op: Op) {
        match op {
            Op::Ask(n) => {
                *self.asked.entry(hash(n)).or_default() += 1;
                self.mirror.record_prompt(&prompt(n));
            }
            Op::Store(n) => {
                self.truth.insert(hash(n));
                self.publish(vec![hash(n)], Vec::new());
            }
            Op::Remove(n) => {
                self.truth.remove(&hash(n));
                self.publish(Vec::new(), vec![hash(n)]);
            }
            Op::Gap => self.gap = true,
            Op::Restart => {
                self.truth.clear();
                self.seq = 0;
                self.mirror.clear();
                self.synced = false;
            }
        }
    }

    fn publish(&mut self, stored: Vec<u64>, removed: Vec<u64>) {
        self.seq += 1;
        if std::mem::take(&mut self.gap) {
            self.synced = false;
            return;
        }
        let event = CacheEvent {
            seq: self.seq,
            stored,
            removed,
        };
        if self.mirror.apply_event(&event) == SyncStatus::EventsMissing {
            self.mirror
                .load_snapshot(self.seq, self.truth.iter().copied());
            self.synced = true;
        }
    }

    fn expected(&self) -> collections::BTreeSet<u64> {
        let twice = |h: &&u64| self.asked.get(h).is_some_and(|n| *n >= 2);
        self.truth.iter().filter(twice).copied().collect()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_000,
        rng_seed: RngSeed::Fixed(0x5eed),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn mirror_is_true_while_nothing_is_missing(ops in prop::collection::vec(op(), 0..80)) {
        let mut world = World::default();
        for op in ops {
            world.step(op);
            if world.synced {
                prop_assert_eq!(world.mirror.shared_blocks(), &world.expected());
            }
        }
    }
}

fn event(seq: u64) -> CacheEvent {
    CacheEvent {
        seq,
        stored: vec![hash(seq)],
        removed: Vec::new(),
    }
}

#[parameterized(
    next = { 6, SyncStatus::InSync },
    one_missing = { 7, SyncStatus::EventsMissing },
    older_than_the_reading = { 4, SyncStatus::InSync },
)]
fn gap_after_a_reading_is_noticed(seq: u64, expected: SyncStatus) {
    let mut mirror = CacheMirror::default();
    assert_eq!(mirror.apply_event(&event(5)), SyncStatus::EventsMissing);
    mirror.load_snapshot(5, [hash(5)]);
    assert_eq!(mirror.apply_event(&event(seq)), expected);
}

#[test]
fn block_of_one_prompt_is_not_told() {
    let mut mirror = CacheMirror::default();
    mirror.load_snapshot(1, [hash(1), hash(2)]);
    mirror.record_prompt(&prompt(1));
    assert!(mirror.shared_blocks().is_empty());
    mirror.record_prompt(&prompt(1));
    assert!(mirror.shared_blocks().contains(&hash(1)));
    assert!(!mirror.shared_blocks().contains(&hash(2)));
}

//! Histories of prompts at prefill engines that fail and leave, while peers report any
//! numbers. The promises are checked after each step.

use proptest::prelude::*;
use std::collections;
use std::net;
use std::time;
use world::Name;

const MILLI: time::Duration = time::Duration::from_millis(1);
const ENGINES: usize = 3;
const CASES: u32 = 700;
/// How long a peer's report counts.
const BACKLOG_EXPIRY: time::Duration = time::Duration::from_millis(700);

fn engine(index: usize) -> seam::Member {
    seam::Member {
        id: Name::from(format!("engine-{index}")),
        service: Name::from("chat"),
        address: net::SocketAddr::from(([10, 0, 0, 1], 80 + index as u16)),
        zone: Name::from("ruahine"),
        slots: 4,
        state: seam::MemberState::Ready,
        role: Some(seam::Role::Prefill),
        cold_left: std::time::Duration::ZERO,
        started_ms: 1,
    }
}

#[derive(Clone, Debug)]
enum PromptEvent {
    Wait(u64),
    Prompt(u64),
    End(prop::sample::Index, u64, bool),
    Leave(usize),
    Peer(usize, u64, f64),
    Prefer(usize, usize),
}

fn prompt_events() -> impl Strategy<Value = Vec<PromptEvent>> {
    let end = (any::<prop::sample::Index>(), 0_u64..2_000, any::<bool>());
    let peer = (0..ENGINES, any::<u64>(), prop::num::f64::ANY);
    let event = prop_oneof![
        2 => (1_u64..700).prop_map(PromptEvent::Wait),
        5 => prop_oneof![Just(0), 1_u64..9_000, Just(u64::from(u32::MAX))]
            .prop_map(PromptEvent::Prompt),
        4 => end.prop_map(|(which, took, ready)| PromptEvent::End(which, took, ready)),
        1 => (0..ENGINES * 3).prop_map(PromptEvent::Leave),
        1 => peer.prop_map(|(engine, backlog, speed)| PromptEvent::Peer(engine, backlog, speed)),
        1 => (0_usize..4, 0_usize..4).prop_map(|(index, count)| PromptEvent::Prefer(index, count)),
    ];
    prop::collection::vec(event, 1..100)
}

proptest! {
    #![proptest_config(seeded::config(CASES))]

    /// Backlogs are given back once, and a usable engine is always found, with a time.
    #[test]
    fn prompts_go_to_usable_engines_and_are_given_back(events in prompt_events()) {
        let mut now = time::Instant::now();
        let mut pool = pool::PrefillPool::default();
        let mut listed = [true; ENGINES];
        let mut open: Vec<(Name, u64)> = Vec::new();
        let mut failed: collections::BTreeMap<Name, time::Instant> = collections::BTreeMap::new();
        let mut peer: Option<(Name, u64, time::Instant)> = None;
        let list = |pool: &mut pool::PrefillPool, listed: &[bool]| {
            let all = (0..ENGINES).filter(|i| listed[*i]);
            let members: Vec<_> = all.map(engine).collect();
            pool.set_engines(members.iter());
        };
        list(&mut pool, &listed);
        for event in events {
            match event {
                PromptEvent::Wait(ms) => now += MILLI * ms as u32,
                PromptEvent::Prompt(tokens) => {
                    let sound = |i: usize| {
                        let id = engine(i).id;
                        listed[i] && failed.get(&id).is_none_or(|f| now - *f > 4_000 * MILLI)
                    };
                    let picked = pool.pick(tokens, Some("ruahine"), now);
                    prop_assert!(picked.is_some() || !(0..ENGINES).any(sound));
                    if let Some((id, expected)) = picked {
                        prop_assert!(expected <= time::Duration::from_secs(86_400));
                        let index = (0..ENGINES).find(|i| engine(*i).id == id);
                        prop_assert!(index.is_some_and(|i| listed[i]));
                        pool.start_prompt(&id, tokens, now);
                        // An engine that has failed is tried by one prompt at a time.
                        failed.entry(id.clone()).and_modify(|at| *at = now);
                        open.push((id, tokens));
                    }
                }
                PromptEvent::End(which, took, ready) if !open.is_empty() => {
                    let (id, tokens) = open.remove(which.index(open.len()));
                    pool.end_prompt(&id, tokens);
                    match ready {
                        true => pool.record_prefill(&id, tokens, MILLI * took as u32),
                        false => {
                            pool.record_failure(&id, now);
                            failed.insert(id, now);
                        }
                    }
                }
                PromptEvent::End(..) => {}
                PromptEvent::Leave(index) => {
                    listed[index % ENGINES] = index >= ENGINES;
                    list(&mut pool, &listed);
                }
                PromptEvent::Peer(index, backlog, speed) => {
                    let id = engine(index).id;
                    let backlogs = collections::BTreeMap::from([(id.clone(), backlog)]);
                    pool.update_peer(&Name::from("peer"), backlogs, now);
                    pool.add_peer_speeds(&collections::BTreeMap::from([(id.clone(), speed)]));
                    peer = Some((id, backlog, now));
                }
                PromptEvent::Prefer(index, count) => pool.assign_preferred(index, count),
            }
            let own = pool.own_backlogs();
            for index in 0..ENGINES {
                let id = engine(index).id;
                let sum: u64 = open.iter().filter(|(e, _)| *e == id).map(|(_, t)| t).sum();
                prop_assert_eq!(own.get(&id).copied().unwrap_or_default(), sum);
                let by_peer = match &peer {
                    Some((engine, backlog, at)) if *engine == id && now - *at < BACKLOG_EXPIRY => {
                        *backlog
                    }
                    _ => 0,
                };
                prop_assert_eq!(pool.backlog(&id, now), sum.saturating_add(by_peer));
            }
            prop_assert!(pool.speeds().values().all(|s| s.is_finite() && *s > 0.0));
            prop_assert_eq!(pool.engine_count(), listed.iter().filter(|l| **l).count());
        }
    }
}

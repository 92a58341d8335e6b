//! Tests the queue of calls while all hosts of a plain service are full, and what a burst of
//! calls gets with it and without it.

use pool::CallQueue;
use pool::HostBalancer;
use pool::WaitingCall;
use rand::Rng;
use rand::SeedableRng;
use std::time;
use world::Name;

const MILLI: time::Duration = time::Duration::from_millis(1);
const STEP: time::Duration = time::Duration::from_millis(5);
const ENTRIES: usize = 24;
const HOSTS: usize = 3;
const SLOTS: usize = 6;
/// Calls that a host keeps waiting behind those that it runs.
const BACKLOG: usize = 6;
/// Time that a call takes in steps.
const RUN_STEPS: u32 = 8;

fn call(priority: u8, due_ms: u32, now: time::Instant) -> WaitingCall {
    WaitingCall {
        priority,
        due: now + MILLI * due_ms,
        deadline: now + MILLI * 1_500,
    }
}

#[test]
fn calls_that_can_be_on_time_go_first_by_urgency_and_due_time() {
    let (mut queue, now) = (CallQueue::new(), time::Instant::now());
    for _ in 0..100 {
        queue.record_end(now);
    }
    let calls = [(1, 20), (1, 300), (0, 400), (1, 200)];
    let tickets = calls.map(|(p, due)| queue.join(call(p, due, now), now).expect("there is room"));
    for index in [2, 3, 1, 0] {
        let first = tickets.iter().position(|t| queue.is_first(*t, now));
        assert_eq!(first, Some(index));
        queue.leave(tickets[index]);
    }
    assert!(queue.is_empty());
}

#[test]
fn call_whose_turn_would_come_too_late_is_refused_at_once() {
    let (mut queue, now) = (CallQueue::new(), time::Instant::now());
    for _ in 0..80 {
        queue.record_end(now);
    }
    // 40 calls end in a second, so that 57 of them are ahead of 1.44 s.
    let joined = (0..100).filter(|_| queue.join(call(1, 300, now), now).is_ok());
    assert_eq!(joined.count(), 58);
    let refused = queue.join(call(1, 300, now), now);
    assert_eq!(refused.expect_err("it would wait too long"), MILLI * 1_450);
    // A more urgent one goes before them.
    assert!(queue.join(call(0, 300, now), now).is_ok());
}

fn host(index: usize) -> seam::Member {
    seam::Member {
        id: Name::from(format!("host-{index}")),
        service: Name::from("app"),
        address: ([127, 0, 0, 1], 80).into(),
        zone: Name::from("a"),
        slots: SLOTS as u32,
        state: seam::MemberState::Ready,
        role: None,
        cold_left: time::Duration::ZERO,
        started_ms: 1,
    }
}

/// A caller's call at an entry.
#[derive(Clone, Debug)]
struct Pending {
    arrived: u32,
    entry: usize,
    tried: Vec<Name>,
    ticket: Option<pool::CallTicket>,
}

/// What became of the calls of a burst.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    answered: u32,
    unserved: u32,
    refused_by_hosts: u32,
}

/// Plays a burst of a second that is a third over what the hosts can serve, after a calm
/// second, at entries that know only their own calls.
fn play(has_queue: bool, seed: u64) -> Outcome {
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let start = time::Instant::now();
    let members: Vec<seam::Member> = (0..HOSTS).map(host).collect();
    let mut balancers = vec![HostBalancer::default(); ENTRIES];
    for balancer in &mut balancers {
        balancer.set_hosts(members.iter());
    }
    let mut queues = vec![CallQueue::new(); ENTRIES];
    let mut pending: Vec<Pending> = Vec::new();
    // Calls at each host, with the steps that are left and their entry.
    let mut hosts: Vec<Vec<(u32, usize)>> = vec![Vec::new(); HOSTS];
    let mut outcome = Outcome::default();
    for step in 0..900_u32 {
        let now = start + STEP * step;
        let per_step = match step {
            200..400 => 3.0,
            0..600 => 1.0,
            _ => 0.0,
        };
        for _ in 0..3 {
            if random.random_bool(per_step / 3.0) {
                pending.push(Pending {
                    arrived: step,
                    entry: random.random_range(0..ENTRIES),
                    tried: Vec::new(),
                    ticket: None,
                });
            }
        }
        for (index, calls) in hosts.iter_mut().enumerate() {
            for (left, _) in calls.iter_mut().take(SLOTS) {
                *left -= 1;
            }
            for (_, entry) in calls.extract_if(.., |(left, _)| *left == 0) {
                balancers[entry].record_response(&members[index].id, false);
                balancers[entry].end_call(&members[index].id);
                queues[entry].record_end(now);
                outcome.answered += 1;
            }
        }
        let mut kept = Vec::new();
        for mut call in pending.drain(..) {
            let (balancer, queue) = (&mut balancers[call.entry], &mut queues[call.entry]);
            let deadline = start + STEP * (call.arrived + 300);
            if now >= deadline {
                call.ticket.into_iter().for_each(|t| queue.leave(t));
                outcome.unserved += 1;
                continue;
            }
            let picked = match has_queue {
                false => balancer.pick("a", &call.tried, now),
                true => {
                    let is_first = match call.ticket {
                        Some(ticket) => queue.is_first(ticket, now),
                        None => queue.is_empty(),
                    };
                    let open = balancer.pick_open("a", &call.tried, now);
                    open.filter(|_| is_first)
                }
            };
            let Some(picked) = picked else {
                if !has_queue {
                    outcome.unserved += 1;
                    continue;
                }
                if call.ticket.is_none() {
                    let waiting = WaitingCall {
                        priority: 1,
                        due: start + STEP * (call.arrived + 60),
                        deadline,
                    };
                    call.ticket = queue.join(waiting, now).ok();
                }
                call.tried.clear();
                match call.ticket {
                    Some(_) => kept.push(call),
                    None => outcome.unserved += 1,
                }
                continue;
            };
            call.ticket.take().into_iter().for_each(|t| queue.leave(t));
            let index = members
                .iter()
                .position(|m| m.id == picked)
                .expect("it is listed");
            balancer.start_call(&picked);
            if hosts[index].len() < SLOTS + BACKLOG {
                hosts[index].push((RUN_STEPS, call.entry));
                continue;
            }
            outcome.refused_by_hosts += 1;
            balancer.record_refusal(&picked, now);
            balancer.end_call(&picked);
            call.tried.push(picked);
            kept.push(call);
        }
        pending = kept;
    }
    outcome
}

#[test]
fn burst_of_calls_is_served_although_all_hosts_are_full_for_a_while() {
    for seed in 0..10 {
        let (own, queued) = (play(false, seed), play(true, seed));
        assert!(own.unserved > 20, "the load is no burst: {own:?}");
        assert!(
            queued.unserved * 10 <= own.unserved,
            "{queued:?} against {own:?}"
        );
        assert!(
            queued.refused_by_hosts < own.refused_by_hosts,
            "{queued:?} against {own:?}"
        );
    }
}

//! Tests that ports given to processes under test are free when those start.

use std::net;
use std::process;
use std::sync::atomic;
use std::thread;

/// Processes that start while ports are allocated.
const PROCESSES: usize = 300;
const SPAWNING_THREADS: usize = 6;

/// A process that starts holds copies of all sockets that were open when it was forked,
/// until its program replaces it.
#[test]
fn allocated_port_can_be_bound_while_processes_start() {
    let started = atomic::AtomicUsize::new(0);
    let (mut allocations, mut failures) = (0, 0);
    thread::scope(|scope| {
        for _ in 0..SPAWNING_THREADS {
            scope.spawn(|| {
                while started.fetch_add(1, atomic::Ordering::SeqCst) < PROCESSES {
                    let status = process::Command::new("true").status();
                    assert!(status.is_ok_and(|s| s.success()));
                }
            });
        }
        while started.load(atomic::Ordering::SeqCst) < PROCESSES {
            let address = fake::free_address();
            allocations += 1;
            failures += usize::from(net::TcpListener::bind(address).is_err());
        }
    });
    assert!(allocations > PROCESSES, "{allocations}");
    assert_eq!(failures, 0, "of {allocations} ports");
}

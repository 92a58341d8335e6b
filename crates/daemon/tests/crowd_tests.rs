//! Tests that clients which keep to no limit don't end an entry or keep it from serving others.
//!
//! Each of many connections sends a request without its end and stays open. Once the entry has
//! closed it, another one takes its place. What an entry holds for a connection beside the bytes
//! of its body counts too: buffers, tasks and descriptors.

use fake::tracks::Crowd;
use fake::tracks::TracksCluster;
use fake::tracks::Unfinished;
use std::path;
use std::sync;
use std::thread;
use std::time;
use yare::parameterized;

/// Memory of the entry's host in megabytes. The process alone takes less than half of it.
const MEMORY_MB: usize = 48;
/// Descriptors that the entry's process may have open.
const MAX_DESCRIPTORS: usize = 600;
/// Connections that are open at once.
const CROWD: usize = 700;
/// How often the crowd replaces the connections that were closed.
const ROUNDS: usize = 4;
/// Time between two rounds, in which the entry reads what was sent.
const ROUND_TIME: time::Duration = time::Duration::from_millis(1_500);
/// Longest body that the configuration allows.
const MAX_BODY_BYTES: usize = 100_000;
/// Longest wait for an answer to an ordinary request; long enough for any machine.
const PATIENCE: time::Duration = time::Duration::from_secs(60);
/// Time after which an ordinary caller that was refused or cut off comes back.
const RETURN_TIME: time::Duration = time::Duration::from_millis(200);
/// Keeps the cases apart: each takes the machine on its own.
static MACHINE: sync::Mutex<()> = sync::Mutex::new(());

#[parameterized(
    large_chunks = { Unfinished::LargeChunk },
    small_chunks = { Unfinished::SmallChunks },
    longest_bodies = { Unfinished::LongestBody(MAX_BODY_BYTES) },
    heads = { Unfinished::Head },
)]
fn entry_survives_a_crowd_of_unfinished(unfinished: Unfinished) {
    // A case that failed has ended too.
    let _alone = MACHINE.lock().unwrap_or_else(sync::PoisonError::into_inner);
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let mut cluster = TracksCluster::new(program, &[], 2, 1);
    cluster.configure(|c| c["limits"]["max_body_bytes"] = MAX_BODY_BYTES.into());
    let entry = &cluster.entries[0];
    entry.set_setting("memory_mb", &MEMORY_MB.to_string());
    entry.set_setting("max_fds", &MAX_DESCRIPTORS.to_string());
    cluster.start();
    let calm = cluster.request(0, "POST", "/order/calm", &"x".repeat(MAX_BODY_BYTES), &[]);
    assert_eq!(calm.status, 200, "{calm:?}");
    let mut crowd = Crowd::new(cluster.entries[0].caller_address, unfinished, CROWD);
    let mut descriptors = 0;
    for _ in 0..ROUNDS {
        crowd.press();
        thread::sleep(ROUND_TIME);
        let open = cluster.entries[0].open_descriptors();
        descriptors = descriptors.max(open.expect("the entry is running"));
    }
    let is_answered = is_answered(&cluster);
    let peak = cluster.entries[0].peak_memory();
    let peak = peak.expect("the entry is running");
    println!(
        "{unfinished:?}: peak {peak} bytes, {descriptors} descriptors, answered {is_answered}, \
        {} clients stay",
        crowd.open_count()
    );
    assert!(cluster.entries[0].is_running());
    assert!(peak < MEMORY_MB * 1_000_000, "{peak} bytes");
    assert!(descriptors <= MAX_DESCRIPTORS, "{descriptors} descriptors");
    assert!(is_answered, "no ordinary request was answered");
}

/// Returns whether an ordinary request is answered, by a caller that comes back.
fn is_answered(cluster: &TracksCluster) -> bool {
    let end = time::Instant::now() + PATIENCE;
    while time::Instant::now() < end {
        let response = cluster.request(0, "POST", "/order/ordinary", "an order", &[]);
        if response.status == 200 && response.complete {
            return true;
        }
        thread::sleep(RETURN_TIME);
    }
    false
}

//! Watches a key of the store and reconnects after failures.

use rand::SeedableRng;
use rand::rngs::StdRng;
use route::Backoff;
use std::convert;
use std::thread;
use std::time;
use store::StoreError;
use store::VersionedValue;

/// Initial delay between retries.
const MIN_RETRY_DELAY: time::Duration = time::Duration::from_millis(200);
/// Maximum delay between retries.
const MAX_RETRY_DELAY: time::Duration = time::Duration::from_secs(3);

/// Reads a key of the store and then watches it. Never returns: after a failure
/// it reads the key again after a random, growing delay.
///
/// `on_value` is called with each value that is read, and with `None` if the
/// key does not exist when it is read.
pub(crate) fn watch_key(
    client: &store::Client,
    key: &str,
    seed: u64,
    mut on_value: impl FnMut(Option<&VersionedValue>),
) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut backoff = Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    loop {
        let error = match watch_until_error(client, key, &mut on_value, &mut backoff) {
            Ok(never) => match never {},
            Err(error) => error,
        };
        trace::LogLine::new("store_lost")
            .with("key", key)
            .with("error", &error)
            .warn();
        thread::sleep(backoff.next_wait(&mut random));
    }
}

fn watch_until_error(
    client: &store::Client,
    key: &str,
    on_value: &mut impl FnMut(Option<&VersionedValue>),
    backoff: &mut Backoff,
) -> Result<convert::Infallible, StoreError> {
    let found = client.get(key)?;
    on_value(found.as_ref());
    let after = found.map_or(0, |f| f.revision);
    let mut watch = client.watch(key, after)?;
    backoff.reset();
    loop {
        on_value(Some(&watch.next_change()?));
    }
}

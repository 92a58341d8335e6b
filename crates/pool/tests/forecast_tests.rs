//! Streams whose memory grows with the answer, on one engine.

use std::time;
use world::Name;

const CAPACITY: u64 = 107_797;
const MAX_RESPONSE: u64 = 9_490;
/// Tokens of an event, and the time between two.
const EVENT_TOKENS: f64 = 73.0;
const EVENT_INTERVAL: time::Duration = time::Duration::from_millis(52);
const STEP: time::Duration = time::Duration::from_millis(52);

/// A running stream, with the length that its response will have.
struct Stream {
    prompt: u64,
    events: u64,
    length: u64,
    hint: u64,
    need: pool::MemoryForecast,
}

fn engine() -> pool::DecodePool {
    let member = seam::Member {
        id: Name::from("a"),
        service: Name::from("llm"),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 9_000)),
        zone: Name::from("quezon"),
        slots: 128,
        state: seam::MemberState::Ready,
        role: Some(seam::Role::Decode),
        cold_left: std::time::Duration::ZERO,
        started_ms: 1,
    };
    let spec = seam::EngineSpec {
        slots: 128,
        capacity_tokens: CAPACITY,
        handle_ttl: time::Duration::from_millis(500),
        max_reservation: time::Duration::from_secs(2),
        switch_time: time::Duration::from_secs(6),
    };
    let mut engine = pool::DecodePool::default();
    engine.set_engines([member].iter(), &spec);
    engine
}

/// How the memory of a stream is counted.
#[derive(Clone, Copy, PartialEq)]
enum Account {
    /// As forecast from its progress.
    Forecast,
    /// Its prompt and three tenths of the longest answer, as long as it runs.
    Constant,
}

/// Plays a queue that is never empty for 40 s; returns the number of streams that were
/// completed, and the part of the time in which the engine was out of memory.
fn play(account: Account, seed: u64) -> (u64, f64) {
    use rand::Rng;
    use rand::SeedableRng;
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut normal = || (0..12).map(|_| rng.random_range(0.0..1.0)).sum::<f64>() - 6.0;
    let mut engine = engine();
    let mut responses = pool::ResponseModel::default();
    let mut streams: Vec<Stream> = Vec::new();
    let (mut completed, mut out_of_memory, steps) = (0, 0, 770);
    let start = time::Instant::now();
    for step in 0..steps {
        let now = start + STEP * step;
        let mut ended = Vec::new();
        for (index, stream) in streams.iter_mut().enumerate() {
            stream.events += 1;
            if stream.events >= stream.length {
                ended.push(index);
                continue;
            }
            if account == Account::Forecast {
                let made = stream.events as f64 * responses.tokens_per_event();
                let length = responses.estimate(MAX_RESPONSE, Some(stream.hint));
                let rate = responses.rate(Some(EVENT_INTERVAL), &length);
                let need = pool::MemoryForecast::of_stream(stream.prompt, made, rate, &length);
                engine.update_stream("a", stream.need, need);
                stream.need = need;
            }
        }
        for index in ended.into_iter().rev() {
            let stream = streams.swap_remove(index);
            engine.end_stream("a", stream.need, true);
            responses.record(
                stream.length,
                EVENT_INTERVAL * stream.length as u32,
                Some(stream.hint),
            );
            completed += 1;
        }
        loop {
            let prompt = (5_000.0 * (0.4 * normal()).exp()) as u64;
            let length = (60.0 * (0.46 * normal()).exp()).clamp(5.0, 130.0) as u64;
            let hint = (length as f64 * EVENT_TOKENS * (0.5 * normal()).exp()) as u64;
            let need = match account {
                Account::Constant => pool::MemoryForecast::constant(prompt + MAX_RESPONSE * 3 / 10),
                Account::Forecast => {
                    let expected = responses.estimate(MAX_RESPONSE, Some(hint));
                    let rate = responses.rate(None, &expected);
                    pool::MemoryForecast::of_stream(prompt, 0.0, rate, &expected)
                }
            };
            if engine.pick(need, "quezon", || 0.0, now).is_none() {
                break;
            }
            engine.start_stream("a", need, now);
            streams.push(Stream {
                prompt,
                events: 0,
                length,
                hint,
                need,
            });
        }
        let held = |s: &Stream| s.prompt as f64 + s.events as f64 * EVENT_TOKENS;
        let used: f64 = streams.iter().map(held).sum();
        out_of_memory += u32::from(used > CAPACITY as f64);
    }
    (completed, f64::from(out_of_memory) / f64::from(steps))
}

/// A seat is for a stream's whole life. With streams counted alike at their first token
/// and their last, an engine whose queue is never empty runs out of memory much of the
/// time; the forecast leaves room for what will be made, and little beyond that.
#[test]
fn full_engine_rarely_runs_out_of_memory() {
    let sum = |account| {
        let plays = (1..=20).map(|seed| play(account, seed));
        plays.fold((0, 0.0), |sum, (completed, part)| {
            (sum.0 + completed, sum.1 + part / 20.0)
        })
    };
    let (forecast, constant) = (sum(Account::Forecast), sum(Account::Constant));
    assert!(
        constant.1 > 0.1,
        "the load does not fill the engine: {constant:?}"
    );
    assert!(
        forecast.1 <= constant.1 / 10.0,
        "{forecast:?}, {constant:?}"
    );
    assert!(
        forecast.0 as f64 >= constant.0 as f64 * 0.8,
        "{forecast:?}, {constant:?}"
    );
}

#[test]
fn stream_needs_less_later_if_it_will_have_ended() {
    let length = pool::LengthEstimate {
        median: 1_000.0,
        spread: 0.3,
        max: 2_000.0,
    };
    let slow = pool::MemoryForecast::of_stream(5_000, 0.0, 100.0, &length);
    let fast = pool::MemoryForecast::of_stream(5_000, 0.0, 10_000.0, &length);
    assert_eq!((slow.now(), fast.now()), (5_000, 5_000));
    assert!(slow.peak() > 5_000);
    assert_eq!(fast.peak(), 5_000);
}

/// The deviation must not pass what the streams can hold at all: a stream whose longest
/// answer fits would wait forever.
#[test]
fn stream_that_fits_alone_gets_an_empty_engine() {
    let length = pool::LengthEstimate {
        median: 1_000.0,
        spread: 0.5,
        max: 2_000.0,
    };
    let need = pool::MemoryForecast::of_stream(CAPACITY - 2_000, 0.0, 1_000.0, &length);
    assert!(
        engine()
            .pick(need, "quezon", || 0.0, time::Instant::now())
            .is_some()
    );
}

#[test]
fn paused_stream_keeps_new_ones_away() {
    let (mut engine, now) = (engine(), time::Instant::now());
    let need = pool::MemoryForecast::constant(5_000);
    engine.start_stream("a", need, now);
    engine.set_paused("a", true);
    assert_eq!(engine.pick(need, "quezon", || 0.0, now), None);
    engine.set_paused("a", false);
    assert!(engine.pick(need, "quezon", || 0.0, now).is_some());
    // A peer's paused stream counts as well.
    let load = pool::EngineLoad {
        memory: need,
        streams: 1,
        paused: 1,
    };
    let loads = std::collections::BTreeMap::from([(Name::from("a"), load)]);
    engine.update_peer(&Name::from("peer"), loads, now);
    assert_eq!(engine.pick(need, "quezon", || 0.0, now), None);
}

#[test]
fn length_is_learnt_from_complete_responses() {
    let mut responses = pool::ResponseModel::default();
    let first = responses.estimate(10_000, None);
    assert!((first.median - 5_000.0).abs() < 1.0 && first.max == 10_000.0);
    for _ in 0..100 {
        responses.record(20, time::Duration::from_millis(1_000), Some(2_000));
    }
    let learnt = responses.estimate(10_000, None);
    assert!((learnt.median - 2_000.0).abs() < 50.0, "{learnt:?}");
    assert!((responses.rate(None, &learnt) - 2_000.0).abs() < 50.0);
    // A hint counts with its own weight; the estimate lies between the two.
    let hinted = responses.estimate(10_000, Some(8_000));
    assert!(hinted.median > learnt.median && hinted.median < 8_000.0);
    assert!(hinted.spread < first.spread);
}

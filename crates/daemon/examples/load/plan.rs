//! The requests of a run, drawn from a seed: which organisation sends what, when and to which entry.

use crate::options::Options;
use fake::ClusterSpec;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::time;

/// The class with the stricter targets.
pub const URGENT: Class = Class {
    name: "urgent",
    first_token_ms: 400,
    token_gap_ms: 16,
};
/// The class of requests that can wait.
pub const REPORT: Class = Class {
    name: "report",
    first_token_ms: 4_000,
    token_gap_ms: 32,
};

/// The mean length of a prompt, before it is clamped to the range that [`draw_prompt`] allows.
const MEAN_PROMPT_TOKENS: f64 = 600.0;
/// The mean length of an answer, before it is clamped in the same way.
const MEAN_ANSWER_TOKENS: f64 = 150.0;
/// The limit that callers set for an answer, as they do not know its length in advance.
const MAX_ANSWER_TOKENS: u32 = 512;
/// The standard deviation of the natural logarithm of the length of a prompt or answer.
const LOG_LENGTH_DEVIATION: f64 = 0.8;
/// The fraction of prompts that begin with one of the shared texts of their organisation.
const SHARED_FRACTION: f64 = 0.5;
/// How many shared texts each organisation has.
const SHARED_TEXT_COUNT: u32 = 12;
/// The ratio of the load that the greedy organisation sends to its planned load.
const GREEDY_FACTOR: f64 = 5.0;

/// A class of requests, with the targets for the time to the first token and for the mean gap between
/// tokens.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    pub name: &'static str,
    pub first_token_ms: u64,
    pub token_gap_ms: u64,
}

/// An organisation that sends a fraction of the load.
#[derive(Clone, Debug)]
pub struct Organisation {
    pub name: &'static str,
    /// The organisation's fraction of the planned load.
    pub load_fraction: f64,
    pub class: Class,
    /// Whether the organisation sends far more than its fraction.
    pub greedy: bool,
}

/// One request and when it is sent.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The time since the start of the run.
    pub offset: time::Duration,
    /// The index of the organisation that sends the request.
    pub organisation: usize,
    /// The index of the entry that receives the request.
    pub entry: usize,
    pub prompt: String,
    pub max_tokens: u32,
}

/// All requests of a run, in the order of their times.
pub struct Plan {
    pub organisations: Vec<Organisation>,
    pub arrivals: Vec<Arrival>,
    /// The planned load of all organisations, in tokens of prompts and answers per second.
    pub token_rate: f64,
}

impl Plan {
    /// Draws the requests of a run at `load` percent of the decode engines' capacity.
    pub fn draw(spec: &ClusterSpec, options: &Options, load: u32, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let organisations = organisations();
        // Each further request in a batch lengthens the fake engine's decode step by 2 %.
        let batch_factor = 1.0 + 0.02 * (spec.engine.seats - 1) as f64;
        let step_seconds = spec.engine.step_time.as_secs_f64() * batch_factor;
        let capacity = (spec.decode_engines * spec.engine.seats) as f64 / step_seconds;
        let request_rate = capacity * f64::from(load) / 100.0 / MEAN_ANSWER_TOKENS;
        let offered: f64 = organisations.iter().map(Organisation::offered_load).sum();
        let mut arrivals = Vec::new();
        let mut offset = 0.0;
        while load > 0 && offset < options.seconds as f64 {
            let gap: f64 = -random.random::<f64>().max(1e-12).ln();
            offset += gap / (request_rate * offered);
            let organisation = pick_organisation(&organisations, random.random::<f64>() * offered);
            arrivals.push(Arrival {
                offset: time::Duration::from_secs_f64(offset),
                organisation,
                entry: pick_entry(&mut random, spec.entries),
                prompt: draw_prompt(&mut random, organisation),
                max_tokens: MAX_ANSWER_TOKENS,
            });
        }
        let tokens_per_request = MEAN_PROMPT_TOKENS + MEAN_ANSWER_TOKENS;
        Self {
            organisations,
            arrivals,
            token_rate: request_rate * tokens_per_request,
        }
    }
}

impl Organisation {
    /// Returns the load that the organisation sends, as a fraction of the planned load of all
    /// organisations.
    fn offered_load(&self) -> f64 {
        match self.greedy {
            true => self.load_fraction * GREEDY_FACTOR,
            false => self.load_fraction,
        }
    }
}

fn organisations() -> Vec<Organisation> {
    let organisation = |name, load_fraction, class, greedy| Organisation {
        name,
        load_fraction,
        class,
        greedy,
    };
    vec![
        organisation("large", 0.35, URGENT, false),
        organisation("middle", 0.25, URGENT, false),
        organisation("reports", 0.20, REPORT, false),
        organisation("small", 0.10, URGENT, false),
        organisation("greedy", 0.10, URGENT, true),
    ]
}

/// Picks the organisation at a point on a scale on which the organisations follow each other, each with
/// a section as long as its offered load.
fn pick_organisation(organisations: &[Organisation], mut point: f64) -> usize {
    for (i, organisation) in organisations.iter().enumerate() {
        point -= organisation.offered_load();
        if point <= 0.0 {
            return i;
        }
    }
    organisations.len() - 1
}

/// Picks an entry unevenly, as load balancers do: the first entry gets half of the requests and its
/// equal share of the others.
fn pick_entry(random: &mut ChaCha8Rng, entries: usize) -> usize {
    match random.random::<f64>() < 0.5 {
        true => 0,
        false => random.random_range(0..entries),
    }
}

/// Draws a prompt: a shared text of the organisation or none, the length of the answer for the fake
/// engine, and then random text.
fn draw_prompt(random: &mut ChaCha8Rng, organisation: usize) -> String {
    let tokens = draw_length(random, MEAN_PROMPT_TOKENS).clamp(20, 8_000);
    let answer = draw_length(random, MEAN_ANSWER_TOKENS).clamp(4, u64::from(MAX_ANSWER_TOKENS));
    let shared = random.random::<f64>() < SHARED_FRACTION;
    let unique: u64 = random.random();
    let prefix = match shared {
        true => {
            let text = random.random_range(0..SHARED_TEXT_COUNT);
            // The length of this text is part of the workload: another one would change the figures.
            format!("shared text {text} of tenant {organisation} ").repeat(60)
        }
        false => String::new(),
    };
    let mut prompt = prefix;
    let prompt_bytes = 4 * tokens as usize;
    prompt += &format!("[len={answer}] {unique:016x} ");
    while prompt.len() < prompt_bytes {
        prompt += &format!("{:016x} ", random.random::<u64>());
    }
    prompt
}

/// Draws a length from a log-normal distribution with this mean.
fn draw_length(random: &mut ChaCha8Rng, mean: f64) -> u64 {
    let (u1, u2): (f64, f64) = (random.random(), random.random());
    let normal = (-2.0 * u1.max(1e-12).ln()).sqrt() * (std::f64::consts::TAU * u2).cos();
    let log_mean = mean.ln() - LOG_LENGTH_DEVIATION * LOG_LENGTH_DEVIATION / 2.0;
    (log_mean + LOG_LENGTH_DEVIATION * normal).exp() as u64
}

//! The requests of a run, drawn from a seed: which tenant sends what, when and to which entry.

use crate::options::Options;
use fake::ClusterSpec;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::time;

/// The class with the stricter targets.
pub const URGENT: Targets = Targets {
    name: "urgent",
    first_token_ms: 400,
    token_gap_ms: 16,
};
/// The class of requests that can wait.
pub const REPORT: Targets = Targets {
    name: "report",
    first_token_ms: 4_000,
    token_gap_ms: 32,
};

/// The mean length of a prompt.
const MEAN_PROMPT_TOKENS: f64 = 600.0;
/// The mean length of an answer.
const MEAN_ANSWER_TOKENS: f64 = 150.0;
/// The limit that callers set for an answer, as they do not know its length in advance.
const MAX_ANSWER_TOKENS: u32 = 512;
/// The standard deviation of the natural logarithm of a length.
const LOG_LENGTH_DEVIATION: f64 = 0.8;
/// The fraction of prompts that begin with one of the shared texts of their tenant.
const SHARED_FRACTION: f64 = 0.5;
/// How many shared texts each tenant has.
const SHARED_TEXT_COUNT: u32 = 12;
/// How many times its planned load the greedy tenant sends.
const GREEDY_FACTOR: f64 = 5.0;

/// The name and the targets of a class.
#[derive(Clone, Copy, Debug)]
pub struct Targets {
    pub name: &'static str,
    pub first_token_ms: u64,
    pub token_gap_ms: u64,
}

/// An organisation that sends a fraction of the load.
#[derive(Clone, Debug)]
pub struct Tenant {
    pub name: &'static str,
    /// The tenant's fraction of the planned load.
    pub load_fraction: f64,
    pub class: Targets,
    /// Whether the tenant sends far more than its fraction.
    pub greedy: bool,
}

/// One request and when it is sent.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The time since the start of the run.
    pub offset: time::Duration,
    /// The index of the tenant that sends the request.
    pub tenant: usize,
    /// The index of the entry that receives the request.
    pub entry: usize,
    pub prompt: String,
    pub max_tokens: u32,
}

/// All requests of a run, in the order of their times.
pub struct Plan {
    pub tenants: Vec<Tenant>,
    pub arrivals: Vec<Arrival>,
    /// The planned load of all tenants, in tokens of prompts and answers per second.
    pub token_rate: f64,
}

impl Plan {
    /// Draws the requests of a run at `load` percent of the decode engines' capacity.
    pub fn draw(spec: &ClusterSpec, options: &Options, load: u32, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let tenants = tenants();
        // Each further request in a batch lengthens the fake engine's decode step by 2 %.
        let batch_factor = 1.0 + 0.02 * (spec.engine.seats - 1) as f64;
        let step_seconds = spec.engine.step_time.as_secs_f64() * batch_factor;
        let capacity = (spec.decode_engines * spec.engine.seats) as f64 / step_seconds;
        let request_rate = capacity * f64::from(load) / 100.0 / MEAN_ANSWER_TOKENS;
        let offered: f64 = tenants.iter().map(Tenant::offered_load).sum();
        let mut arrivals = Vec::new();
        let mut offset = 0.0;
        while load > 0 && offset < options.seconds as f64 {
            let gap: f64 = -random.random::<f64>().max(1e-12).ln();
            offset += gap / (request_rate * offered);
            let tenant = pick_tenant(&tenants, random.random::<f64>() * offered);
            arrivals.push(Arrival {
                offset: time::Duration::from_secs_f64(offset),
                tenant,
                entry: pick_entry(&mut random, spec.entries),
                prompt: draw_prompt(&mut random, tenant),
                max_tokens: MAX_ANSWER_TOKENS,
            });
        }
        let tokens_per_request = MEAN_PROMPT_TOKENS + MEAN_ANSWER_TOKENS;
        Self {
            tenants,
            arrivals,
            token_rate: request_rate * tokens_per_request,
        }
    }
}

impl Tenant {
    /// Returns the load that the tenant sends, as a fraction of the planned load of all tenants.
    fn offered_load(&self) -> f64 {
        match self.greedy {
            true => self.load_fraction * GREEDY_FACTOR,
            false => self.load_fraction,
        }
    }
}

fn tenants() -> Vec<Tenant> {
    let tenant = |name, load_fraction, class, greedy| Tenant {
        name,
        load_fraction,
        class,
        greedy,
    };
    vec![
        tenant("large", 0.35, URGENT, false),
        tenant("middle", 0.25, URGENT, false),
        tenant("reports", 0.20, REPORT, false),
        tenant("small", 0.10, URGENT, false),
        tenant("greedy", 0.10, URGENT, true),
    ]
}

/// Picks the tenant at a point on the scale on which each tenant covers its offered load.
fn pick_tenant(tenants: &[Tenant], mut point: f64) -> usize {
    for (i, tenant) in tenants.iter().enumerate() {
        point -= tenant.offered_load();
        if point <= 0.0 {
            return i;
        }
    }
    tenants.len() - 1
}

/// Picks an entry unevenly, as load balancers do: the first entry gets half of the requests and its
/// equal share of the others.
fn pick_entry(random: &mut ChaCha8Rng, entries: usize) -> usize {
    match random.random::<f64>() < 0.5 {
        true => 0,
        false => random.random_range(0..entries),
    }
}

/// Draws a prompt: a shared text of the tenant or none, the length of the answer for the fake engine,
/// and then random text.
fn draw_prompt(random: &mut ChaCha8Rng, tenant: usize) -> String {
    let tokens = draw_length(random, MEAN_PROMPT_TOKENS).clamp(20, 8_000);
    let answer = draw_length(random, MEAN_ANSWER_TOKENS).clamp(4, u64::from(MAX_ANSWER_TOKENS));
    let shared = random.random::<f64>() < SHARED_FRACTION;
    let unique: u64 = random.random();
    let prefix = match shared {
        true => {
            let text = random.random_range(0..SHARED_TEXT_COUNT);
            format!("shared text {text} of tenant {tenant} ").repeat(60)
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

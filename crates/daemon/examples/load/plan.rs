//! Who asks for what and when, drawn from a seed.

use crate::options::Options;
use fake::ClusterSpec;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::time;

/// Targets of the two classes, in milliseconds.
pub const URGENT: Targets = Targets {
    name: "urgent",
    first: 400,
    token: 16,
};
pub const REPORT: Targets = Targets {
    name: "report",
    first: 4_000,
    token: 32,
};

/// Mean lengths, in tokens.
const MEAN_PROMPT: f64 = 600.0;
const MEAN_ANSWER: f64 = 150.0;
/// What callers set as the most, as they do not know the answer's length.
const MOST_ANSWER: u32 = 512;
/// Lengths spread like this: the logarithm's standard deviation.
const SPREAD: f64 = 0.8;
/// Part of the prompts that begin with a text that others share.
const SHARED: f64 = 0.5;
const SHARED_TEXTS: u32 = 12;
/// How much the greedy organisation sends of its rate.
const GREED: f64 = 5.0;

/// A class's name and targets.
#[derive(Clone, Copy, Debug)]
pub struct Targets {
    pub name: &'static str,
    pub first: u64,
    pub token: u64,
}

/// An organisation, its part of the load, and what it asks for.
#[derive(Clone, Debug)]
pub struct Tenant {
    pub name: &'static str,
    pub part: f64,
    pub class: Targets,
    pub greedy: bool,
}

/// One request.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: time::Duration,
    pub tenant: usize,
    pub entry: usize,
    pub prompt: String,
    pub max: u32,
}

/// All that a run asks for.
pub struct Plan {
    pub tenants: Vec<Tenant>,
    pub arrivals: Vec<Arrival>,
    /// Tokens per second and burst of a tenant with this part.
    pub rate: f64,
}

impl Plan {
    /// Draws a run at `load` percent of what the decode engines can do.
    pub fn draw(spec: &ClusterSpec, options: &Options, load: u32, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let tenants = tenants();
        let full = 1.0 + 0.02 * (spec.engine.seats - 1) as f64;
        let step = spec.engine.step_time.as_secs_f64() * full;
        let capacity = (spec.decode_engines * spec.engine.seats) as f64 / step;
        let requests = capacity * f64::from(load) / 100.0 / MEAN_ANSWER;
        let offered: f64 = tenants.iter().map(Tenant::offered).sum();
        let mut arrivals = Vec::new();
        let mut at = 0.0;
        while load > 0 && at < options.seconds as f64 {
            let gap: f64 = -random.random::<f64>().max(1e-12).ln();
            at += gap / (requests * offered);
            let tenant = pick(&tenants, random.random::<f64>() * offered);
            arrivals.push(Arrival {
                at: time::Duration::from_secs_f64(at),
                tenant,
                entry: uneven(&mut random, spec.entries),
                prompt: prompt(&mut random, tenant),
                max: MOST_ANSWER,
            });
        }
        let per_request = MEAN_PROMPT + MEAN_ANSWER;
        Self {
            tenants,
            arrivals,
            rate: requests * per_request,
        }
    }
}

impl Tenant {
    fn offered(&self) -> f64 {
        match self.greedy {
            true => self.part * GREED,
            false => self.part,
        }
    }
}

fn tenants() -> Vec<Tenant> {
    let tenant = |name, part, class, greedy| Tenant {
        name,
        part,
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

fn pick(tenants: &[Tenant], mut at: f64) -> usize {
    for (i, tenant) in tenants.iter().enumerate() {
        at -= tenant.offered();
        if at <= 0.0 {
            return i;
        }
    }
    tenants.len() - 1
}

/// Balancers spread callers unevenly: the first entry gets half.
fn uneven(random: &mut ChaCha8Rng, entries: usize) -> usize {
    match random.random::<f64>() < 0.5 {
        true => 0,
        false => random.random_range(0..entries),
    }
}

fn prompt(random: &mut ChaCha8Rng, tenant: usize) -> String {
    let tokens = length(random, MEAN_PROMPT).clamp(20, 8_000);
    let answer = length(random, MEAN_ANSWER).clamp(4, u64::from(MOST_ANSWER));
    let shared = random.random::<f64>() < SHARED;
    let unique: u64 = random.random();
    let head = match shared {
        true => {
            let text = random.random_range(0..SHARED_TEXTS);
            format!("shared text {text} of tenant {tenant} ").repeat(60)
        }
        false => String::new(),
    };
    let mut prompt = head;
    let bytes = 4 * tokens as usize;
    prompt += &format!("[len={answer}] {unique:016x} ");
    while prompt.len() < bytes {
        prompt += &format!("{:016x} ", random.random::<u64>());
    }
    prompt
}

/// A log-normal length of this mean.
fn length(random: &mut ChaCha8Rng, mean: f64) -> u64 {
    let (a, b): (f64, f64) = (random.random(), random.random());
    let normal = (-2.0 * a.max(1e-12).ln()).sqrt() * (std::f64::consts::TAU * b).cos();
    let location = mean.ln() - SPREAD * SPREAD / 2.0;
    (location + SPREAD * normal).exp() as u64
}

//! What the users measure: goodput under both targets, wasted prefill, the
//! worst-served organisation, and refusals within an organisation's rate.

use crate::plan::Plan;
use crate::session::TestSite;
use hdrhistogram::Histogram;
use plotters::prelude::*;
use std::collections;
use std::error;
use std::fmt;
use std::time;

/// The head of the table.
pub const HEAD: &str = "policy        load  goodput/s (spread)    attained  waste %  worst %  mean %  refused  broken  late %  slow %  first ms p50/p99";

/// What one caller saw.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub tenant: usize,
    pub status: u16,
    pub first: Option<time::Duration>,
    pub last: time::Duration,
    pub tokens: u32,
    pub whole: bool,
    /// The answer was not the engine's.
    pub wrong: bool,
}

impl Outcome {
    pub fn new(tenant: usize) -> Self {
        Self {
            tenant,
            status: 0,
            first: None,
            last: time::Duration::ZERO,
            tokens: 0,
            whole: false,
            wrong: false,
        }
    }

    fn attained(&self, plan: &Plan) -> bool {
        self.whole && self.in_time(plan) && self.in_pace(plan)
    }

    fn in_time(&self, plan: &Plan) -> bool {
        let target = time::Duration::from_millis(plan.tenants[self.tenant].class.first);
        self.first.is_some_and(|first| first <= target)
    }

    fn in_pace(&self, plan: &Plan) -> bool {
        let target = time::Duration::from_millis(plan.tenants[self.tenant].class.token);
        let gaps = self.tokens.saturating_sub(1).max(1);
        let first = self.first.unwrap_or(self.last);
        self.last.saturating_sub(first) / gaps <= target
    }
}

/// How many of a tenant's requests attained their targets.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    good: usize,
    all: usize,
}

impl Tally {
    fn part(self) -> f64 {
        self.good as f64 / self.all.max(1) as f64
    }
}

/// The measures of one run.
#[derive(Clone, Debug, Default)]
pub struct Measures {
    /// Requests within both targets, each second.
    pub goodput: f64,
    /// Part of the requests of tenants within their rate that attained theirs.
    pub attained: f64,
    /// Prefilled tokens in vain, as a part of all.
    pub waste: f64,
    /// Attainment of the worst-served tenant within its rate.
    pub worst: f64,
    /// Mean attainment over tenants within their rate.
    pub mean: f64,
    /// Attained and all requests of each tenant within its rate.
    pub tenants: collections::BTreeMap<&'static str, Tally>,
    /// Requests refused although within the rate.
    pub refused: usize,
    /// Requests that got neither a refusal nor a whole answer, or a wrong one.
    pub broken: usize,
    pub first_p50: u64,
    pub first_p99: u64,
    /// Part of the answers whose first token was late.
    pub late: f64,
    /// Part of the answers whose stream was too slow.
    pub slow: f64,
}

impl Measures {
    pub fn of_run(site: &TestSite, plan: &Plan, seconds: u64, outcomes: &[Outcome]) -> Self {
        let good = outcomes.iter().filter(|o| o.attained(plan)).count();
        let within: Vec<&Outcome> = outcomes
            .iter()
            .filter(|o| !plan.tenants[o.tenant].greedy)
            .collect();
        let mut tenants: collections::BTreeMap<&'static str, Tally> = collections::BTreeMap::new();
        let mut firsts = Histogram::<u64>::new(3).expect("three digits are allowed");
        for outcome in &within {
            let name = plan.tenants[outcome.tenant].name;
            let tally = tenants.entry(name).or_default();
            tally.good += usize::from(outcome.attained(plan));
            tally.all += 1;
            if let Some(first) = outcome.first {
                let millis = u64::try_from(first.as_millis()).unwrap_or(u64::MAX);
                firsts.record(millis).expect("the histogram grows");
            }
        }
        let (worst, mean) = worst_and_mean(&tenants);
        let engines = site
            .cluster
            .prefill_engines
            .iter()
            .chain(&site.cluster.decode_engines);
        let stats: Vec<_> = engines.map(fake::Engine::stats).collect();
        let prefilled: u64 = stats.iter().map(|s| s.prefilled_tokens).sum();
        let wasted: u64 = stats.iter().map(|s| s.wasted_tokens).sum();
        Self {
            goodput: good as f64 / seconds as f64,
            attained: part(&within, |o| o.attained(plan)),
            waste: wasted as f64 / prefilled.max(1) as f64,
            worst,
            mean,
            tenants,
            refused: within.iter().filter(|o| o.status == 429).count(),
            broken: outcomes
                .iter()
                .filter(|o| o.wrong || (!o.whole && o.status != 429))
                .count(),
            late: part(&within, |o| o.whole && !o.in_time(plan)),
            slow: part(&within, |o| o.whole && !o.in_pace(plan)),
            first_p50: firsts.value_at_quantile(0.5),
            first_p99: firsts.value_at_quantile(0.99),
        }
    }
}

fn worst_and_mean(tenants: &collections::BTreeMap<&'static str, Tally>) -> (f64, f64) {
    let parts = tenants.values().map(|t| t.part());
    let worst = parts.clone().fold(1.0, f64::min);
    (worst, parts.sum::<f64>() / tenants.len().max(1) as f64)
}

/// Adds the runs up: one run has too few requests of a small tenant to tell its
/// attainment from chance.
fn pool(runs: &[Measures]) -> collections::BTreeMap<&'static str, Tally> {
    let mut all: collections::BTreeMap<&'static str, Tally> = collections::BTreeMap::new();
    for (name, tally) in runs.iter().flat_map(|r| &r.tenants) {
        let sum = all.entry(name).or_default();
        sum.good += tally.good;
        sum.all += tally.all;
    }
    all
}

fn part(outcomes: &[&Outcome], holds: impl Fn(&Outcome) -> bool) -> f64 {
    let found = outcomes.iter().filter(|o| holds(o)).count();
    found as f64 / outcomes.len().max(1) as f64
}

impl fmt::Display for Measures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "goodput {:.1}/s attained {:.1} % waste {:.2} % worst {:.1} % mean {:.1} % refused {} broken {} first {}/{} ms",
            self.goodput,
            100.0 * self.attained,
            100.0 * self.waste,
            100.0 * self.worst,
            100.0 * self.mean,
            self.refused,
            self.broken,
            self.first_p50,
            self.first_p99,
        )
    }
}

/// The medians of several runs; tenants' attainments are of all runs together.
pub struct Row {
    policy: String,
    load: u32,
    median: Measures,
    least: f64,
    most: f64,
}

impl Row {
    pub fn of_runs(policy: &str, load: u32, runs: &[Measures]) -> Self {
        let median = |value: fn(&Measures) -> f64| {
            let mut all: Vec<f64> = runs.iter().map(value).collect();
            all.sort_by(f64::total_cmp);
            all[all.len() / 2]
        };
        let goodputs = runs.iter().map(|r| r.goodput);
        let tenants = pool(runs);
        let (worst, mean) = worst_and_mean(&tenants);
        Self {
            policy: policy.to_owned(),
            load,
            least: goodputs.clone().fold(f64::INFINITY, f64::min),
            most: goodputs.fold(0.0, f64::max),
            median: Measures {
                goodput: median(|m| m.goodput),
                attained: median(|m| m.attained),
                waste: median(|m| m.waste),
                worst,
                mean,
                tenants,
                // Of what must not be, the sum is told.
                refused: runs.iter().map(|r| r.refused).sum(),
                broken: runs.iter().map(|r| r.broken).sum(),
                late: median(|m| m.late),
                slow: median(|m| m.slow),
                first_p50: median(|m| m.first_p50 as f64) as u64,
                first_p99: median(|m| m.first_p99 as f64) as u64,
            },
        }
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let m = &self.median;
        write!(
            f,
            "{:<12} {:>4} %  {:>6.1} ({:>5.1}-{:>5.1})  {:>8.1}  {:>7.2}  {:>7.1}  {:>6.1}  {:>7}  {:>6}  {:>6.1}  {:>6.1}  {}/{}",
            self.policy,
            self.load,
            m.goodput,
            self.least,
            self.most,
            100.0 * m.attained,
            100.0 * m.waste,
            100.0 * m.worst,
            100.0 * m.mean,
            m.refused,
            m.broken,
            100.0 * m.late,
            100.0 * m.slow,
            m.first_p50,
            m.first_p99,
        )?;
        for (name, tally) in &m.tenants {
            write!(f, "  {name} {:.1}", 100.0 * tally.part())?;
        }
        Ok(())
    }
}

/// Draws goodput against load, a line for each policy.
pub fn plot(path: &str, rows: &[Row]) -> Result<(), Box<dyn error::Error>> {
    let top = rows.iter().map(|r| r.most).fold(1.0, f64::max) * 1.1;
    let loads = rows.iter().map(|r| r.load);
    let (low, high) = (loads.clone().min().unwrap_or(0), loads.max().unwrap_or(1));
    let root = SVGBackend::new(path, (800, 500)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(20)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(
            f64::from(low)..f64::from(high).max(f64::from(low) + 1.0),
            0.0..top,
        )?;
    chart
        .configure_mesh()
        .x_desc("load, % of decode capacity")
        .y_desc("requests within both targets, per second")
        .draw()?;
    let mut policies: Vec<&str> = rows.iter().map(|r| r.policy.as_str()).collect();
    policies.dedup();
    for (i, policy) in policies.into_iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let points = rows.iter().filter(|r| r.policy == policy);
        let points: Vec<(f64, f64)> = points
            .map(|r| (f64::from(r.load), r.median.goodput))
            .collect();
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(policy)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], color));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}

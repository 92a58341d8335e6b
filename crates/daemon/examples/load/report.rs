//! The results that the users measure: goodput within both targets, wasted prefill, the worst-served
//! organisation, and refusals of requests within an organisation's rate.

use crate::plan::Plan;
use crate::session::TestSite;
use hdrhistogram::Histogram;
use plotters::prelude::*;
use std::collections;
use std::error;
use std::fmt;
use std::time;

/// The header of the table, for rows as [`TableRow`] prints them.
pub const TABLE_HEADER: &str = "policy        load  goodput/s (spread)    attained  waste %  worst %  mean %  refused  broken  late %  slow %  first ms p50/p99";

/// The outcome of one request at its caller.
#[derive(Clone, Debug)]
pub struct RequestOutcome {
    /// The index of the organisation that sent the request.
    pub organisation: usize,
    /// The HTTP status; 0 if there was no response.
    pub status: u16,
    /// When the first token came, from the time at which the request was due.
    pub first_token: Option<time::Duration>,
    /// When the last token came, from the same time.
    pub last_token: time::Duration,
    /// The number of tokens received.
    pub tokens: u32,
    /// Whether the stream ended with `[DONE]`.
    pub finished: bool,
    /// Whether the finished answer differs from that of the fake engine.
    pub wrong_text: bool,
}

impl RequestOutcome {
    /// Returns the outcome of a request that has no response yet.
    pub fn new(organisation: usize) -> Self {
        Self {
            organisation,
            status: 0,
            first_token: None,
            last_token: time::Duration::ZERO,
            tokens: 0,
            finished: false,
            wrong_text: false,
        }
    }

    /// Returns whether the answer is complete and met both targets of its class.
    fn meets_targets(&self, plan: &Plan) -> bool {
        self.finished && self.meets_first_target(plan) && self.meets_gap_target(plan)
    }

    /// Returns whether the first token came in time.
    fn meets_first_target(&self, plan: &Plan) -> bool {
        let target =
            time::Duration::from_millis(plan.organisations[self.organisation].class.first_token_ms);
        self.first_token.is_some_and(|first| first <= target)
    }

    /// Returns whether the mean gap between tokens was short enough.
    fn meets_gap_target(&self, plan: &Plan) -> bool {
        let target =
            time::Duration::from_millis(plan.organisations[self.organisation].class.token_gap_ms);
        let gaps = self.tokens.saturating_sub(1).max(1);
        let first = self.first_token.unwrap_or(self.last_token);
        self.last_token.saturating_sub(first) / gaps <= target
    }
}

/// How many requests of an organisation met both targets, and how many it sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    met: usize,
    total: usize,
}

impl Tally {
    fn fraction(self) -> f64 {
        self.met as f64 / self.total.max(1) as f64
    }
}

/// The results of one run. An organisation is within its rate unless it is greedy. Fractions are from
/// 0 to 1.
#[derive(Clone, Debug, Default)]
pub struct RunResults {
    /// Requests per second that met both targets, of all organisations.
    pub goodput: f64,
    /// The fraction of requests that met both targets, of all organisations within their rate
    /// together.
    pub attained: f64,
    /// The fraction of prefilled tokens whose result was never exported to a decode engine.
    pub waste: f64,
    /// The least fraction of requests that met both targets, over the organisations within their
    /// rate.
    pub worst: f64,
    /// The mean over the organisations within their rate of each one's fraction of requests that met
    /// both targets.
    pub mean: f64,
    /// The tally of each organisation within its rate, by name.
    pub organisations: collections::BTreeMap<&'static str, Tally>,
    /// The number of requests with status 429, of organisations within their rate.
    pub refused: usize,
    /// The number of requests with a wrong answer, or with neither a full answer nor status 429.
    pub broken: usize,
    /// The median time to the first token, of organisations within their rate.
    pub first_p50_ms: u64,
    /// The 99th percentile of the time to the first token, of organisations within their rate.
    pub first_p99_ms: u64,
    /// The fraction of requests that got a full answer with a late first token.
    pub late: f64,
    /// The fraction of requests that got a full answer with too long gaps between its tokens.
    pub slow: f64,
}

impl RunResults {
    /// Computes the results of a run of `seconds` from the outcomes of all requests and the counters
    /// of the engines.
    pub fn from_outcomes(
        site: &TestSite,
        plan: &Plan,
        seconds: u64,
        outcomes: &[RequestOutcome],
    ) -> Self {
        let met_targets = outcomes.iter().filter(|o| o.meets_targets(plan)).count();
        let within_rate: Vec<&RequestOutcome> = outcomes
            .iter()
            .filter(|o| !plan.organisations[o.organisation].greedy)
            .collect();
        let mut organisations: collections::BTreeMap<&'static str, Tally> =
            collections::BTreeMap::new();
        let mut first_token_times =
            Histogram::<u64>::new(3).expect("three significant digits are valid");
        for outcome in &within_rate {
            let name = plan.organisations[outcome.organisation].name;
            let tally = organisations.entry(name).or_default();
            tally.met += usize::from(outcome.meets_targets(plan));
            tally.total += 1;
            if let Some(first) = outcome.first_token {
                let millis = u64::try_from(first.as_millis()).unwrap_or(u64::MAX);
                first_token_times
                    .record(millis)
                    .expect("the histogram resizes itself");
            }
        }
        let (worst, mean) = worst_and_mean(&organisations);
        let engines = site
            .cluster
            .prefill_engines
            .iter()
            .chain(&site.cluster.decode_engines);
        let stats: Vec<_> = engines.map(fake::Engine::stats).collect();
        let prefilled: u64 = stats.iter().map(|s| s.prefilled_tokens).sum();
        let wasted: u64 = stats.iter().map(|s| s.wasted_tokens).sum();
        Self {
            goodput: met_targets as f64 / seconds as f64,
            attained: fraction(&within_rate, |o| o.meets_targets(plan)),
            waste: wasted as f64 / prefilled.max(1) as f64,
            worst,
            mean,
            organisations,
            refused: within_rate.iter().filter(|o| o.status == 429).count(),
            broken: outcomes
                .iter()
                .filter(|o| o.wrong_text || (!o.finished && o.status != 429))
                .count(),
            late: fraction(&within_rate, |o| o.finished && !o.meets_first_target(plan)),
            slow: fraction(&within_rate, |o| o.finished && !o.meets_gap_target(plan)),
            first_p50_ms: first_token_times.value_at_quantile(0.5),
            first_p99_ms: first_token_times.value_at_quantile(0.99),
        }
    }
}

/// Returns the least and the mean over all organisations of the fraction that met both targets.
fn worst_and_mean(organisations: &collections::BTreeMap<&'static str, Tally>) -> (f64, f64) {
    let fractions = organisations.values().map(|t| t.fraction());
    let worst = fractions.clone().fold(1.0, f64::min);
    (
        worst,
        fractions.sum::<f64>() / organisations.len().max(1) as f64,
    )
}

/// Adds up the tallies of several runs, as a small organisation has too few requests in one run for
/// a meaningful fraction.
fn add_tallies(runs: &[RunResults]) -> collections::BTreeMap<&'static str, Tally> {
    let mut all: collections::BTreeMap<&'static str, Tally> = collections::BTreeMap::new();
    for (name, tally) in runs.iter().flat_map(|r| &r.organisations) {
        let sum = all.entry(name).or_default();
        sum.met += tally.met;
        sum.total += tally.total;
    }
    all
}

/// Returns the fraction of outcomes for which `holds` is true.
fn fraction(outcomes: &[&RequestOutcome], holds: impl Fn(&RequestOutcome) -> bool) -> f64 {
    let matching = outcomes.iter().filter(|o| holds(o)).count();
    matching as f64 / outcomes.len().max(1) as f64
}

impl fmt::Display for RunResults {
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
            self.first_p50_ms,
            self.first_p99_ms,
        )
    }
}

/// A row of the table: the medians of several runs with one policy and load.
pub struct TableRow {
    policy: String,
    /// The load in percent of the decode engines' capacity.
    load: u32,
    /// The medians of most results. The tallies of organisations, the worst and the mean of their
    /// fractions are of all runs together; refused and broken requests are summed up.
    median: RunResults,
    /// The least goodput of a run.
    min_goodput: f64,
    /// The greatest goodput of a run.
    max_goodput: f64,
}

impl TableRow {
    /// Summarizes the runs of one policy and load.
    pub fn from_runs(policy: &str, load: u32, runs: &[RunResults]) -> Self {
        let median = |value: fn(&RunResults) -> f64| {
            let mut all: Vec<f64> = runs.iter().map(value).collect();
            all.sort_by(f64::total_cmp);
            all[all.len() / 2]
        };
        let goodputs = runs.iter().map(|r| r.goodput);
        let organisations = add_tallies(runs);
        let (worst, mean) = worst_and_mean(&organisations);
        Self {
            policy: policy.to_owned(),
            load,
            min_goodput: goodputs.clone().fold(f64::INFINITY, f64::min),
            max_goodput: goodputs.fold(0.0, f64::max),
            median: RunResults {
                goodput: median(|results| results.goodput),
                attained: median(|results| results.attained),
                waste: median(|results| results.waste),
                worst,
                mean,
                organisations,
                // These requests should not occur at all, so the table shows their sums.
                refused: runs.iter().map(|r| r.refused).sum(),
                broken: runs.iter().map(|r| r.broken).sum(),
                late: median(|results| results.late),
                slow: median(|results| results.slow),
                first_p50_ms: median(|results| results.first_p50_ms as f64) as u64,
                first_p99_ms: median(|results| results.first_p99_ms as f64) as u64,
            },
        }
    }
}

impl fmt::Display for TableRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let results = &self.median;
        write!(
            f,
            "{:<12} {:>4} %  {:>6.1} ({:>5.1}-{:>5.1})  {:>8.1}  {:>7.2}  {:>7.1}  {:>6.1}  {:>7}  {:>6}  {:>6.1}  {:>6.1}  {}/{}",
            self.policy,
            self.load,
            results.goodput,
            self.min_goodput,
            self.max_goodput,
            100.0 * results.attained,
            100.0 * results.waste,
            100.0 * results.worst,
            100.0 * results.mean,
            results.refused,
            results.broken,
            100.0 * results.late,
            100.0 * results.slow,
            results.first_p50_ms,
            results.first_p99_ms,
        )?;
        for (name, tally) in &results.organisations {
            write!(f, "  {name} {:.1}", 100.0 * tally.fraction())?;
        }
        Ok(())
    }
}

/// Writes an SVG plot of goodput against load with a line for each policy.
pub fn plot(path: &str, rows: &[TableRow]) -> Result<(), Box<dyn error::Error>> {
    let top = rows.iter().map(|r| r.max_goodput).fold(1.0, f64::max) * 1.1;
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

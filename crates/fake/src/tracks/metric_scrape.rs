//! The metrics of an entry as Prometheus reads them.

use std::collections;
use std::net;

/// Port of an entry's metrics.
const METRICS_PORT: u16 = 9_464;

/// One scrape: the described metrics and their samples.
#[derive(Clone, Debug, Default)]
pub struct MetricScrape {
    /// Content type of the response.
    pub content_type: String,
    /// Help texts by name.
    pub help: collections::BTreeMap<String, String>,
    /// Types by name.
    pub types: collections::BTreeMap<String, String>,
    /// All samples.
    pub samples: Vec<MetricSample>,
}

/// One line of a scrape.
#[derive(Clone, Debug)]
pub struct MetricSample {
    /// Name of the metric, without the suffix of a histogram's lines.
    pub metric: String,
    /// Name as it stands in the line.
    pub name: String,
    /// Labels with their values.
    pub labels: collections::BTreeMap<String, String>,
    /// The value.
    pub value: f64,
}

impl MetricScrape {
    /// Reads the metrics of the entry at an address. Panics if there is no answer.
    pub fn read(ip: net::Ipv4Addr) -> Self {
        let url = format!("http://{ip}:{METRICS_PORT}/metrics");
        let mut response = ureq::get(&url).call().expect("the entry serves metrics");
        let content_type = response.headers().get("content-type");
        let content_type = content_type.and_then(|t| t.to_str().ok());
        let content_type = content_type.unwrap_or_default().to_owned();
        let text = response.body_mut().read_to_string();
        let mut scrape = Self {
            content_type,
            ..Self::default()
        };
        for line in text.expect("the metrics are text").lines() {
            scrape.add_line(line);
        }
        scrape
    }

    fn add_line(&mut self, line: &str) {
        if let Some(described) = line.strip_prefix("# HELP ") {
            let (name, help) = described.split_once(' ').unwrap_or((described, ""));
            self.help.insert(name.to_owned(), help.to_owned());
        } else if let Some(typed) = line.strip_prefix("# TYPE ") {
            let (name, kind) = typed.split_once(' ').expect("a type has a name");
            self.types.insert(name.to_owned(), kind.to_owned());
        } else if !line.is_empty() {
            let sample = self.decode_sample(line);
            self.samples.push(sample);
        }
    }

    fn decode_sample(&self, line: &str) -> MetricSample {
        let (series, value) = line.rsplit_once(' ').expect("a sample has a value");
        let (name, labels) = match series.split_once('{') {
            Some((name, labels)) => (name, labels.trim_end_matches('}')),
            None => (series, ""),
        };
        let labels = labels.split(',').filter_map(|label| label.split_once('='));
        let labels = labels.map(|(n, v)| (n.to_owned(), v.trim_matches('"').to_owned()));
        let suffixes = ["_bucket", "_sum", "_count"];
        let stem = suffixes.iter().find_map(|s| name.strip_suffix(s));
        let is_histogram =
            |stem: &&str| self.types.get(*stem).map(String::as_str) == Some("histogram");
        MetricSample {
            metric: stem.filter(is_histogram).unwrap_or(name).to_owned(),
            name: name.to_owned(),
            labels: labels.collect(),
            value: value.parse().expect("a value is a number"),
        }
    }

    /// Returns the sum of the samples of this name that have these labels.
    pub fn sum(&self, name: &str, labels: &[(&str, &str)]) -> f64 {
        let has_labels = |sample: &&MetricSample| {
            let has = |(n, v): &(&str, &str)| sample.labels.get(*n).is_some_and(|l| l == v);
            labels.iter().all(has)
        };
        let named = self.samples.iter().filter(|s| s.name == name);
        named.filter(has_labels).map(|s| s.value).sum()
    }
}

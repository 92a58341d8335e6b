//! Lines of the entries' logs about each request.

use crate::tracks::TracksCluster;
use std::collections;
use std::thread;
use std::time;

/// Within this time an entry has written its log.
const LOG_DELAY: time::Duration = time::Duration::from_millis(800);

/// The lines about each request, in the order in which an entry wrote them.
#[derive(Clone, Debug, Default)]
pub struct RequestLog {
    lines: collections::BTreeMap<String, Vec<String>>,
}

impl RequestLog {
    /// Reads the logs of all entries once they are written.
    pub fn read(cluster: &TracksCluster) -> Self {
        thread::sleep(LOG_DELAY);
        let mut by_request: collections::BTreeMap<String, Vec<String>> = Default::default();
        for log in cluster.entries.iter().map(|e| e.log()) {
            for line in log.lines() {
                if let Some(id) = field(line, "request") {
                    let lines = by_request.entry(id.to_owned()).or_default();
                    lines.push(line.to_owned());
                }
            }
        }
        Self { lines: by_request }
    }

    /// Returns the lines about a request.
    pub fn lines(&self, id: &str) -> &[String] {
        self.lines.get(id).map_or(&[], Vec::as_slice)
    }

    /// Returns the last cause that is named for the end of a request; empty without such
    /// a line.
    pub fn cause(&self, id: &str) -> &str {
        let newest_first = self.lines(id).iter().rev();
        let named = newest_first
            .filter_map(|line| match field(line, "event")? {
                "answer_cut" => field(line, "cause"),
                "refused" => field(line, "reason"),
                "body_refused" => field(line, "status"),
                "stream_end" => field(line, "end"),
                "call" => field(line, "outcome"),
                _ => None,
            })
            .next();
        named.unwrap_or_default()
    }
}

/// Returns the value of a field of a log line.
fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let mut words = line.split(' ').filter_map(|w| w.split_once('='));
    words.find(|(n, _)| *n == name).map(|(_, value)| value)
}

//! The record of a run: what was sent, run and answered, with the time in seconds.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    shared: Arc<Mutex<(File, Vec<String>)>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let shared = Arc::new(Mutex::new((File::create(path)?, Vec::new())));
        let started = Instant::now();
        Ok(Self { shared, started })
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} {text}", self.started.elapsed().as_secs_f64());
        let mut shared = self.shared.lock().unwrap();
        let _ = writeln!(shared.0, "{line}");
        shared.1.push(line);
    }

    /// Returns the lines so far.
    pub fn lines(&self) -> Vec<String> {
        self.shared.lock().unwrap().1.clone()
    }
}

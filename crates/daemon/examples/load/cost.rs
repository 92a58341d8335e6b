//! What the daemons' processes use, as the system counts it.

use crate::session::TestSite;
use std::fmt;
use std::fs;
use std::time;

/// Ticks of processor time in a second, as Linux counts them for processes.
const TICKS: f64 = 100.0;
const PAGE_KB: u64 = 4;

/// What all daemons of a site have used so far.
pub struct Usage {
    at: time::Instant,
    seconds: f64,
    processes: Vec<Process>,
}

struct Process {
    host: String,
    ticks: u64,
    memory: u64,
}

impl Usage {
    /// Reads all processes.
    pub fn of_site(site: &TestSite) -> Self {
        let processes = site.cluster.daemons.iter().filter_map(|daemon| {
            let id = daemon.id()?;
            let stat = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
            let statm = fs::read_to_string(format!("/proc/{id}/statm")).ok()?;
            // The name, in brackets, may hold blanks.
            let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
            let ticks = |i: usize| fields.get(i)?.parse::<u64>().ok();
            let pages: u64 = statm.split(' ').nth(1)?.parse().ok()?;
            Some(Process {
                host: daemon.host.clone(),
                ticks: ticks(11)? + ticks(12)?,
                memory: pages * PAGE_KB,
            })
        });
        Self {
            at: time::Instant::now(),
            seconds: 0.0,
            processes: processes.collect(),
        }
    }

    /// What has been used since an earlier reading.
    pub fn since(mut self, before: &Self) -> Self {
        self.seconds = (self.at - before.at).as_secs_f64();
        for process in &mut self.processes {
            let earlier = before.processes.iter().find(|p| p.host == process.host);
            process.ticks -= earlier.map_or(0, |p| p.ticks);
        }
        self
    }
}

impl fmt::Display for Usage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for process in &self.processes {
            let part = process.ticks as f64 / TICKS / self.seconds;
            writeln!(
                f,
                "  {:<10} {:>6.2} % of a core  {:>6} kB",
                process.host,
                100.0 * part,
                process.memory
            )?;
        }
        Ok(())
    }
}

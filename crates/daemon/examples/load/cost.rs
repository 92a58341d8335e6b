//! The CPU time and memory of the daemons' processes, as Linux reports them.

use crate::session::TestSite;
use std::fmt;
use std::fs;
use std::time;

/// The unit of CPU time in `/proc`: clock ticks per second.
const TICKS_PER_SECOND: f64 = 100.0;
/// The size of a memory page, in kB.
const PAGE_KB: u64 = 4;

/// The usage of all daemons of a site, since their start or since an earlier reading.
pub struct Usage {
    read_at: time::Instant,
    /// The length of the measured interval; 0 for a reading since the start.
    seconds: f64,
    processes: Vec<ProcessUsage>,
}

/// The usage of one daemon.
struct ProcessUsage {
    host: String,
    cpu_ticks: u64,
    /// The resident memory at the time of the reading.
    memory_kb: u64,
}

impl Usage {
    /// Reads the usage of all running daemons since their start.
    pub fn of_site(site: &TestSite) -> Self {
        let processes = site.cluster.daemons.iter().filter_map(|daemon| {
            let id = daemon.id()?;
            let stat = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
            let statm = fs::read_to_string(format!("/proc/{id}/statm")).ok()?;
            // The second field, the name in brackets, may contain spaces. Of the fields after it,
            // numbers 11 and 12 are the user and the system time.
            let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
            let ticks = |i: usize| fields.get(i)?.parse::<u64>().ok();
            let pages: u64 = statm.split(' ').nth(1)?.parse().ok()?;
            Some(ProcessUsage {
                host: daemon.host.clone(),
                cpu_ticks: ticks(11)? + ticks(12)?,
                memory_kb: pages * PAGE_KB,
            })
        });
        Self {
            read_at: time::Instant::now(),
            seconds: 0.0,
            processes: processes.collect(),
        }
    }

    /// Returns the usage since an earlier reading.
    pub fn since(mut self, before: &Self) -> Self {
        self.seconds = (self.read_at - before.read_at).as_secs_f64();
        for process in &mut self.processes {
            let earlier = before.processes.iter().find(|p| p.host == process.host);
            process.cpu_ticks -= earlier.map_or(0, |p| p.cpu_ticks);
        }
        self
    }
}

impl fmt::Display for Usage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for process in &self.processes {
            let cores = process.cpu_ticks as f64 / TICKS_PER_SECOND / self.seconds;
            writeln!(
                f,
                "  {:<10} {:>6.2} % of a core  {:>6} kB",
                process.host,
                100.0 * cores,
                process.memory_kb
            )?;
        }
        Ok(())
    }
}

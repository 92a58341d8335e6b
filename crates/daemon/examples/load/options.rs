//! The command line options of the load experiments.

use conf::Policy;
use fake::ClusterSpec;
use fake::EngineConfig;
use std::time;

/// The first line of the usage text.
const BRIEF: &str = "usage: load [options]";

/// A fault to inject during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// A decode engine is killed and restarted.
    Engine,
    /// Transfers out of one prefill engine stall.
    Transfer,
    /// One decode and one prefill engine become three times slower.
    Slow,
    /// The store is down.
    Store,
    /// An entry is killed.
    Entry,
}

/// The site of a user, whose cluster the experiments imitate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Site {
    TeAwaRidge,
    Souss,
}

/// The parsed command line.
pub struct Options {
    pub site: Site,
    /// The placement policies to compare.
    pub policies: Vec<String>,
    /// The loads, in percent of the decode engines' capacity.
    pub loads: Vec<u32>,
    /// The number of runs of each policy and load.
    pub seeds: u64,
    /// The length of each run, in seconds.
    pub seconds: u64,
    pub fault: Fault,
    /// The path of a plot to write, if any.
    pub plot: Option<String>,
    /// Whether to print the results of each run.
    pub each: bool,
    /// Whether to print the CPU time and memory of the daemons.
    pub cost: bool,
}

impl Options {
    /// Parses the command line. The error is a message for the user, or the usage text that `--help`
    /// asks for.
    pub fn parse(args: &[String]) -> Result<Self, String> {
        let mut options = getopts::Options::new();
        options.optopt("", "site", "te-awa-ridge or souss", "SITE");
        options.optopt("", "policy", "comma-separated policies", "POLICIES");
        options.optopt(
            "",
            "load",
            "comma-separated loads in percent of capacity",
            "PERCENTS",
        );
        options.optopt("", "seeds", "runs of each policy and load", "COUNT");
        options.optopt("", "seconds", "length of each run in seconds", "SECONDS");
        options.optopt(
            "",
            "fault",
            "calm, engine, transfer, slow, store or entry",
            "FAULT",
        );
        options.optopt(
            "",
            "plot",
            "write a plot of goodput against load as SVG",
            "FILE",
        );
        options.optflag("", "each", "print the results of each run");
        options.optflag("", "cost", "print the CPU time and memory of each daemon");
        options.optflag("h", "help", "print this help");
        let usage = options.usage(BRIEF);
        let matches = options.parse(args).map_err(|e| format!("{e}\n{usage}"))?;
        if matches.opt_present("help") {
            return Err(usage);
        }
        let list = |name: &str, default: &str| -> Vec<String> {
            let text = matches.opt_str(name).unwrap_or_else(|| default.to_owned());
            text.split(',').map(str::to_owned).collect()
        };
        let number = |name: &str, default: u64| -> Result<u64, String> {
            let parsed = matches.opt_get_default(name, default);
            parsed.map_err(|_| format!("--{name} expects an integer"))
        };
        let loads: Result<Vec<u32>, _> = list("load", "100").iter().map(|l| l.parse()).collect();
        Ok(Self {
            site: parse_site(&list("site", "te-awa-ridge")[0])?,
            policies: parse_policies(list("policy", "goodput"))?,
            loads: loads.map_err(|_| "--load expects integers".to_owned())?,
            seeds: number("seeds", 5)?,
            seconds: number("seconds", 8)?,
            fault: parse_fault(&list("fault", "calm")[0])?,
            plot: matches.opt_str("plot"),
            each: matches.opt_present("each"),
            cost: matches.opt_present("cost"),
        })
    }

    /// Describes the site's cluster. Its engines are like the users' own, nearly full at the peak and
    /// with limited links, but twice as fast, so that runs are short. A run also varies the engines'
    /// speeds.
    pub fn spec(&self, policy: &str) -> ClusterSpec {
        let mut policies = Policy::NAMES.into_iter();
        let spec = match self.site {
            Site::Souss => ClusterSpec::souss(),
            Site::TeAwaRidge => ClusterSpec::te_awa_ridge(),
        };
        ClusterSpec {
            policy: policies.find(|p| *p == policy).unwrap_or("goodput"),
            engine: EngineConfig {
                prefill_rate: 18_000.0,
                step_time: time::Duration::from_millis(10),
                export_rate: 60_000.0,
                ..EngineConfig::default()
            },
            ..spec
        }
    }
}

fn parse_site(name: &str) -> Result<Site, String> {
    match name {
        "te-awa-ridge" => Ok(Site::TeAwaRidge),
        "souss" => Ok(Site::Souss),
        other => Err(format!(
            "unknown site `{other}`: expected te-awa-ridge or souss"
        )),
    }
}

fn parse_policies(names: Vec<String>) -> Result<Vec<String>, String> {
    for name in &names {
        if !Policy::NAMES.contains(&name.as_str()) {
            return Err(format!(
                "unknown policy `{name}`: expected one of {:?}",
                Policy::NAMES
            ));
        }
    }
    Ok(names)
}

fn parse_fault(name: &str) -> Result<Fault, String> {
    match name {
        "calm" => Ok(Fault::None),
        "engine" => Ok(Fault::Engine),
        "transfer" => Ok(Fault::Transfer),
        "slow" => Ok(Fault::Slow),
        "store" => Ok(Fault::Store),
        "entry" => Ok(Fault::Entry),
        other => Err(format!(
            "unknown fault `{other}`: expected calm, engine, transfer, slow, store or entry"
        )),
    }
}

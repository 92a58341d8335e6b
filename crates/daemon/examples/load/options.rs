//! What to run.

use conf::Policy;
use fake::ClusterSpec;
use fake::EngineConfig;
use std::time;

const BRIEF: &str = "usage: load [options]";

/// What fails during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Calm,
    /// A decode engine dies and comes back.
    Engine,
    /// Transfers out of one prefill engine stall.
    Transfer,
    /// One decode and one prefill engine become three times slower.
    Slow,
    /// The store is out.
    Store,
    /// An entry dies.
    Entry,
}

/// Whose site is run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Site {
    TeAwaRidge,
    Souss,
}

/// The options of the command line.
pub struct Options {
    pub site: Site,
    pub policies: Vec<String>,
    pub loads: Vec<u32>,
    pub seeds: u64,
    pub seconds: u64,
    pub fault: Fault,
    pub plot: Option<String>,
    pub each: bool,
    pub cost: bool,
}

impl Options {
    /// Reads the command line's words.
    pub fn read(words: &[String]) -> Result<Self, String> {
        let mut options = getopts::Options::new();
        options.optopt("", "site", "te-awa-ridge or souss", "SITE");
        options.optopt("", "policy", "policies, with commas between", "POLICIES");
        options.optopt(
            "",
            "load",
            "percents of capacity, with commas between",
            "PERCENTS",
        );
        options.optopt("", "seeds", "runs of each", "COUNT");
        options.optopt("", "seconds", "length of each run", "SECONDS");
        options.optopt(
            "",
            "fault",
            "calm, engine, transfer, slow, store or entry",
            "FAULT",
        );
        options.optopt("", "plot", "write goodput against load as SVG", "FILE");
        options.optflag("", "each", "print each run");
        options.optflag("", "cost", "print what each process used");
        options.optflag("h", "help", "print this help");
        let usage = options.usage(BRIEF);
        let matches = options.parse(words).map_err(|e| format!("{e}\n{usage}"))?;
        if matches.opt_present("help") {
            return Err(usage);
        }
        let list = |name: &str, default: &str| -> Vec<String> {
            let text = matches.opt_str(name).unwrap_or_else(|| default.to_owned());
            text.split(',').map(str::to_owned).collect()
        };
        let number = |name: &str, default: u64| -> Result<u64, String> {
            let found = matches.opt_get_default(name, default);
            found.map_err(|_| format!("--{name} needs a whole number"))
        };
        let loads: Result<Vec<u32>, _> = list("load", "100").iter().map(|l| l.parse()).collect();
        Ok(Self {
            site: read_site(&list("site", "te-awa-ridge")[0])?,
            policies: read_policies(list("policy", "goodput"))?,
            loads: loads.map_err(|_| "--load needs whole numbers".to_owned())?,
            seeds: number("seeds", 5)?,
            seconds: number("seconds", 8)?,
            fault: read_fault(&list("fault", "calm")[0])?,
            plot: matches.opt_str("plot"),
            each: matches.opt_present("each"),
            cost: matches.opt_present("cost"),
        })
    }

    /// The site with engines as the users have them, at twice their speed so
    /// that runs are short: uneven, nearly full at the peak, with limited links.
    pub fn spec(&self, policy: &str) -> ClusterSpec {
        let mut words = Policy::NAMES.into_iter();
        let spec = match self.site {
            Site::Souss => ClusterSpec::souss(),
            Site::TeAwaRidge => ClusterSpec::te_awa_ridge(),
        };
        ClusterSpec {
            policy: words.find(|w| *w == policy).unwrap_or("goodput"),
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

fn read_site(word: &str) -> Result<Site, String> {
    match word {
        "te-awa-ridge" => Ok(Site::TeAwaRidge),
        "souss" => Ok(Site::Souss),
        other => Err(format!("`{other}` is not a site")),
    }
}

fn read_policies(words: Vec<String>) -> Result<Vec<String>, String> {
    for word in &words {
        if !Policy::NAMES.contains(&word.as_str()) {
            return Err(format!("`{word}` is not one of {:?}", Policy::NAMES));
        }
    }
    Ok(words)
}

fn read_fault(word: &str) -> Result<Fault, String> {
    match word {
        "calm" => Ok(Fault::Calm),
        "engine" => Ok(Fault::Engine),
        "transfer" => Ok(Fault::Transfer),
        "slow" => Ok(Fault::Slow),
        "store" => Ok(Fault::Store),
        "entry" => Ok(Fault::Entry),
        other => Err(format!("`{other}` is not a fault")),
    }
}

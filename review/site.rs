//! A small deployment: a store, workers of two services, and entries.

use crate::entry::Entry;
use crate::record::Record;
use crate::store::Store;
use crate::worker::Fault;
use crate::worker::Plan;
use crate::worker::Worker;
use std::env;
use std::fs;
use std::path::PathBuf;
use std::process;
use std::sync::Arc;
use std::time::Duration;

/// Bounds of the Tracks Unit's sheet.
const BOUNDS: &str = "seed_lag_s = 3
reuse_after_s = 2
stability_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
stretch_max_ms = 5000
strict_revoke = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 56
quota_window_s = 8
quota_overage = 0.1
quota_slack = 190000
recovery_s = 12
transit_ms = 120
again_s = 6.6
fencing_required = true
lease_ms = 3000
thaw_slack_ms = 300";

pub struct Site {
    pub store: Store,
    pub hosts: Vec<Worker>,
    pub engines: Vec<Worker>,
    pub entries: Vec<Entry>,
    folder: PathBuf,
}

/// Decides what is wrong with the next answer of the worker with this id to a request.
pub type FaultRule = Arc<dyn Fn(&str, &str) -> Fault + Send + Sync>;

impl Site {
    /// Starts the stand-ins, and the entries without waiting for a client.
    ///
    /// `stages` has the stage of each engine; `hosts` and `entries` are numbers.
    pub fn start(
        stages: &[&'static str],
        hosts: usize,
        entries: usize,
        fault: FaultRule,
        record: &Record,
    ) -> Result<Self, String> {
        let folder = env::temp_dir().join(format!("review-{}", process::id()));
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let store = Store::start();
        let start = |id: String, stage: Option<&'static str>, service: &'static str| {
            let (rule, worker) = (fault.clone(), id.clone());
            let plan = Plan {
                id,
                stage,
                work: Duration::from_millis(60),
                events: 10,
                interval: Duration::from_millis(20),
                fault: Arc::new(move |request| rule(&worker, request)),
                record: record.clone(),
            };
            Worker::start(plan, service, &store)
        };
        let hosts = (0..hosts).map(|i| start(format!("host-{i}"), None, "app"));
        let hosts: Vec<Worker> = hosts.collect();
        let engines = stages.iter().enumerate();
        let engines = engines.map(|(i, s)| start(format!("engine-{i}"), Some(*s), "llm"));
        let engines: Vec<Worker> = engines.collect();
        store.put("op/config", CONFIG);
        let mut site = Self {
            store,
            hosts,
            engines,
            entries: Vec::new(),
            folder,
        };
        for index in 0..entries {
            let name = format!("edge-{index}");
            let mut entry = Entry::prepare(&name, &site.folder, site.store.address, BOUNDS, record);
            entry.start()?;
            site.entries.push(entry);
        }
        Ok(site)
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for entry in &mut self.entries {
            entry.kill();
        }
        if env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// The routes of the Tracks Unit's sheet: kinds, attempts, aims and timeouts.
const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"slip-summary","host":"agency.example","prefix":"/slip/","kind":"streaming","timeout_ms":14000,"target_latency_ms":900,"priority":1,"service":"llm","attempts":1,"anonymous":false,"sticky":true,"resumable":false,"gap_aim_ms":300},
{"name":"culvert-summary","host":"agency.example","prefix":"/culvert/","kind":"streaming","timeout_ms":14000,"target_latency_ms":900,"priority":1,"service":"llm","attempts":2,"anonymous":false,"sticky":true,"resumable":true,"gap_aim_ms":300},
{"name":"work-order","host":"agency.example","prefix":"/order/","kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"app","attempts":1,"anonymous":false,"sticky":false,"resumable":false,"gap_aim_ms":0},
{"name":"path-status","host":"agency.example","prefix":"/status/","kind":"idempotent","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"app","attempts":2,"anonymous":false,"sticky":false,"resumable":false,"gap_aim_ms":0}],
"services":[
{"name":"llm","health_path":"/health","max_connections":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity_tokens":42786,"kv_token_bytes":18432,"link_mbps":180000.0,"moves":true,"backups":true,"stride":13,"most":12,"handle_ttl_s":0.5,"role_switch_s":6.0,"pin_ms":4000.0,"hold_ms":2000.0,"models":[{"name":"m"}]}},
{"name":"app","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"tenant-a","api_keys":["key-a"],"priority":1,"unit":"token_stream","plain_tokens":200,"rate_per_s":100000,"burst":100000}]}"#;

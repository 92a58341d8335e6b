//! The platform's names, as the stand-ins take them from its pages.
//!
//! The adapter has its own: a name that is wrong there must not be wrong here too.

/// The id of a request.
pub const REQUEST_ID: &str = "hornbeampitch-request-id";
/// Milliseconds that a caller waits.
pub const DEADLINE_MS: &str = "hornbeampitch-deadline-ms";
/// The model that is asked for.
pub const MODEL: &str = "hornbeampitch-model";
/// Tokens of the prompt, and of the answer at most.
pub const TOKEN_COUNTS: &str = "hornbeampitch-token-counts";
/// The organisation.
pub const TENANT: &str = "hornbeampitch-tenant";
/// The life of the host that is meant.
pub const EXPECT_INSTANCE: &str = "hornbeampitch-expect-instance";
/// The version that is meant.
pub const EXPECT_VERSION: &str = "hornbeampitch-expect-version";
/// The stage that is asked for.
pub const SERVING_STAGE: &str = "hornbeampitch-serving-stage";
/// A reservation.
pub const KV_HOLD: &str = "hornbeampitch-kv-hold";
/// Where a prompt's KV cache lies.
pub const KV_SOURCE: &str = "hornbeampitch-kv-source";
/// Where a KV cache is copied to.
pub const KV_BACKUP: &str = "hornbeampitch-kv-backup";
/// How long a KV cache stays.
pub const PIN_MS: &str = "hornbeampitch-pin-ms";
/// The rank of a request.
pub const PRIORITY: &str = "hornbeampitch-request-priority";
/// Says that a request has not run.
pub const NOT_EXECUTED: &str = "hornbeampitch-not-executed";
/// The proof of the host that answered.
pub const RESPONSE_SEAL: &str = "hornbeampitch-response-seal";

/// What all paths of the system's own calls begin with.
pub const INTERNAL_PREFIX: &str = "/hornbeampitch/";
/// Reserves room.
pub const RESERVE_PATH: &str = "/hornbeampitch/hold-take";
/// Gives a reservation back.
pub const RELEASE_PATH: &str = "/hornbeampitch/hold-drop/";
/// Frees a KV cache.
pub const HANDLE_PATH: &str = "/hornbeampitch/kv-handle/";
/// Tells what an engine does.
pub const REPORT_PATH: &str = "/hornbeampitch/report";
/// Orders a stage.
pub const ORDER_PATH: &str = "/hornbeampitch/order";

/// Watches keys.
pub const WATCH_PATH: &str = "/hornbeampitch/kv-watch";
/// Reads a key.
pub const GET_PATH: &str = "/hornbeampitch/kv-key";
/// Lists keys.
pub const LIST_PATH: &str = "/hornbeampitch/kv-range";
/// Writes under a condition.
pub const TXN_PATH: &str = "/hornbeampitch/kv-txn";
/// Grants a lease.
pub const LEASE_GRANT_PATH: &str = "/hornbeampitch/kv-lease";
/// Renews a lease.
pub const LEASE_RENEW_PATH: &str = "/hornbeampitch/kv-keep";
/// Ends a lease.
pub const LEASE_END_PATH: &str = "/hornbeampitch/kv-lease-end";

/// The key of the configuration.
pub const CONFIGURATION_KEY: &str = "op/config";

/// The key of an upstream host.
pub fn member_key(id: &str) -> String {
    format!("servers/{id}")
}

//! Header names, paths and keys of the platform's protocol, copied from its documentation.
//!
//! The platform adapter defines its own constants. They are not shared, so that a wrong
//! name in the adapter makes tests against the fakes fail.

/// Header: id of a request.
pub const REQUEST_ID: &str = "hornbeampitch-request-id";
/// Header: how long the caller waits, in milliseconds.
pub const DEADLINE_MS: &str = "hornbeampitch-deadline-ms";
/// Header: requested model.
pub const MODEL: &str = "hornbeampitch-model";
/// Header: number of prompt tokens and maximum number of answer tokens.
pub const TOKEN_COUNTS: &str = "hornbeampitch-token-counts";
/// Header: parts of the prompt, each as its id and its number of tokens.
pub const PROMPT_PREFIX: &str = "hornbeampitch-prompt-prefix";
/// Header: organisation of the caller.
pub const TENANT: &str = "hornbeampitch-tenant";
/// Header: instance of the host that the request is meant for. Other instances refuse it.
pub const EXPECT_INSTANCE: &str = "hornbeampitch-expect-instance";
/// Header: version of the host that the request is meant for.
pub const EXPECT_VERSION: &str = "hornbeampitch-expect-version";
/// Header: requested stage, such as `prefill`.
pub const SERVING_STAGE: &str = "hornbeampitch-serving-stage";
/// Header: reservation that the request uses.
pub const KV_HOLD: &str = "hornbeampitch-kv-hold";
/// Header: engine and handle from which to fetch the prompt's KV cache.
pub const KV_SOURCE: &str = "hornbeampitch-kv-source";
/// Header: engine to which the KV cache is copied.
pub const KV_BACKUP: &str = "hornbeampitch-kv-backup";
/// Header: how long to keep a KV cache, in milliseconds.
pub const PIN_MS: &str = "hornbeampitch-pin-ms";
/// Header: priority of a request.
pub const PRIORITY: &str = "hornbeampitch-request-priority";
/// Response header: the request was not executed.
pub const NOT_EXECUTED: &str = "hornbeampitch-not-executed";
/// Response header: the host is leaving if the value is `1`.
pub const SERVER_LEAVING: &str = "server-leaving";
/// Response header: seal with which the host shows that it answered the request.
pub const RESPONSE_SEAL: &str = "hornbeampitch-response-seal";
/// Header: id of the worker that answers.
pub const INSTANCE_ID: &str = "hornbeampitch-instance-id";

/// Response header of the store: how often it came back from a copy.
pub const STORE_ERA: &str = "store-era";

/// Prefix of the paths of all internal calls, as opposed to requests of callers.
pub const INTERNAL_PREFIX: &str = "/hornbeampitch/";
/// Path that reserves a slot on an engine.
pub const RESERVE_PATH: &str = "/hornbeampitch/hold-take";
/// Path that releases a reservation; its id follows.
pub const RELEASE_PATH: &str = "/hornbeampitch/hold-drop/";
/// Path that frees a KV cache; its handle follows.
pub const HANDLE_PATH: &str = "/hornbeampitch/kv-handle/";
/// Path that returns the state of an engine.
pub const REPORT_PATH: &str = "/hornbeampitch/report";
/// Path that orders an engine to change its stage.
pub const ORDER_PATH: &str = "/hornbeampitch/order";

/// Path that waits for changes of keys.
pub const WATCH_PATH: &str = "/hornbeampitch/kv-watch";
/// Path that reads a key.
pub const GET_PATH: &str = "/hornbeampitch/kv-key";
/// Path that lists the keys with a prefix.
pub const LIST_PATH: &str = "/hornbeampitch/kv-range";
/// Path that writes keys if others have the expected revisions.
pub const TXN_PATH: &str = "/hornbeampitch/kv-txn";
/// Path that grants a lease.
pub const LEASE_GRANT_PATH: &str = "/hornbeampitch/kv-lease";
/// Path that renews a lease; its id follows.
pub const LEASE_RENEW_PATH: &str = "/hornbeampitch/kv-keep";
/// Path that revokes a lease; its id follows.
pub const LEASE_END_PATH: &str = "/hornbeampitch/kv-lease-end";

/// Key of the configuration.
pub const CONFIGURATION_KEY: &str = "op/config";

/// Returns the key of an upstream host's record.
pub fn member_key(id: &str) -> String {
    format!("servers/{id}")
}

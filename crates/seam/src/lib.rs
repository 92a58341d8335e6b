//! The interface between an entry and the platform that it runs on.
//!
//! An adapter implements these traits for one platform and decodes each message
//! once into the types of this crate; it makes no routing decisions. Entries are
//! generic over [`Platform`], so that the same decisions run on any adapter. See
//! docs/PLATFORM.md.

#![allow(async_fn_in_trait, reason = "an entry keeps its tasks on one thread")]

mod config;
mod member;
mod notice;
mod request;
mod revision;
mod settings;
mod store;
mod upstreams;

pub use config::{Config, EngineSpec, Limits, RetryMode, Route, Service, Tenant};
pub use member::{Member, MemberState, Role};
pub use notice::{HostNotice, RetryAfter};
pub use request::{HeadError, Reply, Request};
pub use revision::{Era, LeaseId, Revision};
pub use settings::{Bounds, ResourceLimits, Settings};
pub use store::{GetResult, Item, ListResult, Store, StoreError, SwapResult, WatchResult};
pub use upstreams::{
    ByteStream, EngineStatus, FailureCause, HostState, KvSource, OrderOutcome, PrefillOutcome,
    ReserveOutcome, Response, ResponseFault, RoleOrder, SendError, SendOptions, Target, Upstreams,
};

use world::Name;

/// The store, the upstream calls and the message formats of one platform.
pub trait Platform: 'static {
    /// Client of the platform's metadata store.
    type Store: Store;
    /// Client of engines and plain services.
    type Upstreams: Upstreams;

    /// Store key of the current configuration.
    const CONFIG_KEY: &'static str;
    /// Prefix of all store keys that operators write, with that of the configuration.
    const OPERATOR_PREFIX: &'static str;
    /// Prefix of the store keys of evacuated zones.
    const EVACUATION_PREFIX: &'static str;
    /// Prefix of the store keys of upstream hosts.
    const MEMBER_PREFIX: &'static str;

    /// Reads the settings of this process again. The error text lists all faults.
    fn load_settings() -> Result<Settings, String>;

    /// Decodes a configuration. The error text says what is wrong and where.
    fn decode_config(raw: &[u8]) -> Result<Config, String>;

    /// Decodes the key and value under which the store keeps one upstream host. The
    /// error text says what is wrong.
    fn decode_member(key: &str, raw: &[u8]) -> Result<Member, String>;

    /// Decodes the store key of an evacuated zone into the zone's name. The error text says
    /// what is wrong.
    fn decode_evacuation(key: &str) -> Result<Name, String>;

    /// Decodes the head of a caller's request and leaves its body empty.
    fn decode_head(head: &http::request::Parts) -> Result<Request, HeadError>;

    /// Returns whether a request is a readiness probe of the platform.
    fn is_readiness_probe(head: &http::request::Parts) -> bool;

    /// Returns the headers for a reply that the entry makes itself.
    fn reply_headers(reply: &Reply) -> http::HeaderMap;
}

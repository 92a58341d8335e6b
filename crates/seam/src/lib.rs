//! What an entry asks of the platform it runs on, in the product's own words.
//!
//! An adapter implements these traits and decodes every message once into the
//! types here; nothing in it decides. Entries are generic over [`Platform`], so
//! that the same decisions run on any adapter. See docs/PLATFORM.md.

#![allow(async_fn_in_trait, reason = "an entry keeps its tasks on one thread")]

mod agreement;
mod call;
mod duty;
mod member;
mod store;
mod upstreams;

pub use agreement::{Agreement, EngineFacts, Limits, Repeat, Route, Service, Tenant};
pub use call::{Call, HeadFault, Reply};
pub use duty::{Allowed, Duties, Place};
pub use member::{Condition, Member, Part};
pub use store::{Found, Item, Lease, Page, Store, StoreFault, Swapped, Watched};
pub use upstreams::{
    Answer, Begin, Cause, Order, Ordered, Prefilled, Report, Reserved, SendFault, Source, Stream,
    Target, Upstreams,
};

/// The store, the upstreams and the formats of one platform.
pub trait Platform: 'static {
    /// The platform's metadata store.
    type Store: Store;
    /// Calls to engines and plain services.
    type Upstreams: Upstreams;

    /// The key of the newest configuration.
    const AGREEMENT_KEY: &'static str;
    /// What the keys of upstream hosts begin with.
    const MEMBER_PREFIX: &'static str;

    /// Reads the settings of this process anew; the text tells all that is wrong.
    fn read_place() -> Result<Place, String>;

    /// Decodes a configuration; the text tells what is wrong and where.
    fn read_agreement(raw: &[u8]) -> Result<Agreement, String>;

    /// Decodes the entry of one upstream host.
    fn read_member(key: &str, raw: &[u8]) -> Result<Member, String>;

    /// Decodes the head of a caller's request; its body is added later.
    fn read_call(head: &http::request::Parts) -> Result<Call, HeadFault>;

    /// Tells whether a request asks if this entry is ready.
    fn asks_ready(head: &http::request::Parts) -> bool;

    /// Makes the headers of an answer of the entry's own.
    fn own_headers(reply: &Reply) -> http::HeaderMap;
}

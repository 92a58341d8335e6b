//! Calls to engines and plain services.

use crate::Call;
use crate::Part;
use std::net;
use std::time;
use world::Name;

/// The upstream host that a call is meant for; any other refuses it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Target {
    /// Names the life of its process.
    pub id: Name,
    /// Where it listens.
    pub address: net::SocketAddr,
}

/// A prefilled KV cache and where it lies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// The engine that holds it.
    pub holder: Target,
    /// Names it there.
    pub handle: Name,
}

/// How a request is begun at an upstream host.
#[derive(Clone, Debug, Default)]
pub struct Begin {
    /// The organisation that it runs for.
    pub tenant: Option<Name>,
    /// The time left for it.
    pub left: Option<time::Duration>,
    /// A reservation that it uses up.
    pub hold: Option<Name>,
    /// A KV cache to go on from.
    pub source: Option<Source>,
    /// The last event that the caller has, where a stream is resumed.
    pub after: Option<u64>,
    /// Its rank at the engine, from 0, which goes first, to 9.
    pub rank: Option<u8>,
}

/// The head of an upstream host's answer.
#[derive(Debug)]
pub struct Answer<S> {
    /// The status.
    pub status: http::StatusCode,
    /// Whether the host says that it has not run the request.
    pub unrun: bool,
    /// The headers that are passed on to the caller.
    pub headers: http::HeaderMap,
    /// Requests that run there and that wait there, where it tells.
    pub load: Option<(u32, u32)>,
    /// The body.
    pub stream: S,
}

/// Why a request got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendFault {
    /// Whether the host may have run it.
    pub may_have_run: bool,
    /// What happened.
    pub cause: Cause,
}

/// What went wrong with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Cause {
    /// No connection came about.
    #[display("unconnected")]
    Unconnected,
    /// The connection broke.
    #[display("broken")]
    Broken,
    /// Nothing came in time.
    #[display("late")]
    Late,
    /// The answer belongs to another request.
    #[display("crossed")]
    Crossed,
}

/// A body that is read piece by piece.
pub trait Stream {
    /// Gives the next bytes; none at the whole end, an error where it broke.
    async fn next(&mut self) -> Option<Result<bytes::Bytes, Cause>>;

    /// The length that was named, where it was.
    fn length(&self) -> Option<u64>;
}

/// What became of a reservation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reserved {
    /// It holds under this name.
    Held(Name),
    /// There is no room.
    Full,
    /// The host did not answer, or is not the one meant.
    Failed(Cause),
}

/// What became of a prefill.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Prefilled {
    /// The KV cache is ready.
    Ready(Source),
    /// The host refused, and has not begun.
    Refused,
    /// The host did not answer.
    Failed(Cause),
}

/// What an engine tells of itself; some hundred milliseconds old.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Its part.
    pub part: Option<Part>,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Orders that it has accepted.
    pub orders: u64,
    /// Tokens of memory that can't yield.
    pub used: u64,
}

/// An order to change an engine's part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The part to take.
    pub part: Part,
    /// Who orders.
    pub holder: Name,
    /// Grows with each holder.
    pub fence: u64,
    /// Orders that the engine has accepted before.
    pub expected: u64,
}

/// What an engine says to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ordered {
    /// It is being carried out, or holds already.
    Taken,
    /// A holder with a higher fencing number has ordered before.
    Fenced,
    /// Another order is in progress, or others came in between.
    Conflict,
    /// It was refused for another reason or got no answer.
    Failed,
}

/// The calls to upstream hosts.
pub trait Upstreams {
    /// The body of an answer.
    type Stream: Stream + 'static;

    /// Sends a request that is to run; it waits for the answer's head until `by`.
    async fn begin(
        &self,
        target: &Target,
        call: &Call,
        begin: &Begin,
        by: time::Instant,
    ) -> Result<Answer<Self::Stream>, SendFault>;

    /// Reserves memory and a place at an engine.
    async fn reserve(
        &self,
        target: &Target,
        tokens: u64,
        life: time::Duration,
        by: time::Instant,
    ) -> Reserved;

    /// Gives a reservation back.
    async fn release(&self, target: &Target, hold: &str);

    /// Has an engine read a request's prompt.
    async fn prefill(
        &self,
        target: &Target,
        call: &Call,
        begin: &Begin,
        by: time::Instant,
    ) -> Prefilled;

    /// Frees a KV cache that nobody takes.
    async fn forget(&self, source: &Source);

    /// Reads what an engine tells of itself.
    async fn report(&self, target: &Target) -> Option<Report>;

    /// Tells whether a host answers at all.
    async fn answers(&self, target: &Target) -> bool;

    /// Gives an order.
    async fn order(&self, target: &Target, order: &Order) -> Ordered;

    /// Drops the connections to a host that has gone.
    fn part_with(&self, address: net::SocketAddr);

    /// Drops connections that nobody needs; called now and then.
    fn sweep(&self);
}

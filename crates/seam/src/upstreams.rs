//! Calls to engines and plain services.

use crate::HostNotice;
use crate::Request;
use crate::Role;
use crate::revision::Revision;
use std::net;
use std::time;
use world::Name;

/// The upstream process that a call is addressed to. A process with another id
/// refuses the call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Target {
    /// Id of the upstream process.
    pub id: Name,
    /// Address that it listens on.
    pub address: net::SocketAddr,
    /// Start time in Unix milliseconds; it tells the process from one that has started
    /// again under the same id.
    pub started_ms: u64,
}

/// A KV cache that a prefill engine holds for a decode engine to fetch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvSource {
    /// Engine that holds the KV cache.
    pub holder: Target,
    /// Handle of the KV cache at that engine.
    pub handle: Name,
}

/// Options of a request that is sent to an upstream host.
#[derive(Clone, Debug, Default)]
pub struct SendOptions {
    /// Organisation on whose behalf the request runs.
    pub tenant: Option<Name>,
    /// Time that is left until the request's deadline.
    pub timeout: Option<time::Duration>,
    /// Name of the reservation that the request consumes.
    pub reservation: Option<Name>,
    /// KV cache of the prompt, for a decode engine to fetch.
    pub kv_source: Option<KvSource>,
    /// Id of the last event that the caller received, when a stream is resumed.
    pub last_event: Option<u64>,
    /// Priority at the engine, from 0 (served first) to 9.
    pub priority: Option<u8>,
    /// Whether the host has been sent this request before, and may still respond to that.
    pub is_repeat: bool,
}

/// Response of an upstream host: its head, and the body still to be read.
#[derive(Debug)]
pub struct Response<S> {
    /// HTTP status of the response.
    pub status: http::StatusCode,
    /// Whether the host states that it has not executed the request.
    pub not_executed: bool,
    /// Headers to forward to the caller.
    pub headers: http::HeaderMap,
    /// Numbers of running and of waiting requests at the host, where it reports
    /// them.
    pub load: Option<(u32, u32)>,
    /// Body of the response.
    pub body: S,
}

/// Why a request got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendError {
    /// Whether the host may have executed the request.
    pub may_have_run: bool,
    /// What went wrong.
    pub cause: FailureCause,
}

/// What went wrong with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum FailureCause {
    /// The connection could not be established.
    #[display("unconnected")]
    ConnectFailed,
    /// The connection was lost.
    #[display("broken")]
    ConnectionLost,
    /// No data arrived in time.
    #[display("late")]
    TimedOut,
    /// The response belongs to another request.
    #[display("crossed")]
    WrongRequest,
    /// Nothing shows that the response is the host's.
    #[display("unproven")]
    Unproven(ResponseFault),
    /// The call was not made, because the host wants none.
    #[display("withheld")]
    Withheld,
}

impl FailureCause {
    /// Returns whether the call may have arrived at the host.
    pub fn may_have_arrived(self) -> bool {
        !matches!(self, FailureCause::ConnectFailed | FailureCause::Withheld)
    }
}

/// Why a response can't be taken for that of the called host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFault {
    /// It does not name the request.
    NoId,
    /// It names a request more than once.
    RepeatedId,
    /// It lacks the host's proof.
    NoSeal,
    /// It has more than one proof.
    RepeatedSeal,
    /// Its body is encoded, which no host does.
    Encoded,
    /// Its body is sent in a transfer coding other than chunks.
    Framing,
    /// It says that the request was not run, with a status that doesn't.
    RefusalStatus,
    /// Its status is none of the protocol.
    Status,
}

impl ResponseFault {
    /// Returns the name of the fault in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            ResponseFault::NoId => "no_id",
            ResponseFault::RepeatedId => "repeated_id",
            ResponseFault::NoSeal => "no_seal",
            ResponseFault::RepeatedSeal => "repeated_seal",
            ResponseFault::Encoded => "encoded",
            ResponseFault::Framing => "framing",
            ResponseFault::RefusalStatus => "refusal_status",
            ResponseFault::Status => "status",
        }
    }
}

/// A response body that is read in chunks.
pub trait ByteStream {
    /// Returns the next chunk: `None` after the complete body, an error where the
    /// body ended early.
    async fn next_chunk(&mut self) -> Option<Result<bytes::Bytes, FailureCause>>;

    /// Returns the length in bytes that the response announced, if any.
    fn content_length(&self) -> Option<u64>;

    /// Returns whether the body ends with its connection, so that its end alone does not
    /// show that it is complete.
    fn is_unframed(&self) -> bool;
}

/// Result of reserving memory and a slot at an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReserveOutcome {
    /// The reservation was granted under this name.
    Granted(Name),
    /// The engine has no room.
    Full,
    /// The host did not answer, or another process answered in its place.
    Failed(FailureCause),
}

/// Result of a prefill.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PrefillOutcome {
    /// The KV cache is ready to be fetched.
    Ready(KvSource),
    /// The engine refused the prefill and has not started it.
    Refused,
    /// The engine did not answer.
    Failed(FailureCause),
}

/// What a check of an upstream process has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// It responds.
    Responding,
    /// Its host is up, and the process is not.
    Ended,
    /// Nothing responds: the host or the path to it may be at fault.
    Silent,
}

/// Status that an engine reports; it may be some hundred milliseconds old.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineStatus {
    /// Current role of the engine.
    pub role: Option<Role>,
    /// Whether a role order is being carried out.
    pub switching: bool,
    /// Number of role orders that the engine has accepted so far.
    pub order_count: u64,
    /// Tokens of memory in use that can't be evicted.
    pub used_tokens: u64,
}

/// An order to an engine to change its role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoleOrder {
    /// Role that the engine is to take.
    pub role: Role,
    /// Entry that gives the order; it holds the lease for role orders.
    pub holder: Name,
    /// Fencing token; it increases with each entry that gains the right to give orders.
    pub fence: Revision,
    /// Number of orders that the engine must have accepted before this one.
    pub expected_count: u64,
}

/// Result of a role order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order is being carried out, or the engine already has the role.
    Taken,
    /// The engine has seen an order with a higher fencing number.
    Fenced,
    /// Another order is in progress, or the engine has accepted other orders since
    /// its status was read.
    Conflict,
    /// The order was refused for another reason, or got no response.
    Failed,
}

/// Client for all calls to upstream hosts.
pub trait Upstreams {
    /// Body of a response.
    type Body: ByteStream + 'static;

    /// Sends a request to be executed, and waits for the response head until the
    /// deadline.
    async fn send(
        &self,
        target: &Target,
        request: &Request,
        options: &SendOptions,
        deadline: time::Instant,
    ) -> Result<Response<Self::Body>, SendError>;

    /// Reserves `tokens` of memory and a slot at an engine for the time `ttl`.
    async fn reserve(
        &self,
        target: &Target,
        tokens: u64,
        ttl: time::Duration,
        deadline: time::Instant,
    ) -> ReserveOutcome;

    /// Releases a reservation.
    async fn release(&self, target: &Target, reservation: &str);

    /// Makes a prefill engine process a request's prompt.
    async fn prefill(
        &self,
        target: &Target,
        request: &Request,
        options: &SendOptions,
        deadline: time::Instant,
    ) -> PrefillOutcome;

    /// Frees a KV cache that no decode engine will fetch.
    async fn free_cache(&self, source: &KvSource);

    /// Reads an engine's status; `None` where the engine returns none.
    async fn engine_status(&self, target: &Target) -> Option<EngineStatus>;

    /// Checks whether an upstream process has ended.
    async fn check_host(&self, target: &Target) -> HostState;

    /// Sends a role order to an engine.
    async fn send_order(&self, target: &Target, order: &RoleOrder) -> OrderOutcome;

    /// Takes the notices in the answers that have arrived since the last time.
    fn take_notices(&self) -> Vec<HostNotice>;

    /// Closes the connections to a host that has left the membership list.
    fn close_connections(&self, address: net::SocketAddr);

    /// Closes idle connections; called periodically.
    fn close_idle(&self);
}

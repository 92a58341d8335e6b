//! What entries tell each other, and how old it is.

pub(crate) mod config_fetch;
pub(crate) mod config_version;
pub(crate) mod gossip_paths;
pub(crate) mod heard;
pub(crate) mod peer_loads;

pub use config_fetch::ConfigFetch;
pub use config_version::ConfigVersion;
pub use gossip_paths::{Forwarding, GossipPaths, KnownPeer, RelayQueue, UpdateId, UpdateOrder};
pub use heard::{Heard, RELAY_DELAY};

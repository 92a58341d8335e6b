//! Callers' connections and what a process holds for them, for both kinds of entries.
//!
//! docs/PLATFORM.md, "Memory" and "Callers without limits", shows what is bounded by what.

mod account;
mod callers;
mod receive_buffer;
mod recorded_stream;
mod slot;

pub use account::{HeldBody, HeldBytes, MemoryAccount};
pub use callers::{Callers, CountClosed, SocketPermit};
pub use receive_buffer::{ReceiveBuffer, listen};
pub use recorded_stream::{RecordedStream, StreamRecord};
pub use slot::CallerSlot;

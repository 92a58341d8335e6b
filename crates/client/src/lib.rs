//! What operators do: check and apply documents, issue and withdraw keys,
//! empty hosts, and see what is in force. docs/OPERATING.md shows each command.

mod app;
mod command;
mod site;

pub use app::run;

//! What operators do: check and apply documents, issue and withdraw keys,
//! empty hosts, and see what is in force. docs/OPERATIONS.md shows each command.

mod app;
mod command;
mod site;

pub use app::run;

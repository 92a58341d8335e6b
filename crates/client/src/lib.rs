//! The operators' command-line client: it checks and applies documents, issues and
//! withdraws keys, drains hosts, and shows which configuration each process
//! applies. docs/OPERATIONS.md describes each command.

mod app;
mod command;
mod deployment;

pub use app::run;

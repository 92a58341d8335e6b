//! Runs one command and returns its exit code.

use crate::app::ClientError;
use crate::app::Command;
use crate::app::arguments::Arguments;
use crate::command;
use crate::deployment::Deployment;
use std::io;

/// Runs the client with the arguments of its command line and returns its exit
/// code. The command's output goes to `out`, errors go to `err`.
pub fn run(args: &[String], out: &mut impl io::Write, err: &mut impl io::Write) -> u8 {
    match run_command(args, out) {
        Ok(()) => 0,
        Err(error) => {
            // If the message cannot be written, the exit code still shows the failure.
            let _ = writeln!(err, "{}", error.to_string().trim_end());
            error.code()
        }
    }
}

fn run_command(args: &[String], out: &mut impl io::Write) -> Result<(), ClientError> {
    let arguments = Arguments::parse(args)?;
    let deployment = || Deployment::from_file(arguments.settings.as_deref());
    match &arguments.command {
        Command::Print(text) => Ok(write!(out, "{text}")?),
        Command::Check(files) => command::check(files, out),
        Command::Diff(files) => command::diff(&deployment()?, files, out),
        Command::Apply(files) => command::apply(&deployment()?, files, out),
        Command::Show => command::show(&deployment()?, out),
        Command::Watch(count) => command::watch(&deployment()?, *count, out),
        Command::Status => command::status(&deployment()?, out),
        Command::KeyIssue(organisation) => command::issue_key(&deployment()?, organisation, out),
        Command::KeyWithdraw(id) => command::withdraw_key(&deployment()?, id, out),
        Command::KeyList => command::list_keys(&deployment()?, out),
        Command::Drain(host) => command::drain(&deployment()?, host, out),
        Command::Undrain(host) => command::undrain(&deployment()?, host, out),
    }
}

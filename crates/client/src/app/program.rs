//! Runs one command and turns its end into an exit code.

use crate::app::ClientError;
use crate::app::Command;
use crate::app::launch::Launch;
use crate::command;
use crate::site::Site;
use std::io;

/// Runs the client with the words of its command line; gives its exit code.
pub fn run(words: &[String], out: &mut impl io::Write, err: &mut impl io::Write) -> u8 {
    match run_command(words, out) {
        Ok(()) => 0,
        Err(error) => {
            // Where even this cannot be written, the exit code still tells.
            let _ = writeln!(err, "{}", error.to_string().trim_end());
            error.code()
        }
    }
}

fn run_command(words: &[String], out: &mut impl io::Write) -> Result<(), ClientError> {
    let launch = Launch::read(words)?;
    let site = || Site::read_file(launch.settings.as_deref());
    match &launch.command {
        Command::Print(text) => Ok(write!(out, "{text}")?),
        Command::Check(files) => command::check(files, out),
        Command::Diff(files) => command::diff(&site()?, files, out),
        Command::Apply(files) => command::apply(&site()?, files, out),
        Command::Show => command::show(&site()?, out),
        Command::Watch(count) => command::watch(&site()?, *count, out),
        Command::Status => command::status(&site()?, out),
        Command::KeyIssue(organisation) => command::issue_key(&site()?, organisation, out),
        Command::KeyWithdraw(id) => command::withdraw_key(&site()?, id, out),
        Command::KeyList => command::list_keys(&site()?, out),
        Command::Drain(host) => command::drain(&site()?, host, out),
        Command::Undrain(host) => command::undrain(&site()?, host, out),
    }
}

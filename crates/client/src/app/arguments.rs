//! Parses the command line into a command and its settings file.

use crate::app::errors::ClientError;
use std::env;

const USAGE: &str = "usage: hornbeampitch [-s SETTINGS.yaml] COMMAND

commands:
  check FILE...          check documents; report every error with its position
  diff FILE...           show what applying the documents would change
  apply FILE...          put the documents in force
  show                   print the documents in force
  watch [-n COUNT]       print each new revision
  status                 print every process with its state and revision
  key issue ORGANISATION issue a key; it is shown only once
  key withdraw ID        withdraw a key within seconds, and end its running streams
  key list               print the keys in force, without their secrets
  drain HOST             send a host no new requests
  undrain HOST           send a drained host requests again";
const SETTINGS_VARIABLE: &str = "HORNBEAMPITCH_SETTINGS";

/// A command of the client, with its arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Command {
    Check(Vec<String>),
    Diff(Vec<String>),
    Apply(Vec<String>),
    Show,
    /// Watches this many further revisions; without a number, until stopped.
    Watch(Option<u32>),
    Status,
    KeyIssue(String),
    KeyWithdraw(String),
    KeyList,
    Drain(String),
    Undrain(String),
    /// Prints a text, such as the help.
    Print(String),
}

/// The parsed command line: a command and the path of the settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Arguments {
    pub command: Command,
    pub settings: Option<String>,
}

impl Arguments {
    /// Parses the arguments that follow the executable's name.
    pub(crate) fn parse(args: &[String]) -> Result<Self, ClientError> {
        let mut options = getopts::Options::new();
        options.optopt(
            "s",
            "settings",
            "settings file with the addresses of store and host list, and the secrets",
            "FILE",
        );
        options.optopt("n", "count", "stop watching after COUNT revisions", "COUNT");
        options.optflag("h", "help", "print this help");
        options.optflag("V", "version", "print the version");
        let matches = options.parse(args).map_err(|e| usage(&e.to_string()))?;
        if matches.opt_present("help") {
            return Ok(Self::print(options.usage(USAGE)));
        }
        if matches.opt_present("version") {
            let text = format!("hornbeampitch {}\n", env!("CARGO_PKG_VERSION"));
            return Ok(Self::print(text));
        }
        let count = matches
            .opt_get("count")
            .map_err(|_| usage("-n needs a whole number"))?;
        let free: Vec<&str> = matches.free.iter().map(String::as_str).collect();
        Ok(Self {
            command: parse_command(&free, count)?,
            settings: matches
                .opt_str("settings")
                .or_else(|| env::var(SETTINGS_VARIABLE).ok()),
        })
    }

    fn print(text: String) -> Self {
        Self {
            command: Command::Print(text),
            settings: None,
        }
    }
}

fn parse_command(args: &[&str], count: Option<u32>) -> Result<Command, ClientError> {
    let files = |files: &[&str]| files.iter().map(|f| (*f).to_owned()).collect();
    match args {
        ["check", rest @ ..] if !rest.is_empty() => Ok(Command::Check(files(rest))),
        ["diff", rest @ ..] if !rest.is_empty() => Ok(Command::Diff(files(rest))),
        ["apply", rest @ ..] if !rest.is_empty() => Ok(Command::Apply(files(rest))),
        ["check" | "diff" | "apply"] => Err(usage("this command needs at least one document")),
        ["show"] => Ok(Command::Show),
        ["watch"] => Ok(Command::Watch(count)),
        ["status"] => Ok(Command::Status),
        ["key", "issue", organisation] => Ok(Command::KeyIssue((*organisation).to_owned())),
        ["key", "withdraw", id] => Ok(Command::KeyWithdraw((*id).to_owned())),
        ["key", "list"] => Ok(Command::KeyList),
        ["drain", host] => Ok(Command::Drain((*host).to_owned())),
        ["undrain", host] => Ok(Command::Undrain((*host).to_owned())),
        [] => Err(usage("a command is missing")),
        [name, ..] => Err(usage(&format!(
            "`{name}` is not a command, or its arguments are wrong"
        ))),
    }
}

fn usage(text: &str) -> ClientError {
    ClientError::Usage(format!("{text}\n{USAGE}"))
}

//! The words of the command line, read into a command.

use crate::app::errors::ClientError;
use std::env;

const BRIEF: &str = "usage: hornbeampitch [-s SETTINGS.yaml] COMMAND

commands:
  check FILE...          check documents; report every finding with its place
  diff FILE...           show what applying the documents would change
  apply FILE...          put the documents in force
  show                   print the documents in force
  watch [-n COUNT]       print each revision as it comes
  status                 print every process with what it has in force
  key issue ORGANISATION make a key; it is shown once
  key withdraw ID        stop a key within seconds, running streams included
  key list               print the keys in force, without their secrets
  drain HOST             give a host no more work
  undrain HOST           give a host work again";
const SETTINGS_VARIABLE: &str = "HORNBEAMPITCH_SETTINGS";

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Command {
    Check(Vec<String>),
    Diff(Vec<String>),
    Apply(Vec<String>),
    Show,
    Watch(Option<u32>),
    Status,
    KeyIssue(String),
    KeyWithdraw(String),
    KeyList,
    Drain(String),
    Undrain(String),
    Print(String),
}

/// A command and where its settings are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Launch {
    pub command: Command,
    pub settings: Option<String>,
}

impl Launch {
    /// Reads the command line's words.
    pub(crate) fn read(words: &[String]) -> Result<Self, ClientError> {
        let mut options = getopts::Options::new();
        options.optopt(
            "s",
            "settings",
            "where store, hosts and secrets are",
            "FILE",
        );
        options.optopt("n", "count", "stop watching after COUNT revisions", "COUNT");
        options.optflag("h", "help", "print this help");
        options.optflag("V", "version", "print the version");
        let matches = options.parse(words).map_err(|e| usage(&e.to_string()))?;
        if matches.opt_present("help") {
            return Ok(Self::print(options.usage(BRIEF)));
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
            command: read_command(&free, count)?,
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

fn read_command(words: &[&str], count: Option<u32>) -> Result<Command, ClientError> {
    let files = |files: &[&str]| files.iter().map(|f| (*f).to_owned()).collect();
    match words {
        ["check", rest @ ..] if !rest.is_empty() => Ok(Command::Check(files(rest))),
        ["diff", rest @ ..] if !rest.is_empty() => Ok(Command::Diff(files(rest))),
        ["apply", rest @ ..] if !rest.is_empty() => Ok(Command::Apply(files(rest))),
        ["check" | "diff" | "apply"] => Err(usage("name at least one document")),
        ["show"] => Ok(Command::Show),
        ["watch"] => Ok(Command::Watch(count)),
        ["status"] => Ok(Command::Status),
        ["key", "issue", organisation] => Ok(Command::KeyIssue((*organisation).to_owned())),
        ["key", "withdraw", id] => Ok(Command::KeyWithdraw((*id).to_owned())),
        ["key", "list"] => Ok(Command::KeyList),
        ["drain", host] => Ok(Command::Drain((*host).to_owned())),
        ["undrain", host] => Ok(Command::Undrain((*host).to_owned())),
        [] => Err(usage("name a command")),
        [word, ..] => Err(usage(&format!(
            "`{word}` is not a command, or lacks its words"
        ))),
    }
}

fn usage(text: &str) -> ClientError {
    ClientError::Usage(format!("{text}\n{BRIEF}"))
}

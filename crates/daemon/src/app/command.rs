//! The words of the daemon's command line.

use crate::app::errors::StartError;

const USAGE: &str = "usage: hornbeampitchd [options] SETTINGS.yaml | platform";
/// The word that asks for the settings which the platform names.
const PLATFORM_ARGUMENT: &str = "platform";

/// What the command line asks for.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Command {
    /// Serve by the settings in this file.
    Serve(String),
    /// Only check the settings in this file.
    Check(String),
    /// Serve as an entry on the platform, by the settings that it names.
    Platform,
    /// Print this text.
    Print(String),
}

impl Command {
    /// Reads the command line's words.
    pub(crate) fn parse(arguments: &[String]) -> Result<Self, StartError> {
        let mut options = getopts::Options::new();
        options.optflag("h", "help", "print this help");
        options.optflag("V", "version", "print the version");
        options.optflag("c", "check", "check the settings and exit");
        let matches = options
            .parse(arguments)
            .map_err(|e| StartError::Usage(format!("{e}\n{USAGE}")))?;
        if matches.opt_present("help") {
            return Ok(Command::Print(options.usage(USAGE)));
        }
        if matches.opt_present("version") {
            let text = format!("hornbeampitchd {}\n", env!("CARGO_PKG_VERSION"));
            return Ok(Command::Print(text));
        }
        let [path] = matches.free.as_slice() else {
            let text = format!("expected one settings file\n{USAGE}");
            return Err(StartError::Usage(text));
        };
        if path == PLATFORM_ARGUMENT {
            return Ok(Command::Platform);
        }
        match matches.opt_present("check") {
            true => Ok(Command::Check(path.clone())),
            false => Ok(Command::Serve(path.clone())),
        }
    }
}

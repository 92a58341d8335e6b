//! Parses the command line of the daemon.

use crate::app::errors::StartError;

const USAGE: &str = "usage: hornbeampitchd [options] SETTINGS.yaml | platform";
/// The argument that selects the settings file named by the platform.
const PLATFORM_ARGUMENT: &str = "platform";

/// What the command line asks the daemon to do.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Command {
    /// Run with the settings file at this path.
    Serve(String),
    /// Check the settings file at this path and exit.
    Check(String),
    /// Run as an entry with the settings file named by the platform.
    Platform,
    /// Print this text and exit.
    Print(String),
}

impl Command {
    /// Parses the arguments after the program name. Returns
    /// [`StartError::Usage`] for unknown options or a missing settings file.
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

//! The words of the daemon's command line.

use crate::app::errors::StartError;

const BRIEF: &str = "usage: hornbeampitchd [options] SETTINGS.yaml | platform";
/// The word that asks for the settings which the platform names.
const PLATFORM_WORD: &str = "platform";

/// What the command line asks for.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Launch {
    /// Serve by the settings in this file.
    Serve(String),
    /// Only check the settings in this file.
    Check(String),
    /// Serve as an entry on the platform, by the settings that it names.
    Platform,
    /// Print this text.
    Print(String),
}

impl Launch {
    /// Reads the command line's words.
    pub(crate) fn read(words: &[String]) -> Result<Self, StartError> {
        let mut options = getopts::Options::new();
        options.optflag("h", "help", "print this help");
        options.optflag("V", "version", "print the version");
        options.optflag("c", "check", "check the settings and exit");
        let matches = options
            .parse(words)
            .map_err(|e| StartError::Usage(format!("{e}\n{BRIEF}")))?;
        if matches.opt_present("help") {
            return Ok(Launch::Print(options.usage(BRIEF)));
        }
        if matches.opt_present("version") {
            let text = format!("hornbeampitchd {}\n", env!("CARGO_PKG_VERSION"));
            return Ok(Launch::Print(text));
        }
        let [path] = matches.free.as_slice() else {
            let text = format!("expected one settings file\n{BRIEF}");
            return Err(StartError::Usage(text));
        };
        if path == PLATFORM_WORD {
            return Ok(Launch::Platform);
        }
        match matches.opt_present("check") {
            true => Ok(Launch::Check(path.clone())),
            false => Ok(Launch::Serve(path.clone())),
        }
    }
}

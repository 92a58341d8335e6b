//! Structured log lines, each with the name of an event and key=value pairs.

use std::fmt;
use std::fmt::Write;

/// A builder of a log line: an event and its key=value pairs.
#[must_use = "a line is written only by `info`, `warn`, `error` or `debug`"]
pub struct LogLine {
    text: String,
}

impl LogLine {
    /// Creates a line with the name of an event.
    pub fn new(event: &str) -> Self {
        Self {
            text: format!("event={event}"),
        }
    }

    /// Adds a pair. A value that is empty or contains whitespace, quotes or an
    /// equals sign is quoted and escaped.
    pub fn with(mut self, key: &str, value: impl fmt::Display) -> Self {
        let value = value.to_string();
        let needs_no_quotes =
            !value.is_empty() && !value.contains([' ', '"', '=', '\n', '\t', '\r']);
        // Writing to a string can't fail.
        let _ = match needs_no_quotes {
            true => write!(self.text, " {key}={value}"),
            false => write!(self.text, " {key}={value:?}"),
        };
        self
    }

    /// Logs the line at info level: normal operation.
    pub fn info(self) {
        log::info!("{}", self.text);
    }

    /// Logs the line at warn level: something that operators should look into.
    pub fn warn(self) {
        log::warn!("{}", self.text);
    }

    /// Logs the line at error level: a failure.
    pub fn error(self) {
        log::error!("{}", self.text);
    }

    /// Logs the line at debug level: details for developers.
    pub fn debug(self) {
        log::debug!("{}", self.text);
    }
}

/// Starts to write lines of `level` and above to standard error.
///
/// Levels are `error`, `warn`, `info` and `debug`; any other means `info`.
pub fn start_logging(level: &str) {
    let level = match level {
        "error" => simplelog::LevelFilter::Error,
        "warn" => simplelog::LevelFilter::Warn,
        "debug" => simplelog::LevelFilter::Debug,
        _ => simplelog::LevelFilter::Info,
    };
    let config = simplelog::ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_thread_level(simplelog::LevelFilter::Off)
        .set_target_level(simplelog::LevelFilter::Off)
        .set_location_level(simplelog::LevelFilter::Off)
        .add_filter_allow_str("trace")
        .build();
    // If a logger is installed already, it stays.
    let _ = simplelog::WriteLogger::init(level, config, std::io::stderr());
}

//! Log lines that people can read and programs can split.

use std::fmt;
use std::fmt::Write;

/// A log line in the making: an event and its key=value pairs.
#[must_use = "a line is only written by its level's method"]
pub struct LogLine {
    text: String,
}

impl LogLine {
    /// Begins a line with the event's name.
    pub fn new(event: &str) -> Self {
        Self {
            text: format!("event={event}"),
        }
    }

    /// Adds a pair; values with blanks or quotes are quoted.
    pub fn with(mut self, key: &str, value: impl fmt::Display) -> Self {
        let value = value.to_string();
        let plain = !value.is_empty() && !value.contains([' ', '"', '=', '\n', '\t', '\r']);
        // Writing to a string cannot fail.
        let _ = match plain {
            true => write!(self.text, " {key}={value}"),
            false => write!(self.text, " {key}={value:?}"),
        };
        self
    }

    /// Writes the line for the eyes of operators.
    pub fn info(self) {
        log::info!("{}", self.text);
    }

    /// Writes the line as something to look after.
    pub fn warn(self) {
        log::warn!("{}", self.text);
    }

    /// Writes the line as a failure.
    pub fn error(self) {
        log::error!("{}", self.text);
    }

    /// Writes the line for developers.
    pub fn debug(self) {
        log::debug!("{}", self.text);
    }
}

/// Begins to write lines of `level` and above to standard error.
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
    // A second start in one process keeps the first logger.
    let _ = simplelog::WriteLogger::init(level, config, std::io::stderr());
}

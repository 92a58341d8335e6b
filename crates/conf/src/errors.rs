//! Errors found in settings files and documents, with their positions.

use std::fmt;

/// One error in a file, with its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The file's name as the user gave it.
    pub file: String,
    /// The line number, from 1; 0 where the finding concerns the whole file.
    pub line: usize,
    /// The column number, from 1; 0 where the finding concerns the whole file.
    pub column: usize,
    /// What is wrong and what is expected instead.
    pub text: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}:{}:{}: {}",
            self.file, self.line, self.column, self.text
        )
    }
}

/// All findings of one parse, reported together.
#[derive(Clone, Debug, Default, PartialEq, Eq, derive_more::Error)]
pub struct Findings {
    /// The findings, sorted by file, line and column once
    /// [`Findings::into_result`] has returned them.
    pub all: Vec<Finding>,
}

impl Findings {
    /// Adds a finding; `position` is its line and column.
    pub fn add(&mut self, file: &str, position: (usize, usize), text: impl Into<String>) {
        self.all.push(Finding {
            file: file.to_owned(),
            line: position.0,
            column: position.1,
            text: text.into(),
        });
    }

    /// Returns whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Returns the value if there are no findings, otherwise the findings
    /// sorted by file, line and column.
    pub fn into_result<T>(mut self, value: T) -> Result<T, Findings> {
        if self.is_empty() {
            return Ok(value);
        }
        self.all
            .sort_by(|a, b| (&a.file, a.line, a.column).cmp(&(&b.file, b.line, b.column)));
        Err(self)
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.all {
            writeln!(f, "{finding}")?;
        }
        Ok(())
    }
}

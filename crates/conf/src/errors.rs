//! What is wrong with a file, and where.

use std::fmt;

/// One thing that is wrong, with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The file as the user named it.
    pub file: String,
    /// The line, from 1; 0 where the finding concerns the whole file.
    pub line: usize,
    /// The column, from 1.
    pub column: usize,
    /// What is wrong and what would be right.
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

/// All findings of one reading, reported together.
#[derive(Clone, Debug, Default, PartialEq, Eq, derive_more::Error)]
pub struct Findings {
    /// The findings, in the order of their places.
    pub all: Vec<Finding>,
}

impl Findings {
    /// Adds a finding.
    pub fn add(&mut self, file: &str, place: (usize, usize), text: impl Into<String>) {
        self.all.push(Finding {
            file: file.to_owned(),
            line: place.0,
            column: place.1,
            text: text.into(),
        });
    }

    /// Tells whether nothing was found.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Gives the value where nothing was found, else the findings by place.
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

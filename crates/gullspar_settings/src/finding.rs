//! Errors found in a settings file.

use std::fmt;

/// One error and its place; line and column start at one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    pub line: usize,
    pub column: usize,
    pub text: String,
}

/// All errors found in a file, in the order in which they occur.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Findings {
    pub file: String,
    pub findings: Vec<Finding>,
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for it in &self.findings {
            writeln!(f, "{}:{}:{}: {}", self.file, it.line, it.column, it.text)?;
        }
        let count = self.findings.len();
        write!(f, "{count} finding{} in {}", if count == 1 { "" } else { "s" }, self.file)
    }
}

impl std::error::Error for Findings {}

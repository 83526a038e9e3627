//! Something wrong in a settings file.

use std::fmt;

/// What is wrong and where; line and column count from one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    pub line: usize,
    pub column: usize,
    pub text: String,
}

/// All that is wrong in a file, in the order of the file.
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

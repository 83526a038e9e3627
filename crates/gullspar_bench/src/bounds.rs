//! Bounds on the results of a bench.

use std::process::ExitCode;

/// Checks results against bounds and collects all violations of a run.
#[derive(Debug, Default)]
pub struct Bounds {
    violations: Vec<String>,
}

impl Bounds {
    /// Prints `value` and records a violation if it is over `limit`.
    pub fn at_most(&mut self, what: &str, value: f64, limit: f64) {
        let is_within = value <= limit;
        println!("  {} {what}: {value:.3}, at most {limit}", if is_within { "ok " } else { "BAD" });
        if !is_within {
            self.violations.push(format!("{what}: {value:.3} is over {limit}"));
        }
    }

    /// Prints `value` and records a violation if it is under `limit`.
    pub fn at_least(&mut self, what: &str, value: f64, limit: f64) {
        let is_within = value >= limit;
        println!(
            "  {} {what}: {value:.3}, at least {limit}",
            if is_within { "ok " } else { "BAD" }
        );
        if !is_within {
            self.violations.push(format!("{what}: {value:.3} is under {limit}"));
        }
    }

    /// Prints all violations and returns the exit code of the bench.
    pub fn finish(self) -> ExitCode {
        if self.violations.is_empty() {
            return ExitCode::SUCCESS;
        }
        eprintln!("out of bounds:\n  {}", self.violations.join("\n  "));
        ExitCode::FAILURE
    }
}

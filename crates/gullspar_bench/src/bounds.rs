//! Bounds that a bench must keep.

use std::process::ExitCode;

/// Collects what was out of bounds, so that one run reports everything.
#[derive(Debug, Default)]
pub struct Bounds {
    broken: Vec<String>,
}

impl Bounds {
    /// Demands that `value` is at most `limit`.
    pub fn at_most(&mut self, what: &str, value: f64, limit: f64) {
        let kept = value <= limit;
        println!("  {} {what}: {value:.3}, at most {limit}", if kept { "ok " } else { "BAD" });
        if !kept {
            self.broken.push(format!("{what}: {value:.3} is over {limit}"));
        }
    }

    /// Demands that `value` is at least `limit`.
    pub fn at_least(&mut self, what: &str, value: f64, limit: f64) {
        let kept = value >= limit;
        println!("  {} {what}: {value:.3}, at least {limit}", if kept { "ok " } else { "BAD" });
        if !kept {
            self.broken.push(format!("{what}: {value:.3} is under {limit}"));
        }
    }

    /// The bench's exit code.
    pub fn finish(self) -> ExitCode {
        if self.broken.is_empty() {
            return ExitCode::SUCCESS;
        }
        eprintln!("out of bounds:\n  {}", self.broken.join("\n  "));
        ExitCode::FAILURE
    }
}

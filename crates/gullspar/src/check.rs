//! Settings from the command line.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use gullspar_settings::{InstanceSettings, reference};

/// Reads a settings file, or tells everything that is wrong with it.
pub(crate) fn read(file: &Path) -> Result<InstanceSettings, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|err| format!("{name}: {err}"))?;
    InstanceSettings::parse(&name, &text).map_err(|findings| findings.to_string())
}

/// Checks a settings file.
pub(crate) fn check(file: PathBuf) -> ExitCode {
    match read(&file) {
        Ok(settings) => {
            println!("{}: settings of instance {} are sound", file.display(), settings.id);
            ExitCode::SUCCESS
        }
        Err(text) => {
            eprintln!("{text}");
            ExitCode::FAILURE
        }
    }
}

/// Prints the reference of all options.
pub(crate) fn print_reference() -> ExitCode {
    print!("{}", reference("Settings of an instance", &InstanceSettings::options()));
    ExitCode::SUCCESS
}

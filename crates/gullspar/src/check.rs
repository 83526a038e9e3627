//! Reads and checks settings files, and prints the reference of all settings.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use gullspar_settings::{DirectSettings, Findings, InstanceSettings, render_reference};

/// Reads a settings file.
///
/// # Errors
///
/// Fails with a text that lists all findings, or with the reason why the file can't be read.
pub(crate) fn read(file: &Path) -> Result<InstanceSettings, String> {
    read_as(file, InstanceSettings::parse)
}

/// Like [`read`], for an instance that connects to its targets directly.
pub(crate) fn read_direct(file: &Path) -> Result<DirectSettings, String> {
    read_as(file, DirectSettings::parse)
}

fn read_as<T>(
    file: &Path,
    parse: impl FnOnce(&str, &str) -> Result<T, Findings>,
) -> Result<T, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|err| format!("{name}: {err}"))?;
    parse(&name, &text).map_err(|findings| findings.to_string())
}

/// Checks that `file` is no pipe, which a running instance might wait for without end.
pub(crate) fn require_regular(file: &Path) -> Result<(), String> {
    let name = file.display();
    match std::fs::metadata(file) {
        Ok(metadata) if metadata.is_file() => Ok(()),
        Ok(_) => Err(format!("{name}: it is not a regular file")),
        Err(err) => Err(format!("{name}: {err}")),
    }
}

/// Checks a settings file and prints the result; `is_direct` is set for an instance that connects to
/// its targets directly.
pub(crate) fn check(file: PathBuf, is_direct: bool) -> ExitCode {
    let id =
        if is_direct { read_direct(&file).map(|it| it.id) } else { read(&file).map(|it| it.id) };
    match id {
        Ok(id) => {
            println!("{}: settings of instance {id} are sound", file.display());
            ExitCode::SUCCESS
        }
        Err(findings) => {
            eprintln!("{findings}");
            ExitCode::FAILURE
        }
    }
}

/// Prints the reference of all settings.
pub(crate) fn print_reference(is_direct: bool) -> ExitCode {
    let page = if is_direct {
        let title = "Settings of an instance that connects directly";
        render_reference(title, &DirectSettings::options())
    } else {
        render_reference("Settings of an instance", &InstanceSettings::options())
    };
    print!("{page}");
    ExitCode::SUCCESS
}

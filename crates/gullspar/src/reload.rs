//! Reads the settings of a running instance again when its operator asks for it.

use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use gullspar_instance::{ReadError, SettingsReader, Signals};

use crate::check;

/// Time between two readings of settings that are not sound. The file may still be being written.
const REREAD_DELAY: Duration = Duration::from_millis(200);

/// Number of readings in a row that must find settings that are not sound before this is reported.
const MAX_READINGS: u32 = 3;

/// Starts to read the settings in `file` again at each SIGHUP, and to log whether they have changed since `settings` were read.
///
/// The running instance keeps the settings with which it started, since addresses and names can't change while it runs.
pub(crate) fn start<T: PartialEq + Send + 'static>(
    hangups: Signals,
    settings: T,
    file: PathBuf,
    read: fn(&Path) -> Result<T, String>,
) {
    let reader = SettingsReader::new(move || {
        check::require_regular(&file)?;
        read(&file)
    });
    compio::runtime::spawn(async move {
        if let Err(err) = run(hangups, settings, reader).await {
            log::error!(reason = err.to_string().as_str(); "G0819 SIGHUP can't be handled; the settings are not reloaded");
        }
    })
    .detach();
}

/// Returns only if SIGHUP can't be handled.
///
/// Each reading begins after the signals that it answers, and those that arrive meanwhile lead to one more. So the content of
/// the file at the last signal is always read.
async fn run<T: PartialEq + Send + 'static>(
    mut hangups: Signals,
    mut settings: T,
    reader: SettingsReader<T>,
) -> io::Result<()> {
    loop {
        hangups.next().await?;
        match read_settled(&reader).await {
            Ok(reloaded) if reloaded == settings => {
                log::info!("G0811 the settings were reloaded and have not changed");
            }
            Ok(reloaded) => {
                log::warn!("G0812 the settings have changed; they take effect at the next start");
                settings = reloaded;
            }
            Err(err) => {
                log::error!(findings = err.to_string().as_str(); "G0813 the settings can't be reloaded; the previous ones stay in force");
            }
        }
    }
}

/// Reads the settings, again if they are not sound.
async fn read_settled<T: Send + 'static>(reader: &SettingsReader<T>) -> Result<T, ReadError> {
    let mut reading = reader.read().await;
    for _ in 1..MAX_READINGS {
        if !matches!(reading, Err(ReadError::Unsound(_))) {
            break;
        }
        compio::time::sleep(REREAD_DELAY).await;
        reading = reader.read().await;
    }
    reading
}

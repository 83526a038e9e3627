//! Runs an instance that connects to its targets directly.

use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use gullspar_instance::Signals;
use gullspar_settings::DirectSettings;
use gullspar_telemetry::{BoundedAppend, LineWriter};
use logforth::filter::rustlog::RustLogFilterBuilder;

use crate::check;

/// Runs the instance that the settings in `file` describe; returns the exit code of the process.
pub(crate) fn serve(file: PathBuf) -> ExitCode {
    let hangups = Signals::hangups();
    let settings = match check::read_direct(&file) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitCode::FAILURE;
        }
    };
    let filter = RustLogFilterBuilder::from_default_env_or("info,tarpc=warn").build();
    let append = BoundedAppend::new(LineWriter::start(io::stdout()));
    logforth::starter_log::builder().dispatch(|it| it.filter(filter).append(append)).apply();
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(err) => {
            eprintln!("the runtime could not start: {err}");
            return ExitCode::FAILURE;
        }
    };
    let result = runtime.block_on(async move {
        let initial = settings.clone();
        compio::runtime::spawn(async move {
            if let Err(err) = reload_on_hangup(hangups, &file, initial).await {
                log::error!(reason = err.to_string().as_str(); "G0819 SIGHUP can't be handled; the settings are not reloaded");
            }
        })
        .detach();
        gullspar_platform::serve(settings, gullspar_instance::termination_signal()).await
    });
    log::logger().flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{err}");
            ExitCode::FAILURE
        }
    }
}

/// Reads the settings again at each SIGHUP and logs whether they have changed.
///
/// The running instance keeps the settings with which it started, since addresses and names can't
/// change while it runs.
///
/// # Errors
///
/// Returns only if SIGHUP can't be handled.
async fn reload_on_hangup(
    hangups: io::Result<Signals>,
    file: &Path,
    mut settings: DirectSettings,
) -> io::Result<()> {
    let mut hangups = hangups?;
    loop {
        hangups.next().await?;
        match check::read_direct(file) {
            Ok(reloaded) if reloaded == settings => {
                log::info!("G0811 the settings were reloaded and have not changed");
            }
            Ok(reloaded) => {
                log::warn!("G0812 the settings have changed; they take effect at the next start");
                settings = reloaded;
            }
            Err(findings) => {
                log::error!(findings = findings.as_str(); "G0813 the settings can't be reloaded; the previous ones stay in force");
            }
        }
    }
}

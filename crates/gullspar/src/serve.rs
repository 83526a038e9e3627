//! Runs an instance that connects to its targets directly.

use std::path::PathBuf;
use std::process::ExitCode;

use gullspar_instance::HangupSignals;
use gullspar_settings::DirectSettings;
use gullspar_telemetry::{BoundedAppend, LineWriter};
use logforth::filter::rustlog::RustLogFilterBuilder;

use crate::check;

/// Runs the instance that the settings in `file` describe; returns the exit code of the process.
pub(crate) fn serve(file: PathBuf) -> ExitCode {
    let hangups = HangupSignals::listen();
    let settings = match check::read_direct(&file) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitCode::FAILURE;
        }
    };
    let filter = RustLogFilterBuilder::from_default_env_or("info,tarpc=warn").build();
    let append = BoundedAppend::new(LineWriter::start(std::io::stdout()));
    logforth::starter_log::builder().dispatch(|it| it.filter(filter).append(append)).apply();
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(err) => {
            eprintln!("the runtime could not start: {err}");
            return ExitCode::FAILURE;
        }
    };
    let result = runtime.block_on(async move {
        compio::runtime::spawn(reload_on_hangup(hangups, file, settings.clone())).detach();
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

/// Reads the settings again at each SIGHUP and logs whether they have changed; never returns.
///
/// The running instance keeps the settings with which it started, since addresses and names can't
/// change while it runs.
async fn reload_on_hangup(mut hangups: HangupSignals, file: PathBuf, mut settings: DirectSettings) {
    loop {
        hangups.next().await;
        match check::read_direct(&file) {
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

//! Running one instance that connects to its targets directly.

use std::path::PathBuf;
use std::process::ExitCode;

use gullspar_settings::DirectSettings;
use gullspar_telemetry::{BoundedAppend, LineWriter};
use logforth::filter::rustlog::RustLogFilterBuilder;

use crate::check;

/// Runs the instance that `file` describes.
pub(crate) fn serve(file: PathBuf) -> ExitCode {
    let settings = match check::read_direct(&file) {
        Ok(settings) => settings,
        Err(text) => {
            eprintln!("{text}");
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
    let served = runtime.block_on(async move {
        compio::runtime::spawn(reread(file, settings.clone())).detach();
        gullspar_platform::serve(settings, gullspar_instance::termination_signal()).await
    });
    log::logger().flush();
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{err}");
            ExitCode::FAILURE
        }
    }
}

/// Reads the settings anew at each SIGHUP; never ends.
///
/// Addresses and names hold for the life of the process. Told to read what can't be read, it goes on by
/// what it has.
async fn reread(file: PathBuf, mut settings: DirectSettings) {
    loop {
        gullspar_instance::hangup_signal().await;
        match check::read_direct(&file) {
            Ok(fresh) if fresh == settings => {
                log::info!("G0811 the settings were read anew and are the same");
            }
            Ok(fresh) => {
                log::warn!("G0812 the settings have changed; they hold from the next start");
                settings = fresh;
            }
            Err(findings) => {
                log::error!(findings = findings.as_str(); "G0813 the settings can't be read; the old ones hold");
            }
        }
    }
}

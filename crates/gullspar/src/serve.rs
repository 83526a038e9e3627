//! Runs an instance that connects to its targets directly.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use gullspar_instance::InstanceSignals;
use gullspar_telemetry::{BoundedAppend, LineWriter};
use logforth::filter::rustlog::RustLogFilterBuilder;

use crate::{check, reload};

/// Runs the instance that the settings in `file` describe; returns the exit code of the process.
pub(crate) fn serve(file: PathBuf, signals: InstanceSignals) -> ExitCode {
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
        let InstanceSignals { hangups, terminations } = signals;
        reload::start(hangups, settings.clone(), file, check::read_direct);
        gullspar_platform::serve(settings, terminations.wait()).await
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

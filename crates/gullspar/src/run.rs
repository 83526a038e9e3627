//! Runs an instance until it is asked to terminate.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::SystemTime;

use gullspar_instance::{
    Instance, InstanceSignals, InstanceTiming, TerminationSignals, system_borders,
};
use gullspar_settings::InstanceSettings;
use logforth::append;

use crate::{check, reload};

/// Runs the instance that the settings in `file` describe; returns the exit code of the process.
pub(crate) fn run(file: PathBuf, signals: InstanceSignals) -> ExitCode {
    let settings = match check::read(&file) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitCode::FAILURE;
        }
    };
    let filter =
        logforth::filter::rustlog::RustLogFilterBuilder::from_default_env_or("info,tarpc=warn");
    logforth::starter_log::builder()
        .dispatch(|it| it.filter(filter.build()).append(append::Stderr::default()))
        .apply();
    let _timers = gullspar_instance::enter_timer_context();
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(err) => {
            eprintln!("the runtime could not start: {err}");
            return ExitCode::FAILURE;
        }
    };
    runtime.block_on(async move {
        let InstanceSignals { hangups, terminations } = signals;
        reload::start(hangups, settings.clone(), file, check::read);
        serve(settings, terminations).await
    })
}

async fn serve(settings: InstanceSettings, terminations: TerminationSignals) -> ExitCode {
    let borders = system_borders(&settings);
    let timing = InstanceTiming::from_settings(&settings);
    // The start time, so that the incarnation is higher after each restart.
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let incarnation = since_epoch.map_or(1, |it| it.as_millis() as u64);
    match Instance::start(settings, borders, timing, incarnation).await {
        Ok(instance) => {
            instance.run(terminations.wait()).await;
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("{err}");
            ExitCode::FAILURE
        }
    }
}

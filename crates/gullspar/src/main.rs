//! The program of an entry instance.

mod check;
mod command_line;
mod reload;
mod run;
mod serve;

use std::process::ExitCode;

use gullspar_instance::InstanceSignals;

fn main() -> ExitCode {
    let matches = command_line::command().get_matches();
    match matches.subcommand() {
        Some(("run", args)) => with_signals(|it| run::run(command_line::settings_file(args), it)),
        Some(("serve", args)) => {
            with_signals(|it| serve::serve(command_line::settings_file(args), it))
        }
        Some(("check", args)) => {
            check::check(command_line::settings_file(args), command_line::is_direct(args))
        }
        Some(("settings", args)) => check::print_reference(command_line::is_direct(args)),
        // The command line accepts no other subcommand.
        _ => ExitCode::FAILURE,
    }
}

/// Runs a command that serves, with the signals that the process has received since its start.
fn with_signals(command: impl FnOnce(InstanceSignals) -> ExitCode) -> ExitCode {
    match InstanceSignals::receive() {
        Ok(signals) => command(signals),
        Err(err) => {
            eprintln!("signals can't be handled: {err}");
            ExitCode::FAILURE
        }
    }
}

//! The program that every entry instance runs.

mod check;
mod command_line;
mod run;
mod serve;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = command_line::command().get_matches();
    match matches.subcommand() {
        Some(("run", args)) => run::run(command_line::file(args)),
        Some(("serve", args)) => serve::serve(command_line::file(args)),
        Some(("check", args)) => check::check(command_line::file(args), command_line::direct(args)),
        Some(("settings", args)) => check::print_reference(command_line::direct(args)),
        // The command line accepts no other.
        _ => ExitCode::FAILURE,
    }
}

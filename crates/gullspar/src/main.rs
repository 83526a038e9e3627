//! The program of an entry instance.

mod check;
mod command_line;
mod run;
mod serve;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = command_line::command().get_matches();
    match matches.subcommand() {
        Some(("run", args)) => run::run(command_line::settings_file(args)),
        Some(("serve", args)) => serve::serve(command_line::settings_file(args)),
        Some(("check", args)) => {
            check::check(command_line::settings_file(args), command_line::is_direct(args))
        }
        Some(("settings", args)) => check::print_reference(command_line::is_direct(args)),
        // The command line accepts no other subcommand.
        _ => ExitCode::FAILURE,
    }
}

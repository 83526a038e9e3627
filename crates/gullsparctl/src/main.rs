//! The command-line tool for operators, which also runs labs and the fault soak.

mod client;
mod command_line;
mod lab_command;
mod operator_command;
mod report_command;
mod soak_command;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = command_line::command().get_matches();
    let result = match matches.subcommand() {
        Some(("lab", args)) => lab_command::run(args),
        Some(("soak", args)) => soak_command::run(args),
        Some(("report", args)) => report_command::run(args),
        Some((name, args)) => operator_command::run(name, args),
        // The command line requires a subcommand.
        None => Ok(()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{err}");
            ExitCode::FAILURE
        }
    }
}

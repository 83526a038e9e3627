//! Commands that print reports.

use std::path::PathBuf;

use clap::ArgMatches;
use gullspar_border::BurnSeries;
use gullspar_report::{BurnReport, html, text};

use crate::client::{self, CommandError};
use crate::operator_command;

/// Runs a report command.
pub(crate) fn run(args: &ArgMatches) -> Result<(), CommandError> {
    match args.subcommand() {
        Some(("burn", args)) => burn(args),
        // The command line accepts no other subcommand.
        _ => Ok(()),
    }
}

fn burn(args: &ArgMatches) -> Result<(), CommandError> {
    let answer = client::get(operator_command::address(args)?, "/v1/burn")?;
    let series: Vec<BurnSeries> =
        serde_json::from_str(&answer).map_err(|err| CommandError::Text(err.to_string()))?;
    let report = BurnReport::new(&series);
    if let Some(file) = args.get_one::<PathBuf>("html") {
        let page = html(&report).map_err(|err| CommandError::Text(err.to_string()))?;
        return std::fs::write(file, page)
            .map_err(|err| CommandError::File(file.display().to_string(), err));
    }
    if args.get_flag("json") {
        let json = serde_json::to_string_pretty(&report)
            .map_err(|err| CommandError::Text(err.to_string()))?;
        println!("{json}");
    } else {
        print!("{}", text(&report));
    }
    Ok(())
}

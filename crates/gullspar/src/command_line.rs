//! The command line of `gullspar`.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

/// Defines all subcommands and their arguments.
pub(crate) fn command() -> Command {
    let file = Arg::new("file")
        .value_name("FILE")
        .help("Settings file of the instance: JSON with comments, see docs/settings.md")
        .required(true)
        .value_parser(value_parser!(PathBuf));
    let direct = Arg::new("direct")
        .long("direct")
        .help("For an instance that connects to its targets directly (`serve`)")
        .action(ArgAction::SetTrue);
    Command::new("gullspar")
        .version(env!("CARGO_PKG_VERSION"))
        .about("A database proxy with session consistency: one entry instance")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("run")
                .about("Runs an instance until SIGINT or SIGTERM, then drains it")
                .arg(file.clone()),
        )
        .subcommand(
            Command::new("check")
                .about("Checks a settings file and reports every finding with its location")
                .arg(file.clone())
                .arg(direct.clone()),
        )
        .subcommand(
            Command::new("serve")
                .about("Runs an instance that connects to its targets directly, until SIGTERM")
                .arg(file.clone()),
        )
        .subcommand(
            Command::new("settings").about("Prints the reference of all settings").arg(direct),
        )
}

/// Whether a subcommand was called with `--direct`.
pub(crate) fn is_direct(args: &ArgMatches) -> bool {
    args.get_flag("direct")
}

/// The settings file that was passed to a subcommand.
pub(crate) fn settings_file(args: &ArgMatches) -> PathBuf {
    args.get_one::<PathBuf>("file").cloned().unwrap_or_default()
}

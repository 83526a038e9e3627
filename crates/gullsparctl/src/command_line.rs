//! The command line of `gullsparctl`.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};

/// Defines all subcommands and their arguments.
pub(crate) fn command() -> Command {
    let address = Arg::new("at")
        .long("at")
        .value_name("ADDRESS")
        .help("Operator address of any instance, such as 127.0.0.1:7001")
        .required(true)
        .value_parser(value_parser!(SocketAddr));
    let json =
        Arg::new("json").long("json").help("Print the answer as JSON").action(ArgAction::SetTrue);
    Command::new("gullsparctl")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operates gullspar: plan a change, review the plan, confirm it")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("plan")
                .about("Prints the plan for an intent without changing anything")
                .long_about(
                    "Prints the changes that an intent would make, as a plan. Nothing changes until \
                     the plan is confirmed. An intent is JSON, for example\n  \
                     {\"intent\": \"set_leaving\", \"service\": \"listings\", \"member\": \"m2\", \
                     \"leaving\": true}",
                )
                .arg(address.clone())
                .arg(path("INTENT", "File with the intent; - for standard input")),
        )
        .subcommand(
            Command::new("confirm")
                .about("Carries out a plan exactly as it was printed")
                .arg(address.clone())
                .arg(path("PLAN", "File with the plan; - for standard input")),
        )
        .subcommand(
            Command::new("status")
                .about("Shows which versions are in force on which instances, and what each instance sees")
                .arg(address.clone())
                .arg(json.clone()),
        )
        .subcommand(report(address, json))
        .subcommand(lab())
        .subcommand(soak())
}

fn report(address: Arg, json: Arg) -> Command {
    let html = Arg::new("html")
        .long("html")
        .value_name("FILE")
        .help("Write the report as one self-contained page with plots")
        .value_parser(value_parser!(PathBuf));
    Command::new("report")
        .about("Prints reports")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("burn")
                .about("How fast each service and class uses up its error budget, and which targets failed")
                .arg(address)
                .arg(json)
                .arg(html),
        )
}

fn path(name: &'static str, help: &'static str) -> Arg {
    Arg::new("file").value_name(name).help(help).required(true).value_parser(value_parser!(PathBuf))
}

fn lab() -> Command {
    let control = Arg::new("control")
        .long("control")
        .value_name("ADDRESS")
        .help("Control address that `lab up` printed")
        .required(true)
        .value_parser(value_parser!(SocketAddr));
    Command::new("lab")
        .about("Runs instances with simulated targets in one process, for experiments")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("up")
                .about("Starts a lab, then prints its addresses as one line of JSON")
                .arg(path(
                    "FILE",
                    "Settings of the lab: JSON with comments, such as labs/midshire.jsonc",
                )),
        )
        .subcommand(
            Command::new("fault")
                .about("Sets a fault in a running lab")
                .long_about(
                    "Sets a fault in a running lab. A command is JSON, for example\n  \
                     {\"fault\": {\"target\": {\"target\": \"listings-core-1/m1\", \"fault\": \
                     \"stopped\"}}}\n  \
                     {\"fault\": {\"isolate\": {\"data_centre\": \"derby-a\", \"cut\": true}}}\n  \
                     {\"fault\": {\"platform_out\": {\"out\": true}}}\n  \
                     {\"kill\": \"mid-3\"}",
                )
                .arg(control)
                .arg(Arg::new("command").value_name("COMMAND").required(true)),
        )
}

fn soak() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).help(help).default_value(default).value_parser(value_parser!(u64))
    };
    let path = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).help(help).required(true).value_parser(value_parser!(PathBuf))
    };
    Command::new("soak")
        .about(
            "Runs real instances with random faults from a seed, and checks the answers to callers",
        )
        .arg(path("program", "Path of the program `gullspar`"))
        .arg(path("folder", "Folder for the settings and logs of each seed"))
        .arg(number("seed", "1", "The first seed"))
        .arg(number("count", "1", "Number of seeds to run"))
        .arg(number("instances", "3", "Number of instances in each run"))
        .arg(number("seconds", "10", "How long faults are injected, in seconds"))
        .arg(
            Arg::new("customers")
                .long("customers")
                .help("Give callers keys, revoke some of them, and restore the store from older copies")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("replication")
                .long("replication")
                .help("Draw syncReplicas, late orders, replaced and deaf members and stopped claimants from the seed")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("signals")
                .long("signals")
                .help("Send series of signals to instances whose callers never pause, and no other faults")
                .conflicts_with_all(["customers", "replication"])
                .action(ArgAction::SetTrue),
        )
}

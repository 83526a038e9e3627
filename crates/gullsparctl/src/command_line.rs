//! The command line of `gullsparctl`.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};

/// The whole command line.
pub(crate) fn command() -> Command {
    let address = Arg::new("at")
        .long("at")
        .value_name("ADDRESS")
        .help("Operator address of any instance, as 127.0.0.1:7001")
        .required(true)
        .value_parser(value_parser!(SocketAddr));
    let json =
        Arg::new("json").long("json").help("Print the answer as JSON").action(ArgAction::SetTrue);
    Command::new("gullsparctl")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Drives gullspar: say what you want, look at the plan, confirm it")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("plan")
                .about("Plans what an intent would change; nothing happens by it")
                .long_about(
                    "Plans what an intent would change and prints the plan. Nothing happens until \
                     the plan is confirmed. An intent is JSON, for example\n  \
                     {\"intent\": \"set_leaving\", \"service\": \"listings\", \"member\": \"m2\", \
                     \"leaving\": true}",
                )
                .arg(address.clone())
                .arg(path("INTENT", "File with the intent; - for standard input")),
        )
        .subcommand(
            Command::new("confirm")
                .about("Carries out a plan exactly as it was shown")
                .arg(address.clone())
                .arg(path("PLAN", "File with the plan; - for standard input")),
        )
        .subcommand(
            Command::new("status")
                .about("Tells what is in force where, and what each instance sees")
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
        .about("Reports")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("burn")
                .about("How fast each service and class uses up what its objective allows to fail, and why")
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
        .about("Runs stand-ins and instances in one process, for trying out")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("up")
                .about(
                    "Starts a lab and prints one line of JSON with all addresses when it listens",
                )
                .arg(path("FILE", "The lab: JSON with comments, as labs/midshire.jsonc")),
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
            "Runs real instances under faults drawn from a seed, and checks what callers are told",
        )
        .arg(path("program", "The program `gullspar`"))
        .arg(path("folder", "Where settings and logs of each seed are written"))
        .arg(number("seed", "1", "The first seed"))
        .arg(number("count", "1", "How many seeds"))
        .arg(number("instances", "3", "Instances in each run"))
        .arg(number("seconds", "10", "Seconds in which faults come"))
        .arg(
            Arg::new("customers")
                .long("customers")
                .help("Give callers keys, take some away, and restore the store from older copies")
                .action(ArgAction::SetTrue),
        )
}

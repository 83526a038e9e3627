//! Runs a case of the review: stand-ins of the platform and of one group, and real instances as processes.
//!
//! Usage: `cases CASE PROGRAM RECORD`. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod caller;
mod deployment;
mod draining_replica;
mod group;
mod hang_up;
mod http;
mod instance;
mod json;
mod late_order;
mod promotions;
mod random;
mod record;
mod store;
mod writes;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use record::Record;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, program, path] = args.as_slice() else {
        eprintln!("usage: cases CASE PROGRAM RECORD");
        return ExitCode::from(2);
    };
    let record = match Record::create(Path::new(path)) {
        Ok(record) => Arc::new(record),
        Err(err) => {
            eprintln!("{path}: {err}");
            return ExitCode::from(2);
        }
    };
    let with_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let time = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_nanos() as u64);
    let seed = std::env::var("SEED").ok().and_then(|it| it.parse().ok()).unwrap_or(time);
    record.report(&format!("case {case}, seed {seed}, trouble {with_trouble}"));
    let result = match case.as_str() {
        "late-order" => late_order::run(Path::new(program), seed, with_trouble, &record),
        "draining-replica" => {
            draining_replica::run(Path::new(program), seed, with_trouble, &record)
        }
        "hang-up" => hang_up::run(Path::new(program), seed, with_trouble, &record),
        _ => Err("no such case".to_owned()),
    };
    match result {
        Ok(true) => {
            record.report("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.report("the rule was broken");
            ExitCode::from(1)
        }
        Err(err) => {
            record.report(&format!("the case could not run: {err}"));
            ExitCode::from(2)
        }
    }
}

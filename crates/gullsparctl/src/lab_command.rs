//! Commands that run a lab and set its faults.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::pin::pin;
use std::time::Duration;

use clap::ArgMatches;
use futures::StreamExt;
use futures::channel::mpsc;
use futures::future::{self, Either};
use gullspar_lab::{Lab, LabCommand, LabSettings, TerminationSignals, run_control};
use logforth::append;

use crate::client::{self, CommandError};

/// Runs a lab command.
pub(crate) fn run(args: &ArgMatches) -> Result<(), CommandError> {
    match args.subcommand() {
        Some(("up", args)) => up(args),
        Some(("fault", args)) => fault(args),
        // The command line accepts no other subcommand.
        _ => Ok(()),
    }
}

fn fault(args: &ArgMatches) -> Result<(), CommandError> {
    let missing = || CommandError::Text("--control is missing".to_owned());
    let control = args.get_one::<SocketAddr>("control").copied().ok_or_else(missing)?;
    let command = args.get_one::<String>("command").cloned().unwrap_or_default();
    print!("{}", client::post(control, "/v1/command", &command)?);
    Ok(())
}

fn up(args: &ArgMatches) -> Result<(), CommandError> {
    let terminations = TerminationSignals::receive().map_err(CommandError::Runtime)?;
    let file = args.get_one::<PathBuf>("file").cloned().unwrap_or_default();
    let text = client::read(&file)?;
    let settings = LabSettings::parse(&file.display().to_string(), &text)
        .map_err(|findings| CommandError::Text(findings.to_string()))?;
    let filter = logforth::filter::rustlog::RustLogFilterBuilder::from_default_env_or("warn");
    logforth::starter_log::builder()
        .dispatch(|it| it.filter(filter.build()).append(append::Stderr::default()))
        .apply();
    let mut lab = Lab::start(settings).map_err(|err| CommandError::Text(err.to_string()))?;
    let runtime = compio::runtime::Runtime::new().map_err(CommandError::Runtime)?;
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(CommandError::Runtime)?;
    lab.addresses.control = listener.local_addr().ok();
    let addresses =
        serde_json::to_string(&lab.addresses).map_err(|err| CommandError::Text(err.to_string()))?;
    runtime.block_on(async move {
        let (tx, mut rx) = mpsc::unbounded();
        let listener =
            compio::net::TcpListener::from_std(listener).map_err(CommandError::Runtime)?;
        compio::runtime::spawn(async move {
            if let Err(err) = run_control(listener, tx).await {
                log::error!("L0104 the control address of the lab is no longer served: {err}");
            }
        })
        .detach();
        let terminated = terminations.wait();
        futures::pin_mut!(terminated);
        let Either::Right((_, mut terminated)) =
            future::select(terminated, pin!(wait_for_primaries(&lab))).await
        else {
            return Ok(());
        };
        println!("{addresses}");
        loop {
            match future::select(terminated, rx.next()).await {
                Either::Left(_) | Either::Right((None, _)) => return Ok(()),
                Either::Right((Some(command), pending)) => {
                    terminated = pending;
                    run_command(&mut lab, command);
                }
            }
        }
    })
}

/// Waits until every group has a primary, for a limited time, since the settings of a lab may not
/// allow one.
async fn wait_for_primaries(lab: &Lab) {
    const MAX_CHECKS: u32 = 200;
    for _ in 0..MAX_CHECKS {
        if lab.has_all_primaries() {
            return;
        }
        compio::time::sleep(Duration::from_millis(50)).await;
    }
    log::warn!("L0105 some groups still have no primary");
}

fn run_command(lab: &mut Lab, command: LabCommand) {
    match command {
        LabCommand::Fault(change) => lab.faults.apply(change),
        LabCommand::Kill(id) => with_instance(lab, &id, gullspar_lab::LabInstance::kill),
        LabCommand::ShutDown(id) => with_instance(lab, &id, |it| it.request_shutdown()),
        LabCommand::Restart(id) => with_instance(lab, &id, gullspar_lab::LabInstance::restart),
        LabCommand::Pause { instance, ms } => {
            with_instance(lab, &instance, |it| it.pause(Duration::from_millis(ms)));
        }
    }
    lab.publish_instances();
}

fn with_instance(
    lab: &mut Lab,
    id: &gullspar_model::InstanceId,
    action: impl FnOnce(&mut gullspar_lab::LabInstance),
) {
    match lab.instances.iter_mut().find(|it| it.addresses.id == *id) {
        Some(instance) => action(instance),
        None => log::warn!("L0106 instance {id} does not exist in the lab"),
    }
}

//! Running a lab and setting its faults.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::Duration;

use clap::ArgMatches;
use futures::StreamExt;
use futures::channel::mpsc;
use futures::future::{self, Either};
use gullspar_lab::{Lab, LabCommand, LabSettings, run_control};
use logforth::append;

use crate::client::{self, CommandError};

/// Runs a lab command.
pub(crate) fn run(args: &ArgMatches) -> Result<(), CommandError> {
    match args.subcommand() {
        Some(("up", args)) => up(args),
        Some(("fault", args)) => fault(args),
        // The command line accepts nothing else.
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
                log::error!("L0104 the lab takes no more commands: {err}");
            }
        })
        .detach();
        wait_until_led(&lab).await;
        println!("{addresses}");
        let ended = gullspar_lab::termination_signal();
        futures::pin_mut!(ended);
        loop {
            match future::select(ended, rx.next()).await {
                Either::Left(_) | Either::Right((None, _)) => return Ok(()),
                Either::Right((Some(command), pending)) => {
                    ended = pending;
                    carry_out(&mut lab, command);
                }
            }
        }
    })
}

/// Waits until every group has a primary, but not for ever: a lab may be set up so that none can be.
async fn wait_until_led(lab: &Lab) {
    const LOOKS: u32 = 200;
    for _ in 0..LOOKS {
        if lab.has_all_primaries() {
            return;
        }
        compio::time::sleep(Duration::from_millis(50)).await;
    }
    log::warn!("L0105 not every group has a primary yet");
}

fn carry_out(lab: &mut Lab, command: LabCommand) {
    match command {
        LabCommand::Fault(change) => lab.faults.apply(change),
        LabCommand::Kill(id) => with(lab, &id, gullspar_lab::LabInstance::kill),
        LabCommand::ShutDown(id) => with(lab, &id, |it| it.request_shutdown()),
        LabCommand::Restart(id) => with(lab, &id, gullspar_lab::LabInstance::restart),
        LabCommand::Pause { instance, ms } => {
            with(lab, &instance, |it| it.pause(Duration::from_millis(ms)));
        }
    }
    lab.publish_instances();
}

fn with(
    lab: &mut Lab,
    id: &gullspar_model::InstanceId,
    act: impl FnOnce(&mut gullspar_lab::LabInstance),
) {
    match lab.instances.iter_mut().find(|it| it.addresses.id == *id) {
        Some(instance) => act(instance),
        None => log::warn!("L0106 there is no instance {id} in the lab"),
    }
}

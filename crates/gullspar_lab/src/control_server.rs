//! The HTTP server by which a running lab receives commands.

use std::io;

use axum::Json;
use axum::extract::State;
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use compio::net::TcpListener;
use futures::channel::mpsc;
use gullspar_model::{InstanceId, record};

use crate::FaultChange;

record! {
    /// A command to a running lab.
    #[serde(rename_all = "snake_case")]
    pub enum LabCommand {
        /// Changes the injected faults.
        Fault(FaultChange),
        /// Kills an instance.
        Kill(InstanceId),
        /// Shuts an instance down gracefully.
        ShutDown(InstanceId),
        /// Restarts an instance.
        Restart(InstanceId),
        /// Pauses an instance for `ms` milliseconds.
        Pause { instance: InstanceId, ms: u64 },
    }
}

/// Accepts commands on `listener` and forwards them to `tx`.
pub async fn run_control(
    listener: TcpListener,
    tx: mpsc::UnboundedSender<LabCommand>,
) -> io::Result<()> {
    let router = axum::Router::new().route("/v1/command", post(handle_command)).with_state(tx);
    cyper_axum::serve(listener, router).await
}

async fn handle_command(
    State(tx): State<mpsc::UnboundedSender<LabCommand>>,
    Json(command): Json<LabCommand>,
) -> Response {
    match tx.unbounded_send(command) {
        Ok(()) => "done\n".into_response(),
        Err(_) => (axum::http::StatusCode::GONE, "the lab is ending\n").into_response(),
    }
}

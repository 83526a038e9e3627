//! Where a running lab takes faults.

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
    /// Something to do to a running lab.
    #[serde(rename_all = "snake_case")]
    pub enum LabCommand {
        Fault(FaultChange),
        /// Ends an instance at once.
        Kill(InstanceId),
        /// Shuts an instance down in good order.
        ShutDown(InstanceId),
        /// Starts an instance again.
        Restart(InstanceId),
        /// Lets an instance stand still for so many milliseconds.
        Pause { instance: InstanceId, ms: u64 },
    }
}

/// Takes commands on `listener` and passes them to `tx`.
pub async fn run_control(
    listener: TcpListener,
    tx: mpsc::UnboundedSender<LabCommand>,
) -> io::Result<()> {
    let router = axum::Router::new().route("/v1/command", post(take)).with_state(tx);
    cyper_axum::serve(listener, router).await
}

async fn take(
    State(tx): State<mpsc::UnboundedSender<LabCommand>>,
    Json(command): Json<LabCommand>,
) -> Response {
    match tx.unbounded_send(command) {
        Ok(()) => "done\n".into_response(),
        Err(_) => (axum::http::StatusCode::GONE, "the lab is ending\n").into_response(),
    }
}

//! The HTTP API for operators.

use std::rc::Rc;

use axum::Json;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use compio_send_wrapper::SendWrapper;
use gullspar_model::record;

use crate::{Change, ConfirmError, Intent, Operator, Plan, PlanError};

type SharedOperator = SendWrapper<Rc<Operator>>;

record! {
    /// The body of the answer to a failed call.
    pub struct Failure {
        pub error: String,
        /// Why an intent can't be fulfilled.
        pub findings: Vec<String>,
        /// What changed since the plan was made.
        pub moved: Vec<Change>,
    }
}

/// The routes of the API.
///
/// All handlers run on the instance's only thread. `SendWrapper` satisfies the `Send` bounds of the HTTP library.
pub fn router(operator: Rc<Operator>) -> axum::Router {
    axum::Router::new()
        .route("/v1/plans", post(plan))
        .route("/v1/confirm", post(confirm))
        .route("/v1/status", get(status))
        .route("/v1/burn", get(burn))
        .route("/metrics", get(serve_metrics))
        .with_state(SendWrapper::new(operator))
}

fn failure_response(
    status: StatusCode,
    error: String,
    findings: Vec<String>,
    moved: Vec<Change>,
) -> Response {
    (status, Json(Failure { error, findings, moved })).into_response()
}

async fn plan(State(operator): State<SharedOperator>, Json(intent): Json<Intent>) -> Response {
    let operator = operator.take();
    SendWrapper::new(async move {
        match operator.plan(intent).await {
            Ok(plan) => Json(plan).into_response(),
            Err(PlanError::Findings(findings)) => {
                let error = "the intent can't be fulfilled".to_owned();
                failure_response(StatusCode::UNPROCESSABLE_ENTITY, error, findings, Vec::new())
            }
            Err(err) => failure_response(
                StatusCode::SERVICE_UNAVAILABLE,
                err.to_string(),
                Vec::new(),
                Vec::new(),
            ),
        }
    })
    .await
}

async fn confirm(State(operator): State<SharedOperator>, Json(plan): Json<Plan>) -> Response {
    let operator = operator.take();
    SendWrapper::new(async move {
        match operator.confirm(plan).await {
            Ok(confirmed) => Json(confirmed).into_response(),
            Err(err) => {
                let text = err.to_string();
                let (status, moved) = match err {
                    ConfirmError::Moved(_, moved) => (StatusCode::CONFLICT, moved),
                    ConfirmError::Altered => (StatusCode::UNPROCESSABLE_ENTITY, Vec::new()),
                    _ => (StatusCode::SERVICE_UNAVAILABLE, Vec::new()),
                };
                failure_response(status, text, Vec::new(), moved)
            }
        }
    })
    .await
}

async fn status(State(operator): State<SharedOperator>) -> Response {
    let operator = operator.take();
    SendWrapper::new(async move { Json(operator.status().await).into_response() }).await
}

async fn burn(State(operator): State<SharedOperator>) -> Response {
    let operator = operator.take();
    SendWrapper::new(async move { Json(operator.burn().await).into_response() }).await
}

async fn serve_metrics(State(operator): State<SharedOperator>) -> Response {
    let operator = operator.take();
    match operator.metrics.page(operator.own.report()) {
        Ok(page) => page.into_response(),
        Err(err) => failure_response(
            StatusCode::INTERNAL_SERVER_ERROR,
            err.to_string(),
            Vec::new(),
            Vec::new(),
        ),
    }
}

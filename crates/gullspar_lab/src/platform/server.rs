//! The HTTP API of the simulated platform.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use compio::net::TcpListener;
use gullspar_model::record;
use gullspar_net::{InstanceList, PutBody, PutReply};

use super::PlatformStore;
use crate::Faults;

#[derive(Clone)]
struct PlatformState {
    store: Arc<PlatformStore>,
    faults: Arc<Faults>,
}

record! {
    /// The query parameters of a watch.
    struct WatchQuery { prefix: String, revision: u64, wait_ms: u64 }
}

/// Serves the platform on `listener` until the task is dropped.
pub async fn run_platform(
    listener: TcpListener,
    store: Arc<PlatformStore>,
    faults: Arc<Faults>,
) -> io::Result<()> {
    let state = PlatformState { store, faults };
    let router = axum::Router::new()
        .route("/v1/objects/{*key}", get(get_object).put(put_object))
        .route("/v1/watch", get(watch))
        .route("/v1/instances", get(instances))
        .with_state(state);
    cyper_axum::serve(listener, router).await
}

fn service_unavailable() -> Response {
    (StatusCode::SERVICE_UNAVAILABLE, "the platform is out of service").into_response()
}

async fn get_object(State(state): State<PlatformState>, Path(key): Path<String>) -> Response {
    if state.faults.is_platform_out() {
        return service_unavailable();
    }
    match state.store.get(&key) {
        Some(object) => Json(object).into_response(),
        None => (StatusCode::NOT_FOUND, "no such object").into_response(),
    }
}

async fn put_object(
    State(state): State<PlatformState>,
    Path(key): Path<String>,
    Json(body): Json<PutBody>,
) -> Response {
    if state.faults.is_platform_out() {
        return service_unavailable();
    }
    let result = state.store.put(&key, body.expected, body.value);
    if state.faults.consume_lost_answer() {
        return (StatusCode::GATEWAY_TIMEOUT, "the answer was lost").into_response();
    }
    match result {
        Ok(version) => Json(PutReply { version }).into_response(),
        Err(version) => (StatusCode::CONFLICT, Json(PutReply { version })).into_response(),
    }
}

async fn watch(State(state): State<PlatformState>, Query(query): Query<WatchQuery>) -> Response {
    let fut = async move {
        let deadline = std::time::Instant::now() + Duration::from_millis(query.wait_ms);
        loop {
            let changed = state.store.start_watch();
            if state.faults.is_platform_out() {
                return service_unavailable();
            }
            let list = state.store.changes(&query.prefix, query.revision);
            if !list.objects.is_empty() || std::time::Instant::now() >= deadline {
                return Json(list).into_response();
            }
            // After a timeout the next iteration returns an empty list.
            let _ = compio::time::timeout_at(deadline, changed).await;
        }
    };
    compio_send_wrapper::SendWrapper::new(fut).await
}

async fn instances(State(state): State<PlatformState>) -> Response {
    if state.faults.is_platform_out() {
        return service_unavailable();
    }
    Json(InstanceList { instances: state.store.instances() }).into_response()
}

//! HTTP server for metrics.

use axum::Router;
use axum::http::StatusCode;
use axum::routing::get;
use compio::net::TcpListener;
use gullspar_telemetry::MetricsRegistry;

/// Serves `/metrics`; returns only if serving fails.
pub async fn serve_metrics(listener: TcpListener, registry: MetricsRegistry) {
    let page = move || async move {
        registry.page().map_err(|err| (StatusCode::INTERNAL_SERVER_ERROR, err.to_string()))
    };
    let router = Router::new().route("/metrics", get(page));
    if let Err(err) = cyper_axum::serve(listener, router).await {
        log::error!(reason = err.to_string().as_str(); "G0743 serving metrics failed");
    }
}

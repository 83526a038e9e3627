//! Metrics by OpenTelemetry, as Prometheus reads them.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use quick_error::quick_error;

quick_error! {
    /// Why metrics can't be served.
    #[derive(Debug)]
    pub enum MetricsError {
        /// The exporter could not be made or failed.
        Exporter(reason: String) {
            display("the metrics exporter failed: {reason}")
        }
    }
}

/// All instruments of a process, and their page.
#[derive(Clone)]
pub struct MetricsRegistry {
    registry: Registry,
    /// Instruments live as long as their provider.
    provider: SdkMeterProvider,
}

impl MetricsRegistry {
    /// An empty registry.
    pub fn new() -> Result<MetricsRegistry, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .map_err(|err| MetricsError::Exporter(err.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(MetricsRegistry { registry, provider })
    }

    /// Where instruments are made.
    pub fn meter(&self) -> Meter {
        self.provider.meter("gullspar")
    }

    /// All metrics as Prometheus text.
    pub fn page(&self) -> Result<String, MetricsError> {
        let mut page = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut page)
            .map_err(|err| MetricsError::Exporter(err.to_string()))?;
        Ok(String::from_utf8_lossy(&page).into_owned())
    }
}

//! OpenTelemetry metrics, exported in the Prometheus format.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use quick_error::quick_error;

quick_error! {
    /// Why metrics can't be served.
    #[derive(Debug)]
    pub enum MetricsError {
        /// Creating the exporter or encoding the metrics failed.
        Exporter(reason: String) {
            display("the metrics exporter failed: {reason}")
        }
    }
}

/// The instruments of a process and their export.
#[derive(Clone)]
pub struct MetricsRegistry {
    registry: Registry,
    /// Kept because instruments only work as long as their provider exists.
    provider: SdkMeterProvider,
}

impl MetricsRegistry {
    /// Creates an empty registry.
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

    /// Returns the meter with which instruments are created.
    pub fn meter(&self) -> Meter {
        self.provider.meter("gullspar")
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn page(&self) -> Result<String, MetricsError> {
        let mut page = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut page)
            .map_err(|err| MetricsError::Exporter(err.to_string()))?;
        Ok(String::from_utf8_lossy(&page).into_owned())
    }
}

//! Metrics of the store's calls and of the configuration in force.

use std::{fmt, sync::Arc};

use kernel::Clock;
use prometheus_client::{
    collector::Collector,
    encoding::{DescriptorEncoder, EncodeMetric},
    metrics::{MetricType, counter::ConstCounter, gauge::ConstGauge},
};
use store::{BudgetedStore, budget::CallKind};

use crate::config::ConfigFollower;

/// Collects metrics of the store's calls and the configuration at each scrape.
#[derive(Debug)]
pub struct StoreAndConfigMetrics {
    store: Arc<BudgetedStore>,
    config: Arc<ConfigFollower>,
    clock: Clock,
}

impl StoreAndConfigMetrics {
    /// Creates the collector.
    #[must_use]
    pub const fn new(store: Arc<BudgetedStore>, config: Arc<ConfigFollower>, clock: Clock) -> Self {
        Self {
            store,
            config,
            clock,
        }
    }

    fn encode_store(&self, encoder: &mut DescriptorEncoder<'_>) -> fmt::Result {
        let mut calls = encoder.encode_descriptor(
            "store_calls",
            "Calls to the platform's key-value service",
            None,
            MetricType::Counter,
        )?;
        for call in CallKind::ALL {
            let counter = ConstCounter::new(self.store.call_count(call));
            counter.encode(calls.encode_family(&[("call", call.as_str())])?)?;
        }
        let delayed = encoder.encode_descriptor(
            "store_calls_delayed",
            "Store calls delayed because the call budget of this entry was used up",
            None,
            MetricType::Counter,
        )?;
        ConstCounter::new(self.store.delayed_calls()).encode(delayed)?;
        let watches = encoder.encode_descriptor(
            "store_watches",
            "Watches that wait at the service",
            None,
            MetricType::Gauge,
        )?;
        let open_watches = i64::try_from(self.store.open_watches()).unwrap_or(i64::MAX);
        ConstGauge::new(open_watches).encode(watches)
    }

    fn encode_config(&self, encoder: &mut DescriptorEncoder<'_>) -> fmt::Result {
        let in_force = self.config.in_force();
        let revision = encoder.encode_descriptor(
            "config_revision",
            "Revision of the configuration in force",
            None,
            MetricType::Gauge,
        )?;
        let number = i64::try_from(in_force.revision.0).unwrap_or(i64::MAX);
        ConstGauge::new(number).encode(revision)?;
        // Without a proof there is no age to report.
        let Some(proved_at) = in_force.proved_at else {
            return Ok(());
        };
        let age = encoder.encode_descriptor(
            "config_proof_age_seconds",
            "Time since the revision in force was proved to be the newest",
            None,
            MetricType::Gauge,
        )?;
        let seconds = self.clock.now().since(proved_at).as_secs_f64();
        ConstGauge::new(seconds).encode(age)
    }
}

impl Collector for StoreAndConfigMetrics {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> fmt::Result {
        self.encode_store(&mut encoder)?;
        self.encode_config(&mut encoder)
    }
}

//! Metrics of the daemon.

use prometheus::Encoder;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use prometheus::core::Collector;

/// Upper bounds of request durations, in seconds.
const DURATION_BOUNDS_S: [f64; 12] = [
    0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0, 5.0, 15.0, 60.0,
];

/// All metrics; names are explained in docs/operations/metrics.md.
#[derive(Debug, Clone)]
pub struct DaemonMetrics {
    registry: Registry,
    /// Requests by service and result code.
    pub requests: IntCounterVec,
    /// Duration of callers' requests.
    pub durations: Histogram,
    /// Second attempts.
    pub retries: IntCounter,
    /// Attempts at samples by how they ended.
    pub attempts: IntCounterVec,
    /// Orders and reports sent to the platform by result.
    pub orders: IntCounterVec,
    /// Term.
    pub term: IntGauge,
    /// One on the leader, else zero.
    pub leads: IntGauge,
    /// One while the view is confirmed, else zero.
    pub fresh: IntGauge,
    /// Index applied.
    pub applied: IntGauge,
    /// Number of the configuration.
    pub config_number: IntGauge,
    /// Duration of syncs of the log.
    pub syncs: Histogram,
    /// Bytes sent to other daemons for control.
    pub control_bytes: IntCounter,
}

impl DaemonMetrics {
    /// Creates and registers all metrics.
    ///
    /// # Panics
    ///
    /// Panics if two metrics share a name, which the first start would show.
    pub fn new() -> Self {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let metric = IntCounterVec::new(Opts::new(name, help), labels);
            register(&registry, metric)
        };
        let counter = |name: &str, help: &str| register(&registry, IntCounter::new(name, help));
        let gauge = |name: &str, help: &str| register(&registry, IntGauge::new(name, help));
        let histogram = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(DURATION_BOUNDS_S.to_vec());
            register(&registry, Histogram::with_opts(options))
        };
        Self {
            requests: counters(
                "bergamotlane_requests_total",
                "Callers' requests by service and result code",
                &["service", "code"],
            ),
            durations: histogram(
                "bergamotlane_request_seconds",
                "Duration of callers' requests",
            ),
            retries: counter("bergamotlane_retries_total", "Second attempts"),
            attempts: counters(
                "bergamotlane_attempts_total",
                "Attempts at samples by how they ended",
                &["result"],
            ),
            orders: counters(
                "bergamotlane_orders_total",
                "Orders and reports to the platform by result",
                &["kind", "result"],
            ),
            term: gauge("bergamotlane_term", "Term of the group"),
            leads: gauge("bergamotlane_leads", "Whether this instance leads"),
            fresh: gauge("bergamotlane_fresh", "Whether the view is confirmed"),
            applied: gauge("bergamotlane_applied_index", "Log index applied"),
            config_number: gauge("bergamotlane_config_number", "Number of the configuration"),
            syncs: histogram("bergamotlane_sync_seconds", "Duration of syncs of the log"),
            control_bytes: counter(
                "bergamotlane_control_bytes_total",
                "Bytes sent to other daemons",
            ),
            registry,
        }
    }

    /// Returns all metrics in the text format.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        match encoded {
            Ok(()) => String::from_utf8_lossy(&text).into_owned(),
            Err(error) => format!("# could not encode metrics: {error}\n"),
        }
    }
}

fn register<M: Collector + Clone + 'static>(
    registry: &Registry,
    metric: prometheus::Result<M>,
) -> M {
    let metric = metric.expect("metric is valid");
    let collector = Box::new(metric.clone());
    registry
        .register(collector)
        .expect("metric names are unique");
    metric
}

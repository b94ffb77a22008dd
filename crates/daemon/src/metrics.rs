//! Prometheus metrics of the daemon.

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

/// Upper bounds of the histogram buckets, in seconds.
const DURATION_BOUNDS_S: [f64; 12] = [
    0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0, 5.0, 15.0, 60.0,
];

/// All metrics of the daemon, in a registry of their own.
#[derive(Debug, Clone)]
pub struct DaemonMetrics {
    registry: Registry,
    /// Callers' requests by service (empty if unknown) and result code.
    pub requests: IntCounterVec,
    /// Durations of callers' requests up to the start of the response body, in seconds.
    pub durations: Histogram,
    /// Retries of requests to targets, and second generations of straggling samples.
    pub retries: IntCounter,
    /// Attempts to generate a sample, by their result.
    pub attempts: IntCounterVec,
    /// Orders and usage reports sent to the platform, by kind and result.
    pub orders: IntCounterVec,
    /// Current consensus term as this instance's voter knows it.
    pub term: IntGauge,
    /// 1 on the leader, else 0.
    pub leads: IntGauge,
    /// 1 while the view is confirmed as current, else 0.
    pub fresh: IntGauge,
    /// Index of the last log entry that was applied.
    pub applied: IntGauge,
    /// Number of the last configuration change that was applied.
    pub config_number: IntGauge,
    /// Durations of syncs of the log to disk, in seconds.
    pub syncs: Histogram,
    /// Bytes sent to other daemons.
    pub control_bytes: IntCounter,
}

impl DaemonMetrics {
    /// Creates and registers all metrics.
    ///
    /// # Panics
    ///
    /// Panics if a metric is invalid or two share a name; either fails every start.
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

    /// Returns all metrics in the text exposition format; a failure to encode them is returned
    /// as a comment line.
    pub fn render(&self) -> String {
        let mut output = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut output);
        match encoded {
            Ok(()) => String::from_utf8_lossy(&output).into_owned(),
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

//! Metrics of this process, exported in the Prometheus text format.

use std::sync::LazyLock;

use prometheus::Encoder;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use prometheus::core::Collector;

use crate::logs::dropped_lines;

/// Upper bounds of latency buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 10.0];

/// Upper bounds of the buckets of ratios of actual to expected lengths.
const LENGTH_RATIO_BUCKETS: [f64; 8] = [0.25, 0.5, 0.8, 1.0, 1.25, 2.0, 4.0, 8.0];

/// Metrics of this process, registered on first use.
pub static METRICS: LazyLock<ServiceMetrics> = LazyLock::new(ServiceMetrics::new);

/// Metrics of all roles; those of a role that the process does not have stay at zero.
#[derive(Debug)]
pub struct ServiceMetrics {
    registry: Registry,
    /// Number of answers to callers, by HTTP status.
    pub answers: IntCounterVec,
    /// Number of answers of targets with a status that ends no request.
    pub answers_malformed: IntCounter,
    /// Time from a caller's request to its answer, in seconds.
    pub answer_seconds: Histogram,
    /// Number of tries to forward a request to a target, by outcome.
    pub tries: IntCounterVec,
    /// Number of requests for permits to send to targets that name a limit, by outcome and by who
    /// decided.
    pub permits: IntCounterVec,
    /// Number of targets that name a limit, as the leader knows them.
    pub targets_limited: IntGauge,
    /// Number of targets that crashed under callers' requests of this process.
    pub target_crashes: IntCounter,
    /// Number of requests refused because targets crashed under them.
    pub quarantined: IntCounter,
    /// Number of streams that callers may take up, by what became of their record.
    pub streams: IntCounterVec,
    /// Number of targets that told this process in an answer that they leave.
    pub leaving_marks: IntCounter,
    /// Number of requests relayed by entries: sent through another one, served for another one, or
    /// without a helper.
    pub relays: IntCounterVec,
    /// Number of runs of items, by outcome.
    pub runs: IntCounterVec,
    /// Number of runs that were stopped to resume at another engine.
    pub runs_moved: IntCounter,
    /// Ratio of the actual number of events of an item to that expected when its last run began.
    pub length_ratio: Histogram,
    /// Number of reward calls, by outcome.
    pub reward_calls: IntCounterVec,
    /// Time from an item's complete text to its score, in seconds.
    pub score_seconds: Histogram,
    /// Number of complete texts that wait for a reward call.
    pub scores_waiting: IntGauge,
    /// Number of reward calls in progress.
    pub reward_calls_active: IntGauge,
    /// Number of items whose results were listed.
    pub items_listed: IntCounter,
    /// Number of complete groups that were listed.
    pub groups_listed: IntCounter,
    /// Number of held results listed before their groups were complete, by cause.
    pub results_forced: IntCounterVec,
    /// Number of results that wait for the rest of their groups.
    pub results_held: IntGauge,
    /// Size of the texts of the results that are held, in bytes.
    pub held_text_bytes: IntGauge,
    /// Number of reads of results that this keeper answered without leading.
    pub replica_reads: IntCounter,
    /// Number of generated events that no later run could resume from.
    pub events_discarded: IntCounter,
    /// Number of orders to load weights, by the engine's answer.
    pub weight_orders: IntCounterVec,
    /// Number of usage windows that the platform accepted.
    pub windows_reported: IntCounter,
    /// Number of changes of this keeper's consensus role.
    pub role_changes: IntCounter,
    /// Term while this keeper leads, else zero.
    pub lead_term: IntGauge,
    /// Number of items that wait for an engine.
    pub items_waiting: IntGauge,
    /// Number of runs of items in progress.
    pub runs_active: IntGauge,
    /// Number of choices of a target, by what decided them: a report of the target, or what was observed.
    pub choices: IntCounterVec,
    /// Number of requests refused because all targets reported that they have no room.
    pub requests_shed: IntCounter,
    /// Number of known targets.
    pub targets: IntGauge,
    /// Version of the routing plan in force.
    pub plan_version: IntGauge,
    /// Number of links.
    pub links: IntGauge,
    /// Size of the frames that wait on links, in bytes.
    pub queued_bytes: IntGauge,
    /// Number of partial texts that are kept.
    pub partial_texts: IntGauge,
    /// Resident memory, in KB.
    pub resident_kb: IntGauge,
    /// Size of the consensus log on disk, in bytes.
    pub log_bytes: IntGauge,
    /// Size of the consensus log and of the snapshots on disk, in bytes.
    pub disk_bytes: IntGauge,
    /// Size of the log's commands that are held in memory, in bytes.
    pub command_bytes: IntGauge,
    /// Number of items of the jobs in the state.
    pub state_items: IntGauge,
    /// Size of the bodies and texts that the state refers to on disk, in bytes.
    pub stored_bytes: IntGauge,
    /// Size of the bodies and texts that the state holds in memory, in bytes.
    pub inline_bytes: IntGauge,
    /// Size of the jobs' records in the state, in bytes, as the leader measured it.
    pub state_bytes: IntGauge,
    /// Number of jobs that were refused, by the share that was full.
    pub jobs_refused: IntCounterVec,
    /// Number of jobs that their callers have not ended, by customer; at the leader.
    pub jobs_open: IntGaugeVec,
    /// Age of each customer's oldest job that is not ended, in seconds; at the leader.
    pub oldest_open_job_seconds: IntGaugeVec,
    /// Size of the frames that were received and not handled yet, in bytes.
    pub received_bytes: IntGauge,
    /// Number of received frames that were skipped: unknown to this build, or too long.
    pub frames_skipped: IntCounter,
    /// Number of links that ended since too much waited for all links.
    pub links_cut: IntCounter,
    /// Number of requests refused because their bodies did not fit.
    pub bodies_refused: IntCounter,
    /// Number of clients that met a limit, by limit.
    pub client_limits: IntCounterVec,
    /// Number of open connections of clients.
    pub connections: IntGauge,
    /// Number of requests refused because callers don't read their answers.
    pub answers_refused: IntCounter,
    /// Size of the partial texts that are kept, in bytes.
    pub text_bytes: IntGauge,
    /// Number of partial texts that were dropped to make room for others.
    pub texts_dropped: IntCounter,
    /// Number of calls to the leader that were put off since too many waited.
    pub calls_delayed: IntCounter,
    /// Number of heartbeats of targets: taken or forwarded by this keeper as follower, and what it did
    /// as leader with those in batches.
    pub heartbeats: IntCounterVec,
    lines_dropped: IntGauge,
}

fn register<C: Collector + Clone + 'static>(registry: &Registry, collector: C) -> C {
    registry
        .register(Box::new(collector.clone()))
        .expect("metric names are unique");
    collector
}

impl ServiceMetrics {
    fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help).expect("metric names are valid");
            register(&registry, counter)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("metric names are valid");
            register(&registry, gauge)
        };
        let gauges = |name: &str, help: &str, label: &str| {
            let gauges = IntGaugeVec::new(Opts::new(name, help), &[label]);
            register(&registry, gauges.expect("metric names are valid"))
        };
        let counters = |name: &str, help: &str, label: &str| {
            let counters = IntCounterVec::new(Opts::new(name, help), &[label]);
            register(&registry, counters.expect("metric names are valid"))
        };
        let permits = Opts::new("permits_total", "Requests for permits.");
        let permits = IntCounterVec::new(permits, &["outcome", "source"]);
        let permits = permits.expect("metric names are valid");
        let latency = HistogramOpts::new("answer_seconds", "Time to answer callers.")
            .buckets(LATENCY_BUCKETS_S.to_vec());
        let latency = Histogram::with_opts(latency).expect("metric names are valid");
        let scoring = HistogramOpts::new("score_seconds", "Time from a text to its score.")
            .buckets(LATENCY_BUCKETS_S.to_vec());
        let scoring = Histogram::with_opts(scoring).expect("metric names are valid");
        let lengths = HistogramOpts::new("item_length_ratio", "Actual to expected events.")
            .buckets(LENGTH_RATIO_BUCKETS.to_vec());
        let lengths = Histogram::with_opts(lengths).expect("metric names are valid");
        Self {
            answers: counters("answers_total", "Answers to callers.", "status"),
            answer_seconds: register(&registry, latency),
            tries: counters("target_tries_total", "Tries at targets.", "outcome"),
            permits: register(&registry, permits),
            choices: counters("target_choices_total", "Choices of a target.", "basis"),
            requests_shed: counter("requests_shed_total", "Requests refused, no room."),
            targets_limited: gauge("targets_limited", "Targets that name a limit."),
            target_crashes: counter("target_crashes_total", "Targets crashed under requests."),
            quarantined: counter("quarantined_total", "Requests refused in quarantine."),
            streams: counters("streams_total", "Resumable streams.", "outcome"),
            leaving_marks: counter("targets_leaving_total", "Targets that said they leave."),
            relays: counters("relays_total", "Requests relayed by entries.", "outcome"),
            heartbeats: counters("heartbeats_total", "Heartbeats of targets.", "outcome"),
            runs: counters("item_runs_total", "Runs of items.", "outcome"),
            runs_moved: counter("item_runs_moved_total", "Runs moved to another engine."),
            length_ratio: register(&registry, lengths),
            reward_calls: counters("reward_calls_total", "Reward calls.", "outcome"),
            score_seconds: register(&registry, scoring),
            scores_waiting: gauge("scores_waiting", "Texts that wait for a reward call."),
            reward_calls_active: gauge("reward_calls_active", "Reward calls in progress."),
            items_listed: counter("items_listed_total", "Items listed."),
            groups_listed: counter("groups_listed_total", "Complete groups listed."),
            results_forced: counters("results_forced_total", "Results listed early.", "cause"),
            results_held: gauge("results_held", "Results that wait for their groups."),
            held_text_bytes: gauge("held_text_bytes", "Texts of the results that are held."),
            replica_reads: counter(
                "replica_reads_total",
                "Reads of results answered without leading.",
            ),
            events_discarded: counter("item_events_discarded_total", "Events made again."),
            weight_orders: counters("weight_orders_total", "Orders for weights.", "answer"),
            windows_reported: counter("usage_windows_total", "Usage windows taken."),
            role_changes: counter("role_changes_total", "Changes of this keeper's role."),
            lead_term: gauge("lead_term", "Term while leading, else zero."),
            items_waiting: gauge("items_waiting", "Items that wait for an engine."),
            runs_active: gauge("item_runs_active", "Runs in progress."),
            targets: gauge("targets_known", "Targets that are known."),
            plan_version: gauge("plan_version", "Version of the plan in force."),
            links: gauge("links", "Links to other processes."),
            queued_bytes: gauge("link_queued_bytes", "Frames that wait on links."),
            partial_texts: gauge("partial_texts", "Partial texts that are kept."),
            resident_kb: gauge("resident_kb", "Resident memory."),
            log_bytes: gauge("log_bytes", "Size of the log."),
            disk_bytes: gauge("disk_bytes", "Size of log and snapshots."),
            command_bytes: gauge("log_memory_bytes", "Commands of the log in memory."),
            state_items: gauge("state_items", "Items of the jobs in the state."),
            stored_bytes: gauge("state_disk_bytes", "Bodies and texts of the state on disk."),
            inline_bytes: gauge(
                "state_memory_bytes",
                "Bodies and texts of the state in memory.",
            ),
            received_bytes: gauge("link_received_bytes", "Frames not handled yet."),
            frames_skipped: counter("link_frames_skipped_total", "Frames skipped."),
            links_cut: counter("links_cut_total", "Links ended, too much waited."),
            client_limits: counters("client_limits_total", "Limits applied to clients.", "limit"),
            connections: gauge("client_connections", "Open connections of clients."),
            bodies_refused: counter("bodies_refused_total", "Bodies refused, no room."),
            answers_refused: counter(
                "answers_refused_total",
                "Requests refused, answers not read.",
            ),
            text_bytes: gauge("partial_text_bytes", "Size of the partial texts."),
            texts_dropped: counter(
                "partial_texts_dropped_total",
                "Partial texts dropped, no room.",
            ),
            calls_delayed: counter("leader_calls_delayed_total", "Calls put off, queue full."),
            state_bytes: gauge(
                "state_bytes",
                "Size of the jobs' records and of the index of the log.",
            ),
            answers_malformed: counter(
                "target_answers_malformed_total",
                "Answers of targets without a final status.",
            ),
            jobs_refused: counters("jobs_refused_total", "Jobs refused, no space.", "share"),
            jobs_open: gauges("jobs_open", "Jobs that are not ended.", "customer"),
            oldest_open_job_seconds: gauges(
                "jobs_open_oldest_seconds",
                "Age of the oldest job that is not ended.",
                "customer",
            ),
            lines_dropped: gauge("log_lines_dropped", "Log lines dropped, queue full."),
            registry,
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        self.lines_dropped.set(dropped_lines() as i64);
        let mut text = Vec::new();
        let families = self.registry.gather();
        if let Err(error) = TextEncoder::new().encode(&families, &mut text) {
            spdlog::error!("metrics: encoding failed", kv: { error = error.to_string() });
        }
        text
    }
}

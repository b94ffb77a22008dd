//! Adapter between the service and the HTTP protocol of a deployment's targets and platform.

use bytes::Bytes;
use http::HeaderMap;

use crate::load_report::LoadReport;
use crate::state::UsageCounts;
use crate::weights::OrderReport;
use bergamotlane_policy::rate::RequestRate;

/// Metadata that the service adds to a request to a target, usually as headers.
#[derive(Debug, Clone, Copy, Default)]
pub struct RequestMetadata<'a> {
    /// ID of the request.
    pub request_id: &'a str,
    /// ID of the intended target; a different target at the same address must refuse.
    pub target: &'a str,
    /// Time left until the request's deadline, in milliseconds.
    pub time_left_ms: Option<u64>,
    /// Customer on whose behalf the request runs.
    pub customer: Option<&'a str>,
    /// Weight version that the target must have.
    pub version: Option<u64>,
    /// ID of the last event received already; the stream resumes after it.
    pub last_event: Option<u64>,
}

/// Metadata of a target's answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerMetadata {
    /// ID of the answered request, as the target echoes it.
    pub request_id: Option<String>,
    /// Stamp of the target; without it, a successful answer is not trusted.
    pub stamp: Option<String>,
    /// Whether the target states that it did not run the request.
    pub not_run: bool,
    /// Weight version at the start of the answer.
    pub version: Option<u64>,
    /// Rate limit that the target advertises for all senders, if any.
    pub rate_limit: Option<RequestRate>,
    /// Whether the target says that it is about to leave.
    pub is_leaving: bool,
    /// Load that the target reports, if it does.
    pub load: Option<LoadReport>,
}

/// Leader that issues an order, with its fencing token.
#[derive(Debug, Clone)]
pub struct OrderHolder {
    /// Name of the leader's instance.
    pub name: String,
    /// Fencing token; receivers reject orders with a lower one than they have seen.
    pub fence: u64,
}

/// HTTP request that an adapter has built for a target or the platform.
#[derive(Debug, Clone)]
pub struct OutboundCall {
    /// Path and query.
    pub path: String,
    /// Headers to send.
    pub headers: HeaderMap,
    /// Body of a POST; `None` makes the request a GET.
    pub body: Option<Bytes>,
}

/// Protocol of one deployment's targets and platform.
pub trait TargetDialect: Clone + Send + Sync + 'static {
    /// Writes the metadata of a request into its headers.
    fn write_metadata(&self, headers: &mut HeaderMap, metadata: &RequestMetadata<'_>);

    /// Reads the metadata of an answer from its headers.
    fn read_metadata(&self, headers: &HeaderMap) -> AnswerMetadata;

    /// Returns the largest number of tokens that an item may generate, if its headers name it.
    fn max_output_tokens(&self, headers: &[(String, String)]) -> Option<u64>;

    /// Parses a line of a streamed event that announces a change of the weight version; returns
    /// `None` for any other line.
    fn version_line(&self, line: &str) -> Option<u64>;

    /// Builds the order that makes a target load a weight version of a model.
    ///
    /// `expect` is the number of orders that the target must have accepted before, which keeps a
    /// late order from undoing a newer one.
    fn weight_order(
        &self,
        holder: &OrderHolder,
        target: &str,
        model: &str,
        version: u64,
        expect: u64,
        keep_runs: bool,
    ) -> OutboundCall;

    /// Builds the request for a target's order state.
    fn order_state(&self, target: &str) -> OutboundCall;

    /// Parses the order state in a target's answer; returns `None` if the body is malformed.
    fn read_order_state(&self, body: &[u8]) -> Option<OrderReport>;

    /// Builds the report of a usage window to the platform.
    fn usage_report(&self, holder: &OrderHolder, window: u64, counts: &UsageCounts)
    -> OutboundCall;

    /// Builds the order to the platform that sets the number of a service's targets in a zone.
    fn scale_order(
        &self,
        holder: &OrderHolder,
        service: &str,
        zone: &str,
        count: u32,
        reclaimable: bool,
    ) -> OutboundCall;
}

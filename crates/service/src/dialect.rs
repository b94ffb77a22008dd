//! What an adapter knows of the other side's protocol: how a request to a target is marked, and
//! what an answer says about itself.

use bytes::Bytes;
use http::HeaderMap;

use crate::state::UsageCounts;
use crate::weights::OrderReport;

/// What a request to a target has to say besides what the caller sent.
#[derive(Debug, Clone, Copy, Default)]
pub struct RequestMetadata<'a> {
    /// ID of the request.
    pub request_id: &'a str,
    /// Target that is meant; another one at the address must refuse.
    pub target: &'a str,
    /// Time that is left, in milliseconds.
    pub time_left_ms: Option<u64>,
    /// Customer.
    pub customer: Option<&'a str>,
    /// Weight version that the target must have.
    pub version: Option<u64>,
    /// Last event of the stream that exists already.
    pub last_event: Option<u64>,
}

/// What an answer says about itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerMetadata {
    /// ID of the request that it answers.
    pub request_id: Option<String>,
    /// Whether the target vouches for it.
    pub is_stamped: bool,
    /// Whether the target says that it did not run the request.
    pub not_run: bool,
    /// Weight version at its start.
    pub version: Option<u64>,
}

/// Who gives an order, and under which fencing token.
#[derive(Debug, Clone)]
pub struct OrderHolder {
    /// Name of the instance.
    pub name: String,
    /// Fencing token.
    pub fence: u64,
}

/// A request that an adapter has put into the other side's form.
#[derive(Debug, Clone)]
pub struct OutboundCall {
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body; none makes it a GET, otherwise it is a POST.
    pub body: Option<Bytes>,
}

/// Translates for one deployment.
pub trait TargetDialect: Clone + Send + Sync + 'static {
    /// Adds the marks to the headers of a request.
    fn write_metadata(&self, headers: &mut HeaderMap, marks: &RequestMetadata<'_>);

    /// Reads the marks of an answer.
    fn read_metadata(&self, headers: &HeaderMap) -> AnswerMetadata;

    /// Returns the version that an event's line names, if the line does.
    fn version_line(&self, line: &str) -> Option<u64>;

    /// Builds the order for a weight version.
    fn weight_order(
        &self,
        holder: &OrderHolder,
        target: &str,
        model: &str,
        version: u64,
        expect: u64,
        keep_runs: bool,
    ) -> OutboundCall;

    /// Builds the question for a target's order state.
    fn order_state(&self, target: &str) -> OutboundCall;

    /// Reads a target's order state.
    fn read_order_state(&self, body: &[u8]) -> Option<OrderReport>;

    /// Builds the report of a usage window.
    fn usage_report(&self, holder: &OrderHolder, window: u64, counts: &UsageCounts)
    -> OutboundCall;

    /// Builds the order for a number of targets.
    fn scale_order(
        &self,
        holder: &OrderHolder,
        service: &str,
        zone: &str,
        count: u32,
        reclaimable: bool,
    ) -> OutboundCall;
}

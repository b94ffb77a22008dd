//! Streams that callers may take up: which software begins them, and where they go on.

use super::Forwarder;
use crate::dialect::TargetDialect;
use crate::plain::PlainOutcome;
use crate::plain::PlainRequest;
use crate::plan::RouteRule;
use crate::software::SoftwareBuild;
use crate::streams::ResumeRefusal;
use crate::streams::StreamKey;
use crate::streams::StreamRecord;
use bergamotlane_coordination::clock::ClockTime;

impl<D: TargetDialect> Forwarder<D> {
    /// Returns the build that began a stream which a caller takes up on a route.
    ///
    /// # Errors
    ///
    /// Returns why the stream can't go on: no leader answers before `limit`, nobody knows which build
    /// began it, or the route no longer leads to its service.
    pub async fn find_origin(
        &self,
        route: &RouteRule,
        stream: StreamKey,
        limit: ClockTime,
    ) -> Result<SoftwareBuild, ResumeRefusal> {
        let build = self.streams.find(stream, limit).await?;
        match route.uses(&build.service) {
            true => Ok(build),
            false => Err(ResumeRefusal::OtherService),
        }
    }

    /// Records which build begins a stream that its caller may take up, before the caller gets the
    /// answer.
    pub(super) async fn record_stream(
        &self,
        request: &PlainRequest,
        outcome: PlainOutcome,
    ) -> PlainOutcome {
        let (Some(stream), PlainOutcome::Answered(answer)) = (request.begins, &outcome) else {
            return outcome;
        };
        // Another entry has recorded the stream of an answer that it passed on.
        let Some(build) = answer.build.as_ref().filter(|_| answer.status.is_success()) else {
            return outcome;
        };
        let record = self.streams.record(stream, (**build).clone()).await;
        spdlog::info!("stream: begun", kv: {
            request = request.id.as_str(),
            service = build.service.as_str(),
            software = build.version.as_str(),
            record = format!("{record:?}"),
        });
        match record {
            StreamRecord::Durable | StreamRecord::Pending => outcome,
            StreamRecord::Conflict => PlainOutcome::Failed,
        }
    }
}

//! One try of a request at one target.

use std::sync::Mutex;
use std::time::Duration;

use futures_util::FutureExt;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use spdlog::Level;
use tokio::time::timeout;

use super::Forwarder;
use super::lock;
use crate::answer_body::EndedBody;
use crate::answer_body::read_body;
use crate::answer_body::read_held_body;
use crate::carried::RequestMark;
use crate::choice::ChoiceQuery;
use crate::choice::TargetChooser;
use crate::choice::WorkEstimate;
use crate::dialect::AnswerMetadata;
use crate::dialect::RequestMetadata;
use crate::dialect::TargetDialect;
use crate::events::ends_with_event;
use crate::frames::LeaderCall;
use crate::leaving::LeavingStart;
use crate::metrics::METRICS;
use crate::plain::PlainAnswer;
use crate::plain::PlainOutcome;
use crate::plain::PlainRequest;
use crate::plan::RouteKind;
use crate::pool::OtherCopies;
use crate::pool::RepeatRule;
use crate::pool::SendError;
use crate::pool::TargetAnswer;
use crate::pool::TargetRequest;
use crate::registry::TargetAnnouncement;
use crate::registry::TargetEntry;
use crate::silence::SILENCE_LIMIT;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_policy::rate::RequestRate;
use bergamotlane_storage::clock::now;
use bergamotlane_wire::body_end::BodyEnd;

/// Largest body of an answer, in bytes; the complete body is buffered.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Time after [`SILENCE_LIMIT`] until it is checked whether a target can be reached. The pool opens a
/// connection within it if it sends a request again, which then is the check.
const CHECK_DELAY: Duration = Duration::from_millis(10);

/// Time limit for telling the leader that a target leaves, in milliseconds.
const REPORT_LIMIT_MS: u64 = 30_000;

/// Returns whether an answer says that the copy of the request that it answers did not run.
fn is_not_run(metadata: &AnswerMetadata, status: StatusCode) -> bool {
    metadata.not_run || status == StatusCode::MISDIRECTED_REQUEST
}

/// Outcome of one try at a target.
pub(super) enum TryOutcome {
    Answered(PlainAnswer),
    /// The target refused the request, of which no copy ran.
    NotRun,
    /// No connection could be made.
    Unsent,
    /// The connection broke after the request may have run.
    Broken,
    /// The try failed after the request may have run.
    Failed,
    /// The target crashed while the request may have run.
    Crashed,
    /// Another entry forwarded the request.
    Relayed(PlainOutcome),
    /// No other entry replied; at each of the `cuts`, whose links broke, the request may have run.
    NoHelper {
        cuts: u32,
    },
}

/// Returns the outcome's metric label.
fn outcome_label(end: &TryOutcome) -> &'static str {
    match end {
        TryOutcome::Answered(_) => "answered",
        TryOutcome::NotRun => "not run",
        TryOutcome::Unsent => "not sent",
        TryOutcome::Broken | TryOutcome::Failed => "failed",
        TryOutcome::Crashed => "crashed",
        TryOutcome::Relayed(_) => "relayed",
        TryOutcome::NoHelper { .. } => "no helper",
    }
}

/// Target that was chosen for a request, which counts as outstanding there until this is dropped.
pub(super) struct ChosenTarget<'a> {
    chooser: &'a Mutex<TargetChooser>,
    pub(super) entry: TargetEntry,
    work: Option<WorkEstimate>,
    recorded: bool,
}

impl<'a> ChosenTarget<'a> {
    /// Chooses a target, if one is eligible.
    pub(super) fn choose(
        chooser: &'a Mutex<TargetChooser>,
        time: ClockTime,
        query: ChoiceQuery<'_>,
    ) -> Option<Self> {
        let choice = lock(chooser).choose_work(time, query)?;
        let basis = match choice.work.is_some_and(|it| it.is_reported()) {
            true => "report",
            false => "observation",
        };
        METRICS.choices.with_label_values(&[basis]).inc();
        Some(Self {
            chooser,
            entry: choice.entry,
            work: choice.work,
            recorded: false,
        })
    }

    fn id(&self) -> &str {
        &self.entry.announcement.id
    }

    /// Gives the target up, for which no permit can be had before `until`.
    pub(super) fn deny(mut self, until: ClockTime) {
        lock(self.chooser).deny_request(&self.entry.announcement.id, until);
        self.recorded = true;
    }

    /// Records the outcome of a try that began at `started`.
    fn record(&mut self, started: ClockTime, ok: bool) {
        let time = now();
        let latency = ok.then(|| time.since(started));
        let target = &self.entry.announcement;
        let mut chooser = lock(self.chooser);
        if let (Some(work), Some(took_ms)) = (self.work, latency) {
            chooser.record_work(time, &target.id, &target.service, work, took_ms);
        }
        chooser.finish_request(time, &target.id, latency);
        self.recorded = true;
    }
}

impl Drop for ChosenTarget<'_> {
    fn drop(&mut self) {
        if !self.recorded {
            lock(self.chooser).release_request(&self.entry.announcement.id);
        }
    }
}

impl<D: TargetDialect> Forwarder<D> {
    /// Sends a request to a target and waits for the outcome.
    pub(super) async fn try_target(
        &self,
        request: &PlainRequest,
        mut target: ChosenTarget<'_>,
        left_ms: u64,
    ) -> TryOutcome {
        let started = now();
        let sent = self.send(request, &target.entry, left_ms);
        let sent = self.watch_silence(&target.entry.announcement, sent);
        let limit = Duration::from_millis(left_ms);
        let mut end = match timeout(limit, sent).boxed().await {
            Ok(end) => end,
            Err(_) => TryOutcome::Failed,
        };
        if matches!(end, TryOutcome::Broken) {
            end = self
                .classify_break(request, &target.entry.announcement)
                .await;
        }
        match &end {
            TryOutcome::Answered(answer) => {
                if !answer.status.is_success() {
                    // The time of an error response tells neither what requests cost nor how long the queue is.
                    target.work = None;
                }
                target.record(started, !answer.status.is_server_error())
            }
            TryOutcome::NotRun | TryOutcome::Relayed(_) | TryOutcome::NoHelper { .. } => {}
            TryOutcome::Unsent | TryOutcome::Broken | TryOutcome::Failed | TryOutcome::Crashed => {
                target.record(started, false);
            }
        }
        METRICS
            .tries
            .with_label_values(&[outcome_label(&end)])
            .inc();
        let level = match &end {
            TryOutcome::Answered(answer) if answer.status.is_success() => Level::Debug,
            _ => Level::Info,
        };
        spdlog::log!(level, "request: target tried", kv: {
            request = request.id.as_str(),
            target = target.id(),
            outcome = outcome_label(&end),
            took_ms = now().since(started),
        });
        end
    }

    async fn send(&self, request: &PlainRequest, target: &TargetEntry, left_ms: u64) -> TryOutcome {
        let mut headers = request.headers.clone();
        let metadata = RequestMetadata {
            request_id: &request.id,
            target: &target.announcement.id,
            time_left_ms: Some(left_ms),
            customer: request.customer.as_deref(),
            version: None,
            last_event: None,
        };
        self.dialect.write_metadata(&mut headers, &metadata);
        let message = Request::builder()
            .method(request.method.clone())
            .uri(&request.path)
            .body(Full::new(request.body.clone()));
        let Ok(mut message) = message else {
            return TryOutcome::NotRun;
        };
        *message.headers_mut() = headers;
        let idempotent = request.kind == RouteKind::Safe;
        let sent_at = now();
        let rule = match idempotent && self.suspects.find(request).is_none() {
            true => RepeatRule::AfterSilence,
            false => RepeatRule::Unsent,
        };
        let message = TargetRequest {
            message,
            mark: RequestMark::of(&request.id),
            rule,
        };
        let is_refusal = |response: &Response<Incoming>| {
            let metadata = self.dialect.read_metadata(response.headers());
            is_not_run(&metadata, response.status())
        };
        let sent = self
            .pool
            .send(target.announcement.address, message, is_refusal);
        let answer = match sent.await {
            Ok(answer) => answer,
            Err(SendError::Connect) => {
                self.record_unreachable(&target.announcement);
                return TryOutcome::Unsent;
            }
            Err(SendError::Gone | SendError::Broken(_) | SendError::NoAnswer(_)) => {
                return TryOutcome::Broken;
            }
        };
        self.reach.record_success();
        let TargetAnswer {
            response,
            connection,
            copies,
        } = answer;
        let (head, body) = response.into_parts();
        let metadata = self.dialect.read_metadata(&head.headers);
        // An answer without the request's ID may be a late copy of an earlier one.
        if metadata.request_id.as_ref() != Some(&request.id) {
            return TryOutcome::Failed;
        }
        self.record_limit(&target.announcement.id, metadata.rate_limit, sent_at);
        if let Some(report) = metadata.load {
            let id = &target.announcement.id;
            // A target that names a limit may refuse for that, whatever its queue.
            let is_refusal = metadata.not_run && metadata.rate_limit.is_none();
            self.chooser().record_report(now(), id, report, is_refusal);
        }
        let leaving = metadata
            .is_leaving
            .then(|| target.announcement.leaving_start());
        if let Some(start) = &leaving {
            self.record_leaving(start);
        }
        let read = match &self.answers {
            Some(answers) => read_held_body(&head.headers, body, MAX_ANSWER_BYTES, answers).await,
            None => read_body(&head.headers, body, MAX_ANSWER_BYTES).await,
        };
        let Ok(body) = read else {
            return TryOutcome::Broken;
        };
        connection.keep();
        if is_not_run(&metadata, head.status) {
            return match copies {
                OtherCopies::NotRun => TryOutcome::NotRun,
                OtherCopies::MayRun => TryOutcome::Failed,
            };
        }
        if self.is_cut(request, target, head.status, &body).await {
            return TryOutcome::Broken;
        }
        if head.status.is_success() && metadata.stamp.is_none() {
            return TryOutcome::Failed;
        }
        let announcement = &target.announcement;
        // A target that has restarted under its ID may run another build.
        if request.tracks_build()
            && !self
                .chooser()
                .has_start(&announcement.id, announcement.born)
        {
            return TryOutcome::Failed;
        }
        TryOutcome::Answered(PlainAnswer {
            status: head.status,
            stamp: metadata.stamp,
            headers: head.headers,
            body: body.bytes,
            is_held: self.answers.is_some(),
            end: body.end,
            build: target.announcement.build().map(Box::new),
            leaving: leaving.map(Box::new),
        })
    }

    /// Returns whether an answer that was read without an error was cut all the same: a close ended it
    /// within an event, or the target listens no more, as one that has died in between.
    async fn is_cut(
        &self,
        request: &PlainRequest,
        target: &TargetEntry,
        status: StatusCode,
        body: &EndedBody,
    ) -> bool {
        match body.end {
            BodyEnd::Length | BodyEnd::LastChunk => return false,
            BodyEnd::Close => {}
        }
        let is_stream = request.kind == RouteKind::Stream && status.is_success();
        let within_event = is_stream && !ends_with_event(&body.bytes);
        let is_cut = within_event || self.pool.is_abandoned(target.announcement.address).await;
        spdlog::info!("request: answer ended by a close", kv: {
            request = request.id.as_str(),
            target = target.announcement.id.as_str(),
            bytes = body.bytes.len(),
            within_event,
            is_cut,
        });
        is_cut
    }

    fn record_unreachable(&self, target: &TargetAnnouncement) {
        let known = self.chooser().target_count();
        self.reach.record_failure(now(), &target.id, known);
    }

    /// Waits for the end of a try. If it takes long, finds out by a new connection whether the target
    /// can be reached at all, unless the pool has just opened one.
    async fn watch_silence<F: Future<Output = TryOutcome>>(
        &self,
        target: &TargetAnnouncement,
        sent: F,
    ) -> TryOutcome {
        let mut sent = std::pin::pin!(sent);
        let answers = self.reach.answer_count();
        let silent_from = now() + SILENCE_LIMIT.as_millis() as u64;
        if let Ok(end) = timeout(SILENCE_LIMIT + CHECK_DELAY, sent.as_mut()).await {
            return end;
        }
        if self.relay.is_none() || self.reach.answer_count() != answers {
            return sent.await;
        }
        let check = async {
            let is_known = self.pool.has_connected_since(target.address, silent_from);
            match is_known || self.pool.warm_up(target.address).await {
                true => self.reach.record_success(),
                false => self.record_unreachable(target),
            }
            std::future::pending().await
        };
        tokio::select! {
            end = sent => end,
            end = check => end,
        }
    }

    /// Returns how a try ended whose connection broke, and records it if the target crashed.
    async fn classify_break(
        &self,
        request: &PlainRequest,
        target: &TargetAnnouncement,
    ) -> TryOutcome {
        if !self.pool.is_abandoned(target.address).await {
            return TryOutcome::Failed;
        }
        self.suspects.record_crash(request, target);
        TryOutcome::Crashed
    }

    /// Records that a target says that it leaves, and tells the leader if that is news.
    pub(super) fn record_leaving(&self, start: &LeavingStart) {
        if !self.chooser().mark_leaving(start) {
            return;
        }
        METRICS.leaving_marks.inc();
        spdlog::info!("target: says that it leaves", kv: { target = start.id.as_str(), born = start.born });
        let leader = self.leader.clone();
        let call = LeaderCall::TargetLeaving(start.clone());
        tokio::spawn(async move {
            if leader.call(call, now() + REPORT_LIMIT_MS).await.is_err() {
                spdlog::warn!("target: no leader heard that a target leaves");
            }
        });
    }

    /// Records the limit that a target names in its answer, and tells the leader if that is news.
    fn record_limit(&self, target: &str, rate: Option<RequestRate>, sent_at: ClockTime) {
        if self.chooser().name_limit(now(), target, rate, sent_at) {
            self.permits.report(target, rate, sent_at);
        }
    }
}

//! Reward calls: the leader has the complete texts of items scored before it lists them.

use std::collections::HashMap;

use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::header::HOST;
use tokio::task::AbortHandle;

use super::KeeperEvent;
use super::core::KeeperCore;
use super::texts::FinishedText;
use crate::choice::usable_slots;
use crate::dialect::TargetDialect;
use crate::fleet::NON_ROLLOUT_SLOTS;
use crate::group_listing::CompleteText;
use crate::group_listing::EndedItem;
use crate::jobs::ItemEnd;
use crate::jobs::JobTable;
use crate::jobs::RewardCall;
use crate::metrics::METRICS;
use crate::plain::ForwardReport;
use crate::plain::PlainOutcome;
use crate::plain::PlainRequest;
use crate::plan::RouteIndex;
use crate::plan::RouteKind;
use crate::plan::RouteRule;
use crate::registry::TargetStage;
use crate::scoring::ScoreEnd;
use crate::scoring::ScoreKey;
use crate::scoring::ScoreTask;
use crate::scoring::ScoreTerms;
use crate::texts::TextKey;
use crate::work::JobConstraints;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_storage::clock::now;

/// Reward call in progress; dropping it aborts the call.
#[derive(Debug)]
pub(super) struct RewardHandle(AbortHandle);

impl Drop for RewardHandle {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl<D: TargetDialect> KeeperCore<D> {
    /// Returns whether the caller wants the text of an item scored.
    pub(super) fn needs_score(&self, job: &str, item: u32) -> bool {
        reward_of(&self.state.jobs, job, item).is_some()
    }

    /// Queues the reward call of an item whose text is complete.
    pub(super) fn queue_score(&mut self, time: ClockTime, unscored: FinishedText) {
        let (jobs, routes) = (&self.state.jobs, self.routes.as_deref());
        let scheduler = self.lead.as_ref().map(|it| &it.scheduler);
        let constraints = scheduler.and_then(|it| it.constraints(&unscored.job));
        let (Some(constraints), Some(record), Some(reward)) = (
            constraints,
            jobs.get(&unscored.job),
            reward_of(jobs, &unscored.job, unscored.item),
        ) else {
            return;
        };
        let terms = score_terms(constraints, routes, reward);
        let submission = &record.submission;
        let item = &submission.items[unscored.item as usize];
        let text_key = TextKey::of(submission, item);
        let is_first = self.lead.as_ref().is_some_and(|it| it.scores.is_empty());
        if is_first {
            self.update_chooser(time);
        }
        let Some(lead) = &mut self.lead else {
            return;
        };
        let task = ScoreTask {
            job: unscored.job,
            item: unscored.item,
            terms,
            text: unscored.text,
            text_key,
            run: unscored.run,
            replicated_events: unscored.replicated_events,
        };
        spdlog::debug!("reward: text complete", kv: {
            job = task.job.as_str(),
            item = task.item,
            request = task_request(&self.state.jobs, &task),
            service = task.terms.service.as_deref().unwrap_or_default(),
        });
        lead.scores.add(time, task);
    }

    /// Makes the reward calls that are due and for which the services have free slots.
    pub(super) fn make_reward_calls(&mut self, time: ClockTime) {
        let Some(lead) = self.lead.as_mut().filter(|it| !it.scores.is_empty()) else {
            return;
        };
        for (key, job, result) in lead.scores.expire(time) {
            lead.reward_calls.remove(&key);
            lead.listing.add(time, &job, result.into());
        }
        if lead.scores.counts().0 == 0 {
            return;
        }
        let slots = self.reward_slots();
        let Some(lead) = &mut self.lead else {
            return;
        };
        for key in lead.scores.next_calls(time, &slots) {
            self.start_reward_call(time, key);
        }
    }

    /// Returns the number of reward calls that each service may have in progress.
    fn reward_slots(&self) -> HashMap<String, u32> {
        let mut slots = HashMap::new();
        let targets = self.lead.iter().flat_map(|it| it.registry.iter());
        for (_, entry) in targets {
            let announcement = &entry.announcement;
            let is_usable = entry.stage == TargetStage::Ready
                && !self.state.evacuated.contains(&announcement.zone);
            if is_usable {
                let free = usable_slots(announcement.capacity, NON_ROLLOUT_SLOTS);
                match slots.get_mut(&announcement.service) {
                    Some(slots) => *slots += free,
                    None => drop(slots.insert(announcement.service.clone(), free)),
                }
            }
        }
        slots
    }

    fn start_reward_call(&mut self, time: ClockTime, key: ScoreKey) {
        let request = self.reward_request(time, key);
        let Some(lead) = &mut self.lead else {
            return;
        };
        let Some(request) = request else {
            // The route has gone since the service was set, or the log doesn't have the body; the
            // item waits for the next plan, or for its end.
            lead.scores.finish_call(time, key, ScoreEnd::default());
            return;
        };
        let (forwarder, events) = (self.forwarder.clone(), self.events.clone());
        let call = self.runtime.spawn(async move {
            let report = forwarder.forward(&request).await;
            // The control thread runs until the process exits.
            let end = score_end(report);
            events.send(KeeperEvent::RewardEnded(key, end)).ok();
        });
        let handle = RewardHandle(call.abort_handle());
        lead.reward_calls.insert(key, handle);
    }

    /// Builds the reward call of an item, or returns `None` if no route matches.
    fn reward_request(&mut self, time: ClockTime, key: ScoreKey) -> Option<PlainRequest> {
        let task = self.lead.as_ref()?.scores.get(key)?;
        let body = reward_of(&self.state.jobs, &task.job, task.item)?
            .body
            .clone();
        let body = self.read_payload(&body)?;
        let lead = self.lead.as_ref()?;
        let task = lead.scores.get(key)?;
        let reward = reward_of(&self.state.jobs, &task.job, task.item)?;
        let routes = self.routes.as_deref()?;
        let route = reward_route(routes, reward)?;
        let service = reward_service(route, reward)?;
        let cold_per_s = routes.service(&service).map_or(0.0, |it| it.cold_per_s);
        let mut headers = HeaderMap::new();
        headers.insert(HOST, HeaderValue::from_str(&reward.host).ok()?);
        let limit = time + route.time_limit_ms;
        Some(PlainRequest {
            id: reward.id.clone(),
            method: Method::POST,
            path: reward.path.clone(),
            headers,
            body,
            customer: None,
            service,
            kind: RouteKind::Safe,
            max_attempts: route.max_attempts.min(lead.scores.errors_left(key)),
            latency_target_ms: route.latency_target_ms,
            limit: limit.min(task.terms.expires),
            takes_cold: cold_per_s > 0.0,
            begins: None,
            resumes: None,
            reserved_slots: Some(NON_ROLLOUT_SLOTS),
            sharers: self.entry_count() + 1,
            class: None,
            leaves_slot: false,
        })
    }

    pub(super) fn on_reward_ended(&mut self, key: ScoreKey, end: ScoreEnd) {
        let time = now();
        let Some(lead) = &mut self.lead else {
            return;
        };
        if lead.reward_calls.remove(&key).is_none() {
            return;
        }
        let outcome = match (&end.score, end.server_errors) {
            (Some(_), _) => "scored",
            (None, 0) => "failed",
            (None, _) => "server error",
        };
        METRICS.reward_calls.with_label_values(&[outcome]).inc();
        let since_text_ms = lead.scores.age_ms(time, key);
        if let Some(task) = lead.scores.get(key).filter(|_| end.score.is_none()) {
            spdlog::info!("reward: call failed", kv: {
                job = task.job.as_str(),
                item = task.item,
                request = task_request(&self.state.jobs, task),
                service = task.terms.service.as_deref().unwrap_or_default(),
                outcome,
                server_errors = end.server_errors,
                since_text_ms,
            });
        }
        let text = lead.scores.get(key).map(|task| CompleteText {
            key: task.text_key.clone(),
            run: task.run,
            text: task.text.clone(),
            replicated_events: lead.scores.replicated_events(key),
        });
        if let Some((job, result)) = lead.scores.finish_call(time, key, end) {
            METRICS
                .score_seconds
                .observe(since_text_ms as f64 / 1_000.0);
            let item = match text {
                Some(text) if result.end == ItemEnd::Completed => {
                    EndedItem::completed(result.item, text, result.score)
                }
                _ => result.into(),
            };
            lead.listing.add(time, &job, item);
        }
    }

    /// Applies the plan in force to later reward calls; items whose texts it doesn't accept are
    /// generated again. Must be called after the agenda was updated.
    pub(super) fn update_score_terms(&mut self) {
        let (jobs, routes) = (&self.state.jobs, self.routes.as_deref());
        let Some(lead) = &mut self.lead else {
            return;
        };
        let scheduler = &mut lead.scheduler;
        lead.scores.set_terms(|task| {
            let constraints = scheduler.constraints(&task.job)?;
            let reward = reward_of(jobs, &task.job, task.item)?;
            Some(score_terms(constraints, routes, reward))
        });
        let unfit = lead.scores.take_unfit(|task| {
            let constraints = scheduler.constraints(&task.job);
            constraints.is_none_or(|it| task.text.fits(it.min_version, it.single_version))
        });
        for (key, job, item) in unfit {
            spdlog::info!("reward: text does not fit the plan in force", kv: {
                job = job.as_str(),
                item,
            });
            lead.reward_calls.remove(&key);
            scheduler.requeue(&job, item);
        }
        for (job, item) in lead.listing.take_unfit(|it| scheduler.constraints(it)) {
            spdlog::info!("item: held text does not fit the plan in force", kv: {
                job = job.as_str(),
                item,
            });
            scheduler.requeue(&job, item);
        }
    }

    /// Brings the targets and evacuated zones that reward calls choose from up to date.
    pub(super) fn update_chooser(&self, time: ClockTime) {
        let Some(lead) = &self.lead else {
            return;
        };
        let mut chooser = self.forwarder.chooser();
        chooser.set_evacuated(self.state.evacuated.iter().cloned().collect());
        chooser.update(time, &lead.registry.views(time));
    }
}

/// Returns the reward call of an open item.
fn reward_of<'a>(jobs: &'a JobTable, job: &str, item: u32) -> Option<&'a RewardCall> {
    let record = jobs.get(job).filter(|it| it.is_open(item))?;
    record.submission.items[item as usize].reward.as_ref()
}

/// Returns the request ID of a task's reward call, for log lines.
fn task_request<'a>(jobs: &'a JobTable, task: &ScoreTask) -> &'a str {
    reward_of(jobs, &task.job, task.item).map_or("", |it| it.id.as_str())
}

/// Returns the route of a reward call.
fn reward_route<'a>(routes: &'a RouteIndex, reward: &RewardCall) -> Option<&'a RouteRule> {
    let path = reward.path.split('?').next().unwrap_or_default();
    routes.route(&reward.host, path)
}

/// Returns the terms of the reward calls of an item, by the constraints of its job and the plan in
/// force.
fn score_terms(
    constraints: &JobConstraints,
    routes: Option<&RouteIndex>,
    reward: &RewardCall,
) -> ScoreTerms {
    let route = routes.and_then(|it| reward_route(it, reward));
    let route_attempts = route.map_or(0, |it| it.max_attempts);
    ScoreTerms {
        due: constraints.due,
        expires: constraints.expires,
        max_errors: constraints.max_attempts.max(route_attempts),
        service: route.and_then(|it| reward_service(it, reward)),
    }
}

/// Returns the service of a route that a reward call goes to; calls with the same ID go to the
/// same one.
fn reward_service(route: &RouteRule, reward: &RewardCall) -> Option<String> {
    let digest = blake3::hash(reward.id.as_bytes());
    let split_point = f64::from(digest.as_bytes()[0]) / 256.0;
    route.service_at(split_point).map(str::to_owned)
}

/// Returns the end of a reward call; only a successful answer has a score.
fn score_end(report: ForwardReport) -> ScoreEnd {
    let score = match report.outcome {
        PlainOutcome::Answered(answer) if answer.status.is_success() => answer.stamp,
        _ => None,
    };
    ScoreEnd {
        score,
        server_errors: report.server_errors,
    }
}

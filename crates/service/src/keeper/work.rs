//! Runs of items: the leader assigns items to engines, follows their runs and lists the results.

use std::collections::BTreeSet;
use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::oneshot;

use super::KeeperEvent;
use super::core::KeeperCore;
use super::lead::RunHandle;
use super::texts::FinishedText;
use super::texts::global_run_id;
use crate::dialect::AnswerMetadata;
use crate::dialect::TargetDialect;
use crate::fleet::FleetLoad;
use crate::fleet::FleetSources;
use crate::jobs::ItemEnd;
use crate::metrics::METRICS;
use crate::run::RunProgress;
use crate::run::RunRequest;
use crate::run::StreamLimits;
use crate::run::run_item;
use crate::texts::TextKey;
use crate::work::PartialText;
use crate::work::RunEnd;
use crate::work::RunKey;
use crate::work::RunStart;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_storage::clock::now;

impl<D: TargetDialect> KeeperCore<D> {
    /// Stops all runs of a job and drops it from the scheduler.
    pub(super) fn stop_job(&mut self, job: &str) {
        // A later job that carries its items over resumes from these texts.
        self.store_texts(Some(job));
        let Some(lead) = &mut self.lead else {
            return;
        };
        for run in lead.scheduler.drop_job(job) {
            lead.runs.remove(&run);
        }
        lead.replicated_texts.drop_job(job);
        for key in lead.scores.drop_job(job) {
            lead.reward_calls.remove(&key);
        }
        lead.listing.drop_job(job);
        lead.results.retain(|it| it.job != job);
    }

    /// Brings the engines up to date with what changed since the last update.
    pub(super) fn update_fleet(&mut self, time: ClockTime) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        let changed = lead.registry.take_engine_changes();
        let sources = FleetSources {
            registry: &lead.registry,
            weights: &lead.weights,
            rates: &lead.rates,
            accepted_orders: &lead.accepted_orders,
            plan: self.state.plan.as_ref().map(|it| &it.plan),
            evacuated: &self.state.evacuated,
        };
        lead.fleet.update(time, &sources, changed);
    }

    /// Starts waiting items on engines that have room.
    pub(super) fn assign_items(&mut self, time: ClockTime) {
        let waiting = self.lead.as_ref().map_or(0, |it| it.scheduler.waiting());
        if waiting == 0 {
            return;
        }
        self.update_cold(time);
        self.update_fleet(time);
        let Some(lead) = &mut self.lead else {
            return;
        };
        let load = FleetLoad {
            waiting,
            runs: lead.runs.len(),
            revision: lead.fleet.revision(),
        };
        if !lead.assignments.is_due(time, load) {
            return;
        }
        let starts = lead.scheduler.assign(time, lead.fleet.slots());
        let engines = lead.fleet.slots().len();
        lead.assignments
            .record(time, load, engines, starts.is_empty());
        for start in &starts {
            lead.rates.charge(time, &start.engine);
        }
        // An item that resumes elsewhere had been at an engine before.
        let first_runs = starts.iter().filter(|it| it.partial.events.is_empty());
        let jobs: BTreeSet<String> = first_runs.map(|it| it.job.clone()).collect();
        for start in starts {
            self.start_run(time, start);
        }
        for job in jobs {
            self.log_fully_assigned(time, &job);
        }
    }

    /// Logs the age of a job once none of its items waits for an engine.
    fn log_fully_assigned(&self, time: ClockTime, job: &str) {
        let waiting = self
            .lead
            .as_ref()
            .map_or(0, |it| it.scheduler.waiting_of(job));
        let first_seen = self.ages.first_seen_at(job).filter(|_| waiting == 0);
        if let Some(first_seen) = first_seen {
            spdlog::info!("job: all items at engines", kv: { job, after_ms = time.since(first_seen) });
        }
    }

    /// Logs a job's progress when its caller ends it.
    pub(super) fn log_ended(&self, job: &str) {
        let (Some(record), Some(lead)) = (self.state.jobs.get(job), &self.lead) else {
            return;
        };
        let time = now();
        let age = self.ages.first_seen_at(job).map_or(0, |it| time.since(it));
        spdlog::info!("job: ended by its caller", kv: {
            job,
            after_ms = age,
            items = record.listed.len(),
            listed = record.results.len(),
            waiting = lead.scheduler.waiting_of(job),
            unscored = lead.scores.tasks().filter(|it| it.job == job).count(),
            held = lead.listing.held_of(job),
        });
    }

    /// Returns the request body of the item that a run generates, or ends the run if the log doesn't
    /// have it.
    fn body_of(&mut self, time: ClockTime, start: &RunStart) -> Option<Bytes> {
        let record = self.state.jobs.get(&start.job)?;
        let body = record.submission.items[start.item as usize].body.clone();
        let body = self.read_payload(&body);
        if body.is_none()
            && let Some(lead) = &mut self.lead
        {
            let ended = lead.scheduler.finish_run(time, start.run, RunEnd::Failed);
            if let Some((job, result)) = ended {
                lead.listing.add(time, &job, result.into());
            }
        }
        body
    }

    fn start_run(&mut self, time: ClockTime, start: RunStart) {
        let Some(body) = self.body_of(time, &start) else {
            return;
        };
        let (Some(lead), Some(record)) = (&mut self.lead, self.state.jobs.get(&start.job)) else {
            return;
        };
        let Some(entry) = lead.registry.get(&start.engine) else {
            return;
        };
        let known_limit = entry.rate_limit;
        let start_of_target = entry.announcement.leaving_start();
        let submission = &record.submission;
        let item = &submission.items[start.item as usize];
        let resumed_events = start.partial.events.len();
        if resumed_events > 0 || start.discarded_events > 0 {
            METRICS
                .events_discarded
                .inc_by(start.discarded_events.into());
            spdlog::info!("item: run again", kv: {
                job = start.job.as_str(),
                item = item.id.as_str(),
                target = start.engine.as_str(),
                software = entry.announcement.software.as_deref().unwrap_or_default(),
                resumed_events,
                discarded_events = start.discarded_events,
            });
        }
        let request = RunRequest {
            target: start.engine,
            address: entry.announcement.address,
            item: item.id.clone(),
            path: item.path.clone(),
            host: submission.host.clone(),
            headers: item.headers.clone(),
            body,
            customer: submission.customer.clone(),
            version: start.version,
            min_version: submission.min_version,
            limits: StreamLimits::default(),
        };
        let key = TextKey::of(submission, item);
        let run_id = global_run_id(lead.term, start.run);
        let texts = &mut lead.replicated_texts;
        let replicated = texts.take(time, &start.job, start.item, resumed_events as u32);
        if let Some(text) = replicated {
            self.texts
                .truncate(&key, text.run, text.replicated_events as usize);
        }
        let (stop, stopped) = oneshot::channel();
        let progress = Arc::new(RunProgress::new(start.partial));
        let handle = RunHandle {
            job: start.job,
            item: start.item,
            key,
            target: request.target.clone(),
            text_run: replicated.map_or(run_id, |it| it.run),
            replicated_events: replicated.map_or(0, |it| it.replicated_events),
            stop: Some(stop),
            progress: Arc::clone(&progress),
            started: time,
            born: entry.announcement.born,
            has_resumed: resumed_events > 0,
        };
        let run = start.run;
        lead.runs.insert(run, handle);
        let (pool, dialect) = (Arc::clone(&self.pool), self.dialect.clone());
        let events = self.events.clone();
        self.runtime.spawn(async move {
            let target = request.target.clone();
            let on_head = |metadata: &AnswerMetadata| {
                if metadata.is_leaving {
                    let event = KeeperEvent::TargetLeaving(start_of_target.clone());
                    events.send(event).ok();
                }
                let rate = metadata.rate_limit;
                if rate != known_limit {
                    let target = target.clone();
                    let event = KeeperEvent::LimitNamed {
                        target,
                        rate,
                        sent_at: time,
                    };
                    events.send(event).ok();
                }
            };
            let end = run_item(pool, dialect, request, progress, stopped, on_head).await;
            // The control thread runs until the process exits.
            events.send(KeeperEvent::RunEnded(run, end)).ok();
        });
    }

    pub(super) fn on_run_ended(&mut self, run: RunKey, end: RunEnd) {
        let time = now();
        let Some(lead) = &mut self.lead else {
            return;
        };
        let Some(handle) = lead.runs.remove(&run) else {
            return;
        };
        let known = lead.registry.get(&handle.target);
        let has_restarted = known.is_some_and(|it| it.announcement.born != handle.born);
        let end = match has_restarted {
            true => {
                self.texts.remove(&handle.key);
                end_of_restarted(end, handle.has_resumed)
            }
            false => end,
        };
        METRICS.runs.with_label_values(&[outcome_label(&end)]).inc();
        if !matches!(end, RunEnd::Completed(_)) {
            spdlog::info!("item: run ended", kv: {
                job = handle.job.as_str(),
                item = handle.item,
                target = handle.target.as_str(),
                outcome = outcome_label(&end),
                took_ms = time.since(handle.started),
            });
        }
        if let RunEnd::Broken(text) | RunEnd::Closed(text) = &end {
            self.texts
                .insert(time, handle.key.clone(), handle.text_run, text.clone());
        }
        if let (RunEnd::Completed(text), Some(expected)) =
            (&end, lead.scheduler.expected_events(run))
        {
            let ratio = text.events.len() as f64 / expected;
            METRICS.length_ratio.observe(ratio);
        }
        let Some((job, result)) = lead.scheduler.finish_run(time, run, end) else {
            // After a restart of the engine, the item starts over or the text's origin is in doubt.
            if !has_restarted {
                let text = handle.replicated_text(time);
                lead.replicated_texts.keep(&handle.job, handle.item, text);
            }
            return;
        };
        if result.end == ItemEnd::Completed {
            let mut text = handle.progress.text().clone();
            text.is_complete = true;
            let finished = FinishedText {
                job,
                item: result.item,
                text,
                run: handle.text_run,
                replicated_events: handle.replicated_events,
            };
            self.finish_text(time, finished);
        } else {
            lead.listing.add(time, &job, result.into());
        }
    }

    /// Gives up items past their time to live and stops their runs.
    pub(super) fn expire_items(&mut self, time: ClockTime) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        let (results, stopped) = lead.scheduler.expire(time);
        for run in stopped {
            lead.runs.remove(&run);
        }
        for (job, result) in results {
            lead.replicated_texts.drop_job(&job);
            lead.listing.add(time, &job, result.into());
        }
    }
}

/// Returns the end of a run whose engine has restarted since the run began. The restarted engine may
/// run other software, and may have got the request, so that nothing may be joined to its events.
fn end_of_restarted(end: RunEnd, has_resumed: bool) -> RunEnd {
    match end {
        RunEnd::Completed(_) if has_resumed => RunEnd::Broken(PartialText::default()),
        RunEnd::Broken(_) | RunEnd::Closed(_) => RunEnd::Broken(PartialText::default()),
        other => other,
    }
}

/// Returns the value for a run's outcome in metric labels and log lines.
fn outcome_label(end: &RunEnd) -> &'static str {
    match end {
        RunEnd::Completed(_) => "completed",
        RunEnd::Broken(_) => "broken",
        RunEnd::Closed(_) => "closed",
        RunEnd::Failed => "failed",
        RunEnd::Rejected => "rejected",
        RunEnd::Refused => "refused",
        RunEnd::Misdirected => "misdirected",
        RunEnd::Unreachable => "unreachable",
    }
}

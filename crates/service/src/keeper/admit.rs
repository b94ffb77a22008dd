//! Admission of a job to the scheduler, with the results and partial texts that already exist.

use std::collections::HashMap;
use std::collections::HashSet;

use super::core::KeeperCore;
use super::texts::FinishedText;
use super::texts::global_run_id;
use crate::agenda::Agenda;
use crate::agenda::AgendaChange;
use crate::agenda::AgendaScope;
use crate::dialect::TargetDialect;
use crate::job_listing::JobOutline;
use crate::jobs::ItemResult;
use crate::jobs::JobRecord;
use crate::jobs::JobSubmission;
use crate::order::ItemRank;
use crate::texts::TextKey;
use crate::work::JobConstraints;
use crate::work::PartialText;
use bergamotlane_storage::clock::now;

/// State in which a job enters the scheduler.
#[derive(Debug, Default)]
struct JobStart {
    /// Items that have to run.
    open: Vec<ItemRank>,
    /// Results of carried-over items that other jobs of the customer completed or gave up for good.
    finished: Vec<ItemResult>,
    /// Partial texts to resume from, each with the index of its item in the submission.
    texts: Vec<(u32, PartialText)>,
    /// Complete texts that still need a score, each with the index of its item.
    unscored: Vec<(u32, PartialText)>,
    /// Complete texts that need no score, each with the index of its item.
    complete: Vec<(u32, PartialText)>,
}

impl<D: TargetDialect> KeeperCore<D> {
    /// Returns what decides which jobs the scheduler holds.
    pub(super) fn agenda(&self) -> Agenda<'_> {
        Agenda {
            state: &self.state,
            routes: self.routes.as_deref(),
            ages: &self.ages,
            now: now(),
        }
    }

    /// Brings the jobs of a scope in the scheduler up to date with the state and the plan in force.
    pub(super) fn update_agenda(&mut self, scope: &AgendaScope) {
        if *scope == AgendaScope::All {
            self.watch_retention(now());
        }
        let Some(lead) = &self.lead else {
            return;
        };
        for change in self.agenda().changes(scope, &lead.scheduler) {
            match change {
                AgendaChange::Admit(job, constraints) => self.admit_job(&job, constraints),
                AgendaChange::Constrain(job, constraints) => self.constrain_job(&job, constraints),
                AgendaChange::Hold(job) => self.hold_job(&job),
                AgendaChange::Drop(job) => self.stop_job(&job),
            }
        }
    }

    /// Passes a job's open items to the scheduler.
    fn admit_job(&mut self, job: &str, constraints: JobConstraints) {
        let Some(record) = self.state.jobs.get(job) else {
            return;
        };
        let start = self.plan_job_start(job, record, &constraints);
        spdlog::info!("job: admitted", kv: {
            job,
            items = record.submission.items.len(),
            open = start.open.len(),
            resumed = start.texts.len(),
            unscored = start.unscored.len(),
            complete = start.complete.len(),
            service = constraints.service.as_str(),
            min_version = constraints.min_version,
        });
        let groups = group_numbers(&record.submission);
        let outline = JobOutline::of(&self.state.jobs, record);
        let Some(lead) = &mut self.lead else {
            return;
        };
        lead.listing.admit(job, outline);
        for result in start.finished {
            lead.listing.add(now(), job, result.into());
        }
        lead.scheduler.admit(job, constraints, groups, start.open);
        for (item, text) in start.texts {
            lead.scheduler.resume(job, item, text);
        }
        for (item, text) in start.unscored.into_iter().chain(start.complete) {
            self.finish_stored_text(job, item, text);
        }
    }

    /// Replaces the constraints on the later runs of a job.
    fn constrain_job(&mut self, job: &str, constraints: JobConstraints) {
        spdlog::info!("job: other constraints by the plan in force", kv: {
            job,
            service = constraints.service.as_str(),
        });
        if let Some(lead) = &mut self.lead {
            lead.scheduler.set_constraints(job, constraints);
        }
    }

    /// Starts no more runs of a job whose route is gone, but may come back.
    fn hold_job(&mut self, job: &str) {
        spdlog::warn!("job: on hold, no route in the plan in force", kv: { job });
        if let Some(lead) = &mut self.lead {
            lead.scheduler.hold(job);
        }
    }

    /// Continues with an item whose complete text was stored before the job's admission.
    fn finish_stored_text(&mut self, job: &str, item: u32, text: PartialText) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        let finished = FinishedText {
            job: job.to_owned(),
            item,
            text,
            run: global_run_id(lead.term, lead.scheduler.new_run_key()),
            replicated_events: 0,
        };
        self.finish_text(now(), finished);
    }

    /// Splits a job's open items into those that have to run, those with a complete text, and those
    /// that have a result.
    fn plan_job_start(
        &self,
        job: &str,
        record: &JobRecord,
        constraints: &JobConstraints,
    ) -> JobStart {
        let jobs = &self.state.jobs;
        let customer = record.submission.owner();
        let other_items: HashSet<&str> = jobs.other_job_items(customer, job).collect();
        let held = self.held_texts();
        let mut start = JobStart::default();
        for (index, item) in (0..).zip(&record.submission.items) {
            if !record.is_open(index) {
                continue;
            }
            let is_carried = other_items.contains(item.id.as_str());
            // A carried-over item that has a complete text does not run again.
            if is_carried
                && !constraints.single_version
                && let Some(result) = jobs.finished(customer, item, constraints.min_version)
            {
                start.finished.push(ItemResult {
                    item: index,
                    ..result.clone()
                });
                continue;
            }
            if is_carried && let Some(fault) = jobs.lasting_fault(customer, &item.id) {
                start.finished.push(ItemResult::faulty(index, fault));
                continue;
            }
            let key = TextKey::of(&record.submission, item);
            let stored = self.texts.get(&key, constraints.min_version);
            let is_usable = |it: &&PartialText| {
                it.is_complete
                    && !it.versions.is_empty()
                    && it.fits(constraints.min_version, constraints.single_version)
            };
            let complete = held.get(&key).copied().filter(is_usable);
            if let Some(text) = complete.or(stored.filter(is_usable)) {
                let complete = match item.reward {
                    Some(_) => &mut start.unscored,
                    None => &mut start.complete,
                };
                complete.push((index, text.clone()));
                continue;
            }
            start.open.push(ItemRank {
                item: index,
                is_carried,
                expected_tokens: item.expected_tokens.unwrap_or_default(),
                max_tokens: self.dialect.max_output_tokens(&item.headers),
            });
            // A complete text has no further event from which a run could resume.
            if let Some(text) = stored.filter(|it| !it.is_complete) {
                start.texts.push((index, text.clone()));
            }
        }
        start
    }
}

/// Numbers the groups by first appearance and returns the number of each item's group.
fn group_numbers(submission: &JobSubmission) -> Vec<u32> {
    let mut numbers: HashMap<&str, u32> = HashMap::new();
    let mut groups = Vec::with_capacity(submission.items.len());
    for item in &submission.items {
        let next = numbers.len() as u32;
        groups.push(*numbers.entry(item.group.as_str()).or_insert(next));
    }
    groups
}

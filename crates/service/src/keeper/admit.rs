//! Taking a job into the scheduler: its terms, and what of it is there already.

use std::collections::HashMap;
use std::collections::HashSet;

use super::core::KeeperCore;
use crate::dialect::TargetDialect;
use crate::jobs::ItemResult;
use crate::jobs::JobRecord;
use crate::jobs::JobSubmission;
use crate::order::ItemRank;
use crate::plan::RouteIndex;
use crate::texts::TextKey;
use crate::work::JobConstraints;
use crate::work::PartialText;
use bergamotlane_storage::clock::now;

/// What of a job has to run, and what is there already from other jobs or an earlier leader.
#[derive(Debug, Default)]
struct JobStart {
    open: Vec<ItemRank>,
    finished: Vec<ItemResult>,
    texts: Vec<(u32, PartialText)>,
}

impl<D: TargetDialect> KeeperCore<D> {
    pub(super) fn terms_of(&self, job: &str) -> Option<JobConstraints> {
        let record = self.state.jobs.get(job)?;
        let plan = &self.state.plan.as_ref()?.plan;
        let submission = &record.submission;
        let index = RouteIndex::new(plan.clone());
        let route = index.route(&submission.host, &submission.path)?;
        let digest = blake3::hash(submission.id.as_bytes());
        let point = f64::from(digest.as_bytes()[0]) / 256.0;
        let seen = self.seen_at.get(job).copied().unwrap_or_else(now);
        Some(JobConstraints {
            due: seen + route.result_deadline_ms,
            expires: seen + route.item_ttl_ms,
            service: route.service_at(point).unwrap_or_default().to_owned(),
            model: submission.model.clone(),
            min_version: submission.min_version,
            single_version: route.single_version,
            max_attempts: route.max_attempts.max(1),
        })
    }

    pub(super) fn admit_job(&mut self, job: &str) {
        let Some(terms) = self.terms_of(job) else {
            spdlog::warn!("job: no route", kv: { job });
            return;
        };
        let Some(record) = self.state.jobs.get(job) else {
            return;
        };
        let scheduled = self
            .lead
            .as_ref()
            .is_none_or(|it| it.scheduler.contains(job));
        if scheduled || record.is_settled() {
            return;
        }
        let start = self.job_start(job, record, &terms);
        spdlog::info!("job: admitted", kv: {
            job,
            items = record.submission.items.len(),
            open = start.open.len(),
            resumed = start.texts.len(),
            service = terms.service.as_str(),
            min_version = terms.min_version,
        });
        let groups = group_numbers(&record.submission);
        let Some(lead) = &mut self.lead else {
            return;
        };
        let finished = start.finished.into_iter();
        lead.results.extend(finished.map(|it| (job.to_owned(), it)));
        lead.scheduler.admit(job, terms, groups, start.open);
        for (item, text) in start.texts {
            lead.scheduler.resume(job, item, text);
        }
    }

    fn job_start(&self, job: &str, record: &JobRecord, terms: &JobConstraints) -> JobStart {
        let jobs = &self.state.jobs;
        let customer = record.submission.customer.as_deref();
        let known: HashSet<&str> = jobs.other_job_items(customer, job).collect();
        let mut start = JobStart::default();
        for (place, item) in (0..).zip(&record.submission.items) {
            if !record.is_open(place) {
                continue;
            }
            let is_carried = known.contains(item.id.as_str());
            // A carried-over item whose text is whole need not run again.
            if is_carried
                && !terms.single_version
                && let Some(result) = jobs.finished(customer, &item.id, terms.min_version)
            {
                start.finished.push(ItemResult {
                    item: place,
                    ..result.clone()
                });
                continue;
            }
            start.open.push(ItemRank {
                item: place,
                is_carried,
                expected_tokens: item.expected_tokens.unwrap_or_default(),
            });
            let key = TextKey {
                customer: record.submission.customer.clone(),
                item: item.id.clone(),
            };
            if let Some(text) = self.texts.get(&key, terms.min_version) {
                start.texts.push((place, text.clone()));
            }
        }
        start
    }
}

/// Returns the number of each item's group.
fn group_numbers(submission: &JobSubmission) -> Vec<u32> {
    let mut numbers: HashMap<&str, u32> = HashMap::new();
    let mut groups = Vec::with_capacity(submission.items.len());
    for item in &submission.items {
        let next = numbers.len() as u32;
        groups.push(*numbers.entry(item.group.as_str()).or_insert(next));
    }
    groups
}

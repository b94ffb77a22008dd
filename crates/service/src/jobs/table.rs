//! Table of all jobs, and what jobs of one customer find of each other.

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use super::ItemEnd;
use super::ItemFault;
use super::ItemResult;
use super::ItemSpec;
use super::JobRecord;
use super::JobSubmission;
use crate::payload::PayloadRef;
use crate::payload_reads::read_payloads;

/// Number of jobs in which an item may fail as often as its route allows; a further one that carries it
/// over doesn't run it.
const MAX_FAILED_JOBS: usize = 3;

/// Size of the jobs in a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TableSize {
    /// Number of jobs.
    pub jobs: usize,
    /// Number of items.
    pub items: usize,
    /// Size of the payloads that the table holds in full, in bytes.
    pub inline_bytes: u64,
    /// Size of the payloads that the table refers to, in bytes.
    pub stored_bytes: u64,
}

/// Table of the batch jobs of all customers, by job ID. A clone shares the jobs until one of them
/// changes.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct JobTable {
    jobs: BTreeMap<String, Arc<JobRecord>>,
}

impl JobTable {
    /// Returns the job with an ID.
    pub fn get(&self, id: &str) -> Option<&JobRecord> {
        self.jobs.get(id).map(Arc::as_ref)
    }

    /// Returns all jobs with their IDs, in the order of the IDs.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &JobRecord)> {
        self.jobs.iter().map(|(id, job)| (id, job.as_ref()))
    }

    /// Returns the size of all jobs.
    pub fn size(&self) -> TableSize {
        let mut size = TableSize {
            jobs: self.jobs.len(),
            ..TableSize::default()
        };
        for job in self.jobs.values() {
            size.items += job.listed.len();
            for payload in job.payloads() {
                match payload {
                    PayloadRef::Inline(bytes) => size.inline_bytes += bytes.len() as u64,
                    PayloadRef::Entry { length, .. } => size.stored_bytes += u64::from(*length),
                }
            }
        }
        size
    }

    /// Returns the smallest index of a log entry that a job may refer to, if there is a job.
    pub fn first_entry(&self) -> Option<u64> {
        self.jobs.values().map(|it| it.first_entry).min()
    }

    /// Sets the first entry of jobs that don't name it to `index`. They come from a snapshot that
    /// holds their payloads in full.
    pub(crate) fn set_first_entries(&mut self, index: u64) {
        for job in self.jobs.values_mut().filter(|it| it.first_entry == 0) {
            Arc::make_mut(job).first_entry = index;
        }
    }

    /// Replaces all references by the payloads that they stand for, or by nothing where the log has
    /// no such entry. `read` is that of [`read_payloads`].
    ///
    /// # Errors
    ///
    /// Returns the first error of `read`.
    pub fn resolve<E>(
        &mut self,
        read: impl Fn(u64, Range<u32>) -> Result<Option<Bytes>, E>,
    ) -> Result<(), E> {
        for job in self.jobs.values_mut() {
            let job = Arc::make_mut(job);
            let payloads: Vec<PayloadRef> = job.payloads().cloned().collect();
            let found = read_payloads(&payloads, &read)?;
            for (payload, bytes) in job.payloads_mut().zip(found) {
                *payload = PayloadRef::Inline(bytes.unwrap_or_default());
            }
        }
        Ok(())
    }

    /// Adds the job that the log entry at `index` submits and returns true. If a job with its ID
    /// exists, nothing changes and the method returns false, so that a repeated submission is
    /// harmless.
    pub fn submit(&mut self, index: u64, submission: JobSubmission) -> bool {
        if self.jobs.contains_key(&submission.id) {
            return false;
        }
        let record = JobRecord::new(index, submission);
        self.jobs
            .insert(record.submission.id.clone(), Arc::new(record));
        true
    }

    /// Appends a result to its job's list and clears the item's request. Returns false if the
    /// job is unknown or ended, or the item is listed already.
    pub fn list(&mut self, id: &str, result: ItemResult) -> bool {
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        if !job.is_open(result.item) {
            return false;
        }
        let job = Arc::make_mut(job);
        let index = result.item as usize;
        job.listed[index] = true;
        job.submission.items[index].clear_request();
        job.results.push(result);
        true
    }

    /// Ends a job and clears the requests of all its items. Returns false if the job is unknown.
    pub fn end(&mut self, id: &str) -> bool {
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        let job = Arc::make_mut(job);
        job.ended = true;
        for item in &mut job.submission.items {
            item.clear_request();
        }
        true
    }

    /// Returns the jobs that a customer may see, or that a caller of none may see.
    fn open_to<'a>(&'a self, customer: Option<&'a str>) -> impl Iterator<Item = &'a JobRecord> {
        let jobs = self.jobs.values().map(Arc::as_ref);
        jobs.filter(move |it| it.submission.is_open_to(customer))
    }

    /// Returns the IDs of the items in all jobs but one that a customer may see.
    pub fn other_job_items<'a>(
        &'a self,
        customer: Option<&'a str>,
        job: &'a str,
    ) -> impl Iterator<Item = &'a str> {
        let others = self
            .open_to(customer)
            .filter(move |it| it.submission.id != job);
        others.flat_map(|it| it.submission.items.iter().map(|item| item.id.as_str()))
    }

    /// Returns the IDs of the items in the jobs that were submitted before `record` and that its owner
    /// may see.
    pub fn earlier_job_items<'a>(&'a self, record: &'a JobRecord) -> impl Iterator<Item = &'a str> {
        let jobs = self.open_to(record.submission.owner());
        let earlier = jobs.filter(move |it| it.first_entry < record.first_entry);
        earlier.flat_map(|it| it.submission.items.iter().map(|item| item.id.as_str()))
    }

    /// Returns the fault for which an item must not run again, if any: an engine rejected it in some job
    /// that the customer may see, or it failed in as many of them as may run it.
    pub fn lasting_fault(&self, customer: Option<&str>, item: &str) -> Option<ItemFault> {
        let jobs = self.open_to(customer);
        let results = jobs.flat_map(|job| job.results.iter().map(move |result| (job, result)));
        let mut failed_jobs = 0;
        for (job, result) in results {
            let Some(fault) = result.fault else {
                continue;
            };
            if job.submission.items[result.item as usize].id != item {
                continue;
            }
            match fault {
                ItemFault::Rejected => return Some(fault),
                ItemFault::Failed => failed_jobs += 1,
            }
        }
        (failed_jobs >= MAX_FAILED_JOBS).then_some(ItemFault::Failed)
    }

    /// Removes jobs together with their results.
    pub fn forget(&mut self, ids: &[String]) {
        for id in ids {
            self.jobs.remove(id);
        }
    }

    /// Returns a completed result of an item, from any job that the customer may see, if all weight versions
    /// that generated it are at least `min_version` and its score, if any, is from the same reward
    /// call.
    pub fn finished<'a>(
        &'a self,
        customer: Option<&'a str>,
        item: &ItemSpec,
        min_version: u64,
    ) -> Option<&'a ItemResult> {
        let jobs = self.open_to(customer);
        jobs.flat_map(|job| job.results.iter().map(move |result| (job, result)))
            .find(|(job, result)| {
                let spec = &job.submission.items[result.item as usize];
                result.end == ItemEnd::Completed
                    && spec.id == item.id
                    && spec.reward_id() == item.reward_id()
                    && result.versions.iter().all(|it| *it >= min_version)
            })
            .map(|(_, result)| result)
    }
}

//! Batch jobs: submissions, and append-only lists of results.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

/// Item of a batch job: a request for tokens that an engine runs later.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemSpec {
    /// ID chosen by the caller, unique in the job.
    pub id: String,
    /// Path and query of the request to an engine.
    pub path: String,
    /// Headers of the request to an engine.
    pub headers: Vec<(String, String)>,
    /// Body of the request to an engine.
    #[serde(with = "crate::payload")]
    pub body: Bytes,
    /// Number of prompt tokens plus the largest number of output tokens.
    pub tokens: u64,
    /// Group of items that share a prompt.
    pub group: String,
    /// Number of output tokens that the caller expects, if given; the estimate is often far off.
    pub expected_tokens: Option<u64>,
}

/// Batch job as the caller submitted it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSubmission {
    /// ID of the job, chosen by the caller.
    pub id: String,
    /// Customer that owns the job, if the plan names any.
    pub customer: Option<String>,
    /// Host to which the job was submitted.
    pub host: String,
    /// Path to which the job was submitted.
    pub path: String,
    /// Name of the model whose weights generate the texts.
    pub model: String,
    /// Oldest weight version that may generate a token.
    pub min_version: u64,
    /// Number of complete groups that the trainer waits for.
    pub desired: u32,
    /// Items of the job, those of groups carried over from earlier jobs first.
    pub items: Vec<ItemSpec>,
}

/// How an item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemEnd {
    /// The text is complete.
    Completed,
    /// The item was given up without a text.
    Terminated,
}

/// Result of an item, in the replicated state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// Index of the item in its submission.
    pub item: u32,
    /// How the item ended.
    pub end: ItemEnd,
    /// Generated text: the data of all events, joined by line feeds.
    #[serde(with = "crate::payload")]
    pub text: Bytes,
    /// Weight versions that generated the text, ascending.
    pub versions: Vec<u64>,
}

/// Batch job with its results so far.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Submission; the requests of listed items are cleared to free their memory.
    pub submission: JobSubmission,
    /// Listed results in the order of listing; a result never changes its position.
    pub results: Vec<ItemResult>,
    /// Whether the result of each item is listed, by index of the item.
    pub listed: Vec<bool>,
    /// Whether the caller ended the job.
    pub ended: bool,
}

impl JobRecord {
    fn new(submission: JobSubmission) -> Self {
        let listed = vec![false; submission.items.len()];
        Self {
            submission,
            results: Vec::new(),
            listed,
            ended: false,
        }
    }

    /// Returns whether an item still has to run.
    pub fn is_open(&self, item: u32) -> bool {
        !self.ended && self.listed.get(item as usize) == Some(&false)
    }

    /// Returns whether no item has to run any more: the job was ended or all results are listed.
    pub fn is_settled(&self) -> bool {
        self.ended || self.results.len() == self.listed.len()
    }
}

/// Table of the batch jobs of all customers, by job ID.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct JobTable {
    jobs: BTreeMap<String, JobRecord>,
}

impl JobTable {
    /// Returns the job with an ID.
    pub fn get(&self, id: &str) -> Option<&JobRecord> {
        self.jobs.get(id)
    }

    /// Returns all jobs with their IDs, in the order of the IDs.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &JobRecord)> {
        self.jobs.iter()
    }

    /// Adds a job and returns true. If a job with its ID exists, nothing changes and the method
    /// returns false, so that a repeated submission is harmless.
    pub fn submit(&mut self, submission: JobSubmission) -> bool {
        if self.jobs.contains_key(&submission.id) {
            return false;
        }
        let record = JobRecord::new(submission);
        self.jobs.insert(record.submission.id.clone(), record);
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
        let index = result.item as usize;
        job.listed[index] = true;
        let item = &mut job.submission.items[index];
        item.body = Bytes::new();
        item.headers = Vec::new();
        item.path = String::new();
        job.results.push(result);
        true
    }

    /// Ends a job and clears the requests of all its items. Returns false if the job is unknown.
    pub fn end(&mut self, id: &str) -> bool {
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        job.ended = true;
        for item in &mut job.submission.items {
            item.body = Bytes::new();
            item.headers = Vec::new();
            item.path = String::new();
        }
        true
    }

    /// Returns the IDs of the items in all of a customer's jobs but one.
    pub fn other_job_items<'a>(
        &'a self,
        customer: Option<&'a str>,
        job: &'a str,
    ) -> impl Iterator<Item = &'a str> {
        let jobs = self.jobs.iter();
        let others = jobs.filter(move |(id, record)| {
            *id != job && record.submission.customer.as_deref() == customer
        });
        others.flat_map(|(_, record)| record.submission.items.iter().map(|it| it.id.as_str()))
    }

    /// Removes jobs together with their results.
    pub fn forget(&mut self, ids: &[String]) {
        for id in ids {
            self.jobs.remove(id);
        }
    }

    /// Returns a completed result of the item with an ID, from any job of the customer, if all
    /// weight versions that generated it are at least `min_version`.
    pub fn finished(
        &self,
        customer: Option<&str>,
        item: &str,
        min_version: u64,
    ) -> Option<&ItemResult> {
        let jobs = self.jobs.values();
        let own = jobs.filter(|job| job.submission.customer.as_deref() == customer);
        own.flat_map(|job| job.results.iter().map(move |result| (job, result)))
            .find(|(job, result)| {
                result.end == ItemEnd::Completed
                    && job.submission.items[result.item as usize].id == item
                    && result.versions.iter().all(|it| *it >= min_version)
            })
            .map(|(_, result)| result)
    }
}

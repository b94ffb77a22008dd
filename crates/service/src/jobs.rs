//! Batch jobs: submissions, and results at positions that never change.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

/// One item of a batch job: a request for tokens that runs later.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemSpec {
    /// ID, unique in its job.
    pub id: String,
    /// Path to ask an engine for.
    pub path: String,
    /// Headers to send along.
    pub headers: Vec<(String, String)>,
    /// Request body.
    #[serde(with = "crate::payload")]
    pub body: Bytes,
    /// Prompt tokens and the most output tokens together.
    pub tokens: u64,
    /// Group of items that share a prompt.
    pub group: String,
    /// Output tokens that the caller expects, if it says so; often far off.
    pub expected_tokens: Option<u64>,
}

/// A batch job as it was submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSubmission {
    /// ID, chosen by the caller.
    pub id: String,
    /// Customer, if the plan names any.
    pub customer: Option<String>,
    /// Host that it was submitted to.
    pub host: String,
    /// Path that it was submitted to.
    pub path: String,
    /// Model whose weights generate the texts.
    pub model: String,
    /// Oldest weight version that may generate a token.
    pub min_version: u64,
    /// Complete groups that the trainer waits for.
    pub desired: u32,
    /// Items, those of carried-over groups first.
    pub items: Vec<ItemSpec>,
}

/// How an item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemEnd {
    /// The text is whole.
    Completed,
    /// The item was given up.
    Terminated,
}

/// Result of one item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// Place of the item in its submission.
    pub item: u32,
    /// How it ended.
    pub end: ItemEnd,
    /// Data of all events, joined by line feeds.
    #[serde(with = "crate::payload")]
    pub text: Bytes,
    /// Weight versions that generated the text, ascending.
    pub versions: Vec<u64>,
}

/// A batch job with what has been listed of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// What was submitted; bodies of listed items are dropped.
    pub submission: JobSubmission,
    /// Results by position.
    pub results: Vec<ItemResult>,
    /// Whether each item is listed.
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

    /// Returns whether nothing is left to run.
    pub fn is_settled(&self) -> bool {
        self.ended || self.results.len() == self.listed.len()
    }
}

/// All batch jobs.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct JobTable {
    jobs: BTreeMap<String, JobRecord>,
}

impl JobTable {
    /// Returns a job.
    pub fn get(&self, id: &str) -> Option<&JobRecord> {
        self.jobs.get(id)
    }

    /// Returns all jobs by ID.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &JobRecord)> {
        self.jobs.iter()
    }

    /// Takes a job; a repeated submission changes nothing. Returns whether it is new.
    pub fn submit(&mut self, submission: JobSubmission) -> bool {
        if self.jobs.contains_key(&submission.id) {
            return false;
        }
        let record = JobRecord::new(submission);
        self.jobs.insert(record.submission.id.clone(), record);
        true
    }

    /// Lists a result unless its item is listed already or its job has ended.
    pub fn list(&mut self, id: &str, result: ItemResult) -> bool {
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        if !job.is_open(result.item) {
            return false;
        }
        let place = result.item as usize;
        job.listed[place] = true;
        let item = &mut job.submission.items[place];
        item.body = Bytes::new();
        item.headers = Vec::new();
        item.path = String::new();
        job.results.push(result);
        true
    }

    /// Ends a job; returns whether it is known.
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

    /// Returns the IDs of all items of a customer's other jobs.
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

    /// Forgets jobs.
    pub fn forget(&mut self, ids: &[String]) {
        for id in ids {
            self.jobs.remove(id);
        }
    }

    /// Returns a whole result by the item's ID, from any job of the customer, if the oldest
    /// version in it is at least `min_version`.
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

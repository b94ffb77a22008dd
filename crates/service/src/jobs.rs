//! Batch jobs: submissions, and append-only lists of results.

mod table;

use std::iter;

use serde::Deserialize;
use serde::Serialize;

pub use self::table::JobTable;
pub use self::table::TableSize;

use crate::payload::PayloadRef;
use crate::work::PartialText;

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
    pub body: PayloadRef,
    /// Number of prompt tokens plus the largest number of output tokens.
    pub tokens: u64,
    /// Group of items that share a prompt.
    pub group: String,
    /// Number of output tokens that the caller expects, if given; the estimate is often far off.
    pub expected_tokens: Option<u64>,
    /// Reward call that scores the item's complete text, if the caller asks for a score.
    #[serde(default)]
    pub reward: Option<RewardCall>,
}

impl ItemSpec {
    /// Clears what only open items need, to free its memory. The IDs stay.
    fn clear_request(&mut self) {
        self.body = PayloadRef::default();
        self.headers = Vec::new();
        self.path = String::new();
        if let Some(reward) = &mut self.reward {
            reward.host = String::new();
            reward.path = String::new();
            reward.body = PayloadRef::default();
        }
    }

    /// Returns the ID of the item's reward call, if it has one.
    pub fn reward_id(&self) -> Option<&str> {
        self.reward.as_ref().map(|it| it.id.as_str())
    }
}

/// Request whose successful answer carries the score of an item's text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RewardCall {
    /// ID of the request.
    pub id: String,
    /// Host that selects the route, without the port.
    pub host: String,
    /// Path and query of the request.
    pub path: String,
    /// Body of the request.
    pub body: PayloadRef,
}

/// Batch job as the caller submitted it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSubmission {
    /// ID of the job, chosen by the caller.
    pub id: String,
    /// Customer for which the items run, if the plan names any.
    pub customer: Option<String>,
    /// Customer that last owned the caller's API key, if the plan names no customers. The job is this
    /// customer's, but the items run for none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub former_customer: Option<String>,
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

impl JobSubmission {
    /// Returns the customer that owns the job. One without an owner is everybody's.
    pub fn owner(&self) -> Option<&str> {
        self.customer.as_deref().or(self.former_customer.as_deref())
    }

    /// Returns whether a caller of a customer, or of none, may see the job.
    pub fn is_open_to(&self, customer: Option<&str>) -> bool {
        self.owner().is_none_or(|it| customer == Some(it))
    }

    /// Returns a digest of what tells the job apart from another one with its ID, and stays the same as its
    /// items are listed.
    pub fn content_digest(&self) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new();
        let mut add = |text: &str| {
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        };
        add(&self.model);
        for item in &self.items {
            add(&item.id);
            add(&item.group);
            add(item.reward_id().unwrap_or_default());
        }
        for number in self.items.iter().map(|it| it.tokens) {
            hasher.update(&number.to_le_bytes());
        }
        hasher.update(&self.min_version.to_le_bytes());
        hasher.update(&self.desired.to_le_bytes());
        hasher.finalize()
    }
}

/// How an item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemEnd {
    /// The text is complete.
    Completed,
    /// The item was given up without a text.
    Terminated,
}

/// What engines reported of an item that was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemFault {
    /// It can never succeed.
    Rejected,
    /// It failed as often as its route allows.
    Failed,
}

/// Result of an item, in the replicated state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// Index of the item in its submission.
    pub item: u32,
    /// How the item ended.
    pub end: ItemEnd,
    /// Generated text: the data of all events, joined by line feeds.
    pub text: PayloadRef,
    /// Weight versions that generated the text, ascending.
    pub versions: Vec<u64>,
    /// Score of the text, if the item has a reward call and is completed.
    #[serde(default)]
    pub score: Option<String>,
    /// Why the item was given up, if engines reported that.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fault: Option<ItemFault>,
}

impl ItemResult {
    /// Returns the result of an item that was given up since engines reported a fault.
    pub fn faulty(item: u32, fault: ItemFault) -> Self {
        Self {
            fault: Some(fault),
            ..Self::terminated(item)
        }
    }

    /// Returns the result of an item that was given up.
    pub fn terminated(item: u32) -> Self {
        Self {
            item,
            end: ItemEnd::Terminated,
            text: PayloadRef::default(),
            versions: Vec::new(),
            score: None,
            fault: None,
        }
    }

    /// Returns the result of an item whose text is complete.
    pub fn completed(item: u32, text: PartialText, score: Option<String>) -> Self {
        Self {
            item,
            end: ItemEnd::Completed,
            text: text.text().into(),
            versions: text.versions,
            score,
            fault: None,
        }
    }
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
    /// Index of the log entry that submitted the job; its payloads are in that one and in later
    /// ones.
    #[serde(default)]
    pub first_entry: u64,
}

impl JobRecord {
    fn new(index: u64, submission: JobSubmission) -> Self {
        let listed = vec![false; submission.items.len()];
        Self {
            submission,
            results: Vec::new(),
            listed,
            ended: false,
            first_entry: index,
        }
    }

    /// Returns the payloads of the job's items and results.
    pub fn payloads(&self) -> impl Iterator<Item = &PayloadRef> {
        let items = self.submission.items.iter().flat_map(|it| {
            let reward = it.reward.as_ref().map(|it| &it.body);
            iter::once(&it.body).chain(reward)
        });
        items.chain(self.results.iter().map(|it| &it.text))
    }

    /// Returns the payloads in the order of [`Self::payloads`].
    fn payloads_mut(&mut self) -> impl Iterator<Item = &mut PayloadRef> {
        let items = self.submission.items.iter_mut().flat_map(|it| {
            let reward = it.reward.as_mut().map(|it| &mut it.body);
            iter::once(&mut it.body).chain(reward)
        });
        items.chain(self.results.iter_mut().map(|it| &mut it.text))
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

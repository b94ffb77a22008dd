//! Parts of the state as the build at 2bcf767 decodes them.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::Deserialize;

/// Item as that build decodes it.
#[derive(Debug, PartialEq, Deserialize)]
pub struct EarlierItem {
    pub id: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Bytes,
    pub tokens: u64,
    pub group: String,
    pub expected_tokens: Option<u64>,
    pub reward: Option<EarlierReward>,
}

#[derive(Debug, PartialEq, Deserialize)]
pub struct EarlierReward {
    pub id: String,
    pub host: String,
    pub path: String,
    pub body: Bytes,
}

#[derive(Debug, PartialEq, Deserialize)]
pub struct EarlierResult {
    pub item: u32,
    pub end: String,
    pub text: Bytes,
    pub versions: Vec<u64>,
    pub score: Option<String>,
}

#[derive(Debug, PartialEq, Deserialize)]
pub struct EarlierSubmission {
    pub id: String,
    pub customer: Option<String>,
    pub host: String,
    pub path: String,
    pub model: String,
    pub min_version: u64,
    pub desired: u32,
    pub items: Vec<EarlierItem>,
}

#[derive(Debug, PartialEq, Deserialize)]
pub struct EarlierJob {
    pub submission: EarlierSubmission,
    pub results: Vec<EarlierResult>,
    pub listed: Vec<bool>,
    pub ended: bool,
}

#[derive(Debug, PartialEq, Deserialize)]
pub struct EarlierTable {
    pub jobs: BTreeMap<String, EarlierJob>,
}

/// The parts of the state whose encoding has changed, as that build decodes them.
#[derive(Debug, PartialEq, Deserialize)]
pub struct EarlierState {
    pub index: u64,
    pub jobs: EarlierTable,
}

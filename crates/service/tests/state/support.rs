//! Commands that the tests of the state apply.

use std::convert::Infallible;
use std::ops::Range;

use bytes::Bytes;

use bergamotlane_service::jobs::ItemEnd;
use bergamotlane_service::jobs::ItemResult;
use bergamotlane_service::jobs::ItemSpec;
use bergamotlane_service::jobs::JobSubmission;
use bergamotlane_service::jobs::RewardCall;
use bergamotlane_service::payload::PayloadRef;
use bergamotlane_service::payload::decode_command;
use bergamotlane_service::payload::encode_command;
use bergamotlane_service::plan::RoutingPlan;
use bergamotlane_service::state::ServiceState;
use bergamotlane_service::state::StateCommand;

pub fn submission(id: &str, items: usize) -> JobSubmission {
    let item = |index: usize| ItemSpec {
        id: format!("i{index}"),
        path: format!("/p/{index}"),
        headers: vec![("x-a".to_owned(), "1".to_owned())],
        body: Bytes::from(format!("body {index} of {id}")).into(),
        tokens: 16,
        group: format!("g{}", index / 2),
        expected_tokens: None,
        reward: None,
    };
    JobSubmission {
        id: id.to_owned(),
        customer: Some("mint".to_owned()),
        former_customer: None,
        host: "desk.example".to_owned(),
        path: "/p/".to_owned(),
        model: "m".to_owned(),
        min_version: 1,
        desired: 1,
        items: (0..items).map(item).collect(),
    }
}

pub fn reward(id: &str) -> RewardCall {
    RewardCall {
        id: id.to_owned(),
        host: "desk.example".to_owned(),
        path: "/l/score".to_owned(),
        body: Bytes::from(format!("body of {id}")).into(),
    }
}

pub fn submit_scored(id: &str) -> StateCommand {
    let mut submission = submission(id, 2);
    submission.items[1].reward = Some(reward("score-1"));
    StateCommand::Submit(Box::new(submission))
}

pub fn result(item: u32, text: &str) -> ItemResult {
    ItemResult {
        item,
        end: ItemEnd::Completed,
        text: Bytes::copy_from_slice(text.as_bytes()).into(),
        versions: vec![1],
        score: None,
        fault: None,
    }
}

pub fn submit(id: &str, items: usize) -> StateCommand {
    StateCommand::Submit(Box::new(submission(id, items)))
}

pub fn plan(version: u64, document: &'static str) -> StateCommand {
    let plan = RoutingPlan {
        version,
        ..RoutingPlan::default()
    };
    StateCommand::ReplacePlan {
        plan: Box::new(plan),
        document: Bytes::from_static(document.as_bytes()),
    }
}

pub fn list(id: &str, results: Vec<ItemResult>) -> StateCommand {
    let results = results.into_iter().map(|it| (id.to_owned(), it));
    StateCommand::List(results.collect())
}

/// Returns the bytes of a payload that is held in full.
pub fn inline(payload: &PayloadRef) -> &[u8] {
    match payload {
        PayloadRef::Inline(bytes) => bytes,
        PayloadRef::Entry { .. } => panic!("{payload:?} is a reference"),
    }
}

/// Commands of log entries, the first one at index 1; `None` for those that are gone.
#[derive(Debug, Default)]
pub struct TestLog(pub Vec<Option<Bytes>>);

impl TestLog {
    /// Appends a command and returns its index.
    pub fn append(&mut self, command: &StateCommand) -> u64 {
        self.0.push(Some(encode_command(command).unwrap()));
        self.0.len() as u64
    }

    pub fn read(&self, index: u64, range: Range<u32>) -> Result<Option<Bytes>, Infallible> {
        let command = self.0.get(index as usize - 1).and_then(Option::as_ref);
        Ok(command.map(|it| it.slice(range.start as usize..range.end as usize)))
    }

    /// Applies the entries after those that the state has.
    pub fn replay(&self, state: &mut ServiceState) {
        for (index, command) in (1..).zip(&self.0).skip(state.index as usize) {
            let command = command.as_ref().expect("the entry is there");
            state.apply(index, decode_command(index, command).unwrap());
        }
    }
}

/// Returns a command that was decoded from the entry at `index` with its payloads in full.
pub fn resolved(mut command: StateCommand, index: u64, entry: &Bytes) -> StateCommand {
    let resolve = |payload: &mut PayloadRef| {
        if let PayloadRef::Entry {
            index: at,
            start,
            length,
        } = *payload
        {
            assert_eq!(at, index);
            let start = start as usize;
            *payload = entry.slice(start..start + length as usize).into();
        }
    };
    match &mut command {
        StateCommand::Submit(submission) => {
            for item in &mut submission.items {
                resolve(&mut item.body);
                item.reward.iter_mut().for_each(|it| resolve(&mut it.body));
            }
        }
        StateCommand::List(results) => {
            results.iter_mut().for_each(|(_, it)| resolve(&mut it.text));
        }
        _ => {}
    }
    command
}

//! Tests a keeper that is its group's only voter and whose disk share is full.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use tempfile::TempDir;

use crate::support::TestDialect;
use bergamotlane_service::budget::ResourceLimits;
use bergamotlane_service::frames::LeaderCall;
use bergamotlane_service::frames::LeaderReply;
use bergamotlane_service::jobs::ItemSpec;
use bergamotlane_service::jobs::JobSubmission;
use bergamotlane_service::keeper::KeeperHandle;
use bergamotlane_service::keeper::KeeperSettings;
use bergamotlane_service::keeper::start_keeper;
use bergamotlane_service::link::LinkHub;
use bergamotlane_service::plan::RoutingPlan;
use bergamotlane_service::state::StateCommand;
use bergamotlane_storage::clock::now;

/// Time limit for a call, in milliseconds.
const CALL_LIMIT_MS: u64 = 20_000;

/// Size of an item's body, in bytes.
const BODY_BYTES: usize = 1_000_000;

/// Number of jobs that certainly don't fit.
const JOB_COUNT: usize = 80;

/// Starts the only keeper of a group, which accepts no links unless the hub listens.
pub fn start_single(data: &TempDir, limits: ResourceLimits) -> (KeeperHandle, Arc<LinkHub>) {
    let link: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let settings = KeeperSettings {
        name: "keeper".to_owned(),
        zone: "a".to_owned(),
        link,
        control: link,
        seeds: BTreeSet::from([link]),
        data: data.path().to_owned(),
        may_bootstrap: true,
        voters: 1,
        usage_window_ms: 60_000,
        job_retention_ms: 600_000,
        duty_turn_ms: 100,
        platform: None,
        limits,
    };
    start_keeper(settings, TestDialect).unwrap()
}

pub fn submit(id: &str, body_bytes: usize) -> LeaderCall {
    let item = ItemSpec {
        id: format!("{id}-0"),
        path: "/p".to_owned(),
        headers: Vec::new(),
        body: Bytes::from(vec![b'x'; body_bytes]).into(),
        tokens: 1,
        group: "g".to_owned(),
        expected_tokens: None,
        reward: None,
    };
    let submission = JobSubmission {
        id: id.to_owned(),
        customer: None,
        former_customer: None,
        host: "h".to_owned(),
        path: "/p".to_owned(),
        model: "m".to_owned(),
        min_version: 1,
        desired: 1,
        items: vec![item],
    };
    LeaderCall::Change(StateCommand::Submit(Box::new(submission)))
}

pub fn read(id: &str) -> LeaderCall {
    LeaderCall::ReadJob {
        job: id.to_owned(),
        customer: None,
        after: 0,
        wait_ms: 0,
    }
}

pub async fn call(handle: &KeeperHandle, call: LeaderCall) -> LeaderReply {
    let limit = now() + CALL_LIMIT_MS;
    handle.leader.call(call, limit).await.unwrap()
}

/// Guards against jobs that are accepted although there is no space for them, until the disk is full
/// and nothing works any more.
#[tokio::test]
async fn a_full_store_refuses_new_jobs_and_takes_everything_else() {
    let data = TempDir::new().unwrap();
    let limits = ResourceLimits {
        memory_bytes: None,
        disk_bytes: Some(64_000_000),
    };
    let (handle, _hub) = start_single(&data, limits);
    let mut accepted = Vec::new();
    let mut refused = Vec::new();
    for index in 0..JOB_COUNT {
        let id = format!("job-{index}");
        match call(&handle, submit(&id, BODY_BYTES)).await {
            LeaderReply::Done => accepted.push(id),
            LeaderReply::NoPermit(return_ms) => {
                assert!(return_ms >= 1_000);
                refused.push(id);
            }
            reply => panic!("{reply:?}"),
        }
    }
    assert!(accepted.len() > 10 && !refused.is_empty(), "{accepted:?}");
    let stored: u64 = std::fs::read_dir(data.path())
        .unwrap()
        .map(|it| it.unwrap().metadata().unwrap().len())
        .sum();
    assert!(stored < 48_000_000, "{stored}");

    // What was refused is not there, and what was accepted is confirmed, readable and can be ended.
    assert_eq!(call(&handle, read(&refused[0])).await, LeaderReply::Missing);
    assert_eq!(
        call(&handle, submit(&accepted[0], BODY_BYTES)).await,
        LeaderReply::Done
    );
    let reply = call(&handle, read(&accepted[0])).await;
    assert!(matches!(reply, LeaderReply::Results { total: 1, .. }));
    let item = LeaderCall::ReadItem {
        job: accepted[0].clone(),
        customer: None,
        item: format!("{}-0", accepted[0]),
    };
    let reply = call(&handle, item).await;
    assert!(matches!(reply, LeaderReply::Body(body) if body.len() == BODY_BYTES));
    let plan = RoutingPlan {
        version: 7,
        ..RoutingPlan::default()
    };
    let document = Bytes::from_static(b"plan");
    let replace = StateCommand::ReplacePlan {
        plan: Box::new(plan),
        document: document.clone(),
    };
    let reply = call(&handle, LeaderCall::Change(replace)).await;
    assert_eq!(reply, LeaderReply::Done);
    let reply = call(&handle, LeaderCall::ReadPlan).await;
    assert_eq!(reply, LeaderReply::Document(document));
    let end = LeaderCall::EndJob {
        job: accepted[0].clone(),
        customer: None,
    };
    assert_eq!(call(&handle, end).await, LeaderReply::Done);
}

/// Guards against a job that fills the frames of all links, and against a caller who returns with a
/// job that never fits.
#[tokio::test]
async fn a_job_that_never_fits_is_not_asked_to_return() {
    let data = TempDir::new().unwrap();
    let limits = ResourceLimits {
        memory_bytes: Some(64_000_000),
        disk_bytes: None,
    };
    let (handle, _hub) = start_single(&data, limits);
    let reply = call(&handle, submit("large", 30_000_000)).await;
    assert_eq!(reply, LeaderReply::Conflict);
    assert_eq!(
        call(&handle, submit("small", 1_000)).await,
        LeaderReply::Done
    );
}

//! Tests a keeper that is its group's only voter and whose jobs are larger than what it holds in memory.

use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rstest::rstest;
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::earlier_state::EarlierState;
use crate::group::hello;
use crate::support::TestDialect;
use bergamotlane_coordination::consensus::ConsensusMessage;
use bergamotlane_coordination::consensus::LogSnapshot;
use bergamotlane_service::budget::ResourceLimits;
use bergamotlane_service::frames::HelloFrame;
use bergamotlane_service::frames::LeaderCall;
use bergamotlane_service::frames::LeaderReply;
use bergamotlane_service::frames::LinkFrame;
use bergamotlane_service::frames::STATE_FORMAT;
use bergamotlane_service::jobs::ItemEnd;
use bergamotlane_service::jobs::ItemResult;
use bergamotlane_service::jobs::ItemSpec;
use bergamotlane_service::jobs::JobSubmission;
use bergamotlane_service::keeper::KeeperHandle;
use bergamotlane_service::keeper::KeeperSettings;
use bergamotlane_service::keeper::start_keeper;
use bergamotlane_service::link::LinkEvent;
use bergamotlane_service::link::LinkHub;
use bergamotlane_service::state::ServiceState;
use bergamotlane_service::state::StateCommand;
use bergamotlane_storage::clock::now;
use bergamotlane_wire::ConsensusMessageWire;
use bergamotlane_wire::codec;

/// Time limit for a call, in milliseconds.
const CALL_LIMIT_MS: u64 = 20_000;

/// Time limit for a call that can't be answered, in milliseconds.
const SHORT_LIMIT_MS: u64 = 1_500;

/// Time limit for an event of a link.
const EVENT_LIMIT: Duration = Duration::from_secs(20);

/// Size of an item's body and of its text, in bytes.
const BODY_BYTES: usize = 1_000_000;

/// Number of items of a job.
const ITEM_COUNT: u32 = 4;

/// Number of jobs; with their texts they need more than one snapshot.
const JOB_COUNT: u32 = 24;

/// Pause before the data folder is looked at again.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// Number of looks at the data folder until something must have happened.
const MAX_LOOKS: usize = 600;

/// Copies a data folder, since a keeper holds the lock of its own until the process ends.
fn copy_folder(data: &Path) -> TempDir {
    let copy = TempDir::new().unwrap();
    for (name, _) in files(data) {
        fs::copy(data.join(&name), copy.path().join(&name)).unwrap();
    }
    copy
}

/// Starts the only keeper of a group.
fn start_single(data: &Path, retention_ms: u64) -> KeeperHandle {
    let link: SocketAddr = "127.0.0.1:1".parse().unwrap();
    start_at(link, data, 1, retention_ms).0
}

fn start_at(
    link: SocketAddr,
    data: &Path,
    voters: usize,
    retention_ms: u64,
) -> (KeeperHandle, Arc<LinkHub>) {
    let settings = KeeperSettings {
        name: "keeper".to_owned(),
        zone: "a".to_owned(),
        link,
        control: link,
        seeds: BTreeSet::from([link]),
        data: data.to_owned(),
        may_bootstrap: true,
        voters,
        usage_window_ms: 600_000,
        job_retention_ms: retention_ms,
        limits: ResourceLimits::default(),
        duty_turn_ms: 100,
        platform: None,
    };
    start_keeper(settings, TestDialect).unwrap()
}

async fn call(handle: &KeeperHandle, call: LeaderCall) -> LeaderReply {
    let limit = now() + CALL_LIMIT_MS;
    handle.leader.call(call, limit).await.unwrap()
}

fn content(kind: &str, job: u32, item: u32) -> Bytes {
    let mut bytes = format!("{kind} {job} {item} ").repeat(BODY_BYTES / 8);
    bytes.truncate(BODY_BYTES);
    Bytes::from(bytes)
}

fn submit(job: u32) -> LeaderCall {
    let item = |index: u32| ItemSpec {
        id: format!("{job}-{index}"),
        path: "/p".to_owned(),
        headers: Vec::new(),
        body: content("body", job, index).into(),
        tokens: 1,
        group: "g".to_owned(),
        expected_tokens: None,
        reward: None,
    };
    let submission = JobSubmission {
        id: format!("job-{job}"),
        customer: None,
        former_customer: None,
        host: "h".to_owned(),
        path: "/p".to_owned(),
        model: "m".to_owned(),
        min_version: 1,
        desired: 1,
        items: (0..ITEM_COUNT).map(item).collect(),
    };
    LeaderCall::Change(StateCommand::Submit(Box::new(submission)))
}

/// Lists the texts of the first two items.
fn list(job: u32) -> LeaderCall {
    let result = |item: u32| ItemResult {
        item,
        end: ItemEnd::Completed,
        text: content("text", job, item).into(),
        versions: vec![1],
        score: None,
        fault: None,
    };
    let results = (0..2).map(|it| (format!("job-{job}"), result(it)));
    LeaderCall::Change(StateCommand::List(results.collect()))
}

fn read_item(job: u32, item: u32) -> LeaderCall {
    LeaderCall::ReadItem {
        job: format!("job-{job}"),
        customer: None,
        item: format!("{job}-{item}"),
    }
}

async fn check_open_items(handle: &KeeperHandle, job: u32) {
    for item in 2..ITEM_COUNT {
        let reply = call(handle, read_item(job, item)).await;
        assert!(reply == LeaderReply::Body(content("body", job, item)));
    }
}

/// Checks that a job's listed texts and the bodies of its open items are those that were sent.
async fn check_job(handle: &KeeperHandle, job: u32) {
    check_open_items(handle, job).await;
    check_texts(handle, job).await;
}

fn read_text(job: u32, position: u32) -> LeaderCall {
    LeaderCall::ReadJob {
        job: format!("job-{job}"),
        customer: None,
        after: position.into(),
        wait_ms: 0,
    }
}

/// Checks that a job's listed texts are those that were sent.
async fn check_texts(handle: &KeeperHandle, job: u32) {
    for position in 0..2 {
        match call(handle, read_text(job, position)).await {
            LeaderReply::Results { results, .. } => {
                assert!(results[0].text == content("text", job, position));
            }
            reply => panic!("{reply:?}"),
        }
    }
}

/// Returns the names and sizes of the files in a folder.
fn files(folder: &Path) -> Vec<(String, u64)> {
    let entries = fs::read_dir(folder).unwrap().map(Result::unwrap);
    let files = entries.filter_map(|it| {
        // A file may be removed while the folder is listed.
        let length = it.metadata().ok()?.len();
        Some((it.file_name().into_string().unwrap(), length))
    });
    files.collect()
}

fn disk_bytes(folder: &Path) -> u64 {
    files(folder).iter().map(|(_, length)| length).sum()
}

/// Returns the number of complete snapshots, the first one of the group included.
fn snapshot_count(folder: &Path) -> usize {
    let is_snapshot = |name: &str| name.starts_with("snapshot") && !name.ends_with("tmp");
    files(folder)
        .iter()
        .filter(|(name, _)| is_snapshot(name))
        .count()
}

async fn wait_until(what: &str, is_done: impl Fn() -> bool) {
    for _ in 0..MAX_LOOKS {
        if is_done() {
            return;
        }
        sleep(LOOK_PAUSE).await;
    }
    panic!("{what}: not after {MAX_LOOKS} looks");
}

/// Ends a job.
async fn end(handle: &KeeperHandle, job: u32) {
    let end = LeaderCall::EndJob {
        job: format!("job-{job}"),
        customer: None,
    };
    assert_eq!(call(handle, end).await, LeaderReply::Done);
}

/// Waits until a job is forgotten.
async fn wait_until_forgotten(handle: &KeeperHandle, job: u32) {
    for _ in 0..MAX_LOOKS {
        if call(handle, read_text(job, 0)).await == LeaderReply::Missing {
            return;
        }
        sleep(LOOK_PAUSE).await;
    }
    panic!("job {job} is not forgotten after {MAX_LOOKS} looks");
}

/// Guards against accepted jobs whose bodies and texts can't be read once they are on disk alone, before
/// and after a restart and, for those that nobody has ended, past the retention; and against a disk that
/// they never leave once they are ended.
#[tokio::test]
async fn jobs_are_read_from_disk_until_they_are_forgotten() {
    let data = TempDir::new().unwrap();
    let keeper = start_single(data.path(), 600_000);
    for job in 0..JOB_COUNT {
        assert_eq!(call(&keeper, submit(job)).await, LeaderReply::Done);
        assert_eq!(call(&keeper, list(job)).await, LeaderReply::Done);
    }
    wait_until("snapshots", || snapshot_count(data.path()) >= 3).await;
    for job in 0..JOB_COUNT {
        check_job(&keeper, job).await;
    }

    let copy = copy_folder(data.path());
    let keeper = start_single(copy.path(), 600_000);
    for job in 0..JOB_COUNT {
        check_job(&keeper, job).await;
        // No route matches the jobs, so that those that nobody ends don't run either.
        if job % 2 == 0 {
            end(&keeper, job).await;
        }
    }
    let copy = copy_folder(copy.path());
    let before = disk_bytes(copy.path());
    let keeper = start_single(copy.path(), 0);
    for job in (0..JOB_COUNT).step_by(2) {
        wait_until_forgotten(&keeper, job).await;
    }
    for job in (1..JOB_COUNT).step_by(2) {
        check_texts(&keeper, job).await;
        end(&keeper, job).await;
    }
    wait_until("release", || disk_bytes(copy.path()) < before / 2).await;
}

/// Guards against an answer that an accepted item is not there, when it only can't be read.
#[tokio::test]
async fn an_item_that_can_t_be_read_is_not_reported_as_missing() {
    let data = TempDir::new().unwrap();
    let keeper = start_single(data.path(), 600_000);
    for job in 0..JOB_COUNT / 2 {
        assert_eq!(call(&keeper, submit(job)).await, LeaderReply::Done);
    }
    check_open_items(&keeper, 0).await;
    let names = files(data.path()).into_iter().map(|(name, _)| name);
    let first_segment = names.filter(|it| it.starts_with("log-")).min().unwrap();
    fs::remove_file(data.path().join(first_segment)).unwrap();
    let limit = now() + SHORT_LIMIT_MS;
    let reply = keeper.leader.call(read_item(0, 2), limit).await;
    assert!(reply.is_err());
}

/// Waits until a link is up, and returns the node at its other end.
async fn next_node(events: &mut mpsc::UnboundedReceiver<LinkEvent>) -> Option<u64> {
    let up = async {
        loop {
            if let LinkEvent::Up { hello, .. } = events.recv().await.unwrap() {
                return hello.node;
            }
        }
    };
    timeout(EVENT_LIMIT, up).await.expect("no link is up")
}

/// Guards against a keeper whose data folder is gone and that goes on as the earlier node, though its votes
/// and its log are forgotten.
#[tokio::test]
async fn a_keeper_whose_folder_vanishes_is_not_the_old_node_any_more() {
    let parent = TempDir::new().unwrap();
    let data = parent.path().join("data");
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (keeper, hub) = start_at(address, &data, 1, 600_000);
    tokio::spawn(hub.listen(listener));
    let (sender, mut events) = mpsc::unbounded_channel();
    let peer = LinkHub::new(hello("entry-1", "127.0.0.1:2".parse().unwrap()), sender);
    peer.set_peers([address]);
    let earlier = next_node(&mut events).await;
    for job in 0..JOB_COUNT / 2 {
        assert_eq!(call(&keeper, submit(job)).await, LeaderReply::Done);
    }
    fs::rename(&data, parent.path().join("gone")).unwrap();
    // The item is on disk alone, so that reading it shows that the folder is gone.
    let limit = now() + SHORT_LIMIT_MS;
    let reply = keeper.leader.call(read_item(0, 2), limit).await;
    assert!(reply.is_err(), "{reply:?}");
    let later = next_node(&mut events).await;
    assert!(later.is_some());
    assert_ne!(later, earlier);
}

/// Answers a leader's messages as a keeper that has no log, until it is sent a snapshot.
async fn receive_snapshot(
    hub: &LinkHub,
    events: &mut mpsc::UnboundedReceiver<LinkEvent>,
) -> LogSnapshot {
    loop {
        let event = timeout(EVENT_LIMIT, events.recv()).await.unwrap().unwrap();
        let LinkEvent::Frame(link, LinkFrame::Consensus(wire), _) = event else {
            continue;
        };
        match ConsensusMessage::try_from(wire).unwrap() {
            ConsensusMessage::Snapshot { snapshot, .. } => return snapshot,
            ConsensusMessage::Append {
                term,
                prev_index,
                round,
                ..
            } => {
                let reply = ConsensusMessage::AppendReply {
                    term,
                    matched: None,
                    prev_index,
                    hint: 1,
                    round,
                };
                let wire = ConsensusMessageWire::from(&reply);
                hub.send(link, &LinkFrame::Consensus(wire));
            }
            _ => {}
        }
    }
}

/// Guards against a keeper of an earlier build that can't decode the snapshot that it is sent, and
/// stays behind.
#[rstest]
#[case::earlier_build(0)]
#[case::this_build(STATE_FORMAT)]
#[tokio::test]
async fn a_keeper_that_joins_is_sent_a_snapshot_that_it_can_read(#[case] state_format: u32) {
    let data = TempDir::new().unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (keeper, hub) = start_at(address, data.path(), 3, 600_000);
    tokio::spawn(hub.listen(listener));
    let mut jobs = Vec::new();
    while snapshot_count(data.path()) < 2 {
        let job = jobs.len() as u32;
        assert_eq!(call(&keeper, submit(job)).await, LeaderReply::Done);
        assert_eq!(call(&keeper, list(job)).await, LeaderReply::Done);
        jobs.push(format!("job-{job}"));
    }
    let before = disk_bytes(data.path());
    let forget = LeaderCall::Change(StateCommand::ForgetJobs(jobs));
    assert_eq!(call(&keeper, forget).await, LeaderReply::Done);
    wait_until("release", || disk_bytes(data.path()) < before / 2).await;

    let (sender, mut events) = mpsc::unbounded_channel();
    let hello = HelloFrame {
        node: Some(2),
        state_format,
        ..hello("keeper-2", "127.0.0.1:2".parse().unwrap())
    };
    let peer = LinkHub::new(hello, sender);
    peer.set_peers([address]);
    let snapshot = receive_snapshot(&peer, &mut events).await;
    let data = snapshot.data.inline().unwrap();
    let earlier = codec::decode::<EarlierState>(data);
    match state_format {
        STATE_FORMAT => {
            assert!(earlier.is_err());
            let state: ServiceState = codec::decode(data).unwrap();
            assert!(state.jobs.get("job-0").is_some());
        }
        _ => {
            let job = &earlier.unwrap().jobs.jobs["job-0"];
            assert_eq!((job.listed.len(), job.results.len()), (4, 2));
        }
    }
}

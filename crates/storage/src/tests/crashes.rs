//! Crashes of a process at any step of a change to its data folder.

use std::fs;

use proptest::prelude::*;
use rstest::rstest;

use super::append;
use super::entries_of;
use super::entry;
use super::open;
use super::small_log;
use super::take_snapshot;
use super::trial::Trial;
use super::trial::files_of;
use super::trial::leader_snapshot;
use crate::StorageError;
use bergamotlane_coordination::consensus::ConsensusOutput;

/// The entries after a leader's snapshot were dropped at the second restart, if the first one
/// found the log that the snapshot replaces.
#[test]
fn entries_after_an_interrupted_installation_survive_restarts() {
    let (folder, first) = small_log();
    let before = fs::read(&first).unwrap();
    let (mut data, _) = open(folder.path()).unwrap();
    let snapshot = leader_snapshot(4, 9);
    data.save(&ConsensusOutput::SaveSnapshot(snapshot)).unwrap();
    drop(data);
    // Simulates a crash after the snapshot was written, and before anything else was.
    for (_, path) in files_of(folder.path(), "log-") {
        fs::remove_file(path).unwrap();
    }
    fs::write(&first, before).unwrap();
    let (mut data, _) = open(folder.path()).unwrap();
    append(&mut data, vec![entry(5, 9)]);
    drop(data);
    let (data, content) = open(folder.path()).unwrap();
    assert_eq!(entries_of(&data, &content), vec![entry(5, 9)]);
}

#[test]
fn a_snapshot_that_is_written_after_a_leaders_one_leaves_nothing() {
    let (folder, _) = small_log();
    let (mut data, content) = open(folder.path()).unwrap();
    let late = data.start_snapshot(content.log.snapshot_at(3).unwrap());
    let snapshot = leader_snapshot(9, 9);
    data.save(&ConsensusOutput::SaveSnapshot(snapshot)).unwrap();
    data.finish_snapshot(late.unwrap().write(b"late").unwrap());
    assert_eq!(data.newest_snapshot(), 9);
    assert_eq!(files_of(folder.path(), "snapshot").len(), 1);
    drop(data);
    let (_, content) = open(folder.path()).unwrap();
    assert_eq!((content.log.snapshot().index, content.applied), (9, 9));
}

#[rstest]
#[case::without_a_snapshot(&[])]
#[case::before_the_newest_snapshot(&[3, 7])]
fn a_lost_segment_is_detected(#[case] snapshots: &[u64]) {
    let (folder, first) = small_log();
    let (mut data, _) = open(folder.path()).unwrap();
    data.set_segment_bytes(1);
    append(&mut data, vec![entry(6, 2)]);
    append(&mut data, vec![entry(7, 2)]);
    drop(data);
    let (mut data, content) = open(folder.path()).unwrap();
    for index in snapshots {
        take_snapshot(&mut data, &content.log, *index, b"state");
    }
    drop(data);
    let middle = first.with_file_name("log-0000000000000002");
    fs::remove_file(middle).unwrap();
    let opened = open(folder.path());
    assert!(matches!(opened, Err(StorageError::Gap { .. })));
}

/// A snapshot is replaced atomically, so any damage is an error.
#[test]
fn a_damaged_snapshot_is_never_read_as_content() {
    let (folder, _) = small_log();
    let (mut data, content) = open(folder.path()).unwrap();
    take_snapshot(&mut data, &content.log, 3, b"state");
    drop(data);
    let path = folder.path().join("snapshot-0000000000000003");
    let whole = fs::read(&path).unwrap();
    for position in 0..whole.len() {
        let mut bytes = whole.clone();
        bytes[position] ^= 1;
        for damaged in [&bytes[..], &whole[..position]] {
            fs::write(&path, damaged).unwrap();
            let opened = open(folder.path());
            assert!(matches!(opened, Err(StorageError::Damaged { .. })));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(100))]

    /// A folder holds what was synced, and at most what followed in order, wherever a crash hits.
    #[test]
    fn a_crash_loses_only_what_was_not_synced(
        changes in prop::collection::vec((0_u8..10, 0_usize..100_000, 0_usize..100_000), 1..40),
    ) {
        let mut trial = Trial::new();
        for change in changes {
            trial.change(change);
        }
        trial.sync();
        trial.reopen();
    }
}

/// After a loss of power each write since the last sync may be missing on its own. A folder whose
/// earlier unsynced record was missing could never be opened again.
#[test]
fn an_unsynced_record_that_is_missing_before_another_one_is_dropped_with_it() {
    let (folder, segment) = small_log();
    let synced = fs::metadata(&segment).unwrap().len() as usize;
    let (mut data, _) = open(folder.path()).unwrap();
    data.save(&ConsensusOutput::AppendEntries(vec![entry(6, 2)]))
        .unwrap();
    let first = fs::metadata(&segment).unwrap().len() as usize;
    data.save(&ConsensusOutput::AppendEntries(vec![entry(7, 2)]))
        .unwrap();
    drop(data);
    let mut bytes = fs::read(&segment).unwrap();
    bytes[synced..first].fill(0);
    fs::write(&segment, bytes).unwrap();
    let (data, content) = open(folder.path()).unwrap();
    assert_eq!(entries_of(&data, &content).len(), 5);
}

/// Guards against a start that takes a snapshot of the first applied entry, counts the rest of the log as
/// covered, and does the same again at the next start.
#[test]
fn entries_after_a_snapshot_count_as_much_before_a_restart_as_after_it() {
    let (folder, _) = small_log();
    let (mut data, content) = open(folder.path()).unwrap();
    take_snapshot(&mut data, &content.log, 1, b"state");
    let before = data.uncovered_bytes(u64::MAX, 0);
    assert!(before > 0);
    drop(data);
    let (data, _) = open(folder.path()).unwrap();
    assert_eq!(before, data.uncovered_bytes(u64::MAX, 0));
}

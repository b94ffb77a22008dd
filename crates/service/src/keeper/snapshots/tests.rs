//! Tests of the thresholds of snapshots.

use std::collections::BTreeSet;

use super::SNAPSHOT_THRESHOLDS;
use super::thresholds_of;
use bergamotlane_coordination::ident::NodeId;

/// Share of the disk that does not bound the thresholds, in bytes.
const DISK_BYTES: u64 = 1 << 40;

/// Guards against keepers that all take their snapshots at the same moment.
#[test]
fn nodes_take_their_snapshots_at_different_sizes_of_the_log() {
    let thresholds = (0..64).map(|it| thresholds_of(NodeId(u64::MAX - it), DISK_BYTES));
    let sizes: BTreeSet<u64> = thresholds.clone().map(|it| it.log_bytes).collect();
    let counts: BTreeSet<u64> = thresholds.map(|it| it.entries).collect();
    assert_eq!((sizes.len(), counts.len()), (64, 64));
    let least = SNAPSHOT_THRESHOLDS;
    assert!(
        sizes
            .iter()
            .all(|it| (least.log_bytes..least.log_bytes * 3 / 2).contains(it))
    );
    assert!(
        counts
            .iter()
            .all(|it| (least.entries..least.entries * 3 / 2).contains(it))
    );
}

/// Guards against a log that outgrows a small disk before its first snapshot, and is never released.
#[test]
fn a_small_disk_has_room_for_several_thresholds() {
    let disk_bytes = 24_000_000;
    let thresholds = (0..64).map(|it| thresholds_of(NodeId(it), disk_bytes));
    assert!(
        thresholds
            .map(|it| it.log_bytes)
            .all(|it| it * 4 < disk_bytes)
    );
}

//! Tests of the thresholds of snapshots.

use std::collections::BTreeSet;

use super::SNAPSHOT_THRESHOLDS;
use super::thresholds_of;
use bergamotlane_coordination::ident::NodeId;

/// Guards against keepers that all take their snapshots at the same moment.
#[test]
fn nodes_take_their_snapshots_at_different_sizes_of_the_log() {
    let thresholds = (0..64).map(|it| thresholds_of(NodeId(u64::MAX - it)));
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

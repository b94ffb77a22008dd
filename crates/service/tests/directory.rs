//! Tests which keepers a process links to: a number that does not grow with the cluster, and
//! others while no leader is known.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use rstest::rstest;

use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_service::directory::KeeperDirectory;

const START: ClockTime = ClockTime(100_000);

fn address(number: usize) -> SocketAddr {
    format!("10.0.{}.{}:7640", number / 250, number % 250)
        .parse()
        .unwrap()
}

fn addresses(numbers: impl IntoIterator<Item = usize>) -> BTreeSet<SocketAddr> {
    numbers.into_iter().map(address).collect()
}

/// Returns the directory of an instance that knows three seeds, five members and `count` keepers.
fn directory(count: usize) -> KeeperDirectory {
    let mut directory = KeeperDirectory::new(START, "front-1", addresses(0..3));
    directory.learn(START, addresses(0..count));
    directory.set_members(addresses(3..8));
    directory.set_leader_known(START, true);
    directory
}

#[rstest]
#[case(12)]
#[case(45)]
#[case(900)]
fn the_number_of_links_does_not_grow_with_the_number_of_keepers(#[case] count: usize) {
    let mut directory = directory(count);
    assert_eq!(directory.peers(START + 50_000), addresses(0..8));
    directory.set_leader_known(START + 50_000, false);
    for elapsed in (0..60_000).step_by(500) {
        assert!(directory.peers(START + 50_000 + elapsed).len() <= 12);
    }
}

/// Guards against an instance that was cut off while all members and seeds were replaced.
#[test]
fn every_known_keeper_is_tried_in_time_while_no_leader_is_known() {
    let mut directory = directory(45);
    directory.set_leader_known(START, false);
    assert_eq!(directory.peers(START + 1_999), addresses(0..8));
    let mut tried = BTreeSet::new();
    for elapsed in (2_000..200_000).step_by(1_000) {
        tried.extend(directory.peers(START + elapsed));
    }
    assert_eq!(tried, addresses(0..45));
    directory.set_leader_known(START + 200_000, true);
    assert_eq!(directory.peers(START + 200_001), addresses(0..8));
}

#[test]
fn before_the_first_view_everything_heard_of_is_dialled() {
    let mut directory = KeeperDirectory::new(START, "front-1", addresses(0..3));
    assert_eq!(directory.peers(START), addresses(0..3));
    directory.learn(START, addresses(5..9));
    assert_eq!(directory.peers(START), addresses([0, 1, 2, 5, 6, 7, 8]));
}

#[test]
fn instances_try_other_keepers_in_different_orders() {
    let mut firsts = BTreeSet::new();
    for number in 0..20 {
        let mut directory =
            KeeperDirectory::new(START, &format!("front-{number}"), addresses(0..3));
        directory.learn(START, addresses(0..45));
        directory.set_members(addresses(3..8));
        let peers = directory.peers(START + 2_000);
        firsts.extend(peers.difference(&addresses(0..8)).copied());
    }
    assert!(firsts.len() > 20, "{firsts:?}");
}

#[test]
fn an_empty_group_does_not_replace_the_members_that_are_known() {
    let mut directory = directory(10);
    directory.set_members(BTreeSet::new());
    assert_eq!(directory.peers(START), addresses(0..8));
}

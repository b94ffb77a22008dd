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

/// Process of a model cluster: its directory, its own address if it is a keeper, and what it last
/// told its links.
struct ModelProcess {
    directory: KeeperDirectory,
    own: Option<SocketAddr>,
    told: BTreeSet<SocketAddr>,
}

/// Lets a process dial its peers and tell linked keepers and entries of the keepers it knows. With
/// `tells_changes` unset, a link carries what its ends know when it comes up, and nothing later.
fn play_round(
    processes: &mut [ModelProcess],
    links: &mut BTreeSet<(usize, usize)>,
    tells_changes: bool,
) {
    let now = START + 100;
    for from in 0..processes.len() {
        for peer in processes[from].directory.peers(now) {
            let to = processes.iter().position(|it| it.own == Some(peer));
            let Some(to) = to.filter(|it| *it != from) else {
                continue;
            };
            if links.insert((from, to)) {
                let (dialler, acceptor) = (
                    processes[from].directory.primary_peers(),
                    processes[to].directory.primary_peers(),
                );
                let own = processes[from].own;
                processes[to].directory.learn(now, own);
                if own.is_some() {
                    processes[to].directory.learn(now, dialler);
                }
                processes[from].directory.learn(now, acceptor);
            }
        }
    }
    if !tells_changes {
        return;
    }
    for from in 0..processes.len() {
        let keepers = processes[from].directory.primary_peers();
        if processes[from].own.is_none() || keepers == processes[from].told {
            continue;
        }
        processes[from].told = keepers.clone();
        for (a, b) in links.iter().filter(|(a, b)| *a == from || *b == from) {
            let other = if *a == from { *b } else { *a };
            processes[other].directory.learn(now, keepers.clone());
        }
    }
}

/// Returns how many of 40 entries and 20 keepers can reach a member after all were restarted. The
/// seeds have lost their disks and are no members any more; only the members know who they are.
fn reachable_after_restart(tells_changes: bool) -> usize {
    let members = addresses(10..15);
    let mut processes: Vec<ModelProcess> = (0..60)
        .map(|number| ModelProcess {
            directory: KeeperDirectory::new(START, &format!("p{number}"), addresses(0..3)),
            own: (number >= 40).then(|| address(number - 40)),
            told: BTreeSet::new(),
        })
        .collect();
    for process in processes
        .iter_mut()
        .filter(|it| it.own.is_some_and(|own| members.contains(&own)))
    {
        process.directory.set_members(members.clone());
    }
    let mut links = BTreeSet::new();
    for _ in 0..8 {
        play_round(&mut processes, &mut links, tells_changes);
    }
    let reaches = |number: usize| {
        links.iter().any(|(from, to)| {
            let is_member = |it: usize| processes[it].own.is_some_and(|own| members.contains(&own));
            (*from == number && is_member(*to)) || (*to == number && is_member(*from))
        })
    };
    (0..60).filter(|it| reaches(*it)).count()
}

/// Guards against a cluster that does not find its own group after a restart of everything with
/// outdated seeds.
#[test]
fn everybody_finds_the_members_after_a_restart_with_outdated_seeds() {
    assert_eq!(reachable_after_restart(true), 60);
    assert!(reachable_after_restart(false) < 60);
}

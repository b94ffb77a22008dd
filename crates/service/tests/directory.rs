//! Tests which keepers a process links to: a number that does not grow with the cluster, and
//! others while no leader is known.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;

use rstest::rstest;

use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_service::directory::GroupMembers;
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

/// Returns a group of members that the log entry at `index` set.
fn group(index: u64, numbers: impl IntoIterator<Item = usize>) -> GroupMembers {
    GroupMembers {
        term: 1,
        index,
        addresses: addresses(numbers),
    }
}

/// Returns the directory of an instance that knows three seeds, five members and `count` keepers.
fn directory(count: usize) -> KeeperDirectory {
    let mut directory = KeeperDirectory::new(START, "front-1", addresses(0..3));
    directory.learn(START, addresses(0..count));
    directory.set_members(group(1, 3..8));
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
        directory.set_members(group(1, 3..8));
        let peers = directory.peers(START + 2_000);
        firsts.extend(peers.difference(&addresses(0..8)).copied());
    }
    assert!(firsts.len() > 20, "{firsts:?}");
}

#[test]
fn an_empty_group_does_not_replace_the_members_that_are_known() {
    let mut directory = directory(10);
    directory.set_members(GroupMembers::default());
    assert_eq!(directory.peers(START), addresses(0..8));
}

/// Process of a model cluster: its directory, its own address if it is a keeper, and the members
/// that it last told its links.
struct ModelProcess {
    directory: KeeperDirectory,
    own: Option<SocketAddr>,
    told: GroupMembers,
}

/// Lets each process dial its peers, and each keeper tell its links of members. With
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
            let Some(to) = to.filter(|it| *it != from && links.insert((from, *it))) else {
                continue;
            };
            for (teller, hearer) in [(from, to), (to, from)] {
                let Some(own) = processes[teller].own else {
                    continue;
                };
                let primary = processes[teller].directory.primary_peers();
                let members = processes[teller].directory.members().clone();
                let hearer = &mut processes[hearer].directory;
                hearer.learn(now, primary.into_iter().chain([own]));
                hearer.hear_members(members);
            }
        }
    }
    for from in (0..processes.len()).filter(|_| tells_changes) {
        let members = processes[from].directory.members().clone();
        if processes[from].own.is_none() || members == processes[from].told {
            continue;
        }
        processes[from].told.clone_from(&members);
        for (dialler, acceptor) in links.iter() {
            if *dialler == from {
                processes[*acceptor].directory.hear_members(members.clone());
            }
            if *acceptor == from {
                processes[*dialler].directory.hear_members(members.clone());
            }
        }
    }
}

/// Returns how many of 40 entries and 20 keepers can reach a member after all were restarted. The
/// seeds have lost their disks and are no members any more; only the members know who they are.
fn reachable_after_restart(tells_changes: bool) -> usize {
    let members = group(1, 10..15);
    let mut processes: Vec<ModelProcess> = (0..60)
        .map(|number| ModelProcess {
            directory: KeeperDirectory::new(START, &format!("p{number}"), addresses(0..3)),
            own: (number >= 40).then(|| address(number - 40)),
            told: GroupMembers::default(),
        })
        .collect();
    for process in processes
        .iter_mut()
        .filter(|it| it.own.is_some_and(|own| members.addresses.contains(&own)))
    {
        process.directory.set_members(members.clone());
    }
    let mut links = BTreeSet::new();
    for _ in 0..8 {
        play_round(&mut processes, &mut links, tells_changes);
    }
    let reaches = |number: usize| {
        links.iter().any(|(from, to)| {
            let is_member = |it: usize| {
                processes[it]
                    .own
                    .is_some_and(|own| members.addresses.contains(&own))
            };
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

/// Guards against links to every keeper that come from the start, when keepers that are no members
/// have only heard of one another.
#[test]
fn a_cluster_that_starts_has_no_more_links_than_one_that_runs() {
    let seeds = addresses(0..3);
    let mut processes: Vec<ModelProcess> = (0..145)
        .map(|number| ModelProcess {
            directory: KeeperDirectory::new(START, &format!("p{number}"), seeds.clone()),
            own: (number >= 100).then(|| address(number - 100)),
            told: GroupMembers::default(),
        })
        .collect();
    let mut links = BTreeSet::new();
    for round in 0..8 {
        play_round(&mut processes, &mut links, true);
        if round == 3 {
            for seed in 0..3 {
                processes[100 + seed].directory.set_members(group(1, 0..3));
            }
        }
    }
    for entry in 0..100 {
        let count = links.iter().filter(|(from, _)| *from == entry).count();
        assert!(count <= 8, "entry {entry} has {count} links");
    }
}

#[test]
fn members_that_others_report_yield_to_those_of_a_known_leader() {
    let mut directory = directory(10);
    directory.hear_members(group(2, 20..25));
    assert_eq!(directory.members(), &group(1, 3..8));
    directory.set_leader_known(START, false);
    directory.hear_members(group(2, 20..25));
    assert_eq!(directory.members(), &group(2, 20..25));
}

/// Guards against keepers that tell each other of two memberships in turn, without end, while no
/// leader is known: each change of one makes it tell all others.
#[test]
fn the_news_of_a_changed_membership_comes_to_rest() {
    let count = 10;
    let mut keepers: Vec<KeeperDirectory> = (0..count)
        .map(|number| KeeperDirectory::new(START, &format!("k{number}"), addresses(0..3)))
        .collect();
    let mut queue = VecDeque::new();
    for (number, keeper) in keepers.iter_mut().enumerate() {
        let members = group(number as u64 % 2, 0..3 + number % 2);
        keeper.set_members(members.clone());
        queue.extend(
            (0..count)
                .filter(|it| *it != number)
                .map(|it| (it, members.clone())),
        );
    }
    let mut told = 0;
    while let Some((to, members)) = queue.pop_front() {
        told += 1;
        assert!(told <= 200, "the keepers tell each other without end");
        let known = keepers[to].members().clone();
        keepers[to].hear_members(members);
        if *keepers[to].members() != known {
            let members = keepers[to].members().clone();
            queue.extend(
                (0..count)
                    .filter(|it| *it != to)
                    .map(|it| (it, members.clone())),
            );
        }
    }
}

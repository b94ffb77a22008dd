//! Targets: life cycle, slots kept by many entries together, choice, weights and counts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use proptest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

use super::life::life_chart;
use super::*;
use crate::control::PriceClass;
use crate::plan::PoolRow;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_coordination::ident::RunId;
use bergamotlane_coordination::ledger::BudgetConfig;
use bergamotlane_coordination::ledger::BudgetKey;
use bergamotlane_coordination::ledger::SlotLedger;
use bergamotlane_coordination::ledger::SlotRequest;

fn announcement(name: &str, boot: u64, warm: bool) -> TargetAnnouncement {
    TargetAnnouncement {
        target: TargetName {
            service: "engine".to_owned(),
            name: name.to_owned(),
        },
        boot,
        address: "127.0.0.1:1".to_owned(),
        zone: "a".to_owned(),
        class: PriceClass::Steady,
        warm,
        leaving: false,
        version: 1,
        load: 0,
    }
}

#[test]
fn the_target_chart_is_complete() {
    assert_eq!(life_chart().start(), TargetLife::Cold);
}

#[test]
fn a_restarted_target_is_cold_again_even_if_it_says_otherwise_later() {
    let mut registry = TargetRegistry::new(ClockTime(0));
    let time = ClockTime(10_000);
    registry.announce(time, announcement("t", 1, true), 9_000);
    let (before, life) = registry.announce(time, announcement("t", 2, false), 10);
    assert_eq!((before, life), (Some(TargetLife::Warm), TargetLife::Cold));
}

#[test]
fn a_leaving_target_stays_leaving_until_it_restarts() {
    let mut registry = TargetRegistry::new(ClockTime(0));
    let time = ClockTime(10_000);
    let leaving = TargetAnnouncement {
        leaving: true,
        ..announcement("t", 1, true)
    };
    registry.announce(time, leaving, 9_000);
    let (_, life) = registry.announce(time, announcement("t", 1, true), 9_000);
    assert_eq!(life, TargetLife::Leaving);
    let (_, life) = registry.announce(time, announcement("t", 2, false), 0);
    assert_eq!(life, TargetLife::Cold);
}

#[test]
fn a_silent_target_is_gone_and_entries_hear_of_it() {
    let mut registry = TargetRegistry::new(ClockTime(0));
    registry.announce(ClockTime(0), announcement("t", 1, true), 0);
    let known = registry.revision();
    assert!(registry.expire(ClockTime(REGISTRY_EXPIRY_MS)).is_empty());
    assert_eq!(registry.expire(ClockTime(REGISTRY_EXPIRY_MS + 1)).len(), 1);
    let changed = registry.changed_since(known);
    assert_eq!(changed[0].life, TargetLife::Gone);
}

const SLOT_LEASE_MS: u64 = 1_500;
const LONGEST_MS: u64 = 4_000;
const BUDGET: u32 = 3;

/// One entry's side of the leases: the real cell, requests in progress, and its clock.
struct EntryModel {
    cell: Arc<TargetCounters>,
    asked: GrantTracker,
    running: Vec<(u64, SlotPermit)>,
    sequence: u64,
    cut_until: u64,
}

/// An answer on its way to an entry.
struct AnswerFlight {
    due: u64,
    entry: u64,
    sequence: u64,
    count: u32,
    until: ClockTime,
}

struct SlotHarness {
    random: StdRng,
    time: u64,
    terms: BudgetConfig,
    ledger: SlotLedger,
    key: BudgetKey,
    entries: BTreeMap<u64, EntryModel>,
    next_entry: u64,
    answers: Vec<AnswerFlight>,
    /// Ends of requests whose entry was lost; the target still works on them.
    orphans: Vec<u64>,
}

impl SlotHarness {
    fn new(seed: u64) -> Self {
        let terms = BudgetConfig {
            budget: BUDGET,
            longest_request_ms: LONGEST_MS,
        };
        let mut ledger = SlotLedger::new(SLOT_LEASE_MS);
        let key = ledger.open(ClockTime(0), terms, false);
        let mut harness = Self {
            random: StdRng::seed_from_u64(seed),
            time: 0,
            terms,
            ledger,
            key,
            entries: BTreeMap::new(),
            next_entry: 0,
            answers: Vec::new(),
            orphans: Vec::new(),
        };
        for _ in 0..9 {
            harness.add_entry();
        }
        harness
    }

    fn add_entry(&mut self) {
        self.next_entry += 1;
        let entry = EntryModel {
            cell: Arc::default(),
            asked: GrantTracker::default(),
            running: Vec::new(),
            sequence: 0,
            cut_until: 0,
        };
        self.entries.insert(self.next_entry, entry);
    }

    fn step(&mut self) {
        self.time += 10;
        let time = ClockTime(self.time);
        self.ledger.expire(time);
        self.orphans.retain(|end| *end > self.time);
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.answers)
            .into_iter()
            .partition(|it| it.due <= self.time);
        self.answers = later;
        for answer in due {
            if let Some(entry) = self.entries.get_mut(&answer.entry) {
                let count = entry.asked.answer(answer.sequence, answer.count);
                entry.cell.grant(count, answer.until, false);
            }
        }
        for id in self.entries.keys().copied().collect::<Vec<_>>() {
            self.work(id, time);
        }
        self.inject();
        let running: usize = self.entries.values().map(|it| it.running.len()).sum();
        let load = running + self.orphans.len();
        assert!(load <= BUDGET as usize, "{load} requests at {}", self.time);
    }

    fn work(&mut self, id: u64, time: ClockTime) {
        let random = &mut self.random;
        let entry = self.entries.get_mut(&id).unwrap();
        entry.running.retain(|(end, _)| *end > time.0);
        if random.random_ratio(1, 3)
            && let Some(guard) = entry.cell.try_take(time)
        {
            let end = time.0 + random.random_range(10..LONGEST_MS);
            entry.running.push((end, guard));
        }
        if !random.random_ratio(1, 8) {
            return;
        }
        let want = entry.cell.in_flight() + random.random_range(0..3);
        let held = entry.cell.lower(want);
        entry.sequence += 1;
        entry.asked.ask(entry.sequence, want);
        let lost = random.random_ratio(1, 10) || time.0 < entry.cut_until;
        if lost {
            return;
        }
        let request = SlotRequest {
            holder: RunId(id),
            sequence: entry.sequence,
            held,
            want,
        };
        if let Some(grant) = self.ledger.request(time, self.key, request)
            && !random.random_ratio(1, 10)
        {
            self.answers.push(AnswerFlight {
                due: time.0 + random.random_range(0..200),
                entry: id,
                sequence: entry.sequence,
                count: grant.count,
                // The entry counts the lease from when it asked.
                until: time + SLOT_LEASE_MS,
            });
        }
    }

    fn inject(&mut self) {
        let ids: Vec<u64> = self.entries.keys().copied().collect();
        let id = ids[self.random.random_range(0..ids.len())];
        if self.random.random_ratio(1, 400) {
            // The entry dies; the target may work on its requests for a while.
            let entry = self.entries.remove(&id).unwrap();
            self.orphans
                .extend(entry.running.iter().map(|(end, _)| *end));
            self.add_entry();
        } else if self.random.random_ratio(1, 300) {
            let until = self.time + self.random.random_range(100..6_000);
            self.entries.get_mut(&id).unwrap().cut_until = until;
        } else if self.random.random_ratio(1, 500) {
            // Another leader starts without memory of the grants.
            self.ledger = SlotLedger::new(SLOT_LEASE_MS);
            let now = ClockTime(self.time);
            self.key = self.ledger.open(now, self.terms, true);
        }
    }
}

#[test]
fn a_cold_target_never_gets_more_than_it_bears_from_nine_entries() {
    let mut taken = 0;
    for seed in 0..150 {
        let mut harness = SlotHarness::new(seed);
        for _ in 0..3_000 {
            harness.step();
        }
        taken += harness.entries.values().map(|it| it.sequence).sum::<u64>();
    }
    assert!(taken > 0);
}

fn target(identity: u64, granted: u32, local: bool, reclaimable: bool) -> ChoiceTarget {
    let cell = Arc::new(TargetCounters::default());
    cell.lower(granted);
    cell.grant(granted, ClockTime(u64::MAX), false);
    ChoiceTarget {
        identity,
        address: "127.0.0.1:1".into(),
        counters: cell,
        local,
        reclaimable,
        version: 5,
        others_load: 0,
        capacity: 16,
    }
}

fn chosen(chooser: &TargetChooser, request: &ChoiceRequest) -> Option<u64> {
    let affinity = AffinityTable::default();
    affinity.set(77, 3);
    let (key, _guard) = chooser.choose(ClockTime(0), request, &affinity)?;
    chooser.get(key).map(|it| it.identity)
}

#[rstest]
#[case::own_zone_first(ChoiceRequest::default(), Some(2))]
#[case::cached_prefix_beats_the_zone(ChoiceRequest { prefix: 77, ..ChoiceRequest::default() }, Some(3))]
#[case::rollouts_go_to_cheap_ones(ChoiceRequest { prefer_reclaimable: true, ..ChoiceRequest::default() }, Some(4))]
#[case::the_one_that_failed_is_avoided(ChoiceRequest { avoid: Some(2), ..ChoiceRequest::default() }, Some(1))]
#[case::none_is_new_enough(ChoiceRequest { least_version: 6, ..ChoiceRequest::default() }, None)]
fn the_choice_weighs_zone_prefix_class_and_version(
    #[case] request: ChoiceRequest,
    #[case] expected: Option<u64>,
) {
    let mut chooser = TargetChooser::default();
    chooser.insert(target(1, 4, false, false));
    chooser.insert(target(2, 4, true, false));
    chooser.insert(target(3, 4, false, false));
    chooser.insert(target(4, 4, false, true));
    assert_eq!(chosen(&chooser, &request), expected);
}

proptest! {
    #[test]
    fn a_free_slot_is_found_among_any_number_of_targets(
        count in 1_usize..200,
        free in 0_usize..200,
        spread in any::<u64>(),
    ) {
        let free = free % count;
        let mut chooser = TargetChooser::default();
        for place in 0..count {
            chooser.insert(target(place as u64, u32::from(place == free), true, false));
        }
        let request = ChoiceRequest { spread, ..ChoiceRequest::default() };
        prop_assert_eq!(chosen(&chooser, &request), Some(free as u64));
    }
}

#[test]
fn failures_eject_a_target_and_a_pause_brings_it_back() {
    let cell = TargetCounters::default();
    for _ in 0..3 {
        cell.report(ClockTime(100), false);
    }
    assert!(cell.is_ejected(ClockTime(100)));
    assert!(!cell.is_ejected(ClockTime(100 + 2_000)));
    // A probe that fails ejects at once; one that works clears the record.
    cell.report(ClockTime(3_000), false);
    assert!(cell.is_ejected(ClockTime(3_000)));
    cell.report(ClockTime(6_000), true);
    cell.report(ClockTime(6_000), false);
    assert!(!cell.is_ejected(ClockTime(6_000)));
}

#[test]
fn waves_keep_capacity_and_believe_only_what_engines_report() {
    let mut registry = TargetRegistry::new(ClockTime(0));
    for place in 0..9 {
        registry.announce(ClockTime(0), announcement(&format!("t{place}"), 1, true), 0);
    }
    let mut planner = WavePlanner::new(WaveConfig::default());
    let mut wave = |time: u64, registry: &TargetRegistry| -> BTreeSet<String> {
        let records = registry.records();
        let wave = planner.next_wave(ClockTime(time), "engine", 2, records);
        let names = wave.into_iter();
        names
            .map(|it| it.announcement.target.name.clone())
            .collect()
    };
    let first = wave(0, &registry);
    assert_eq!(first.len(), 4);
    assert!(wave(100, &registry).is_empty(), "the first wave is loading");
    // One engine reports the version; the others only confirmed the order.
    let done = first.first().unwrap().clone();
    let loaded = TargetAnnouncement {
        version: 2,
        ..announcement(&done, 1, true)
    };
    registry.announce(ClockTime(200), loaded, 0);
    assert_eq!(wave(200, &registry).len(), 1);
    let again = wave(5_100, &registry);
    assert!(!again.contains(&done));
    assert!(
        again.iter().any(|it| first.contains(it)),
        "a failed swap is ordered again"
    );
}

fn pool(zone: &str) -> PoolRow {
    PoolRow {
        service: "engine".to_owned(),
        zone: zone.to_owned(),
        steady_min: 1,
        steady_max: 10,
        reclaimable_max: 4,
        steady_price: 3,
        reclaimable_price: 1,
    }
}

fn aims(
    planner: &mut FleetPlanner,
    time: u64,
    demand: PoolDemand,
    pulled: &str,
) -> Vec<(String, PriceClass, u32)> {
    let pools = [pool("a"), pool("b"), pool("c")];
    let pools = pools.iter().map(|pool| (pool, pool.zone == pulled));
    let aims = planner.target_counts(ClockTime(time), demand, pools);
    aims.into_iter()
        .map(|(key, count)| (key.zone, key.class, count))
        .collect()
}

#[test]
fn lookups_go_to_steady_targets_with_room_for_a_lost_zone() {
    let mut planner = FleetPlanner::new(FleetConfig::default());
    let demand = PoolDemand {
        lookups: 66,
        rollouts: 0,
        target_slots: 16,
    };
    for (_, class, count) in aims(&mut planner, 0, demand, "") {
        // 66 requests need six targets of eleven used slots; two zones must carry them.
        assert_eq!(count, if class == PriceClass::Steady { 3 } else { 0 });
    }
}

#[test]
fn rollouts_go_to_cheap_targets_and_the_rest_to_steady_ones() {
    let mut planner = FleetPlanner::new(FleetConfig::default());
    let demand = PoolDemand {
        lookups: 0,
        rollouts: 11 * 16,
        target_slots: 16,
    };
    let aims = aims(&mut planner, 0, demand, "");
    let sum =
        |class: PriceClass| -> u32 { aims.iter().filter(|it| it.1 == class).map(|it| it.2).sum() };
    assert_eq!(sum(PriceClass::Reclaimable), 12);
    assert_eq!(sum(PriceClass::Steady), 6);
}

#[test]
fn a_pulled_zone_gets_no_targets_and_a_fall_waits() {
    let mut planner = FleetPlanner::new(FleetConfig::default());
    let busy = PoolDemand {
        lookups: 66,
        rollouts: 0,
        target_slots: 16,
    };
    aims(&mut planner, 0, busy, "");
    let idle = PoolDemand {
        target_slots: 16,
        ..PoolDemand::default()
    };
    let count = |aims: &[(String, PriceClass, u32)], zone: &str| {
        let aim = aims
            .iter()
            .find(|it| it.0 == zone && it.1 == PriceClass::Steady);
        aim.unwrap().2
    };
    let soon = aims(&mut planner, 1_000, idle, "b");
    assert_eq!((count(&soon, "a"), count(&soon, "b")), (3, 0));
    let later = aims(&mut planner, 61_001, idle, "b");
    assert_eq!(count(&later, "a"), 1);
}

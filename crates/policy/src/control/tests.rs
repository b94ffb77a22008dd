//! The control state: configuration, usage, claims and samples under resends and races.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bytes::Bytes;
use proptest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

use super::*;
use crate::plan::CustomerRow;
use crate::plan::KeyHash;
use crate::plan::KeyRole;
use crate::plan::KeyRow;
use crate::plan::PlanSheet;
use crate::plan::TrainerRow;
use crate::route::RouteTable;
use bergamotlane_coordination::ident::RunId;

const TRAINER: &str = "trainer";

fn key_row(id: &str) -> KeyRow {
    KeyRow {
        id: id.to_owned(),
        role: KeyRole::Caller,
        owner: "customer".to_owned(),
    }
}

fn plan(based_on: u64) -> PlanSheet {
    let customer = CustomerRow {
        weight: 1,
        rate_per_s: 10,
        concurrency: 10,
    };
    let trainer = TrainerRow {
        customer: "customer".to_owned(),
        service: "engine".to_owned(),
        scorer: None,
        group_size: 4,
        step_samples: 16,
        max_age: 2,
        suffices_percent: 75,
    };
    PlanSheet {
        based_on,
        zones: BTreeSet::from(["a".to_owned(), "b".to_owned()]),
        customers: BTreeMap::from([("customer".to_owned(), customer)]),
        keys: BTreeMap::from([(KeyHash::of(b"one"), key_row("one"))]),
        trainers: BTreeMap::from([(TRAINER.to_owned(), trainer)]),
        ..PlanSheet::default()
    }
}

struct StateHarness {
    state: ControlState,
    index: u64,
}

impl StateHarness {
    fn new() -> Self {
        let mut harness = Self {
            state: ControlState::default(),
            index: 0,
        };
        harness.apply(ControlCommand::MarkFormed {});
        let accepted = harness.change(1, ChangeBody::ReplacePlan { sheet: plan(0) });
        assert!(matches!(
            accepted,
            ChangeOutcome::Accepted { number: 1, .. }
        ));
        harness
    }

    fn apply(&mut self, command: ControlCommand) -> ControlOutcome {
        self.index += 1;
        self.state.apply(self.index, command)
    }

    fn change(&mut self, number: u64, body: ChangeBody) -> ChangeOutcome {
        let digest = KeyHash::of(format!("{body:?}").as_bytes());
        let change = ConfigChange {
            number,
            digest,
            body,
        };
        match self.apply(ControlCommand::Change { change }) {
            ControlOutcome::Change { outcome } => outcome,
            other => panic!("{other:?}"),
        }
    }

    fn rollout(&mut self, command: RolloutCommand) -> RolloutOutcome {
        let trainer = TRAINER.to_owned();
        match self.apply(ControlCommand::Rollout { trainer, command }) {
            ControlOutcome::Rollout { outcome } => outcome,
            other => panic!("{other:?}"),
        }
    }

    fn claim(&mut self, command: ClaimCommand) -> ClaimOutcome {
        match self.apply(ControlCommand::Claim { command }) {
            ControlOutcome::Claim { outcome } => outcome,
            other => panic!("{other:?}"),
        }
    }

    fn usage(&mut self, command: UsageCommand) {
        self.apply(ControlCommand::Usage { command });
    }
}

fn pull(zone: &str) -> ChangeBody {
    let zone = zone.to_owned();
    ChangeBody::PullZone { zone }
}

fn withdraw(id: &str) -> ChangeBody {
    let id = id.to_owned();
    ChangeBody::WithdrawKey { id }
}

fn grant(id: &str) -> ChangeBody {
    ChangeBody::GrantKey {
        hash: KeyHash::of(id.as_bytes()),
        row: key_row(id),
    }
}

#[test]
fn operators_racing_under_one_number_get_one_change_and_a_conflict_that_names_both() {
    let mut harness = StateHarness::new();
    let first = harness.change(2, pull("a"));
    let second = harness.change(2, pull("b"));
    let expected = ChangeOutcome::Conflict {
        number: 2,
        theirs: "pull zone a".to_owned(),
        yours: "pull zone b".to_owned(),
    };
    assert_eq!(second, expected);
    harness.change(3, pull("b"));
    // A resend after a lost answer gets the first answer, also when more has happened.
    assert_eq!(harness.change(2, pull("a")), first);
    assert_eq!(harness.change(9, pull("a")), ChangeOutcome::Gap { next: 4 });
}

#[test]
fn a_sheet_revives_no_withdrawn_key_and_no_pulled_zone() {
    let mut harness = StateHarness::new();
    harness.change(2, withdraw("one"));
    harness.change(3, pull("a"));
    harness.change(4, grant("two"));
    // The sheet was exported before all that, and still lists the key and the zone.
    let sheet = ChangeBody::ReplacePlan { sheet: plan(1) };
    assert!(matches!(
        harness.change(5, sheet),
        ChangeOutcome::Accepted { .. }
    ));
    let config = &harness.state.config;
    let live: Vec<&str> = config.live_keys().map(|(_, row)| row.id.as_str()).collect();
    assert_eq!(live, ["two"]);
    assert!(config.pulled.contains("a"));
    let table = RouteTable::build(config);
    assert_eq!(table.owner(&KeyHash::of(b"one")), None);
    // The planner's next sheet, from an older export than the plan, is refused.
    let sheet = ChangeBody::ReplacePlan { sheet: plan(1) };
    assert!(matches!(
        harness.change(6, sheet),
        ChangeOutcome::Refused { .. }
    ));
    // A withdrawn key can't be granted again under another name.
    let row = key_row("again");
    let hash = KeyHash::of(b"one");
    let again = harness.change(6, ChangeBody::GrantKey { hash, row });
    assert!(matches!(again, ChangeOutcome::Refused { .. }));
}

fn delta(requests: u64) -> Vec<UsageDelta> {
    let key = UsageKey {
        customer: "customer".to_owned(),
        service: "engine".to_owned(),
    };
    let figure = UsageFigure {
        requests,
        ..UsageFigure::default()
    };
    vec![UsageDelta { key, figure }]
}

proptest! {
    /// Increments that are resent, doubled, late or out of order count once, closed
    /// windows never change, and nothing is lost or counted twice over all windows.
    #[test]
    fn usage_counts_once_and_closed_windows_stay(
        events in prop::collection::vec((0_u64..3, 0_u64..6), 1..150),
    ) {
        let mut harness = StateHarness::new();
        harness.usage(UsageCommand::Close { window: 0, next_start_ms: 1 });
        let mut meters: Vec<(u64, u64)> = vec![(1, 0); 3];
        let mut closed: BTreeMap<u64, ClosedWindow> = BTreeMap::new();
        let mut expected = 0;
        for (run, event) in events {
            let (sequence, _) = meters[run as usize];
            let merge = |sequence: u64| UsageCommand::Merge {
                run: RunId(run),
                sequence,
                deltas: delta(sequence),
            };
            match event {
                // Shipped and merged; the acknowledgement moves the entry on.
                0 | 1 => {
                    harness.usage(merge(sequence));
                    expected += sequence;
                    meters[run as usize].0 += 1;
                }
                // Resent after a lost acknowledgement.
                2 => harness.usage(merge(sequence.saturating_sub(1))),
                // Out of order.
                3 => harness.usage(merge(sequence + 1)),
                4 => {
                    let window = harness.state.usage.open_window;
                    let next_start_ms = harness.index;
                    harness.usage(UsageCommand::Close { window, next_start_ms });
                    // A second close by a leader that doesn't know of the first.
                    harness.usage(UsageCommand::Close { window, next_start_ms: 99 });
                    closed.insert(window, harness.state.usage.closed[&window].clone());
                }
                _ => {
                    let next = harness.state.usage.next_unreported().map(|it| it.0);
                    if let Some(window) = next {
                        harness.usage(UsageCommand::Reported { window });
                    }
                }
            }
            for (window, figures) in &closed {
                let now = &harness.state.usage.closed[window];
                prop_assert_eq!(&now.figures, &figures.figures);
                prop_assert_eq!(now.end_ms, figures.end_ms);
            }
        }
        let book = &harness.state.usage;
        let all = book.closed.values().flat_map(|it| it.figures.values());
        let sum: u64 = all.chain(book.open.values()).map(|it| it.requests).sum();
        prop_assert_eq!(sum, expected);
    }
}

fn claim_id() -> ClaimId {
    ClaimId {
        customer: "customer".to_owned(),
        service: "ledger".to_owned(),
        request: KeyHash::of(b"request"),
    }
}

fn take(run: u64, attempt: u64, digest: &[u8]) -> ClaimCommand {
    ClaimCommand::Take {
        id: claim_id(),
        run: RunId(run),
        attempt,
        digest: KeyHash::of(digest),
    }
}

fn answered() -> ClaimState {
    ClaimState::Answered {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: Some(Bytes::from_static(b"done")),
    }
}

#[rstest]
#[case::the_same_command_again(&[], take(1, 1, b"x"), ClaimOutcome::Granted {})]
#[case::another_attempt_of_the_same_entry(&[], take(1, 2, b"x"), ClaimOutcome::MayHaveRun {})]
#[case::a_resend_through_another_entry(&[], take(2, 1, b"x"), ClaimOutcome::MayHaveRun {})]
#[case::another_request_under_the_id(&[], take(2, 1, b"y"), ClaimOutcome::OtherRequest {})]
#[case::a_resend_after_the_answer(
    &[ClaimCommand::Finish { id: claim_id(), run: RunId(1), state: answered() }],
    take(2, 1, b"x"),
    ClaimOutcome::Kept { state: answered() }
)]
#[case::given_back_since_nothing_was_sent(
    &[ClaimCommand::Release { id: claim_id(), run: RunId(1) }],
    take(2, 1, b"x"),
    ClaimOutcome::Granted {}
)]
#[case::only_the_holder_may_give_back(
    &[ClaimCommand::Release { id: claim_id(), run: RunId(2) }],
    take(2, 1, b"x"),
    ClaimOutcome::MayHaveRun {}
)]
#[case::an_answer_can_not_be_given_back(
    &[
        ClaimCommand::Finish { id: claim_id(), run: RunId(1), state: answered() },
        ClaimCommand::Release { id: claim_id(), run: RunId(1) },
    ],
    take(1, 1, b"x"),
    ClaimOutcome::Kept { state: answered() }
)]
fn a_claimed_call_is_granted_once(
    #[case] between: &[ClaimCommand],
    #[case] second: ClaimCommand,
    #[case] expected: ClaimOutcome,
) {
    let mut harness = StateHarness::new();
    assert_eq!(harness.claim(take(1, 1, b"x")), ClaimOutcome::Granted {});
    for command in between {
        harness.claim(command.clone());
    }
    assert_eq!(harness.claim(second), expected);
}

fn group(id: u64) -> NewGroup {
    NewGroup {
        id: format!("g{id}"),
        prompt: Bytes::from(format!("prompt {id}")),
        count: 4,
    }
}

/// An attempt as an entry made it: the version that it really ran on.
#[derive(Debug, Clone)]
struct MadeAttempt {
    sample: SampleKey,
    record: AttemptRecord,
}

/// Drives a trainer's book as entries and a trainer would, with every answer lost or
/// doubled at will, and checks each delivery.
struct RolloutHarness {
    random: StdRng,
    harness: StateHarness,
    version: u64,
    next_group: u64,
    next_attempt: u64,
    made: Vec<MadeAttempt>,
    /// Cursor, revision and content of the last delivery.
    held: Option<BatchRecord>,
    used: BTreeMap<SampleKey, AttemptId>,
}

impl RolloutHarness {
    fn new(seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            harness: StateHarness::new(),
            version: 1,
            next_group: 0,
            next_attempt: 0,
            made: Vec::new(),
            held: None,
            used: BTreeMap::new(),
        }
    }

    fn book(&self) -> Option<&TrainerState> {
        self.harness.state.trainers.get(TRAINER)
    }

    fn step(&mut self) {
        match self.random.random_range(0..60) {
            0 => {
                self.version += 1;
                let version = self.version;
                self.harness.rollout(RolloutCommand::Version { version });
            }
            1..4 => self.submit(),
            4..24 => self.run_attempt(),
            24..44 => self.finish_attempt(),
            44..54 => self.fetch(),
            54..58 => self.acknowledge(),
            _ => self.lose(),
        }
    }

    fn submit(&mut self) {
        // Some are submitted again after a lost answer, also when they are long done.
        let again = self.random.random_ratio(1, 3) && self.next_group > 0;
        let id = match again {
            true => self.random.random_range(1..=self.next_group),
            false => {
                self.next_group += 1;
                self.next_group
            }
        };
        let groups = vec![group(id)];
        let outcome = self.harness.rollout(RolloutCommand::Submit { groups });
        assert_eq!(outcome, RolloutOutcome::Done {});
    }

    fn run_attempt(&mut self) {
        let Some(book) = self.book() else {
            return;
        };
        let samples: Vec<SampleKey> = book.samples.keys().cloned().collect();
        if samples.is_empty() {
            return;
        }
        let sample = samples[self.random.random_range(0..samples.len())].clone();
        self.next_attempt += 1;
        let behind = self.random.random_range(0..4);
        let record = AttemptRecord {
            attempt: AttemptId {
                run: RunId(self.random.random_range(1..4)),
                number: self.next_attempt,
            },
            holders: vec![RunId(1), RunId(2)],
            oldest_version: self.version.saturating_sub(behind),
            tokens: 3,
        };
        self.made.push(MadeAttempt { sample, record });
    }

    /// Records an attempt of any age, perhaps one that was recorded before.
    fn finish_attempt(&mut self) {
        if self.made.is_empty() {
            return;
        }
        let oldest = match self.random.random_ratio(1, 5) {
            true => 0,
            false => self.made.len().saturating_sub(12),
        };
        let place = self.random.random_range(oldest..self.made.len());
        let made = self.made[place].clone();
        let command = RolloutCommand::Finish {
            sample: made.sample,
            record: made.record,
        };
        self.harness.rollout(command);
    }

    fn fetch(&mut self) {
        let cursor = self.book().map_or(1, |book| book.acknowledged + 1);
        let version = self.version;
        let before = self.held.clone().filter(|it| it.cursor == cursor);
        let command = RolloutCommand::Fetch { cursor, version };
        let outcome = self.harness.rollout(command.clone());
        let RolloutOutcome::Fetched {
            fetch: FetchOutcome::Ready { batch },
        } = outcome
        else {
            return;
        };
        for (sample, record) in &batch.samples {
            let age = self.version - record.oldest_version;
            assert!(age <= 2, "{sample:?} is {age} versions old");
            assert!(!self.used.contains_key(sample), "{sample:?} comes twice");
            let made = self
                .made
                .iter()
                .find(|it| it.record.attempt == record.attempt);
            assert_eq!(made.map(|it| &it.record), Some(record), "not what was made");
        }
        if let Some(before) = before {
            let same = before.revision == batch.revision;
            assert_eq!(
                same,
                before.samples == batch.samples,
                "content changed under a revision"
            );
        }
        // Asked twice at once, the trainer gets the same batch.
        let again = self.harness.rollout(command);
        let fetch = FetchOutcome::Ready {
            batch: batch.clone(),
        };
        assert_eq!(again, RolloutOutcome::Fetched { fetch });
        self.held = Some(batch);
    }

    fn acknowledge(&mut self) {
        let Some(held) = self.held.clone() else {
            return;
        };
        let command = RolloutCommand::Acknowledge {
            cursor: held.cursor,
            revision: held.revision,
        };
        let settled = self
            .book()
            .is_some_and(|book| book.acknowledged >= held.cursor);
        let outcome = self.harness.rollout(command);
        match outcome {
            RolloutOutcome::Acknowledged { samples, .. } if !settled => {
                assert_eq!(samples as usize, held.samples.len());
                for (sample, record) in held.samples {
                    let first = self.used.insert(sample.clone(), record.attempt);
                    assert_eq!(first, None, "{sample:?} was used twice");
                }
            }
            RolloutOutcome::Acknowledged { samples, .. } => assert_eq!(samples, 0),
            RolloutOutcome::Revised { .. } => self.held = None,
            other => panic!("{other:?}"),
        }
    }

    /// Both holders of a sample are gone.
    fn lose(&mut self) {
        let kept = self.book().and_then(|book| {
            let mut samples = book.samples.iter();
            samples.find_map(|(key, it)| Some((key.clone(), it.attempt.as_ref()?.attempt)))
        });
        if let Some((sample, attempt)) = kept {
            self.harness
                .rollout(RolloutCommand::Lose { sample, attempt });
        }
    }

    /// Ends all faults and works everything off.
    fn finish(&mut self) -> usize {
        for _ in 0..1_000 {
            let open: Vec<SampleKey> = self.book().map_or_else(Vec::new, |book| {
                book.open_samples()
                    .into_iter()
                    .map(|it| it.0.clone())
                    .collect()
            });
            for sample in open {
                self.next_attempt += 1;
                let record = AttemptRecord {
                    attempt: AttemptId {
                        run: RunId(9),
                        number: self.next_attempt,
                    },
                    holders: vec![RunId(9)],
                    oldest_version: self.version,
                    tokens: 3,
                };
                self.made.push(MadeAttempt {
                    sample: sample.clone(),
                    record: record.clone(),
                });
                self.harness
                    .rollout(RolloutCommand::Finish { sample, record });
            }
            self.fetch();
            self.acknowledge();
            if self.book().is_none_or(|book| book.samples.is_empty()) {
                break;
            }
        }
        self.used.len()
    }
}

#[test]
fn every_sample_is_delivered_once_fresh_and_as_made() {
    let mut used_under_way = 0;
    for seed in 0..400 {
        let mut harness = RolloutHarness::new(seed);
        for _ in 0..600 {
            harness.step();
        }
        used_under_way += harness.used.len();
        let delivered = harness.finish();
        assert_eq!(
            delivered as u64,
            harness.next_group * 4,
            "seed {seed}: none is lost"
        );
        let usage = &harness.harness.state.usage;
        let charged: u64 = usage.open.values().map(|it| it.samples).sum();
        assert_eq!(charged, delivered as u64, "seed {seed}: charged once");
    }
    assert!(
        used_under_way > 4_000,
        "{used_under_way} used under way are too few"
    );
}

#[test]
fn a_group_id_with_other_content_is_a_conflict() {
    let mut harness = StateHarness::new();
    harness.rollout(RolloutCommand::Submit {
        groups: vec![group(1)],
    });
    let other = NewGroup {
        prompt: Bytes::from_static(b"other"),
        ..group(1)
    };
    let outcome = harness.rollout(RolloutCommand::Submit {
        groups: vec![group(2), other],
    });
    assert_eq!(
        outcome,
        RolloutOutcome::GroupConflict {
            group: "g1".to_owned()
        }
    );
    // Nothing of a refused submission is taken.
    assert_eq!(harness.state.trainers[TRAINER].samples.len(), 4);
}

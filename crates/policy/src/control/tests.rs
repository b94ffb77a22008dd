//! The control state under resent, duplicated and concurrent commands: configuration,
//! usage, claims and samples.

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
fn of_two_changes_with_one_number_the_second_gets_a_conflict_that_names_both() {
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
    // A change resent after a lost answer gets the original answer, even after later changes.
    assert_eq!(harness.change(2, pull("a")), first);
    assert_eq!(harness.change(9, pull("a")), ChangeOutcome::Gap { next: 4 });
}

#[test]
fn a_sheet_revives_no_withdrawn_key_and_no_pulled_zone() {
    let mut harness = StateHarness::new();
    harness.change(2, withdraw("one"));
    harness.change(3, pull("a"));
    harness.change(4, grant("two"));
    // The sheet was exported before these changes, and still lists the key and the zone.
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
    // A second sheet is refused, since its export is older than the current plan.
    let sheet = ChangeBody::ReplacePlan { sheet: plan(1) };
    assert!(matches!(
        harness.change(6, sheet),
        ChangeOutcome::Refused { .. }
    ));
    // A withdrawn key can't be granted again under another ID.
    let row = key_row("again");
    let hash = KeyHash::of(b"one");
    let regrant = harness.change(6, ChangeBody::GrantKey { hash, row });
    assert!(matches!(regrant, ChangeOutcome::Refused { .. }));
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
    /// Guards against usage that is lost or charged twice when increments are resent,
    /// duplicated or out of order, and against changes to windows that are closed.
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
                // Sent and merged; the entry receives the acknowledgement.
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
                    // A second close, by a leader that doesn't know of the first.
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
        let usage = &harness.state.usage;
        let closed = usage.closed.values().flat_map(|it| it.figures.values());
        let sum: u64 = closed.chain(usage.open.values()).map(|it| it.requests).sum();
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
#[case::the_same_command_resent(&[], take(1, 1, b"x"), ClaimOutcome::Granted {})]
#[case::another_attempt_of_the_same_entry(&[], take(1, 2, b"x"), ClaimOutcome::MayHaveRun {})]
#[case::a_resend_through_another_entry(&[], take(2, 1, b"x"), ClaimOutcome::MayHaveRun {})]
#[case::another_request_under_the_id(&[], take(2, 1, b"y"), ClaimOutcome::OtherRequest {})]
#[case::a_resend_after_the_answer(
    &[ClaimCommand::Finish { id: claim_id(), run: RunId(1), state: answered() }],
    take(2, 1, b"x"),
    ClaimOutcome::Kept { state: answered() }
)]
#[case::released_because_nothing_was_sent(
    &[ClaimCommand::Release { id: claim_id(), run: RunId(1) }],
    take(2, 1, b"x"),
    ClaimOutcome::Granted {}
)]
#[case::only_the_holder_may_release(
    &[ClaimCommand::Release { id: claim_id(), run: RunId(2) }],
    take(2, 1, b"x"),
    ClaimOutcome::MayHaveRun {}
)]
#[case::an_answered_claim_cannot_be_released(
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

/// An attempt that an entry has finished, with which deliveries are compared.
#[derive(Debug, Clone)]
struct FinishedAttempt {
    sample: SampleKey,
    record: AttemptRecord,
}

/// Simulates entries and a trainer whose commands are randomly repeated or delayed, and
/// checks every delivered batch.
struct RolloutHarness {
    random: StdRng,
    harness: StateHarness,
    version: u64,
    next_group: u64,
    next_attempt: u64,
    finished: Vec<FinishedAttempt>,
    /// The batch that the trainer fetched last.
    fetched: Option<BatchRecord>,
    /// Samples that the trainer acknowledged and used.
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
            finished: Vec::new(),
            fetched: None,
            used: BTreeMap::new(),
        }
    }

    fn trainer(&self) -> Option<&TrainerState> {
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
            24..44 => self.record_attempt(),
            44..54 => self.fetch(),
            54..58 => self.acknowledge(),
            _ => self.lose(),
        }
    }

    fn submit(&mut self) {
        // Some groups are resubmitted after a lost answer, even long after they completed.
        let resubmit = self.random.random_ratio(1, 3) && self.next_group > 0;
        let id = match resubmit {
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
        let Some(trainer) = self.trainer() else {
            return;
        };
        let samples: Vec<SampleKey> = trainer.samples.keys().cloned().collect();
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
        self.finished.push(FinishedAttempt { sample, record });
    }

    /// Records a finished attempt, which may be old or already recorded.
    fn record_attempt(&mut self) {
        if self.finished.is_empty() {
            return;
        }
        let oldest = match self.random.random_ratio(1, 5) {
            true => 0,
            false => self.finished.len().saturating_sub(12),
        };
        let index = self.random.random_range(oldest..self.finished.len());
        let attempt = self.finished[index].clone();
        let command = RolloutCommand::Finish {
            sample: attempt.sample,
            record: attempt.record,
        };
        self.harness.rollout(command);
    }

    fn fetch(&mut self) {
        let cursor = self.trainer().map_or(1, |trainer| trainer.acknowledged + 1);
        let version = self.version;
        let before = self.fetched.clone().filter(|it| it.cursor == cursor);
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
            assert!(
                !self.used.contains_key(sample),
                "{sample:?} is delivered again"
            );
            let finished = self
                .finished
                .iter()
                .find(|it| it.record.attempt == record.attempt);
            assert_eq!(
                finished.map(|it| &it.record),
                Some(record),
                "the delivered record differs from the finished attempt"
            );
        }
        if let Some(before) = before {
            let same = before.revision == batch.revision;
            assert_eq!(
                same,
                before.samples == batch.samples,
                "content and revision must change together"
            );
        }
        // A repeated fetch returns the same batch.
        let repeated = self.harness.rollout(command);
        let fetch = FetchOutcome::Ready {
            batch: batch.clone(),
        };
        assert_eq!(repeated, RolloutOutcome::Fetched { fetch });
        self.fetched = Some(batch);
    }

    fn acknowledge(&mut self) {
        let Some(fetched) = self.fetched.clone() else {
            return;
        };
        let command = RolloutCommand::Acknowledge {
            cursor: fetched.cursor,
            revision: fetched.revision,
        };
        let repeated = self
            .trainer()
            .is_some_and(|trainer| trainer.acknowledged >= fetched.cursor);
        let outcome = self.harness.rollout(command);
        match outcome {
            RolloutOutcome::Acknowledged { samples, .. } if !repeated => {
                assert_eq!(samples as usize, fetched.samples.len());
                for (sample, record) in fetched.samples {
                    let first = self.used.insert(sample.clone(), record.attempt);
                    assert_eq!(first, None, "{sample:?} was used twice");
                }
            }
            RolloutOutcome::Acknowledged { samples, .. } => assert_eq!(samples, 0),
            RolloutOutcome::Revised { .. } => self.fetched = None,
            other => panic!("{other:?}"),
        }
    }

    /// Reports the content of a finished attempt as lost, as after the loss of both holders.
    fn lose(&mut self) {
        let kept = self.trainer().and_then(|trainer| {
            let mut samples = trainer.samples.iter();
            samples.find_map(|(key, it)| Some((key.clone(), it.attempt.as_ref()?.attempt)))
        });
        if let Some((sample, attempt)) = kept {
            self.harness
                .rollout(RolloutCommand::Lose { sample, attempt });
        }
    }

    /// Runs and delivers all remaining samples without further faults, and returns the
    /// number of samples used.
    fn finish(&mut self) -> usize {
        for _ in 0..1_000 {
            let open: Vec<SampleKey> = self.trainer().map_or_else(Vec::new, |trainer| {
                trainer
                    .open_samples()
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
                self.finished.push(FinishedAttempt {
                    sample: sample.clone(),
                    record: record.clone(),
                });
                self.harness
                    .rollout(RolloutCommand::Finish { sample, record });
            }
            self.fetch();
            self.acknowledge();
            let trainer = self.trainer();
            if trainer.is_none_or(|trainer| trainer.samples.is_empty()) {
                break;
            }
        }
        self.used.len()
    }
}

/// Guards against samples that are lost, used twice, outdated or mixed up between attempts
/// when commands are repeated, attempts get lost and the trainer's version rises.
#[test]
fn every_sample_is_delivered_once_unchanged_and_not_outdated() {
    let mut used_before_finish = 0;
    for seed in 0..400 {
        let mut harness = RolloutHarness::new(seed);
        for _ in 0..600 {
            harness.step();
        }
        used_before_finish += harness.used.len();
        let delivered = harness.finish();
        assert_eq!(
            delivered as u64,
            harness.next_group * 4,
            "seed {seed}: samples were lost"
        );
        let usage = &harness.harness.state.usage;
        let charged: u64 = usage.open.values().map(|it| it.samples).sum();
        assert_eq!(
            charged, delivered as u64,
            "seed {seed}: samples charged and delivered differ"
        );
    }
    assert!(
        used_before_finish > 4_000,
        "only {used_before_finish} samples were used while faults occurred"
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
    // A rejected submission has no effect, not even for its valid groups.
    assert_eq!(harness.state.trainers[TRAINER].samples.len(), 4);
}

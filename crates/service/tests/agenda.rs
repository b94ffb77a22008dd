//! Tests what a leader's scheduler holds: the same, whatever the leader has lived through.

use std::collections::BTreeMap;

use bytes::Bytes;
use proptest::prelude::*;

use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_service::agenda::Agenda;
use bergamotlane_service::agenda::AgendaChange;
use bergamotlane_service::agenda::AgendaScope;
use bergamotlane_service::ages::JobAges;
use bergamotlane_service::jobs::ItemSpec;
use bergamotlane_service::jobs::JobSubmission;
use bergamotlane_service::order::ItemRank;
use bergamotlane_service::plan::RouteIndex;
use bergamotlane_service::plan::RouteKind;
use bergamotlane_service::plan::RouteRule;
use bergamotlane_service::plan::RoutingPlan;
use bergamotlane_service::plan::ServiceShare;
use bergamotlane_service::schedule::ItemScheduler;
use bergamotlane_service::state::ServiceState;
use bergamotlane_service::state::StateCommand;
use bergamotlane_service::work::EngineSlot;
use bergamotlane_service::work::JobConstraints;
use bergamotlane_service::work::PartialText;
use bergamotlane_service::work::RunEnd;
use bergamotlane_service::work::RunKey;

const START: ClockTime = ClockTime(50_000);

/// Number of items in a job.
const ITEMS: u32 = 3;

/// Event in the life of a group of keepers.
#[derive(Debug, Clone)]
enum Step {
    /// A plan with routes to these services and with these terms comes into force; a job without one
    /// has no route.
    Plan(Vec<Option<&'static str>>, Terms),
    Submit(u8),
    /// An engine with this many free slots begins to run items.
    Run(u32),
    /// All runs in progress end.
    Complete,
    /// The caller ends a job.
    End(u8),
    Forget(u8),
    Elect,
}

/// What a plan sets for the routes of all jobs.
#[derive(Debug, Clone, Copy, Default)]
struct Terms {
    single_version: bool,
    /// Whether the time to live, the due time and the number of attempts are the longer ones.
    is_long: bool,
    /// Whether the prefixes of the routes are longer than the paths of the jobs.
    is_narrow: bool,
}

fn terms() -> impl Strategy<Value = Terms> {
    let flags = (any::<bool>(), any::<bool>(), prop::bool::weighted(0.2));
    flags.prop_map(|(single_version, is_long, is_narrow)| Terms {
        single_version,
        is_long,
        is_narrow,
    })
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let service = prop::sample::select(vec![None, Some("llm"), Some("other")]);
    let step = prop_oneof![
        3 => (prop::collection::vec(service, 3), terms())
            .prop_map(|(routes, terms)| Step::Plan(routes, terms)),
        3 => (0_u8..3).prop_map(Step::Submit),
        2 => (1_u32..4).prop_map(Step::Run),
        2 => Just(Step::Complete),
        1 => (0_u8..3).prop_map(Step::End),
        1 => (0_u8..3).prop_map(Step::Forget),
        2 => Just(Step::Elect),
    ];
    prop::collection::vec(step, 1..24)
}

fn route(job: usize, service: &str, terms: Terms) -> RouteRule {
    let path_prefix = match terms.is_narrow {
        true => format!("/{job}/more/"),
        false => format!("/{job}/"),
    };
    let (item_ttl_ms, result_deadline_ms, max_attempts) = match terms.is_long {
        true => (40_000, 7_500, 3),
        false => (30_000, 5_000, 2),
    };
    RouteRule {
        name: format!("r{job}"),
        host: "desk.example".to_owned(),
        path_prefix,
        kind: RouteKind::Rollout,
        time_limit_ms: 10_000,
        latency_target_ms: 400,
        rank: 1,
        shares: vec![ServiceShare {
            service: service.to_owned(),
            weight: 1,
        }],
        max_attempts,
        is_open: false,
        is_resumable: true,
        single_version: terms.single_version,
        item_ttl_ms,
        result_deadline_ms,
    }
}

fn submission(job: u8) -> JobSubmission {
    let item = |index: u32| ItemSpec {
        id: format!("{job}-{index}"),
        path: format!("/{job}/{index}"),
        headers: Vec::new(),
        body: Bytes::from_static(b"body").into(),
        tokens: 16,
        group: "g".to_owned(),
        expected_tokens: None,
        reward: None,
    };
    JobSubmission {
        id: format!("job-{job}"),
        customer: None,
        former_customer: None,
        host: "desk.example".to_owned(),
        path: format!("/{job}/"),
        model: "m".to_owned(),
        min_version: 1,
        desired: 1,
        items: (0..ITEMS).map(item).collect(),
    }
}

fn engine(capacity: u32) -> EngineSlot {
    EngineSlot {
        id: "e".to_owned(),
        service: "llm".to_owned(),
        capacity,
        models: BTreeMap::from([("m".to_owned(), 1)]),
        build: None,
        permits: None,
    }
}

fn complete_text() -> PartialText {
    PartialText {
        events: vec![Bytes::from_static(b"a")],
        last_id: Some(0),
        versions: vec![1],
        build: None,
        is_complete: true,
    }
}

/// Keeper that leads, with its state.
#[derive(Default)]
struct Leader {
    state: ServiceState,
    routes: Option<RouteIndex>,
    ages: JobAges,
    scheduler: ItemScheduler,
    /// Runs in progress, each with its job.
    runs: Vec<(RunKey, String)>,
}

impl Leader {
    fn update(&mut self, scope: &AgendaScope) {
        let agenda = Agenda {
            state: &self.state,
            routes: self.routes.as_ref(),
            ages: &self.ages,
            now: START,
        };
        for change in agenda.changes(scope, &self.scheduler) {
            match change {
                AgendaChange::Admit(job, constraints) => self.admit(&job, constraints),
                AgendaChange::Constrain(job, constraints) => {
                    self.scheduler.set_constraints(&job, constraints);
                }
                AgendaChange::Hold(job) => self.scheduler.hold(&job),
                AgendaChange::Drop(job) => {
                    let stopped = self.scheduler.drop_job(&job);
                    self.runs.retain(|(key, _)| !stopped.contains(key));
                }
            }
        }
    }

    fn admit(&mut self, job: &str, constraints: JobConstraints) {
        let record = self.state.jobs.get(job).unwrap();
        let open = (0..ITEMS).filter(|it| record.is_open(*it));
        let rank = |item| ItemRank {
            item,
            is_carried: false,
            expected_tokens: 0,
            max_tokens: None,
        };
        let groups = vec![0; ITEMS as usize];
        let open = open.map(rank).collect();
        self.scheduler.admit(job, constraints, groups, open);
    }

    fn apply(&mut self, index: u64, command: StateCommand) {
        if let StateCommand::Submit(submission) = &command {
            self.ages.record(START + index, &submission.id, 0);
        }
        if let StateCommand::ForgetJobs(jobs) = &command {
            for job in jobs {
                self.ages.remove(job);
            }
        }
        let scope = AgendaScope::of(&command);
        self.state.apply(index, command);
        let plan = self.state.plan.as_ref();
        self.routes = plan.map(|it| RouteIndex::new(it.plan.clone()));
        self.update(&scope);
    }

    /// Begins again, as a leader that has lost what it held.
    fn elect(&mut self) {
        self.scheduler.clear();
        self.runs.clear();
        self.update(&AgendaScope::All);
    }

    /// Returns the constraints and the number of open items of each job whose items may start.
    fn held(&self) -> BTreeMap<String, (JobConstraints, usize)> {
        let jobs = self.scheduler.jobs().filter(|(_, it)| !it.is_on_hold());
        jobs.map(|(id, it)| {
            let running = self.runs.iter().filter(|(_, job)| job == id).count();
            let open = self.scheduler.waiting_of(id) + running;
            (id.clone(), (it.clone(), open))
        })
        .collect()
    }

    fn run(&mut self, capacity: u32) {
        let starts = self.scheduler.assign(START, &[engine(capacity)]);
        let runs = starts.into_iter().map(|it| (it.run, it.job));
        self.runs.extend(runs);
    }

    /// Completes all runs in progress and returns the command that lists their results, if any.
    fn complete(&mut self) -> Option<StateCommand> {
        let results: Vec<_> = std::mem::take(&mut self.runs)
            .into_iter()
            .filter_map(|(run, _)| {
                let end = RunEnd::Completed(complete_text());
                self.scheduler.finish_run(START, run, end)
            })
            .collect();
        (!results.is_empty()).then_some(StateCommand::List(results))
    }
}

fn command_of(step: &Step, version: u64, leader: &mut Leader) -> Option<StateCommand> {
    match step {
        Step::Plan(services, terms) => {
            let routes = services.iter().enumerate();
            let routes = routes
                .filter_map(|(job, service)| Some(route(job, (*service)?, *terms)))
                .collect();
            let plan = RoutingPlan {
                version,
                routes,
                ..RoutingPlan::default()
            };
            Some(StateCommand::ReplacePlan {
                plan: Box::new(plan),
                document: Bytes::new(),
            })
        }
        Step::Submit(job) => Some(StateCommand::Submit(Box::new(submission(*job)))),
        Step::Run(capacity) => {
            leader.run(*capacity);
            None
        }
        Step::Complete => leader.complete(),
        Step::End(job) => Some(StateCommand::EndJob(format!("job-{job}"))),
        Step::Forget(job) => Some(StateCommand::ForgetJobs(vec![format!("job-{job}")])),
        Step::Elect => {
            leader.elect();
            None
        }
    }
}

/// Plays the steps with one leader, and compares it after each of them with one that begins then.
fn check(steps: &[Step]) -> Result<(), TestCaseError> {
    let mut leader = Leader::default();
    let mut log = Vec::new();
    for (step, version) in steps.iter().zip(1..) {
        if let Some(command) = command_of(step, version, &mut leader) {
            log.push(command.clone());
            leader.apply(log.len() as u64, command);
        }
        let mut fresh = Leader::default();
        for (command, index) in log.iter().zip(1..) {
            fresh.apply(index, command.clone());
        }
        fresh.elect();
        prop_assert_eq!(leader.held(), fresh.held(), "after {:?}", step);
    }
    Ok(())
}

/// Guards against a job that stays out of the scheduler for good, since its route was missing when
/// the leader began.
#[test]
fn a_job_whose_route_comes_back_is_in_the_scheduler_of_any_leader() {
    let routes = |first| Step::Plan(vec![first, None, None], Terms::default());
    let steps = [
        routes(Some("llm")),
        Step::Submit(0),
        routes(None),
        Step::Elect,
        routes(Some("llm")),
    ];
    check(&steps).unwrap();
}

/// Guards against runs that are lost because their route is removed meanwhile.
#[test]
fn a_run_whose_route_is_removed_is_listed() {
    let plan = |first| Step::Plan(vec![first, None, None], Terms::default());
    let mut leader = Leader::default();
    let steps = [plan(Some("llm")), Step::Submit(0), Step::Run(2), plan(None)];
    for (step, index) in steps.iter().zip(1..) {
        if let Some(command) = command_of(step, index, &mut leader) {
            leader.apply(index, command);
        }
    }
    leader.run(2);
    assert_eq!(leader.runs.len(), 2, "none began without a route");
    let Some(StateCommand::List(results)) = leader.complete() else {
        panic!("no results");
    };
    assert_eq!(results.len(), 2);
}

proptest! {
    /// Guards against what a leader derives once and not again when the state or the plan changes.
    #[test]
    fn a_leader_holds_what_one_that_starts_from_the_log_holds(steps in steps()) {
        check(&steps)?;
    }
}

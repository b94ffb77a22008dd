//! Tests which jobs may be forgotten, and which items are given up: by the state and the plan alone.

use std::collections::BTreeMap;

use bytes::Bytes;
use rstest::rstest;

use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_service::agenda::Agenda;
use bergamotlane_service::ages::JobAges;
use bergamotlane_service::jobs::ItemEnd;
use bergamotlane_service::jobs::ItemResult;
use bergamotlane_service::jobs::ItemSpec;
use bergamotlane_service::jobs::JobSubmission;
use bergamotlane_service::plan::RouteIndex;
use bergamotlane_service::plan::RouteKind;
use bergamotlane_service::plan::RouteRule;
use bergamotlane_service::plan::RoutingPlan;
use bergamotlane_service::plan::ServiceShare;
use bergamotlane_service::retention::OpenJobs;
use bergamotlane_service::retention::RetentionWatch;
use bergamotlane_service::retention::expired;
use bergamotlane_service::retention::open_jobs;
use bergamotlane_service::state::ServiceState;
use bergamotlane_service::state::StateCommand;

const START: ClockTime = ClockTime(50_000);
const RETENTION_MS: u64 = 10_000;

fn submission(id: &str) -> StateCommand {
    let item = ItemSpec {
        id: format!("{id}-0"),
        path: "/p/0".to_owned(),
        headers: Vec::new(),
        body: Bytes::from_static(b"body").into(),
        tokens: 16,
        group: "g".to_owned(),
        expected_tokens: None,
        reward: None,
    };
    StateCommand::Submit(Box::new(JobSubmission {
        id: id.to_owned(),
        customer: None,
        former_customer: None,
        host: "desk.example".to_owned(),
        path: "/p/".to_owned(),
        model: "m".to_owned(),
        min_version: 1,
        desired: 1,
        items: vec![item],
    }))
}

fn routes() -> RouteIndex {
    let share = ServiceShare {
        service: "llm".to_owned(),
        weight: 1,
    };
    RouteIndex::new(RoutingPlan {
        version: 1,
        routes: vec![RouteRule {
            name: "p".to_owned(),
            host: "desk.example".to_owned(),
            path_prefix: "/p/".to_owned(),
            kind: RouteKind::Rollout,
            time_limit_ms: 10_000,
            latency_target_ms: 400,
            rank: 1,
            shares: vec![share],
            max_attempts: 3,
            is_open: false,
            is_resumable: true,
            single_version: false,
            item_ttl_ms: 600_000,
            result_deadline_ms: 7_500,
        }],
        ..RoutingPlan::default()
    })
}

/// State with the open job `open` and the ended job `ended`, both submitted at [`START`].
struct Jobs {
    state: ServiceState,
    ages: JobAges,
}

impl Jobs {
    fn new() -> Self {
        let (mut state, mut ages) = (ServiceState::default(), JobAges::default());
        for (index, id) in (1..).zip(["open", "ended"]) {
            ages.record(START, id, 0);
            state.apply(index, submission(id));
        }
        state.apply(3, StateCommand::EndJob("ended".to_owned()));
        Self { state, ages }
    }

    fn agenda<'a>(&'a self, now: ClockTime, routes: Option<&'a RouteIndex>) -> Agenda<'a> {
        Agenda {
            state: &self.state,
            routes,
            ages: &self.ages,
            now,
        }
    }
}

/// Guards against an open job that is forgotten at any age: by the first search of a new leader, since the
/// plan in force has no route for it, or after its route has been gone for long.
#[test]
fn a_job_without_a_route_is_kept_and_its_items_are_given_up_after_the_retention() {
    let jobs = Jobs::new();
    let elected = START + 3 * RETENTION_MS;
    let mut watch = RetentionWatch::default();
    watch.observe(elected, &jobs.agenda(elected, None));
    let past = elected + RETENTION_MS + 1;
    for now in [elected, elected + RETENTION_MS, past] {
        let agenda = jobs.agenda(now, None);
        assert_eq!(expired(now, &agenda, RETENTION_MS), ["ended"]);
    }
    assert!(watch.stranded(past - 1, RETENTION_MS).is_empty());
    assert_eq!(watch.stranded(past, RETENTION_MS), ["open"]);
}

/// Guards against a time without a route that goes on counting after the route has come back.
#[test]
fn a_route_that_comes_back_begins_the_wait_anew() {
    let jobs = Jobs::new();
    let routes = routes();
    let mut watch = RetentionWatch::default();
    watch.observe(START, &jobs.agenda(START, None));
    let back = START + RETENTION_MS;
    watch.observe(back, &jobs.agenda(back, Some(&routes)));
    let gone = back + 5 * RETENTION_MS;
    watch.observe(gone, &jobs.agenda(gone, None));
    let now = gone + RETENTION_MS;
    let agenda = jobs.agenda(now, None);
    assert_eq!(expired(now, &agenda, RETENTION_MS), ["ended"]);
    assert!(watch.stranded(now, RETENTION_MS).is_empty());
}

/// Guards against a job that counts as over since nothing of it has to run any more: its caller has not
/// read the results yet.
#[rstest]
#[case::completed(ItemEnd::Completed, true)]
#[case::given_up(ItemEnd::Terminated, true)]
#[case::without_a_route(ItemEnd::Completed, false)]
fn an_open_job_whose_results_are_all_listed_is_kept(#[case] end: ItemEnd, #[case] has_route: bool) {
    let mut jobs = Jobs::new();
    let result = ItemResult {
        end,
        ..ItemResult::terminated(0)
    };
    let list = StateCommand::List(vec![("open".to_owned(), result)]);
    jobs.state.apply(4, list);
    let routes = has_route.then(routes);
    let now = START + 100 * RETENTION_MS;
    let agenda = jobs.agenda(now, routes.as_ref());
    assert_eq!(expired(now, &agenda, RETENTION_MS), ["ended"]);
    let mut watch = RetentionWatch::default();
    watch.observe(START, &agenda);
    assert!(watch.stranded(now, RETENTION_MS).is_empty());
}

/// Guards against a job with a route that is forgotten before its items are settled.
#[test]
fn an_open_job_with_a_route_is_kept() {
    let jobs = Jobs::new();
    let routes = routes();
    let now = START + 100 * RETENTION_MS;
    let agenda = jobs.agenda(now, Some(&routes));
    assert_eq!(expired(now, &agenda, RETENTION_MS), ["ended"]);
}

/// Guards against jobs that hold room for good without an operator seeing whose they are.
#[test]
fn open_jobs_are_counted_and_reported_once_they_are_old() {
    let jobs = Jobs::new();
    let routes = routes();
    let mut watch = RetentionWatch::default();
    let now = START + RETENTION_MS + 1;
    let agenda = jobs.agenda(now, Some(&routes));
    let open = OpenJobs {
        count: 1,
        oldest_ms: RETENTION_MS + 1,
    };
    assert_eq!(
        open_jobs(now, &agenda),
        BTreeMap::from([(String::new(), open)])
    );
    let young = jobs.agenda(now - 1, Some(&routes));
    assert!(
        watch
            .newly_overdue(now - 1, &young, RETENTION_MS)
            .is_empty()
    );
    assert_eq!(watch.newly_overdue(now, &agenda, RETENTION_MS), ["open"]);
    assert!(watch.newly_overdue(now, &agenda, RETENTION_MS).is_empty());
}

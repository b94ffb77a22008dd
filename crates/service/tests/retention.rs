//! Tests which jobs may be forgotten: by the state and the plan alone.

use bytes::Bytes;

use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_service::agenda::Agenda;
use bergamotlane_service::ages::JobAges;
use bergamotlane_service::jobs::ItemSpec;
use bergamotlane_service::jobs::JobSubmission;
use bergamotlane_service::plan::RouteIndex;
use bergamotlane_service::plan::RouteKind;
use bergamotlane_service::plan::RouteRule;
use bergamotlane_service::plan::RoutingPlan;
use bergamotlane_service::plan::ServiceShare;
use bergamotlane_service::retention::RetentionWatch;
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

/// Guards against an open job that is forgotten by the first search of a new leader, since the plan in
/// force has no route for it.
#[test]
fn a_job_without_a_route_is_kept_as_long_as_callers_may_read_it() {
    let jobs = Jobs::new();
    let elected = START + 3 * RETENTION_MS;
    let mut watch = RetentionWatch::default();
    watch.observe(elected, &jobs.agenda(elected, None));
    let expired = |watch: &RetentionWatch, now| {
        let agenda = jobs.agenda(now, None);
        watch.expired(now, &agenda, RETENTION_MS)
    };
    assert_eq!(expired(&watch, elected), ["ended"]);
    assert_eq!(expired(&watch, elected + RETENTION_MS), ["ended"]);
    let past = elected + RETENTION_MS + 1;
    assert_eq!(expired(&watch, past), ["ended", "open"]);
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
    assert_eq!(watch.expired(now, &agenda, RETENTION_MS), ["ended"]);
}

/// Guards against a job with a route that is forgotten before its items are settled.
#[test]
fn an_open_job_with_a_route_is_kept() {
    let jobs = Jobs::new();
    let routes = routes();
    let now = START + 100 * RETENTION_MS;
    let mut watch = RetentionWatch::default();
    watch.observe(START, &jobs.agenda(START, Some(&routes)));
    let agenda = jobs.agenda(now, Some(&routes));
    assert_eq!(watch.expired(now, &agenda, RETENTION_MS), ["ended"]);
}

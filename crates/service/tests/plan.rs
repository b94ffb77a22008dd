//! Tests routing plans: validation findings with their paths in the document, longest-prefix
//! routing, traffic splits and API keys.

use rstest::rstest;
use serde::Deserialize;
use serde::Serialize;

use bergamotlane_service::plan::CustomerSpec;
use bergamotlane_service::plan::KeyDigest;
use bergamotlane_service::plan::LookupFault;
use bergamotlane_service::plan::RequestLimits;
use bergamotlane_service::plan::RouteIndex;
use bergamotlane_service::plan::RouteKind;
use bergamotlane_service::plan::RouteRule;
use bergamotlane_service::plan::RoutingPlan;
use bergamotlane_service::plan::ServiceShare;
use bergamotlane_service::plan::ServiceSpec;
use bergamotlane_wire::codec;

fn route(path_prefix: &str, shares: &[(&str, u32)]) -> RouteRule {
    let share = |(service, weight): &(&str, u32)| ServiceShare {
        service: (*service).to_owned(),
        weight: *weight,
    };
    RouteRule {
        name: path_prefix.to_owned(),
        host: "desk.example".to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind: RouteKind::Safe,
        time_limit_ms: 1_500,
        latency_target_ms: 150,
        rank: 2,
        shares: shares.iter().map(share).collect(),
        max_attempts: 2,
        is_open: false,
        is_resumable: false,
        single_version: false,
        item_ttl_ms: 40_000,
        result_deadline_ms: 7_500,
    }
}

fn service(name: &str) -> ServiceSpec {
    ServiceSpec {
        name: name.to_owned(),
        max_connections: 100,
        cold_per_s: 0.0,
        models: Vec::new(),
        scale: None,
    }
}

fn customer(name: &str, keys: &[&str]) -> CustomerSpec {
    CustomerSpec {
        name: name.to_owned(),
        keys: keys
            .iter()
            .map(|key| KeyDigest::of(key.as_bytes()))
            .collect(),
        priority: None,
    }
}

fn plan() -> RoutingPlan {
    RoutingPlan {
        version: 3,
        routes: vec![
            route("/a/", &[("desk", 1)]),
            route("/a/b/", &[("llm", 90), ("desk", 10)]),
        ],
        services: vec![service("desk"), service("llm")],
        customers: vec![customer("mint", &["k1", "k2"]), customer("ridge", &["k3"])],
        ..RoutingPlan::default()
    }
}

#[test]
fn a_valid_plan_has_no_findings() {
    assert!(plan().check().is_empty());
}

/// Change that introduces one fault into a valid plan.
type PlanChange = fn(&mut RoutingPlan);

#[rstest]
#[case::unknown_service(|plan: &mut RoutingPlan| plan.routes[0].shares[0].service = "gone".to_owned(), "routes[0].service")]
#[case::duplicate_host_and_path(|plan: &mut RoutingPlan| plan.routes[1].path_prefix = "/a/".to_owned(), "routes[1].path")]
#[case::no_weight(|plan: &mut RoutingPlan| plan.routes[1].shares.iter_mut().for_each(|share| share.weight = 0), "routes[1].weight")]
#[case::no_share(|plan: &mut RoutingPlan| plan.routes[0].shares.clear(), "routes[0].weight")]
#[case::no_time_limit(|plan: &mut RoutingPlan| plan.routes[0].time_limit_ms = 0, "routes[0].time_limit")]
#[case::prefix_without_slash(|plan: &mut RoutingPlan| plan.routes[0].path_prefix = "/a".to_owned(), "routes[0].path")]
#[case::key_of_two_customers(|plan: &mut RoutingPlan| plan.customers[1] = customer("ridge", &["k2"]), "customers[1].keys")]
#[case::duplicate_service(|plan: &mut RoutingPlan| plan.services.push(service("desk")), "services[2].name")]
fn each_fault_is_reported_with_its_path(#[case] change: PlanChange, #[case] path: &str) {
    let mut plan = plan();
    change(&mut plan);
    let findings = plan.check();
    assert_eq!(findings.len(), 1, "{findings:?}");
    assert!(findings[0].to_string().starts_with(path), "{}", findings[0]);
}

#[test]
fn all_faults_are_reported_together() {
    let mut plan = plan();
    plan.routes[0].time_limit_ms = 0;
    plan.routes[1].shares.clear();
    plan.customers[1] = customer("ridge", &["k1"]);
    assert_eq!(plan.check().len(), 3);
}

#[rstest]
#[case("desk.example", "/a/x", Some("/a/"))]
#[case("DESK.example", "/a/b/x", Some("/a/b/"))]
#[case("desk.example", "/a/b", Some("/a/"))]
#[case("desk.example", "/a", None)]
#[case("other.example", "/a/x", None)]
fn the_longest_matching_prefix_of_the_host_wins(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let index = RouteIndex::new(plan());
    let found = index
        .route(host, path)
        .map(|route| route.path_prefix.as_str());
    assert_eq!(found, expected);
}

#[rstest]
#[case(0.0, "llm")]
#[case(0.89, "llm")]
#[case(0.91, "desk")]
#[case(0.999, "desk")]
fn a_traffic_split_follows_its_weights(#[case] point: f64, #[case] expected: &str) {
    assert_eq!(plan().routes[1].service_at(point), Some(expected));
}

#[test]
fn a_key_identifies_its_customer_and_unknown_or_missing_keys_are_errors() {
    let index = RouteIndex::new(plan());
    let key = |text: &str| Some(KeyDigest::of(text.as_bytes()));
    assert_eq!(index.customer(key("k2")), Ok(Some("mint")));
    assert_eq!(index.customer(key("k9")), Err(LookupFault::UnknownKey));
    assert_eq!(index.customer(None), Err(LookupFault::UnknownKey));
}

/// Guards against a customer's priority that its route's overrides, and against requests that leave room
/// although none can be more urgent.
#[rstest]
#[case::route_decides(None, "mint", 2, false)]
#[case::customer_decides(Some(5), "mint", 5, true)]
#[case::customer_is_urgent(Some(0), "mint", 0, false)]
#[case::other_customer_is_urgent(Some(0), "ridge", 2, true)]
fn a_customers_priority_takes_precedence(
    #[case] priority: Option<u32>,
    #[case] caller: &str,
    #[case] expected: u32,
    #[case] has_more_urgent: bool,
) {
    let mut plan = plan();
    plan.customers[0].priority = priority;
    let index = RouteIndex::new(plan);
    let route = index.route("desk.example", "/a/x").unwrap();
    let found = index.priority(route, Some(caller));
    assert_eq!(found, expected);
    assert_eq!(index.has_more_urgent("desk", found), has_more_urgent);
}

/// Guards against requests that leave room to a priority of a route that no caller has.
#[test]
fn a_route_whose_callers_all_have_priorities_is_as_urgent_as_they_are() {
    let mut plan = plan();
    plan.customers[0].priority = Some(3);
    plan.customers[1].priority = Some(4);
    let index = RouteIndex::new(plan);
    assert!(!index.has_more_urgent("desk", 3));
    assert!(index.has_more_urgent("desk", 4));
    assert!(!index.has_more_urgent("gone", 4));
}

/// Guards against builds that can't read each other's plans while instances are upgraded.
#[test]
fn a_plan_without_limits_has_the_defaults() {
    #[derive(Serialize, Deserialize)]
    struct EarlierPlan {
        version: u64,
        routes: Vec<RouteRule>,
        services: Vec<ServiceSpec>,
        customers: Vec<CustomerSpec>,
    }
    let mut bytes = Vec::new();
    ciborium::into_writer(&plan(), &mut bytes).unwrap();
    let earlier: EarlierPlan = ciborium::from_reader(bytes.as_slice()).unwrap();
    let mut bytes = Vec::new();
    ciborium::into_writer(&earlier, &mut bytes).unwrap();
    let read: RoutingPlan = ciborium::from_reader(bytes.as_slice()).unwrap();
    assert_eq!(read, plan());
    assert_eq!(read.limits, RequestLimits::default());
}

/// Customer as builds before priorities knew it.
#[derive(Debug, Deserialize)]
struct EarlierCustomer {
    name: String,
    keys: Vec<KeyDigest>,
}

/// Guards against a plan that instances of two builds can't both read while they run side by side.
#[test]
fn a_customer_is_read_by_an_earlier_build_and_from_one() {
    let customer = CustomerSpec {
        priority: Some(1),
        ..customer("ridge", &["k1"])
    };
    let earlier: EarlierCustomer = codec::decode(&codec::encode(&customer)).unwrap();
    assert_eq!(
        (&earlier.name, &earlier.keys),
        (&customer.name, &customer.keys)
    );
    let mut value: ciborium::Value = codec::decode(&codec::encode(&customer)).unwrap();
    let fields = value.as_map_mut().unwrap();
    fields.retain(|(name, _)| name.as_text() != Some("priority"));
    let read: CustomerSpec = codec::decode(&codec::encode(&value)).unwrap();
    assert_eq!((read.name, read.priority), (customer.name, None));
}

/// Guards against a customer that nobody knows once the plan names none: the last one that left, one that
/// left before, and one whose key another customer took over.
#[test]
fn customers_that_left_the_plan_are_known_by_their_last_keys() {
    let with = |customers: Vec<CustomerSpec>, earlier: &RoutingPlan| {
        let mut plan = RoutingPlan {
            version: earlier.version + 1,
            customers,
            ..plan()
        };
        plan.retain_customers(earlier);
        plan
    };
    let both = plan();
    let one = with(vec![customer("ridge", &["k1", "k4"])], &both);
    let nobody = with(Vec::new(), &one);
    let still_nobody = with(Vec::new(), &nobody);
    for plan in [nobody, still_nobody.clone()] {
        let routes = RouteIndex::new(plan);
        let former = |key: &str| routes.former_customer(Some(KeyDigest::of(key.as_bytes())));
        assert_eq!(former("k1"), Some("ridge"), "taken over");
        assert_eq!(former("k2"), Some("mint"), "left first");
        assert_eq!(former("k3"), None, "revoked before");
        assert_eq!(former("k4"), Some("ridge"), "left last");
        assert_eq!(routes.former_customer(None), None);
    }
    let back = with(vec![customer("mint", &["k5"])], &still_nobody);
    let names = back.former_customers.iter().map(|it| it.name.as_str());
    assert_eq!(names.collect::<Vec<_>>(), ["ridge"]);
    let routes = RouteIndex::new(back);
    let revoked = KeyDigest::of(b"k4");
    assert_eq!(routes.former_customer(Some(revoked)), None);
    assert!(routes.customer(Some(revoked)).is_err());
}

/// Guards against plans that grow with every customer that ever was.
#[test]
fn a_plan_retains_a_bounded_number_of_former_customers() {
    let mut earlier = plan();
    for number in 0..2_000 {
        let mut next = RoutingPlan {
            customers: vec![customer(&format!("c{number}"), &[&format!("key{number}")])],
            ..plan()
        };
        next.retain_customers(&earlier);
        earlier = next;
    }
    assert_eq!(earlier.former_customers.len(), 1_024);
    assert_eq!(earlier.former_customers[0].name, "c1998");
}

//! The routing plan, which maps requests to services and API keys to customers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use bergamotlane_policy::finding::Finding;

/// BLAKE3 digest of a customer's API key; the plan never holds the key itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of an API key.
    pub fn of(key: &[u8]) -> Self {
        Self(*blake3::hash(key).as_bytes())
    }
}

/// Kind of a route: whether its requests may be repeated, and how they are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Requests are idempotent: they may run any number of times.
    Safe,
    /// A request runs at most once.
    Unsafe,
    /// Requests are answered with a stream of events.
    Stream,
    /// Requests submit batch jobs, whose items run later.
    Rollout,
}

/// Share of a route's requests that goes to one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: String,
    /// Weight of the share relative to the route's other shares; zero sends nothing.
    pub weight: u32,
}

/// Routing rule for the requests to one host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Name of the route.
    pub name: String,
    /// Host to match, in lower case.
    pub host: String,
    /// Path prefix to match; it starts and ends with a slash.
    pub path_prefix: String,
    /// Kind of the route's requests.
    pub kind: RouteKind,
    /// Time limit for the complete answer, in milliseconds; must not be zero.
    pub time_limit_ms: u64,
    /// Latency up to which an answer has its full value, in milliseconds.
    pub latency_target_ms: u64,
    /// Priority of the route; zero is the highest.
    pub rank: u32,
    /// Services that share the requests; the weights must not all be zero.
    pub shares: Vec<ServiceShare>,
    /// Largest number of targets that may run one request, and number of failures after which an
    /// item is given up.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub is_open: bool,
    /// Whether a broken stream may be resumed at another engine.
    pub is_resumable: bool,
    /// Whether one weight version must generate the entire text of an item.
    pub single_version: bool,
    /// Age from which an item may be given up, in milliseconds.
    pub item_ttl_ms: u64,
    /// Time from a job's submission until all its results are due, in milliseconds.
    pub result_deadline_ms: u64,
}

impl RouteRule {
    /// Returns the service that a request goes to, or `None` if all weights are zero.
    ///
    /// `point` selects the share; it is uniformly distributed from 0 (inclusive) to 1 (exclusive).
    pub fn service_at(&self, point: f64) -> Option<&str> {
        let total: u64 = self.shares.iter().map(|it| u64::from(it.weight)).sum();
        let mut offset = (point * total as f64) as u64;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if offset < weight {
                return Some(&share.service);
            }
            offset -= weight;
        }
        None
    }

    /// Returns whether the route sends any requests to a service.
    pub fn uses(&self, service: &str) -> bool {
        let mut shares = self.shares.iter();
        shares.any(|it| it.weight > 0 && it.service == service)
    }
}

/// Bounds and prices for the number of a service's targets that may be ordered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ScalePlan {
    /// Smallest number of targets in each zone.
    pub min: u32,
    /// Largest number of targets in each zone.
    pub max: u32,
    /// Time from the order of a target until it serves, in milliseconds.
    pub boot_ms: u64,
    /// Price of a reclaimable target as a fraction of that of a steady one.
    pub reclaimable_price: f64,
    /// Price of a target per second, by zone.
    pub zone_prices: BTreeMap<String, f64>,
}

/// Service that targets run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: String,
    /// Largest number of connections that a target accepts from all instances together.
    pub max_connections: u32,
    /// Rate of requests that a cold target can handle, per second.
    pub cold_per_s: f64,
    /// Names of the models that the targets serve; empty for plain services.
    pub models: Vec<String>,
    /// Bounds for ordering targets; `None` if the service isn't scaled.
    pub scale: Option<ScalePlan>,
}

/// Largest number of former customers that a plan retains.
const MAX_FORMER_CUSTOMERS: usize = 1_024;

/// Customer and the API keys that identify it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerSpec {
    /// Name of the customer.
    pub name: String,
    /// Digests of the customer's API keys.
    pub keys: Vec<KeyDigest>,
    /// Priority of the customer's requests, which takes precedence over that of their route; zero is the
    /// highest.
    #[serde(default)]
    pub priority: Option<u32>,
}

/// Limits of clients' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RequestLimits {
    /// Largest size of a request's headers, in bytes.
    pub max_header_bytes: usize,
    /// Largest size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Time that a client may take for a request's headers, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time after which an idle connection may be closed, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16_384,
            max_body_bytes: 33_554_432,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

impl RequestLimits {
    fn is_default(&self) -> bool {
        *self == Self::default()
    }
}

/// Complete routing plan, as an operator submits it.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct RoutingPlan {
    /// Version of the plan; the plan with the highest one is in force.
    pub version: u64,
    /// Routing rules; host and path prefix must be unique.
    pub routes: Vec<RouteRule>,
    /// Services that the routes refer to; the names must be unique.
    pub services: Vec<ServiceSpec>,
    /// Customers; if there are none, no request needs an API key.
    pub customers: Vec<CustomerSpec>,
    /// Customers that earlier plans named and this one doesn't, the latest ones first, with their last keys.
    /// The state adds them to the plan that an operator submits: their jobs stay theirs.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub former_customers: Vec<CustomerSpec>,
    /// Limits of requests; an earlier build leaves them out, and so does this one if they are the
    /// defaults.
    #[serde(default, skip_serializing_if = "RequestLimits::is_default")]
    pub limits: RequestLimits,
}

impl RoutingPlan {
    /// Retains the customers of the plan that this one replaces, and those that it has retained.
    pub fn retain_customers(&mut self, earlier: &Self) {
        let mut seen: BTreeSet<&str> = self.customers.iter().map(|it| it.name.as_str()).collect();
        let known = earlier.customers.iter().chain(&earlier.former_customers);
        let former = known.filter(|it| seen.insert(&it.name));
        self.former_customers = former.take(MAX_FORMER_CUSTOMERS).cloned().collect();
    }

    /// Validates the plan and returns every fault with the field that it concerns, sorted.
    pub fn check(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        self.check_services(&mut findings);
        self.check_routes(&mut findings);
        self.check_customers(&mut findings);
        findings.sort();
        findings
    }

    fn check_services(&self, findings: &mut Vec<Finding>) {
        let mut names = BTreeSet::new();
        for (index, service) in self.services.iter().enumerate() {
            if !names.insert(&service.name) {
                let message = format!("service {:?} is defined more than once", service.name);
                findings.push(Finding::field(format!("services[{index}].name"), message));
            }
        }
    }

    fn check_routes(&self, findings: &mut Vec<Finding>) {
        let services: BTreeSet<&str> = self.services.iter().map(|it| it.name.as_str()).collect();
        let mut routes_seen = BTreeSet::new();
        for (index, route) in self.routes.iter().enumerate() {
            let mut fault = |field: &str, message: String| {
                findings.push(Finding::field(format!("routes[{index}].{field}"), message));
            };
            if !routes_seen.insert((&route.host, &route.path_prefix)) {
                let message = format!(
                    "{}{} has more than one route",
                    route.host, route.path_prefix
                );
                fault("path", message);
            }
            if !(route.path_prefix.starts_with('/') && route.path_prefix.ends_with('/')) {
                fault(
                    "path",
                    "path prefix must start and end with a slash".to_owned(),
                );
            }
            for share in &route.shares {
                if !services.contains(share.service.as_str()) {
                    fault(
                        "service",
                        format!("service {:?} is not defined", share.service),
                    );
                }
            }
            if route.shares.iter().all(|it| it.weight == 0) {
                fault(
                    "weight",
                    "at least one weight must be above zero".to_owned(),
                );
            }
            if route.time_limit_ms == 0 {
                fault("time_limit", "time limit must be above zero".to_owned());
            }
        }
    }

    fn check_customers(&self, findings: &mut Vec<Finding>) {
        let mut owners: HashMap<KeyDigest, &str> = HashMap::new();
        for (index, customer) in self.customers.iter().enumerate() {
            for key in &customer.keys {
                let owner = owners.entry(*key).or_insert(&customer.name);
                if *owner != customer.name {
                    let message = format!("key also belongs to customer {owner:?}");
                    findings.push(Finding::field(format!("customers[{index}].keys"), message));
                }
            }
        }
    }
}

/// Reason for which a request has no route or no customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LookupFault {
    /// No route matches the host and path.
    NoRoute,
    /// The API key is missing or unknown.
    UnknownKey,
}

/// Returns the highest priority that callers' requests to each service may have. A route's own counts only
/// if there are callers without one of their own.
fn most_urgent(plan: &RoutingPlan) -> HashMap<String, u32> {
    let customers = || plan.customers.iter();
    let by_customer = customers().filter_map(|it| it.priority).min();
    let needs_rank = plan.customers.is_empty() || customers().any(|it| it.priority.is_none());
    let mut most_urgent: HashMap<String, u32> = HashMap::new();
    for route in plan
        .routes
        .iter()
        .filter(|it| it.kind != RouteKind::Rollout)
    {
        let rank = (needs_rank || route.is_open).then_some(route.rank);
        let Some(priority) = rank.into_iter().chain(by_customer).min() else {
            continue;
        };
        for share in route.shares.iter().filter(|it| it.weight > 0) {
            let known = most_urgent.entry(share.service.clone()).or_insert(priority);
            *known = priority.min(*known);
        }
    }
    most_urgent
}

/// Plan with indexes for fast lookups of routes and customers.
#[derive(Debug, Default)]
pub struct RouteIndex {
    plan: RoutingPlan,
    by_host: HashMap<String, Vec<usize>>,
    owners: HashMap<KeyDigest, usize>,
    /// Former customers by their last keys, if the plan names no customers.
    former_owners: HashMap<KeyDigest, usize>,
    /// Priorities of the customers that have one, by name.
    priorities: HashMap<String, u32>,
    /// Highest priority that requests to a service may have, by its name.
    most_urgent: HashMap<String, u32>,
}

impl RouteIndex {
    /// Builds the indexes of a plan.
    pub fn new(plan: RoutingPlan) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in plan.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(index);
        }
        for indices in by_host.values_mut() {
            indices.sort_by_key(|it| std::cmp::Reverse(plan.routes[*it].path_prefix.len()));
        }
        let mut owners = HashMap::new();
        for (index, customer) in plan.customers.iter().enumerate() {
            owners.extend(customer.keys.iter().map(|key| (*key, index)));
        }
        let mut former_owners = HashMap::new();
        let former = plan.former_customers.iter().enumerate();
        for (index, customer) in former.filter(|_| plan.customers.is_empty()) {
            for key in &customer.keys {
                former_owners.entry(*key).or_insert(index);
            }
        }
        let customers = plan.customers.iter();
        let priorities = customers.filter_map(|it| Some((it.name.clone(), it.priority?)));
        Self {
            priorities: priorities.collect(),
            most_urgent: most_urgent(&plan),
            plan,
            by_host,
            owners,
            former_owners,
        }
    }

    /// Returns the priority of a customer's requests on a route; zero is the highest.
    pub fn priority(&self, route: &RouteRule, customer: Option<&str>) -> u32 {
        let own = customer.and_then(|it| self.priorities.get(it));
        own.copied().unwrap_or(route.rank)
    }

    /// Returns whether other requests to a service may be more urgent than those of a priority.
    pub fn has_more_urgent(&self, service: &str, priority: u32) -> bool {
        let most_urgent = self.most_urgent.get(service);
        most_urgent.is_some_and(|it| *it < priority)
    }

    /// Returns the indexed plan.
    pub fn plan(&self) -> &RoutingPlan {
        &self.plan
    }

    /// Returns the route of the host whose path prefix is the longest match for the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let host = host.to_ascii_lowercase();
        let indices = self.by_host.get(&host)?;
        let index = indices
            .iter()
            .find(|it| path.starts_with(&self.plan.routes[**it].path_prefix))?;
        Some(&self.plan.routes[*index])
    }

    /// Returns the name of the customer that owns an API key, or `None` if the plan needs no keys.
    ///
    /// # Errors
    ///
    /// Returns [`LookupFault::UnknownKey`] if the plan names customers and the key is missing or
    /// belongs to none of them.
    pub fn customer(&self, key: Option<KeyDigest>) -> Result<Option<&str>, LookupFault> {
        if self.plan.customers.is_empty() {
            return Ok(None);
        }
        let index = key.and_then(|key| self.owners.get(&key));
        let index = index.ok_or(LookupFault::UnknownKey)?;
        Ok(Some(&self.plan.customers[*index].name))
    }

    /// Returns the name of the customer that last owned an API key, if the plan names no customers.
    pub fn former_customer(&self, key: Option<KeyDigest>) -> Option<&str> {
        let index = self.former_owners.get(&key?)?;
        Some(&self.plan.former_customers[*index].name)
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.plan.services.iter().find(|it| it.name == name)
    }
}

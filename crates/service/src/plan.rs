//! The routing plan: which request goes to which service, for which customers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use bergamotlane_policy::finding::Finding;

/// Digest of a caller's key; the key itself is never kept here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(*blake3::hash(key).as_bytes())
    }
}

/// What may be repeated, and how an answer comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run any number of times.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// Answers with a stream of events.
    Stream,
    /// Takes batch jobs whose items run later.
    Rollout,
}

/// Part of a route's requests that goes to a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceShare {
    /// Service.
    pub service: String,
    /// Weight against the other shares of the route.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Name.
    pub name: String,
    /// Host, in lower case.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub path_prefix: String,
    /// Kind.
    pub kind: RouteKind,
    /// Longest time until the final answer, in milliseconds.
    pub time_limit_ms: u64,
    /// Time within which an answer is of full use, in milliseconds.
    pub latency_target_ms: u64,
    /// Rank; zero goes first.
    pub rank: u32,
    /// Where requests go.
    pub shares: Vec<ServiceShare>,
    /// Engines that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_open: bool,
    /// Whether a broken stream may go on at another engine.
    pub is_resumable: bool,
    /// Whether an item's text must come from one weight version.
    pub single_version: bool,
    /// Age after which an item may be given up, in milliseconds.
    pub item_ttl_ms: u64,
    /// Time after submission at which all results of a job are due, in milliseconds.
    pub result_deadline_ms: u64,
}

impl RouteRule {
    /// Returns the service for a point between zero and one.
    pub fn service_at(&self, point: f64) -> Option<&str> {
        let total: u64 = self.shares.iter().map(|it| u64::from(it.weight)).sum();
        let mut left = (point * total as f64) as u64;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if left < weight {
                return Some(&share.service);
            }
            left -= weight;
        }
        None
    }

    /// Returns whether the route sends anything to a service.
    pub fn uses(&self, service: &str) -> bool {
        let mut shares = self.shares.iter();
        shares.any(|it| it.weight > 0 && it.service == service)
    }
}

/// How many targets of a service may be ordered in a zone, and at which price.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ScalePlan {
    /// Least number by zone.
    pub min: u32,
    /// Greatest number by zone.
    pub max: u32,
    /// Time until an ordered target serves, in milliseconds.
    pub boot_ms: u64,
    /// Price of a reclaimable target against a steady one.
    pub reclaimable_price: f64,
    /// Price of a target second by zone.
    pub zone_prices: BTreeMap<String, f64>,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Name.
    pub name: String,
    /// Connections that a target takes from all instances together.
    pub max_connections: u32,
    /// Requests a second that a cold target bears.
    pub cold_per_s: f64,
    /// Models that the targets serve; empty for plain services.
    pub models: Vec<String>,
    /// How targets are ordered, if they are.
    pub scale: Option<ScalePlan>,
}

/// One customer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerSpec {
    /// Name.
    pub name: String,
    /// Digests of the customer's keys.
    pub keys: Vec<KeyDigest>,
}

/// A whole plan.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct RoutingPlan {
    /// Version; the highest one is in force.
    pub version: u64,
    /// Routes.
    pub routes: Vec<RouteRule>,
    /// Services.
    pub services: Vec<ServiceSpec>,
    /// Customers; if there is none, no request needs a key.
    pub customers: Vec<CustomerSpec>,
}

impl RoutingPlan {
    /// Returns every fault of the plan with its place.
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
        for (place, service) in self.services.iter().enumerate() {
            if !names.insert(&service.name) {
                let message = format!("service {:?} is named twice", service.name);
                findings.push(Finding::field(format!("services[{place}].name"), message));
            }
        }
    }

    fn check_routes(&self, findings: &mut Vec<Finding>) {
        let services: BTreeSet<&str> = self.services.iter().map(|it| it.name.as_str()).collect();
        let mut places = BTreeSet::new();
        for (place, route) in self.routes.iter().enumerate() {
            let mut fault = |field: &str, message: String| {
                findings.push(Finding::field(format!("routes[{place}].{field}"), message));
            };
            if !places.insert((&route.host, &route.path_prefix)) {
                let message = format!("{}{} is routed twice", route.host, route.path_prefix);
                fault("path", message);
            }
            if !(route.path_prefix.starts_with('/') && route.path_prefix.ends_with('/')) {
                fault("path", "a prefix begins and ends with a slash".to_owned());
            }
            for share in &route.shares {
                if !services.contains(share.service.as_str()) {
                    fault("service", format!("no service {:?}", share.service));
                }
            }
            if route.shares.iter().all(|it| it.weight == 0) {
                fault("weight", "the weights add up to zero".to_owned());
            }
            if route.time_limit_ms == 0 {
                fault("time_limit", "the time limit is zero".to_owned());
            }
        }
    }

    fn check_customers(&self, findings: &mut Vec<Finding>) {
        let mut owners: HashMap<KeyDigest, &str> = HashMap::new();
        for (place, customer) in self.customers.iter().enumerate() {
            for key in &customer.keys {
                let owner = owners.entry(*key).or_insert(&customer.name);
                if *owner != customer.name {
                    let message = format!("a key is shared with customer {owner:?}");
                    findings.push(Finding::field(format!("customers[{place}].keys"), message));
                }
            }
        }
    }
}

/// Why a request finds no route or no customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LookupFault {
    /// No route matches host and path.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
}

/// A plan prepared for look-ups.
#[derive(Debug, Default)]
pub struct RouteIndex {
    plan: RoutingPlan,
    by_host: HashMap<String, Vec<usize>>,
    owners: HashMap<KeyDigest, usize>,
}

impl RouteIndex {
    /// Prepares a plan.
    pub fn new(plan: RoutingPlan) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (place, route) in plan.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(place);
        }
        for places in by_host.values_mut() {
            places.sort_by_key(|it| std::cmp::Reverse(plan.routes[*it].path_prefix.len()));
        }
        let mut owners = HashMap::new();
        for (place, customer) in plan.customers.iter().enumerate() {
            owners.extend(customer.keys.iter().map(|key| (*key, place)));
        }
        Self {
            plan,
            by_host,
            owners,
        }
    }

    /// Returns the plan.
    pub fn plan(&self) -> &RoutingPlan {
        &self.plan
    }

    /// Returns the route with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let host = host.to_ascii_lowercase();
        let places = self.by_host.get(&host)?;
        let place = places
            .iter()
            .find(|it| path.starts_with(&self.plan.routes[**it].path_prefix))?;
        Some(&self.plan.routes[*place])
    }

    /// Returns the customer that holds a key.
    ///
    /// # Errors
    ///
    /// Returns [`LookupFault::UnknownKey`] if the plan asks for a key and none fits.
    pub fn customer(&self, key: Option<KeyDigest>) -> Result<Option<&str>, LookupFault> {
        if self.plan.customers.is_empty() {
            return Ok(None);
        }
        let place = key.and_then(|key| self.owners.get(&key));
        let place = place.ok_or(LookupFault::UnknownKey)?;
        Ok(Some(&self.plan.customers[*place].name))
    }

    /// Returns a service.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.plan.services.iter().find(|it| it.name == name)
    }
}

//! Routing table of an entry: API keys, customers and services, indexed for the look-ups
//! of a request.

use std::collections::BTreeSet;
use std::collections::HashMap;

use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::control::ConfigState;
use crate::plan::CustomerRow;
use crate::plan::KeyHash;
use crate::plan::KeyRole;
use crate::plan::ServiceKind;
use crate::plan::TrainerRow;

new_key_type! {
    /// Key of a customer in a [`RouteTable`].
    pub struct CustomerKey;
    /// Key of a service in a [`RouteTable`].
    pub struct ServiceKey;
}

/// A customer of the routing table.
#[derive(Debug, Clone)]
pub struct CustomerRoute {
    /// ID of the customer in the plan.
    pub id: String,
    /// Weight and limits from the plan.
    pub row: CustomerRow,
}

/// A service of the routing table.
#[derive(Debug, Clone)]
pub struct ServiceRoute {
    /// ID of the service in the plan.
    pub id: String,
    /// Decides how requests are forwarded.
    pub kind: ServiceKind,
    /// Customers that may call the service, or `None` if all may.
    pub customers: Option<BTreeSet<CustomerKey>>,
    /// Whether calls are idempotent, so that a failed one may be retried.
    pub repeatable: bool,
    /// Whether the service may be called without a key.
    pub open: bool,
    /// Longest duration of a call, in milliseconds.
    pub deadline_ms: u64,
    /// Concurrent requests that a warm target can serve.
    pub target_slots: u32,
    /// Concurrent requests that a cold target can serve.
    pub cold_slots: u32,
    /// Availability zones in use: those of the service except the pulled ones.
    pub zones: BTreeSet<String>,
}

/// Principal that a key authenticates.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyOwner {
    /// A customer that calls services.
    Caller(CustomerKey),
    /// The targets of a service, which announce themselves.
    Target(ServiceKey),
    /// A trainer, by its ID in the plan.
    Trainer(String),
}

/// Reason for which a request is refused before it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteRefusal {
    /// The plan has no such service.
    NoService,
    /// The service requires a key and the request has none.
    KeyMissing,
    /// The key is unknown, withdrawn or not a caller's.
    KeyUnknown,
    /// The key's customer may not call the service.
    NotAllowed,
}

/// Read-only index over one configuration, rebuilt after each configuration change.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    number: u64,
    customers: SlotMap<CustomerKey, CustomerRoute>,
    services: SlotMap<ServiceKey, ServiceRoute>,
    services_by_id: HashMap<String, ServiceKey>,
    keys: HashMap<KeyHash, KeyOwner>,
    trainers: HashMap<String, TrainerRow>,
}

impl RouteTable {
    /// Builds the table from a configuration.
    ///
    /// Caller and target keys whose owner isn't in the plan are left out.
    pub fn build(config: &ConfigState) -> Self {
        let plan = &config.plan;
        let mut table = Self {
            number: config.number,
            ..Self::default()
        };
        let mut customer_keys = HashMap::new();
        for (id, row) in &plan.customers {
            let route = CustomerRoute {
                id: id.clone(),
                row: row.clone(),
            };
            customer_keys.insert(id.as_str(), table.customers.insert(route));
        }
        for (id, row) in &plan.services {
            let zones = match row.zones.is_empty() {
                true => &plan.zones,
                false => &row.zones,
            };
            let allowed = row.customers.iter();
            let allowed = allowed.filter_map(|it| customer_keys.get(it.as_str()).copied());
            let route = ServiceRoute {
                id: id.clone(),
                kind: row.kind,
                customers: (!row.customers.is_empty()).then(|| allowed.collect()),
                repeatable: row.repeatable,
                open: row.open,
                deadline_ms: u64::from(row.deadline_ms),
                target_slots: row.target_slots,
                cold_slots: row.cold_slots,
                zones: zones.difference(&config.pulled).cloned().collect(),
            };
            let key = table.services.insert(route);
            table.services_by_id.insert(id.clone(), key);
        }
        for (hash, row) in config.live_keys() {
            let owner = match row.role {
                KeyRole::Caller => customer_keys
                    .get(row.owner.as_str())
                    .map(|it| KeyOwner::Caller(*it)),
                KeyRole::Target => table
                    .services_by_id
                    .get(&row.owner)
                    .map(|it| KeyOwner::Target(*it)),
                KeyRole::Trainer => Some(KeyOwner::Trainer(row.owner.clone())),
            };
            if let Some(owner) = owner {
                table.keys.insert(*hash, owner);
            }
        }
        table.trainers = plan
            .trainers
            .iter()
            .map(|(id, row)| (id.clone(), row.clone()))
            .collect();
        table
    }

    /// Returns the number of the configuration that the table was built from.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns the customer of a key, or `None` if the key is of another table.
    pub fn customer(&self, key: CustomerKey) -> Option<&CustomerRoute> {
        self.customers.get(key)
    }

    /// Returns all customers, in no particular order.
    pub fn customers(&self) -> impl Iterator<Item = (CustomerKey, &CustomerRoute)> {
        self.customers.iter()
    }

    /// Returns the customer with this ID, by a linear search.
    pub fn customer_by_id(&self, id: &str) -> Option<(CustomerKey, &CustomerRoute)> {
        self.customers
            .iter()
            .find(|(_, customer)| customer.id == id)
    }

    /// Returns the service with this ID.
    pub fn service(&self, id: &str) -> Option<(ServiceKey, &ServiceRoute)> {
        let key = *self.services_by_id.get(id)?;
        Some((key, self.services.get(key)?))
    }

    /// Returns the service of a key, or `None` if the key is of another table.
    pub fn service_at(&self, key: ServiceKey) -> Option<&ServiceRoute> {
        self.services.get(key)
    }

    /// Returns all services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = (ServiceKey, &ServiceRoute)> {
        self.services.iter()
    }

    /// Returns the settings of the trainer with this ID.
    pub fn trainer(&self, id: &str) -> Option<&TrainerRow> {
        self.trainers.get(id)
    }

    /// Returns the IDs and settings of all trainers, in no particular order.
    pub fn trainers(&self) -> impl Iterator<Item = (&str, &TrainerRow)> {
        self.trainers.iter().map(|(id, row)| (id.as_str(), row))
    }

    /// Returns the principal of the key with this hash, if the key is in force.
    ///
    /// The hash found by the map look-up is compared again in constant time.
    pub fn owner(&self, hash: &KeyHash) -> Option<&KeyOwner> {
        let (known, owner) = self.keys.get_key_value(hash)?;
        known.matches(hash).then_some(owner)
    }

    /// Returns the customer to whom a call of `service` with `key` is attributed, or
    /// `None` if an open service is called without a key.
    ///
    /// # Errors
    ///
    /// Returns why the call is refused.
    pub fn authorize(
        &self,
        service: &ServiceRoute,
        key: Option<&KeyHash>,
    ) -> Result<Option<CustomerKey>, RouteRefusal> {
        let Some(hash) = key else {
            return match service.open {
                true => Ok(None),
                false => Err(RouteRefusal::KeyMissing),
            };
        };
        let Some(KeyOwner::Caller(customer)) = self.owner(hash) else {
            return Err(RouteRefusal::KeyUnknown);
        };
        let allowed = service
            .customers
            .as_ref()
            .is_none_or(|customers| customers.contains(customer));
        match allowed || service.open {
            true => Ok(Some(*customer)),
            false => Err(RouteRefusal::NotAllowed),
        }
    }
}

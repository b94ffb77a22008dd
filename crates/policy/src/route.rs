//! The view that traffic reads: keys, customers and services by small keys.

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

/// A customer as traffic sees it.
#[derive(Debug, Clone)]
pub struct CustomerRoute {
    /// ID.
    pub id: String,
    /// Limits.
    pub row: CustomerRow,
}

/// A service as traffic sees it.
#[derive(Debug, Clone)]
pub struct ServiceRoute {
    /// ID.
    pub id: String,
    /// Kind.
    pub kind: ServiceKind,
    /// Customers that may call it, or `None` if all may.
    pub customers: Option<BTreeSet<CustomerKey>>,
    /// Whether calls may be repeated.
    pub repeatable: bool,
    /// Whether it may be called without a key.
    pub open: bool,
    /// Longest time for a call, in milliseconds.
    pub deadline_ms: u64,
    /// Requests that a warm target bears.
    pub target_slots: u32,
    /// Requests that a cold target bears.
    pub cold_slots: u32,
    /// Zones in use: those of the service that aren't pulled.
    pub zones: BTreeSet<String>,
}

/// Whom a key speaks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyOwner {
    /// A customer.
    Caller(CustomerKey),
    /// Targets of a service.
    Target(ServiceKey),
    /// A trainer.
    Trainer(String),
}

/// Why a request may not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteRefusal {
    /// There is no such service.
    NoService,
    /// The route needs a key.
    KeyMissing,
    /// The key isn't known or was withdrawn.
    KeyUnknown,
    /// The key's customer may not use the service.
    NotAllowed,
}

/// Configuration as traffic reads it, built anew from each configuration.
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
    /// Builds the table of a configuration.
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

    /// Returns the number of the configuration.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns a customer.
    pub fn customer(&self, key: CustomerKey) -> Option<&CustomerRoute> {
        self.customers.get(key)
    }

    /// Returns all customers.
    pub fn customers(&self) -> impl Iterator<Item = (CustomerKey, &CustomerRoute)> {
        self.customers.iter()
    }

    /// Returns a customer by ID.
    pub fn customer_by_id(&self, id: &str) -> Option<(CustomerKey, &CustomerRoute)> {
        self.customers
            .iter()
            .find(|(_, customer)| customer.id == id)
    }

    /// Returns a service by ID.
    pub fn service(&self, id: &str) -> Option<(ServiceKey, &ServiceRoute)> {
        let key = *self.services_by_id.get(id)?;
        Some((key, self.services.get(key)?))
    }

    /// Returns a service.
    pub fn service_at(&self, key: ServiceKey) -> Option<&ServiceRoute> {
        self.services.get(key)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = (ServiceKey, &ServiceRoute)> {
        self.services.iter()
    }

    /// Returns a trainer by ID.
    pub fn trainer(&self, id: &str) -> Option<&TrainerRow> {
        self.trainers.get(id)
    }

    /// Returns all trainers.
    pub fn trainers(&self) -> impl Iterator<Item = (&str, &TrainerRow)> {
        self.trainers.iter().map(|(id, row)| (id.as_str(), row))
    }

    /// Returns whom a key speaks for.
    ///
    /// The look-up goes by hash, and the hash is compared in constant time again.
    pub fn owner(&self, hash: &KeyHash) -> Option<&KeyOwner> {
        let (known, owner) = self.keys.get_key_value(hash)?;
        known.matches(hash).then_some(owner)
    }

    /// Returns the customer for whom a call of `service` with `key` runs; an open route
    /// called without a key runs for none.
    ///
    /// # Errors
    ///
    /// Returns why the call may not run.
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

//! Weight orders: the leader makes engines load the versions that open jobs allow.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::sync::Arc;

use http::HeaderMap;

use super::KeeperEvent;
use super::core::KeeperCore;
use super::duties::DutyAnswer;
use super::duties::DutyFailure;
use super::duties::send_duty;
use crate::dialect::TargetDialect;
use crate::fleet::AcceptedOrder;
use crate::metrics::METRICS;
use crate::turns::DutySubject;
use crate::weights::OrderAnswer;
use crate::weights::OrderReport;
use crate::weights::WeightStep;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_storage::clock::now;

/// Least interval at which the weight versions of engines are checked, in milliseconds.
const WEIGHTS_INTERVAL_MS: u64 = 20;

/// Number of models on engines for each millisecond between two checks of their versions, since a check
/// goes through all of them.
const MODELS_PER_MS: usize = 100;

/// Time for which an accepted weight order counts as the engine's version, so that it is not sent
/// again, in milliseconds.
const ACCEPTED_ORDER_RETENTION_MS: u64 = 3_000;

/// Time after an accepted weight order at which the engine is assumed to have the version, in
/// milliseconds.
const LOAD_ASSUMED_AFTER_MS: u64 = 910;

/// Maps the response to a weight order, or its failure, to an [`OrderAnswer`].
fn order_answer(result: &Result<DutyAnswer, DutyFailure>) -> OrderAnswer {
    match result {
        Ok(answer) => match answer.status.as_u16() {
            202 => OrderAnswer::Taken,
            200 => OrderAnswer::Holds,
            409 => OrderAnswer::Conflict,
            412 => OrderAnswer::Fenced,
            _ => OrderAnswer::Refused,
        },
        Err(DutyFailure::NotSent) => OrderAnswer::Refused,
        Err(DutyFailure::Unclear) => OrderAnswer::Unclear,
    }
}

/// Returns the result of an order or a query, whose own answer bears no request ID: one for which `has_id`
/// holds is a late copy of the answer to a request.
fn own_answer(
    result: Result<DutyAnswer, DutyFailure>,
    has_id: impl Fn(&HeaderMap) -> bool,
) -> Result<DutyAnswer, DutyFailure> {
    let answer = result?;
    match has_id(&answer.headers) {
        true => Err(DutyFailure::Unclear),
        false => Ok(answer),
    }
}

impl<D: TargetDialect> KeeperCore<D> {
    /// Sends weight orders at their interval. Must be called after the assignment of items, since
    /// an engine to which runs were just assigned is not idle.
    pub(super) fn order_weights_if_due(&mut self, time: ClockTime) {
        let Some(lead) = self.lead.as_mut().filter(|it| time >= it.weights_due) else {
            return;
        };
        let spacing_ms = (lead.fleet.weight_target_count() / MODELS_PER_MS) as u64;
        lead.weights_due = time + WEIGHTS_INTERVAL_MS.max(spacing_ms);
        self.order_weights(time);
    }

    /// Sends the weight orders and queries that are due for the versions that open jobs allow.
    fn order_weights(&mut self, time: ClockTime) {
        self.assume_loaded_versions(time);
        self.update_fleet(time);
        let Some(lead) = &mut self.lead else {
            return;
        };
        let targets = lead.fleet.weight_targets(&lead.scheduler.busy_models());
        let mut min_versions = BTreeMap::new();
        let jobs = lead.scheduler.jobs().map(|(_, it)| it);
        for constraints in jobs.filter(|it| !it.is_on_hold()) {
            let min_version = min_versions.entry(constraints.model.clone()).or_insert(0);
            *min_version = constraints.min_version.max(*min_version);
        }
        let steps = lead
            .weights
            .next_steps(time, targets, &self.state.weights, &min_versions);
        for step in steps {
            if self.take_turn(time, &step) {
                self.execute_weight_step(step);
            }
        }
    }

    /// Records that this keeper acts on a step's engine, and returns true. If an order would come
    /// too soon after another holder's, the planner is told until when to hold it back.
    fn take_turn(&mut self, time: ClockTime, step: &WeightStep) -> bool {
        let (WeightStep::Order { id, born, .. }, Some(lead)) = (step, &mut self.lead) else {
            return true;
        };
        let subject = DutySubject::Engine(id.clone());
        let Some(wait) = self.turns.wait(time, &subject, lead.term) else {
            self.turns.record(time, subject, lead.term);
            return true;
        };
        lead.log_wait(time, id, wait);
        lead.weights.hold(id, *born, wait.until);
        false
    }

    /// Records the versions of accepted orders for engines whose load must be complete by now.
    fn assume_loaded_versions(&mut self, time: ClockTime) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        for (id, order) in &lead.accepted_orders {
            let entry = lead.registry.get(id);
            let known = entry.and_then(|it| it.announcement.models.get(&order.model));
            let is_older = known.is_some_and(|it| *it < order.version);
            if is_older && time.since(order.accepted_at) >= LOAD_ASSUMED_AFTER_MS {
                lead.registry
                    .set_version(id, order.born, &order.model, order.version);
            }
        }
        let expired = lead.accepted_orders.extract_if(.., |_, it| {
            time.since(it.accepted_at) >= ACCEPTED_ORDER_RETENTION_MS
        });
        for (id, _) in expired {
            lead.fleet.touch(&id);
        }
    }

    /// Sends an order or a query to an engine; the outcome arrives as a [`KeeperEvent`].
    fn execute_weight_step(&mut self, step: WeightStep) {
        let (Some(holder), Some(lead)) = (self.holder(), &mut self.lead) else {
            return;
        };
        let (WeightStep::Order { id, born, .. } | WeightStep::Inspect { id, born }) = &step;
        let (id, born) = (id.clone(), *born);
        let Some(entry) = lead.registry.get(&id) else {
            return;
        };
        lead.rates.charge(now(), &id);
        let address = entry.announcement.address;
        let service = entry.announcement.service.clone();
        let (pool, lease) = (Arc::clone(&self.pool), self.lease.clone());
        let (dialect, events) = (self.dialect.clone(), self.events.clone());
        let start = entry.announcement.leaving_start();
        let has_id = |dialect: &D, headers: &HeaderMap| {
            let metadata = dialect.read_metadata(headers);
            metadata.request_id.is_some()
        };
        let is_leaving = move |dialect: &D, result: &Result<DutyAnswer, DutyFailure>| {
            let answer = result.as_ref().ok();
            let leaves = answer.is_some_and(|it| dialect.read_metadata(&it.headers).is_leaving);
            leaves.then_some(KeeperEvent::TargetLeaving(start))
        };
        match step {
            WeightStep::Inspect { .. } => {
                let call = dialect.order_state(&id);
                self.runtime.spawn(async move {
                    let sent = send_duty(&pool, &lease, address, call);
                    let result = own_answer(sent.await, |it| has_id(&dialect, it));
                    if let Some(event) = is_leaving(&dialect, &result) {
                        events.send(event).ok();
                    }
                    let report = match result {
                        Ok(answer) if answer.status.is_success() => {
                            dialect.read_order_state(&answer.body)
                        }
                        _ => None,
                    };
                    let event = KeeperEvent::EngineInspected { id, born, report };
                    events.send(event).ok();
                });
            }
            WeightStep::Order {
                model,
                version,
                expect,
                ..
            } => {
                let keep_runs = !self.requires_single_version(&service);
                let call = dialect.weight_order(&holder, &id, &model, version, expect, keep_runs);
                self.runtime.spawn(async move {
                    let sent = send_duty(&pool, &lease, address, call);
                    let result = own_answer(sent.await, |it| has_id(&dialect, it));
                    if let Some(event) = is_leaving(&dialect, &result) {
                        events.send(event).ok();
                    }
                    let answer = order_answer(&result);
                    spdlog::info!("weights: ordered", kv: {
                        target = id.as_str(),
                        version,
                        expect,
                        fence = holder.fence,
                        answer = format!("{answer:?}"),
                    });
                    let event = KeeperEvent::WeightsOrdered {
                        id,
                        born,
                        model,
                        version,
                        answer,
                    };
                    events.send(event).ok();
                });
            }
        }
    }

    /// Returns whether a route to the service requires texts from a single weight version.
    fn requires_single_version(&self, service: &str) -> bool {
        let Some(record) = &self.state.plan else {
            return false;
        };
        let mut routes = record.plan.routes.iter();
        routes.any(|it| it.single_version && it.uses(service))
    }

    pub(super) fn on_weights_ordered(
        &mut self,
        id: &str,
        born: u64,
        model: &str,
        version: u64,
        answer: OrderAnswer,
    ) {
        let time = now();
        self.turns.finish(time, &DutySubject::Engine(id.to_owned()));
        let Some(lead) = &mut self.lead else {
            return;
        };
        let label = format!("{answer:?}").to_lowercase();
        METRICS.weight_orders.with_label_values(&[&label]).inc();
        lead.weights.record_answer(time, id, born, answer);
        lead.fleet.touch(id);
        match answer {
            OrderAnswer::Taken => {
                let order = AcceptedOrder {
                    born,
                    model: model.to_owned(),
                    version,
                    accepted_at: time,
                };
                lead.accepted_orders.insert(id.to_owned(), order);
            }
            OrderAnswer::Holds => lead.registry.set_version(id, born, model, version),
            _ => {}
        }
    }

    pub(super) fn on_engine_inspected(
        &mut self,
        id: &str,
        born: u64,
        report: Option<&OrderReport>,
    ) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        lead.weights.record_report(now(), id, born, report);
        lead.fleet.touch(id);
        for (model, version) in report.iter().flat_map(|it| &it.models) {
            lead.registry.set_version(id, born, model, *version);
        }
    }
}

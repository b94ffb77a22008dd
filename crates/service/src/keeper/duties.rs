//! Duties of one holder: usage reports and weight orders. The term is the fencing token.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Full;
use tokio::time::timeout;

use super::KeeperEvent;
use super::LeaseWatch;
use super::core::CallOrigin;
use super::core::KeeperCore;
use super::lead::LeadState;
use crate::dialect::OrderHolder;
use crate::dialect::OutboundCall;
use crate::dialect::TargetDialect;
use crate::metrics::METRICS;
use crate::pool::SendError;
use crate::pool::TargetPool;
use crate::registry::TargetStage;
use crate::state::StateCommand;
use crate::weights::OrderAnswer;
use crate::weights::OrderReport;
use crate::weights::WeightStep;
use crate::weights::WeightTarget;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_storage::clock::now;
use bergamotlane_storage::clock::unix_ms;

/// Time after a window's end at which its figures are fixed, in milliseconds.
const CLOSE_DELAY_MS: u64 = 2_500;

/// Windows that a new leader looks back.
const WINDOWS_BACK: u64 = 12;

/// Time for an answer to a call of a duty.
const DUTY_LIMIT: Duration = Duration::from_millis(1_500);

/// Part of the lease that must be left when an order is sent, in milliseconds.
const LEASE_MARGIN_MS: u64 = 60;

/// Pause before a usage report is sent again, in milliseconds.
const REPORT_PAUSE_MS: u64 = 700;

/// Time for which an order that a target has taken is not given again, in milliseconds.
const TAKEN_KEPT_MS: u64 = 3_000;

/// Time after which an engine is believed to have the version that it took, in milliseconds.
const BELIEVED_AFTER_MS: u64 = 910;

/// Why a duty's call has no answer.
enum DutyFailure {
    NotSent,
    Unclear,
}

/// Sends a call of a duty, unless the lease has lapsed meanwhile.
async fn send_duty(
    pool: &Arc<TargetPool>,
    lease: &LeaseWatch,
    address: SocketAddr,
    call: OutboundCall,
) -> Result<(StatusCode, Bytes), DutyFailure> {
    let builder = match &call.body {
        Some(_) => Request::post(&call.path),
        None => Request::get(&call.path),
    };
    let body = Full::new(call.body.unwrap_or_default());
    let Ok(mut request) = builder.body(body) else {
        return Err(DutyFailure::NotSent);
    };
    *request.headers_mut() = call.headers;
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().insert(HOST, host);
    }
    if !lease.covers(LEASE_MARGIN_MS) {
        return Err(DutyFailure::NotSent);
    }
    let exchange = async {
        let (response, connection) = pool.send(address, request, false).await?;
        let status = response.status();
        let body = response.into_body().collect().await?.to_bytes();
        connection.keep();
        Ok::<_, SendError>((status, body))
    };
    match timeout(DUTY_LIMIT, exchange).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(SendError::Connect)) => Err(DutyFailure::NotSent),
        Ok(Err(SendError::Broken(_))) | Err(_) => Err(DutyFailure::Unclear),
    }
}

fn order_answer(result: &Result<(StatusCode, Bytes), DutyFailure>) -> OrderAnswer {
    match result {
        Ok((status, _)) => match status.as_u16() {
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

/// Returns the models of all ready engines.
fn weight_targets(lead: &LeadState) -> Vec<WeightTarget> {
    let busy = &lead.scheduler.busy_models();
    let ready = lead
        .registry
        .iter()
        .filter(|(_, entry)| entry.stage == TargetStage::Ready);
    let models = ready.flat_map(|(id, entry)| {
        let models = entry.notice.models.iter();
        models.map(move |(model, version)| (id, entry.notice.born, model, *version))
    });
    models
        .map(|(id, born, model, version)| {
            let ordered = lead.loaded.get(id).filter(|(it, _, _)| it == model);
            let ordered = ordered.map_or(0, |(_, version, _)| *version);
            WeightTarget {
                id: id.clone(),
                born,
                model: model.clone(),
                version: ordered.max(version),
                is_busy: busy.contains(&(id.as_str(), model.as_str())),
            }
        })
        .collect()
}

impl<D: TargetDialect> KeeperCore<D> {
    fn holder(&self) -> Option<OrderHolder> {
        Some(OrderHolder {
            name: self.settings.name.clone(),
            fence: self.lead.as_ref()?.term,
        })
    }

    pub(super) fn do_duties(&mut self, time: ClockTime) {
        self.close_windows();
        self.report_window(time);
    }

    fn close_windows(&mut self) {
        let length = self.settings.usage_window_ms.max(1);
        let calendar = unix_ms();
        let current = calendar / length;
        let Some(lead) = &mut self.lead else {
            return;
        };
        lead.next_window = lead.next_window.max(current.saturating_sub(WINDOWS_BACK));
        let window = lead.next_window;
        if calendar < (window + 1) * length + CLOSE_DELAY_MS {
            return;
        }
        lead.next_window += 1;
        if self.state.windows.contains_key(&window) {
            return;
        }
        let counts = self.tally.total(window);
        let command = StateCommand::CloseWindow { window, counts };
        self.propose(&command, CallOrigin::Nobody);
    }

    fn report_window(&mut self, time: ClockTime) {
        let (Some(address), Some(holder)) = (self.settings.platform, self.holder()) else {
            return;
        };
        let Some(lead) = &mut self.lead else {
            return;
        };
        if lead.reporting.is_some() || time < lead.report_after {
            return;
        }
        let mut open = self.state.windows.iter().filter(|(_, it)| !it.reported);
        let Some((window, record)) = open.next() else {
            return;
        };
        let window = *window;
        lead.reporting = Some(window);
        let call = self.dialect.usage_report(&holder, window, &record.counts);
        let events = self.events.clone();
        let (pool, lease) = (Arc::clone(&self.pool), self.lease.clone());
        self.runtime.spawn(async move {
            let result = send_duty(&pool, &lease, address, call).await;
            let taken = matches!(&result, Ok((status, _)) if status.is_success());
            let status = result.map_or(0, |(status, _)| status.as_u16());
            spdlog::info!("usage: window reported", kv: { window, status, fence = holder.fence });
            // The control thread ends with the process.
            events.send(KeeperEvent::Reported { window, taken }).ok();
        });
    }

    pub(super) fn on_reported(&mut self, window: u64, taken: bool) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        lead.reporting = None;
        lead.report_after = now() + if taken { 0 } else { REPORT_PAUSE_MS };
        if taken {
            METRICS.windows_reported.inc();
            self.propose(&StateCommand::WindowReported(window), CallOrigin::Nobody);
        }
    }

    pub(super) fn order_weights(&mut self, time: ClockTime) {
        self.believe_loads(time);
        let Some(lead) = &mut self.lead else {
            return;
        };
        let targets = weight_targets(lead);
        let mut least = BTreeMap::new();
        for (_, terms) in lead.scheduler.jobs() {
            let oldest = least.entry(terms.model.clone()).or_insert(0);
            *oldest = terms.min_version.max(*oldest);
        }
        let steps = lead
            .weights
            .next_steps(time, &targets, &self.state.weights, &least);
        for step in steps {
            self.take_weight_step(step);
        }
    }

    /// Believes that engines have what they took once a load must be over.
    fn believe_loads(&mut self, time: ClockTime) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        for (id, (model, version, at)) in &lead.loaded {
            let known = lead
                .registry
                .get(id)
                .and_then(|it| it.notice.models.get(model));
            let behind = known.is_some_and(|it| it < version);
            if behind && time.since(*at) >= BELIEVED_AFTER_MS {
                lead.registry.set_version(id, model, *version);
                lead.changes.versions = true;
            }
        }
        lead.loaded
            .retain(|_, (_, _, at)| time.since(*at) < TAKEN_KEPT_MS);
    }

    fn take_weight_step(&mut self, step: WeightStep) {
        let (Some(holder), Some(lead)) = (self.holder(), &self.lead) else {
            return;
        };
        let (WeightStep::Order { id, born, .. } | WeightStep::Inspect { id, born }) = &step;
        let (id, born) = (id.clone(), *born);
        let Some(entry) = lead.registry.get(&id) else {
            return;
        };
        let address = entry.notice.address;
        let service = entry.notice.service.clone();
        let (pool, lease) = (Arc::clone(&self.pool), self.lease.clone());
        let (dialect, events) = (self.dialect.clone(), self.events.clone());
        match step {
            WeightStep::Inspect { .. } => {
                let call = dialect.order_state(&id);
                self.runtime.spawn(async move {
                    let result = send_duty(&pool, &lease, address, call).await;
                    let report = match result {
                        Ok((status, body)) if status.is_success() => {
                            dialect.read_order_state(&body)
                        }
                        _ => None,
                    };
                    let event = KeeperEvent::Inspected { id, born, report };
                    events.send(event).ok();
                });
            }
            WeightStep::Order {
                model,
                version,
                expect,
                ..
            } => {
                let keep_runs = !self.wants_single_version(&service);
                let call = dialect.weight_order(&holder, &id, &model, version, expect, keep_runs);
                self.runtime.spawn(async move {
                    let result = send_duty(&pool, &lease, address, call).await;
                    let answer = order_answer(&result);
                    spdlog::info!("weights: ordered", kv: {
                        target = id.as_str(),
                        version,
                        expect,
                        fence = holder.fence,
                        answer = format!("{answer:?}"),
                    });
                    let event = KeeperEvent::Ordered {
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

    fn wants_single_version(&self, service: &str) -> bool {
        let Some(record) = &self.state.plan else {
            return false;
        };
        let mut routes = record.plan.routes.iter();
        routes.any(|it| it.single_version && it.uses(service))
    }

    pub(super) fn on_ordered(
        &mut self,
        id: &str,
        born: u64,
        model: &str,
        version: u64,
        answer: OrderAnswer,
    ) {
        let time = now();
        let Some(lead) = &mut self.lead else {
            return;
        };
        let name = format!("{answer:?}").to_lowercase();
        METRICS.weight_orders.with_label_values(&[&name]).inc();
        lead.weights.record_answer(time, id, born, answer);
        match answer {
            OrderAnswer::Taken => {
                let taken = (model.to_owned(), version, time);
                lead.loaded.insert(id.to_owned(), taken);
            }
            OrderAnswer::Holds => lead.registry.set_version(id, model, version),
            _ => {}
        }
    }

    pub(super) fn on_inspected(&mut self, id: &str, born: u64, report: Option<&OrderReport>) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        lead.weights.record_report(now(), id, born, report);
        for (model, version) in report.iter().flat_map(|it| &it.models) {
            lead.registry.set_version(id, model, *version);
        }
    }
}

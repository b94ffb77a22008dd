//! Events of the simulated engines.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::LOAD_MS;
use crate::model::LoadModel;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_service::fleet::AcceptedOrder;
use bergamotlane_service::weights::OrderAnswer;
use bergamotlane_service::weights::OrderReport;
use bergamotlane_service::work::PartialText;
use bergamotlane_service::work::RunEnd;
use bergamotlane_service::work::RunKey;

/// Event in simulated time.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LoadEvent {
    Inspected(String),
    Ordered(String, String, u64),
    Loaded(String, String, u64),
    RunEnded(u64),
}

impl LoadModel {
    pub fn handle_events(&mut self, time: ClockTime) {
        while self.events.peek().is_some_and(|it| it.0.0 <= time) {
            let Some(Reverse((_, event))) = self.events.pop() else {
                return;
            };
            self.handle_event(time, event);
        }
    }

    fn handle_event(&mut self, time: ClockTime, event: LoadEvent) {
        match event {
            LoadEvent::RunEnded(run) => {
                self.active_runs -= 1;
                let text = PartialText {
                    versions: vec![u64::MAX],
                    ..PartialText::default()
                };
                self.scheduler
                    .finish_run(time, RunKey(run), RunEnd::Completed(text));
            }
            LoadEvent::Inspected(id) => {
                let report = OrderReport {
                    busy: false,
                    accepted: 0,
                    models: BTreeMap::new(),
                };
                self.weights.record_report(time, &id, 1, Some(&report));
                self.fleet.touch(&id);
            }
            LoadEvent::Ordered(id, model, version) => {
                self.loads += 1;
                self.fleet.touch(&id);
                self.weights.record_answer(time, &id, 1, OrderAnswer::Taken);
                let order = AcceptedOrder {
                    born: 1,
                    model: model.clone(),
                    version,
                    accepted_at: time,
                };
                self.accepted_orders.insert(id.clone(), order);
                let event = LoadEvent::Loaded(id, model, version);
                self.events.push(Reverse((time + LOAD_MS, event)));
            }
            LoadEvent::Loaded(id, model, version) => {
                let number = id.trim_start_matches("engine-").parse::<usize>();
                if let Some(target) = number.ok().and_then(|it| self.targets.get_mut(it)) {
                    target.models.insert(model.clone(), version);
                }
                self.registry.set_version(&id, 1, &model, version);
            }
        }
    }
}

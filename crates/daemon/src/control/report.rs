//! Answers queries about the control state, most of which come from operators.

use serde_json::Value;
use serde_json::json;

use super::ControlQuery;
use super::answer;
use super::thread::ControlCore;
use crate::clock::now;
use bergamotlane_coordination::chart::ChartLabel;
use bergamotlane_coordination::ident::RunId;
use bergamotlane_policy::control::PriceClass;
use bergamotlane_policy::control::UsageFigure;
use bergamotlane_policy::control::UsageKey;
use bergamotlane_policy::plan::write_sheet;
use bergamotlane_wire::http::InstanceBody;
use bergamotlane_wire::http::MemberBody;
use bergamotlane_wire::http::StatusBody;
use bergamotlane_wire::http::TargetBody;
use bergamotlane_wire::http::UsageLineBody;
use bergamotlane_wire::http::UsageWindowBody;

/// Maximum number of closed usage windows shown to operators, newest last.
const MAX_CLOSED_WINDOWS: usize = 60;

impl ControlCore {
    /// Sends the answer to a query.
    pub(super) fn answer_query(&mut self, query: ControlQuery) {
        match query {
            ControlQuery::Status(reply) => answer(reply, self.status()),
            ControlQuery::Dump(reply) => answer(reply, self.dump()),
            ControlQuery::Usage(reply) => answer(reply, self.usage()),
            ControlQuery::Targets(reply) => answer(reply, self.target_list()),
            ControlQuery::Sheet(reply) => {
                answer(reply, write_sheet(&self.state.config.export()));
            }
            ControlQuery::Settled(reply) => {
                self.collect_usage();
                let settled = self.meter.is_settled() && self.dispatcher.is_idle();
                answer(reply, settled);
            }
        }
    }

    fn status(&self) -> StatusBody {
        let time = now();
        let leader = self.follower.leader;
        let leader = match leader == Some(self.run) {
            true => Some(self.config.name.clone()),
            false => leader
                .and_then(|run| self.peers.get(&run))
                .map(|hello| hello.name.clone()),
        };
        let membership = self.membership();
        let members = membership.members().map(|(node, record)| MemberBody {
            node: node.to_string(),
            name: record.name.clone(),
            address: record.address.clone(),
            zone: record.zone.clone(),
            role: match membership.is_voter(node) {
                true => "voter".to_owned(),
                false => "learner".to_owned(),
            },
        });
        let instances = self.follower.instances.iter().map(|instance| InstanceBody {
            name: instance.name.clone(),
            address: instance.address.clone(),
            zone: instance.zone.clone(),
            disk: instance.node.is_some(),
            draining: instance.draining,
        });
        StatusBody {
            instance: self.config.name.clone(),
            zone: self.config.zone.clone(),
            cluster: self.cluster.map(|it| format!("{it:016x}")),
            role: self.role().label().to_owned(),
            term: self.voter.as_ref().map_or(0, |voter| voter.node.term()),
            leader,
            formed: self.state.formed,
            applied: self.state.index,
            fresh: self.follower.freshness.is_fresh(time),
            number: self.state.config.number,
            pulled: self.state.config.pulled.iter().cloned().collect(),
            members: members.collect(),
            instances: instances.collect(),
        }
    }

    fn usage(&self) -> Vec<UsageWindowBody> {
        let usage = &self.state.usage;
        let closed = usage.closed.iter().rev().take(MAX_CLOSED_WINDOWS);
        let mut windows: Vec<UsageWindowBody> = closed
            .map(|(number, window)| UsageWindowBody {
                window: *number,
                state: match window.reported {
                    true => "reported".to_owned(),
                    false => "closed".to_owned(),
                },
                lines: usage_lines(window.figures.iter()),
            })
            .collect();
        windows.reverse();
        windows.push(UsageWindowBody {
            window: usage.open_window,
            state: "open".to_owned(),
            lines: usage_lines(usage.open.iter()),
        });
        windows
    }

    fn target_list(&self) -> Vec<TargetBody> {
        let time = now();
        let targets = self.follower.targets.iter();
        targets
            .map(|(name, known)| {
                let counters = self.publish.target_counters(name);
                TargetBody {
                    service: name.service.clone(),
                    name: name.name.clone(),
                    address: known.announcement.address.clone(),
                    zone: known.announcement.zone.clone(),
                    class: class_label(known.announcement.class).to_owned(),
                    state: known.life.label().to_owned(),
                    weight_version: known.announcement.version,
                    load: known.announcement.load,
                    in_flight: counters.map_or(0, |counters| counters.in_flight()),
                    granted: counters.map_or(0, |counters| counters.granted(time)),
                }
            })
            .collect()
    }

    /// Returns the state for diagnosis, without keys, prompts or sample contents.
    fn dump(&self) -> Value {
        let trainers: Vec<Value> = self
            .state
            .trainers
            .iter()
            .map(|(id, trainer)| {
                json!({
                    "trainer": id,
                    "version": trainer.version,
                    "acknowledged": trainer.acknowledged,
                    "delivered": trainer.delivered,
                    "groups": trainer.groups.len(),
                    "samples": trainer.samples.len(),
                    "open": trainer.open_samples().len(),
                    "batch": trainer.batch.as_ref().map(|batch| json!({
                        "cursor": batch.cursor,
                        "revision": batch.revision,
                        "samples": batch.samples.len(),
                    })),
                })
            })
            .collect();
        let orders: Vec<Value> = self
            .state
            .orders
            .orders
            .iter()
            .map(|(key, order)| {
                json!({
                    "service": key.service,
                    "zone": key.zone,
                    "class": class_label(key.class),
                    "order": order.id,
                    "term": order.term,
                    "count": order.count,
                    "result": order.result.map(|it| format!("{it:?}")),
                })
            })
            .collect();
        let peers: Vec<Value> = self
            .peers
            .iter()
            .map(|(run, hello)| json!({ "run": run.to_string(), "name": hello.name }))
            .collect();
        let log = self.voter.as_ref().map(|voter| {
            let log = voter.node.log();
            json!({
                "node": voter.node.id().to_string(),
                "snapshot": log.snapshot().index,
                "last": log.last_index(),
                "commit": voter.node.commit_index(),
                "bytes": voter.folder.log_bytes(),
            })
        });
        json!({
            "status": self.status(),
            "run": self.run.to_string(),
            "log": log,
            "peers": peers,
            "targets": self.target_list(),
            "usage": self.usage(),
            "usage_merged": self.state.usage.merged(self.run),
            "orders": orders,
            "claims": self.state.claims.claims.len(),
            "customers": self.customer_shares(),
            "trainers": trainers,
            "jobs": self.dispatcher.len(),
            "samples_held": self.samples.len(),
            "busy": self.shared.busy(),
            "withdrawn": self.state.config.withdrawn.len(),
            "pending": self.pending.len(),
            "forwarded": self.forwarded_commands.len(),
            "draining": self.shared.is_draining(),
        })
    }

    fn customer_shares(&self) -> Vec<Value> {
        let customers = self.publish.customers();
        customers
            .map(|(customer, limiter)| {
                let (concurrency, rate_per_s) = limiter.share();
                json!({
                    "customer": customer,
                    "in_flight": limiter.in_flight(),
                    "concurrency": concurrency,
                    "rate_per_s": rate_per_s,
                })
            })
            .collect()
    }

    /// Returns the process runs of live instances that are not draining.
    pub(super) fn accepting_runs(&self) -> Vec<RunId> {
        let live = self
            .follower
            .instances
            .iter()
            .filter(|instance| !instance.draining);
        live.map(|instance| RunId(instance.run)).collect()
    }
}

fn usage_lines<'a>(
    figures: impl Iterator<Item = (&'a UsageKey, &'a UsageFigure)>,
) -> Vec<UsageLineBody> {
    figures
        .map(|(key, figure)| UsageLineBody {
            customer: key.customer.clone(),
            service: key.service.clone(),
            requests: figure.requests,
            tokens: figure.tokens,
            samples: figure.samples,
            uncharged: figure.uncharged,
        })
        .collect()
}

/// Returns the name of a price class in HTTP bodies and JSON dumps.
pub fn class_label(class: PriceClass) -> &'static str {
    match class {
        PriceClass::Steady => "steady",
        PriceClass::Reclaimable => "reclaimable",
    }
}

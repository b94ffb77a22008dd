//! Answers to questions about state.

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

/// Closed windows shown to operators.
const WINDOWS_SHOWN: usize = 60;

impl ControlCore {
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
                self.gather_usage();
                let settled = self.meter.is_settled() && self.work.is_idle();
                answer(reply, settled);
            }
        }
    }

    fn status(&self) -> StatusBody {
        let time = now();
        let leader = self.follow.leader;
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
        let instances = self.follow.instances.iter().map(|it| InstanceBody {
            name: it.name.clone(),
            address: it.address.clone(),
            zone: it.zone.clone(),
            disk: it.node.is_some(),
            draining: it.draining,
        });
        StatusBody {
            instance: self.config.name.clone(),
            zone: self.config.zone.clone(),
            cluster: self.cluster.map(|it| format!("{it:016x}")),
            role: self.role().label().to_owned(),
            term: self.voter.as_ref().map_or(0, |it| it.node.term()),
            leader,
            formed: self.state.formed,
            applied: self.state.index,
            fresh: self.follow.freshness.is_fresh(time),
            number: self.state.config.number,
            pulled: self.state.config.pulled.iter().cloned().collect(),
            members: members.collect(),
            instances: instances.collect(),
        }
    }

    fn usage(&self) -> Vec<UsageWindowBody> {
        let book = &self.state.usage;
        let closed = book.closed.iter().rev().take(WINDOWS_SHOWN);
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
            window: book.open_window,
            state: "open".to_owned(),
            lines: usage_lines(book.open.iter()),
        });
        windows
    }

    fn target_list(&self) -> Vec<TargetBody> {
        let time = now();
        let targets = self.follow.targets.iter();
        targets
            .map(|(name, known)| {
                let cell = self.publish.cell(name);
                TargetBody {
                    service: name.service.clone(),
                    name: name.name.clone(),
                    address: known.announcement.address.clone(),
                    zone: known.announcement.zone.clone(),
                    class: class_label(known.announcement.class).to_owned(),
                    state: known.life.label().to_owned(),
                    weight_version: known.announcement.version,
                    load: known.announcement.load,
                    in_flight: cell.map_or(0, |it| it.in_flight()),
                    granted: cell.map_or(0, |it| it.granted(time)),
                }
            })
            .collect()
    }

    fn dump(&self) -> Value {
        let trainers: Vec<Value> = self
            .state
            .trainers
            .iter()
            .map(|(id, book)| {
                json!({
                    "trainer": id,
                    "version": book.version,
                    "acknowledged": book.acknowledged,
                    "delivered": book.delivered,
                    "groups": book.groups.len(),
                    "samples": book.samples.len(),
                    "open": book.open_samples().len(),
                    "batch": book.batch.as_ref().map(|it| json!({
                        "cursor": it.cursor,
                        "revision": it.revision,
                        "samples": it.samples.len(),
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
            "jobs": self.work.len(),
            "samples_held": self.samples.len(),
            "busy": self.shared.busy(),
            "withdrawn": self.state.config.withdrawn.len(),
            "pending": self.pending.len(),
            "forwarded": self.forwarded.len(),
            "draining": self.shared.is_draining(),
        })
    }

    fn customer_shares(&self) -> Vec<Value> {
        let cells = self.publish.customer_cells();
        cells
            .map(|(customer, cell)| {
                let (concurrency, rate_per_s) = cell.share();
                json!({
                    "customer": customer,
                    "in_flight": cell.in_flight(),
                    "concurrency": concurrency,
                    "rate_per_s": rate_per_s,
                })
            })
            .collect()
    }

    /// Returns the runs of live instances that take new work.
    pub(super) fn working_runs(&self) -> Vec<RunId> {
        let live = self.follow.instances.iter().filter(|it| !it.draining);
        live.map(|it| RunId(it.run)).collect()
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

/// Returns the word that stands for a price class.
pub fn class_label(class: PriceClass) -> &'static str {
    match class {
        PriceClass::Steady => "steady",
        PriceClass::Reclaimable => "reclaimable",
    }
}

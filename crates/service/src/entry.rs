//! The entry role: follows the leader's view and gives request handlers access to it.

mod relays;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use crate::budget::BudgetError;
use crate::budget::ResourceBudget;
use crate::budget::ResourceLimits;
use crate::dialect::TargetDialect;
use crate::directory::KeeperDirectory;
use crate::entry_shared::EntryShared;
use crate::forward::Forwarder;
use crate::frames::HelloFrame;
use crate::frames::LeadHint;
use crate::frames::LeaderReply;
use crate::frames::LinkFrame;
use crate::frames::ViewFrame;
use crate::leader_client::CallRequest;
use crate::leader_client::CallScope;
use crate::leader_client::LeaderClient;
use crate::leader_client::PendingCalls;
use crate::leader_client::replica_link;
use crate::link::LinkBudget;
use crate::link::LinkEvent;
use crate::link::LinkHub;
use crate::link::LinkId;
use crate::metrics::METRICS;
use crate::plan::RoutingPlan;
use crate::relay::RelayCall;
use crate::relay::RelayClient;
use crate::relay_links::RelayLinks;
use crate::usage::UsageSums;
use bergamotlane_storage::clock::now;

/// Interval at which abandoned relayed requests are cancelled, and at which targets are probed while
/// the path to them is lost.
const RELAY_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between two reports of usage to the keepers.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Settings of an entry.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Name of the instance.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Link addresses of keepers to connect to at start; the others are learned from them.
    pub seeds: BTreeSet<SocketAddr>,
    /// Address at which other entries link to this one, to send requests through it.
    pub relay: Option<SocketAddr>,
    /// Length of a usage window, in milliseconds.
    pub usage_window_ms: u64,
    /// Limits on the resources of this entry.
    pub limits: ResourceLimits,
}

/// Event loop that owns an entry's links to the keepers.
pub struct EntryLoop<D> {
    process_run: u64,
    zone: String,
    shared: Arc<EntryShared<D>>,
    hub: Arc<LinkHub>,
    events: mpsc::UnboundedReceiver<LinkEvent>,
    requests: mpsc::Receiver<CallRequest>,
    seeds: mpsc::UnboundedReceiver<BTreeSet<SocketAddr>>,
    relay_calls: mpsc::Receiver<RelayCall>,
    relays: RelayLinks,
    links: BTreeMap<LinkId, HelloFrame>,
    /// Term and link of the current leader.
    leader: Option<(u64, LinkId)>,
    view_term: u64,
    directory: KeeperDirectory,
    calls: PendingCalls,
    sent_usage: UsageSums,
}

/// A started entry.
pub struct EntryHandle<D> {
    /// State that the request handlers share.
    pub shared: Arc<EntryShared<D>>,
    /// Replaces the seed addresses.
    pub seeds: mpsc::UnboundedSender<BTreeSet<SocketAddr>>,
    /// Owner of the links, which has to accept those of other entries.
    pub hub: Arc<LinkHub>,
}

/// Spawns an entry's event loop; must be called within the runtime.
///
/// # Errors
///
/// Returns an error if the memory limit is too low.
pub fn start_entry<D: TargetDialect>(
    settings: EntrySettings,
    dialect: D,
) -> Result<EntryHandle<D>, BudgetError> {
    let budget = ResourceBudget::for_entry(settings.limits)?;
    budget.log("entry", settings.limits);
    let (leader, requests) = LeaderClient::new();
    let (sender, events) = mpsc::unbounded_channel();
    let (seed_sender, seeds) = mpsc::unbounded_channel();
    let (relay, relay_calls) = RelayClient::new();
    let process_run = rand::random();
    let hello = HelloFrame {
        run: process_run,
        cluster: None,
        node: None,
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        address: None,
        control: None,
        relay: settings.relay,
        max_frame_bytes: None,
        founds: false,
        keepers: BTreeSet::new(),
        state_format: 0,
        asks_for_cold: true,
        batches_heartbeats: false,
    };
    let forwarder = Forwarder::new(
        dialect,
        leader.clone(),
        &settings.name,
        &settings.zone,
        settings.usage_window_ms,
    );
    let shared = Arc::new(EntryShared::new(
        leader,
        forwarder.with_relay(relay),
        &budget,
    ));
    let directory = KeeperDirectory::new(now(), &settings.name, settings.seeds.clone());
    let hub = LinkHub::with_budget(hello, sender, LinkBudget::from(&budget));
    let entry = EntryLoop {
        process_run,
        zone: settings.zone.clone(),
        shared: Arc::clone(&shared),
        hub: Arc::clone(&hub),
        events,
        requests,
        seeds,
        relay_calls,
        relays: RelayLinks::default(),
        links: BTreeMap::new(),
        leader: None,
        view_term: 0,
        directory,
        calls: PendingCalls::default(),
        sent_usage: UsageSums::default(),
    };
    tokio::spawn(entry.run());
    Ok(EntryHandle {
        shared,
        seeds: seed_sender,
        hub,
    })
}

impl<D: TargetDialect> EntryLoop<D> {
    async fn run(mut self) {
        let mut report = interval(REPORT_INTERVAL);
        report.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut relay_tick = interval(RELAY_INTERVAL);
        relay_tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let reach = Arc::clone(self.shared.forwarder.reach());
        self.update_peers();
        loop {
            tokio::select! {
                event = self.events.recv() => match event {
                    Some(event) => self.on_event(event),
                    None => return,
                },
                request = self.requests.recv() => match request {
                    Some(request) => self.send_call(request),
                    None => return,
                },
                Some(seeds) = self.seeds.recv() => {
                    self.directory.set_seeds(seeds);
                    self.update_peers();
                }
                Some(call) = self.relay_calls.recv() => self.relay(call),
                () = reach.wait_lost(), if !self.relays.is_active() => self.activate_relays(),
                _ = relay_tick.tick(), if self.relays.is_active() => self.maintain_relays(),
                _ = report.tick() => self.report(),
            }
        }
    }

    fn update_peers(&self) {
        let keepers = self.directory.peers(now());
        self.hub
            .set_peers(keepers.into_iter().chain(self.relays.peers()));
    }

    fn on_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up {
                link,
                hello,
                dialled,
            } if hello.node.is_none() => {
                if dialled {
                    spdlog::info!("relay: helper linked", kv: { peer = hello.name.as_str() });
                    self.relays.add(link);
                }
            }
            LinkEvent::Up { link, hello, .. } => {
                if let Some(cluster) = hello.cluster {
                    self.hub
                        .update_hello(|it| it.cluster = it.cluster.or(Some(cluster)));
                }
                self.directory.learn(now(), hello.keepers.iter().copied());
                self.update_peers();
                self.links.insert(link, hello);
                self.send_usage(link);
            }
            LinkEvent::Down(link) => {
                self.relays.remove(link);
                self.links.remove(&link);
                if self.leader.is_some_and(|(_, it)| it == link) {
                    self.clear_leader();
                }
                self.calls.fail_link(link);
            }
            LinkEvent::Frame(link, frame, _receipt) => self.on_frame(link, frame),
        }
    }

    fn on_frame(&mut self, link: LinkId, frame: LinkFrame) {
        match frame {
            LinkFrame::Ping(hint) => self.on_hint(link, hint),
            LinkFrame::View(view) => self.on_view(link, *view),
            LinkFrame::Reply { id, reply } => {
                if reply == LeaderReply::NotLeader && self.leader.is_some_and(|(_, it)| it == link)
                {
                    self.clear_leader();
                }
                self.calls.answer(id, reply);
            }
            LinkFrame::Members(members) => {
                self.directory.hear_members(members);
                self.update_peers();
            }
            LinkFrame::Helpers(helpers) => {
                self.relays.set_helpers(helpers);
                self.update_peers();
            }
            LinkFrame::Relay { id, request } => self.serve_relayed(link, id, *request),
            LinkFrame::RelayReply { id, reply } => self.relays.answer(now(), link, id, reply),
            LinkFrame::CancelRelay(id) => self.relays.cancel(link, id),
            LinkFrame::Hello(_)
            | LinkFrame::Consensus(_)
            | LinkFrame::Call { .. }
            | LinkFrame::Texts(_)
            | LinkFrame::Heartbeats(_)
            | LinkFrame::HeartbeatsRefused(_)
            | LinkFrame::Usage { .. } => {}
        }
    }

    fn on_hint(&mut self, link: LinkId, hint: LeadHint) {
        let known_term = self.leader.map(|(term, _)| term);
        if hint.leads && known_term.is_none_or(|term| term < hint.term) {
            spdlog::info!("leader: found", kv: { term = hint.term, peer = self.peer_name(link) });
            self.leader = Some((hint.term, link));
        }
        if !hint.leads && self.leader.is_some_and(|(_, it)| it == link) {
            self.clear_leader();
        }
    }

    fn peer_name(&self, link: LinkId) -> &str {
        self.links.get(&link).map_or("", |it| it.name.as_str())
    }

    fn clear_leader(&mut self) {
        if let Some((term, link)) = self.leader.take() {
            spdlog::warn!("leader: lost", kv: { term, peer = self.peer_name(link) });
        }
    }

    fn on_view(&mut self, link: LinkId, view: ViewFrame) {
        if view.term < self.view_term {
            return;
        }
        self.view_term = view.term;
        self.on_hint(
            link,
            LeadHint {
                leads: true,
                term: view.term,
            },
        );
        let time = now();
        self.shared.record_view(time, view.entries);
        if let Some(plan) = view.plan {
            self.install_plan(plan);
        }
        if let Some(suspects) = view.suspects {
            self.shared.forwarder.suspects().replace(time, &suspects);
        }
        let mut chooser = self.shared.forwarder.chooser();
        if let Some(zones) = view.evacuated {
            spdlog::info!("view: zones out", kv: { zones = zones.join(","), term = view.term });
            chooser.set_evacuated(zones);
        }
        if let Some(targets) = view.targets {
            spdlog::debug!("view: targets", kv: { count = targets.len(), term = view.term });
            chooser.update(time, &targets);
        }
        chooser.apply_changes(time, &view.changed, &view.removed);
        drop(chooser);
        if let Some(keepers) = view.keepers {
            self.directory.learn(time, keepers);
        }
        if let Some(members) = view.members {
            self.directory.set_members(members);
            self.update_peers();
        }
    }

    fn install_plan(&self, plan: RoutingPlan) {
        let (version, routes) = (plan.version, plan.routes.len());
        if self.shared.install_plan(plan) {
            spdlog::info!("view: plan", kv: { version, routes, term = self.view_term });
            METRICS.plan_version.set(version as i64);
        }
    }

    fn send_call(&mut self, request: CallRequest) {
        let leader = self.leader.map(|(_, link)| link);
        let link = match request.scope {
            CallScope::Replica => {
                let links = self.links.iter().map(|(link, hello)| (*link, &*hello.zone));
                replica_link(&self.zone, leader, links, self.process_run)
            }
            CallScope::Leader => leader,
        };
        self.calls.send(&self.hub, link, request);
    }

    /// Drops expired connections and calls, updates the gauges of the links, and sends the usage sums if they changed.
    fn report(&mut self) {
        self.directory
            .set_leader_known(now(), self.leader.is_some());
        self.update_peers();
        self.shared.forwarder.prune();
        self.calls.prune();
        let (links, queued_bytes) = self.hub.load();
        METRICS.links.set(links as i64);
        METRICS.queued_bytes.set(queued_bytes as i64);
        let received_bytes = self.hub.received_bytes();
        METRICS.received_bytes.set(received_bytes as i64);
        let sums = self.shared.forwarder.usage();
        if sums == self.sent_usage {
            return;
        }
        self.sent_usage = sums;
        for link in self.links.keys().copied().collect::<Vec<_>>() {
            self.send_usage(link);
        }
    }

    fn send_usage(&self, link: LinkId) {
        if self.sent_usage.windows.is_empty() {
            return;
        }
        let frame = LinkFrame::Usage {
            process: self.process_run,
            sums: self.sent_usage.clone(),
        };
        self.hub.send(link, &frame);
    }
}

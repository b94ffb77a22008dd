//! The entry role: follows the leader's view and gives request handlers access to it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::timeout;

use crate::dialect::TargetDialect;
use crate::directory::KeeperDirectory;
use crate::forward::Forwarder;
use crate::frames::HelloFrame;
use crate::frames::LeadHint;
use crate::frames::LeaderReply;
use crate::frames::LinkFrame;
use crate::frames::ViewFrame;
use crate::leader_client::CallRequest;
use crate::leader_client::LeaderClient;
use crate::leader_client::PendingCalls;
use crate::link::LinkEvent;
use crate::link::LinkHub;
use crate::link::LinkId;
use crate::metrics::METRICS;
use crate::plan::RouteIndex;
use crate::usage::UsageSums;
use bergamotlane_storage::clock::now;

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
    /// Length of a usage window, in milliseconds.
    pub usage_window_ms: u64,
}

/// State that an entry's request handlers share with its event loop.
pub struct EntryShared<D> {
    /// Client for calls to the leader.
    pub leader: LeaderClient,
    /// Forwards requests to targets of plain services.
    pub forwarder: Forwarder<D>,
    index: Mutex<Option<Arc<RouteIndex>>>,
    has_routes: watch::Sender<bool>,
    entry_count: AtomicU32,
    draining: AtomicBool,
    /// Monotonic time of the last view, in milliseconds.
    view_at: AtomicU64,
}

impl<D: TargetDialect> EntryShared<D> {
    /// Returns the routes in force, or `None` before the first plan has arrived.
    pub fn routes(&self) -> Option<Arc<RouteIndex>> {
        self.index
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the routes in force, waiting up to `limit` for the first plan after a start.
    pub async fn wait_for_routes(&self, limit: Duration) -> Option<Arc<RouteIndex>> {
        if let Some(routes) = self.routes() {
            return Some(routes);
        }
        let mut has_routes = self.has_routes.subscribe();
        timeout(limit, has_routes.wait_for(|it| *it))
            .await
            .ok()?
            .ok()?;
        self.routes()
    }

    /// Returns whether the entry accepts new requests: it knows the routes and is not draining.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.routes().is_some()
    }

    /// Returns whether the entry is draining before its process ends.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Starts draining: the entry stops accepting new requests.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Returns the time since the last view arrived, in milliseconds.
    pub fn view_age_ms(&self) -> u64 {
        now().0.saturating_sub(self.view_at.load(Ordering::Relaxed))
    }

    /// Returns the number of processes that share what a target takes, at least 1.
    pub fn sharers(&self) -> u32 {
        self.entry_count.load(Ordering::Relaxed).max(1)
    }

    /// Returns the shortest interval between two requests from this entry to the same cold target,
    /// in milliseconds, or `None` if cold targets must get no requests.
    ///
    /// `cold_per_s` is the rate that a cold target can handle; the live entries share it equally.
    pub fn cold_pause_ms(&self, cold_per_s: f64) -> Option<u64> {
        (cold_per_s > 0.0).then(|| (f64::from(self.sharers()) * 1_000.0 / cold_per_s) as u64)
    }
}

/// Event loop that owns an entry's links to the keepers.
pub struct EntryLoop<D> {
    process_run: u64,
    shared: Arc<EntryShared<D>>,
    hub: Arc<LinkHub>,
    events: mpsc::UnboundedReceiver<LinkEvent>,
    requests: mpsc::UnboundedReceiver<CallRequest>,
    seeds: mpsc::UnboundedReceiver<BTreeSet<SocketAddr>>,
    links: BTreeMap<LinkId, HelloFrame>,
    /// Term and link of the current leader.
    leader: Option<(u64, LinkId)>,
    view_term: u64,
    directory: KeeperDirectory,
    calls: PendingCalls,
    sent_usage: UsageSums,
}

/// Spawns an entry's event loop; must be called within the runtime. The returned sender replaces
/// the seed addresses.
pub fn start_entry<D: TargetDialect>(
    settings: EntrySettings,
    dialect: D,
) -> (
    Arc<EntryShared<D>>,
    mpsc::UnboundedSender<BTreeSet<SocketAddr>>,
) {
    let (leader, requests) = LeaderClient::new();
    let (sender, events) = mpsc::unbounded_channel();
    let (seed_sender, seeds) = mpsc::unbounded_channel();
    let process_run = rand::random();
    let hello = HelloFrame {
        run: process_run,
        cluster: None,
        node: None,
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        address: None,
        control: None,
        founds: false,
        keepers: BTreeSet::new(),
    };
    let shared = Arc::new(EntryShared {
        forwarder: Forwarder::new(
            dialect,
            leader.clone(),
            &settings.name,
            &settings.zone,
            settings.usage_window_ms,
        ),
        leader,
        index: Mutex::new(None),
        has_routes: watch::Sender::new(false),
        entry_count: AtomicU32::new(1),
        draining: AtomicBool::new(false),
        view_at: AtomicU64::new(0),
    });
    let directory = KeeperDirectory::new(now(), &settings.name, settings.seeds.clone());
    let entry = EntryLoop {
        process_run,
        shared: Arc::clone(&shared),
        hub: LinkHub::new(hello, sender),
        events,
        requests,
        seeds,
        links: BTreeMap::new(),
        leader: None,
        view_term: 0,
        directory,
        calls: PendingCalls::default(),
        sent_usage: UsageSums::default(),
    };
    tokio::spawn(entry.run());
    (shared, seed_sender)
}

impl<D: TargetDialect> EntryLoop<D> {
    async fn run(mut self) {
        let mut report = interval(REPORT_INTERVAL);
        report.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.update_peers();
        loop {
            tokio::select! {
                event = self.events.recv() => match event {
                    Some(event) => self.on_event(event),
                    None => return,
                },
                request = self.requests.recv() => match request {
                    Some(request) => self.call_leader(request),
                    None => return,
                },
                Some(seeds) = self.seeds.recv() => {
                    self.directory.set_seeds(seeds);
                    self.update_peers();
                }
                _ = report.tick() => self.report(),
            }
        }
    }

    fn update_peers(&self) {
        self.hub.set_peers(self.directory.peers(now()));
    }

    fn on_event(&mut self, event: LinkEvent) {
        match event {
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
                self.links.remove(&link);
                if self.leader.is_some_and(|(_, it)| it == link) {
                    self.clear_leader();
                }
                self.calls.fail_link(link);
            }
            LinkEvent::Frame(link, frame) => self.on_frame(link, frame),
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
            LinkFrame::Hello(_)
            | LinkFrame::Consensus(_)
            | LinkFrame::Call { .. }
            | LinkFrame::Texts(_)
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
        self.shared.view_at.store(time.0, Ordering::Relaxed);
        self.shared
            .entry_count
            .store(view.entries.max(1), Ordering::Relaxed);
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

    fn install_plan(&mut self, plan: crate::plan::RoutingPlan) {
        let mut index = self
            .shared
            .index
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let known_version = index.as_ref().map(|it| it.plan().version);
        if known_version.is_some_and(|it| it >= plan.version) {
            return;
        }
        spdlog::info!("view: plan", kv: { version = plan.version, routes = plan.routes.len(), term = self.view_term });
        METRICS.plan_version.set(plan.version as i64);
        *index = Some(Arc::new(RouteIndex::new(plan)));
        drop(index);
        self.shared.has_routes.send_replace(true);
    }

    fn call_leader(&mut self, request: CallRequest) {
        let link = self.leader.map(|(_, link)| link);
        self.calls.send(&self.hub, link, request);
    }

    /// Drops expired connections and calls, and sends the usage sums if they changed.
    fn report(&mut self) {
        self.directory
            .set_leader_known(now(), self.leader.is_some());
        self.update_peers();
        self.shared.forwarder.prune();
        self.calls.prune();
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

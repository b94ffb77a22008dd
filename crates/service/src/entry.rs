//! An entry: follows the leader's view, and takes callers' requests.

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

/// Time between two reports of usage.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Settings of an entry.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Name of the instance.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Link addresses of keepers to start from.
    pub seeds: BTreeSet<SocketAddr>,
    /// Length of a usage window, in milliseconds.
    pub usage_window_ms: u64,
}

/// What the requests of an entry share.
pub struct EntryShared<D> {
    /// Calls to the leader.
    pub leader: LeaderClient,
    /// Passes plain requests on.
    pub forwarder: Forwarder<D>,
    index: Mutex<Option<Arc<RouteIndex>>>,
    known: watch::Sender<bool>,
    entries: AtomicU32,
    draining: AtomicBool,
    view_at: AtomicU64,
}

impl<D: TargetDialect> EntryShared<D> {
    /// Returns the routes in force, once any are known.
    pub fn routes(&self) -> Option<Arc<RouteIndex>> {
        self.index
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the routes in force, and waits for them while the process has just started.
    pub async fn wait_for_routes(&self, limit: Duration) -> Option<Arc<RouteIndex>> {
        if let Some(routes) = self.routes() {
            return Some(routes);
        }
        let mut known = self.known.subscribe();
        timeout(limit, known.wait_for(|it| *it)).await.ok()?.ok()?;
        self.routes()
    }

    /// Returns whether new callers are welcome.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.routes().is_some()
    }

    /// Returns whether the process is about to end.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Turns new callers away from now on.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Returns the age of the view, in milliseconds.
    pub fn view_age_ms(&self) -> u64 {
        now().0.saturating_sub(self.view_at.load(Ordering::Relaxed))
    }

    /// Returns the time between two requests that a cold target bears from one entry, in
    /// milliseconds.
    pub fn cold_pause_ms(&self, cold_per_s: f64) -> Option<u64> {
        let entries = self.entries.load(Ordering::Relaxed).max(1);
        (cold_per_s > 0.0).then(|| (f64::from(entries) * 1_000.0 / cold_per_s) as u64)
    }
}

/// The loop that owns an entry's links.
pub struct EntryLoop<D> {
    settings: EntrySettings,
    run: u64,
    shared: Arc<EntryShared<D>>,
    hub: Arc<LinkHub>,
    events: mpsc::UnboundedReceiver<LinkEvent>,
    requests: mpsc::UnboundedReceiver<CallRequest>,
    seeds: mpsc::UnboundedReceiver<BTreeSet<SocketAddr>>,
    links: BTreeMap<LinkId, HelloFrame>,
    leader: Option<(u64, LinkId)>,
    view_term: u64,
    keepers: BTreeSet<SocketAddr>,
    calls: PendingCalls,
    told: UsageSums,
}

/// Starts an entry's loop within the runtime. The returned sender takes changed seeds.
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
    let run = rand::random();
    let hello = HelloFrame {
        run,
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
        leader,
        forwarder: Forwarder::new(dialect, &settings.zone, settings.usage_window_ms),
        index: Mutex::new(None),
        known: watch::Sender::new(false),
        entries: AtomicU32::new(1),
        draining: AtomicBool::new(false),
        view_at: AtomicU64::new(0),
    });
    let entry = EntryLoop {
        settings,
        run,
        shared: Arc::clone(&shared),
        hub: LinkHub::new(hello, sender),
        events,
        requests,
        seeds,
        links: BTreeMap::new(),
        leader: None,
        view_term: 0,
        keepers: BTreeSet::new(),
        calls: PendingCalls::default(),
        told: UsageSums::default(),
    };
    tokio::spawn(entry.run());
    (shared, seed_sender)
}

impl<D: TargetDialect> EntryLoop<D> {
    async fn run(mut self) {
        let mut report = interval(REPORT_INTERVAL);
        report.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.dial();
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
                    self.settings.seeds = seeds;
                    self.dial();
                }
                _ = report.tick() => self.report(),
            }
        }
    }

    fn dial(&self) {
        let all = self.settings.seeds.union(&self.keepers).copied();
        self.hub.set_peers(all);
    }

    fn on_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up { link, hello, .. } => {
                if let Some(cluster) = hello.cluster {
                    self.hub
                        .update_hello(|it| it.cluster = it.cluster.or(Some(cluster)));
                }
                if !hello.keepers.is_subset(&self.keepers) && self.view_term == 0 {
                    self.keepers.extend(&hello.keepers);
                    self.dial();
                }
                self.links.insert(link, hello);
                self.tell_usage(link);
            }
            LinkEvent::Down(link) => {
                self.links.remove(&link);
                if self.leader.is_some_and(|(_, it)| it == link) {
                    self.lose_leader();
                }
                self.calls.lose_link(link);
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
                    self.lose_leader();
                }
                self.calls.answer(id, reply);
            }
            LinkFrame::Hello(_)
            | LinkFrame::Consensus(_)
            | LinkFrame::Call { .. }
            | LinkFrame::Texts(_)
            | LinkFrame::Usage { .. } => {}
        }
    }

    fn on_hint(&mut self, link: LinkId, hint: LeadHint) {
        let known = self.leader.map(|(term, _)| term);
        if hint.leads && known.is_none_or(|term| term < hint.term) {
            spdlog::info!("leader: found", kv: { term = hint.term, peer = self.name_of(link) });
            self.leader = Some((hint.term, link));
        }
        if !hint.leads && self.leader.is_some_and(|(_, it)| it == link) {
            self.lose_leader();
        }
    }

    fn name_of(&self, link: LinkId) -> &str {
        self.links.get(&link).map_or("", |it| it.name.as_str())
    }

    fn lose_leader(&mut self) {
        if let Some((term, link)) = self.leader.take() {
            spdlog::warn!("leader: lost", kv: { term, peer = self.name_of(link) });
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
            .entries
            .store(view.entries.max(1), Ordering::Relaxed);
        if let Some(plan) = view.plan {
            self.take_plan(plan);
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
        drop(chooser);
        if let Some(keepers) = view.keepers {
            self.keepers = keepers;
            self.dial();
        }
    }

    fn take_plan(&mut self, plan: crate::plan::RoutingPlan) {
        let mut index = self
            .shared
            .index
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let known = index.as_ref().map(|it| it.plan().version);
        if known.is_some_and(|it| it >= plan.version) {
            return;
        }
        spdlog::info!("view: plan", kv: { version = plan.version, routes = plan.routes.len(), term = self.view_term });
        METRICS.plan_version.set(plan.version as i64);
        *index = Some(Arc::new(RouteIndex::new(plan)));
        drop(index);
        self.shared.known.send_replace(true);
    }

    fn call_leader(&mut self, request: CallRequest) {
        let link = self.leader.map(|(_, link)| link);
        self.calls.send(&self.hub, link, request);
    }

    fn report(&mut self) {
        self.shared.forwarder.prune();
        self.calls.prune();
        let sums = self.shared.forwarder.usage();
        if sums == self.told {
            return;
        }
        self.told = sums;
        for link in self.links.keys().copied().collect::<Vec<_>>() {
            self.tell_usage(link);
        }
    }

    fn tell_usage(&self, link: LinkId) {
        if self.told.windows.is_empty() {
            return;
        }
        let frame = LinkFrame::Usage {
            process: self.run,
            sums: self.told.clone(),
        };
        self.hub.send(link, &frame);
    }
}

//! Announcements of a stand-in target.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::arguments::StandinArguments;
use bergamotlane_wire::http::AnnounceBody;

/// Time between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time for an announcement to be heard.
const ANNOUNCE_LIMIT: Duration = Duration::from_millis(1_000);

/// Who announces.
#[derive(Debug, Clone)]
pub struct AnnouncerSettings {
    /// Service.
    pub service: String,
    /// Name.
    pub name: String,
    /// Own address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// `steady` or `reclaimable`.
    pub class: String,
    /// Key of the service's targets.
    pub key: String,
    /// Entries' addresses for targets; each announcement goes to the next one, as a
    /// balancer would spread them.
    pub entries: Vec<SocketAddr>,
}

impl AnnouncerSettings {
    /// Names of the options that [`Self::read`] takes.
    pub const OPTIONS: [&str; 7] = [
        "listen", "service", "name", "zone", "class", "key", "entries",
    ];

    /// Reads the settings from a command line.
    pub fn read(arguments: &StandinArguments) -> Self {
        let address = arguments.address("listen");
        Self {
            service: arguments.text("service", "service"),
            name: arguments.text("name", &format!("t{}", address.port())),
            address,
            zone: arguments.text("zone", "zone"),
            class: arguments.text("class", "steady"),
            key: arguments.text("key", ""),
            entries: arguments.addresses("entries"),
        }
    }
}

/// What changes between announcements.
#[derive(Debug, Clone, Copy)]
pub struct TargetCondition {
    /// Whether it bears its full load.
    pub warm: bool,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Weight version.
    pub version: u64,
    /// Requests in progress.
    pub load: u32,
}

/// Announces until the process ends.
pub async fn announce(settings: AnnouncerSettings, condition: impl Fn() -> TargetCondition) {
    let client = reqwest::Client::builder()
        .timeout(ANNOUNCE_LIMIT)
        .build()
        .expect("client can be built");
    let started = Instant::now();
    let boot = rand::random::<u64>() >> 1;
    let mut round = settings.address.port() as usize;
    loop {
        let now = condition();
        let body = AnnounceBody {
            service: settings.service.clone(),
            name: settings.name.clone(),
            boot,
            uptime_ms: started.elapsed().as_millis() as u64,
            address: settings.address.to_string(),
            zone: settings.zone.clone(),
            class: settings.class.clone(),
            warm: now.warm,
            leaving: now.leaving,
            weight_version: now.version,
            load: now.load,
        };
        round += 1;
        if let Some(entry) = settings.entries.get(round % settings.entries.len().max(1)) {
            let url = format!("http://{entry}/v1/announce");
            let request = client.post(url).bearer_auth(&settings.key).json(&body);
            request.send().await.ok();
        }
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}
